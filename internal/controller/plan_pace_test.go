package controller

import (
	"testing"
	"time"
)

// A plan for some hundred steps on 350 endpoints takes about 30 ms. If the next
// one waits for several times that, urgent work with an objective of 400 ms is
// late while the processor is idle.
func TestPlansWaitWhileTheProcessorIsIdle(t *testing.T) {
	const objective = 400 * time.Millisecond
	for took, most := range map[time.Duration]time.Duration{
		0:                     planGap,
		3 * time.Millisecond:  planGap,
		30 * time.Millisecond: objective / 4,
	} {
		if got := planEvery(took); got > most {
			t.Errorf("after a plan of %s the next one waits %s, more than %s", took, got, most)
		}
	}
}
