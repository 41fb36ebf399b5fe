package controller

import (
	"testing"
	"time"
)

// TestRefusedStartsArePaced lets both endpoints refuse every start of a job for ten
// seconds, as for a permit that the configuration doesn't mention. The attempts must
// become rare, and the job must start within the longest pause once it may.
func TestRefusedStartsArePaced(t *testing.T) {
	for _, reason := range []Reason{ReasonPermit, ReasonInvalid, ReasonLate, ReasonSuperseded, ReasonIncarnation} {
		t.Run(string(reason), func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.addEndpoint("e1")
			w.addEndpoint("e2")
			w.beginTerm()
			w.refuseStarts = reason
			w.submitSteps("b000000000000001", "c2", time.Minute)
			w.run(10 * time.Second)
			const maxAttempts = 20
			if n := w.current().core.Stats().Starts; n > maxAttempts {
				t.Errorf("%d starts were sent in 10 s, at most %d are expected", n, maxAttempts)
			}
			w.refuseStarts = ""
			w.run(10*time.Second + maxRefusalPause + 100*time.Millisecond)
			if w.current().core.Stats().Running != 1 {
				t.Error("the job doesn't run after the longest pause")
			}
		})
	}
}

func TestRefusalPause(t *testing.T) {
	for repeated, want := range map[int]time.Duration{
		1: 50 * time.Millisecond, 2: 100 * time.Millisecond, 5: 800 * time.Millisecond, 6: time.Second, 1000: time.Second,
	} {
		if got := refusalPause(repeated); got != want {
			t.Errorf("refusalPause(%d) = %s, want %s", repeated, got, want)
		}
	}
}
