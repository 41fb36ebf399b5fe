package controller

import (
	"testing"
	"time"
)

// TestPlanIntervalIsBounded bounds the time between plans. A plan for a few
// hundred steps on 350 endpoints takes about 30 ms. If the next one waited
// several times as long, urgent work with an objective of 400 ms would be late
// while the processor is idle.
func TestPlanIntervalIsBounded(t *testing.T) {
	const objective = 400 * time.Millisecond
	for took, most := range map[time.Duration]time.Duration{
		0:                     minPlanInterval,
		3 * time.Millisecond:  minPlanInterval,
		30 * time.Millisecond: objective / 4,
	} {
		if got := planInterval(took); got > most {
			t.Errorf("after a plan of %s the next one waits %s, more than %s", took, got, most)
		}
	}
}
