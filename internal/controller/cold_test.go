package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// newColdWorld returns a world with one endpoint, e00, and a term that knows cold ones.
func newColdWorld(t *testing.T) *world {
	w := newWorld(t, 1, faults{})
	w.params.Features.Evacuation = true
	w.addEndpoint("e00")
	w.beginTerm()
	return w
}

// TestColdRunsSayNothingOfSpeed guards against endpoints that pass for slow ones long after
// they have warmed up, and against expected ends that are too early while they are cold.
func TestColdRunsSayNothingOfSpeed(t *testing.T) {
	w := newColdWorld(t)
	w.endpoints["e00"].coldLeft = 20 * time.Second
	w.register(w.endpoints["e00"])
	w.run(time.Second)
	w.submit("b000000000000001", "c2", largeJob(10))
	w.run(1300 * time.Millisecond)
	e := w.current().core.fleet.Endpoint("e00")
	if len(e.Runs()) != 1 {
		t.Fatal("the cold endpoint is not used")
	}
	if r := e.Runs()[0]; r.ExpectedEnd-r.ConfirmedAt < 1900*time.Millisecond {
		t.Errorf("the run is expected to take %s, want twice its estimate of 1 s", r.ExpectedEnd-r.ConfirmedAt)
	}
	w.run(10 * time.Second)
	w.requireAllEnded()
	if got := e.History.Slowdown(); got != 1 {
		t.Errorf("the endpoint passes for %.2f times as slow as estimated", got)
	}
	if e.Cold(w.now + 15*time.Second) {
		t.Error("it is cold for longer than it said")
	}
}

// TestColdTimeThatNeverEnds guards against an endpoint that says forever that it is cold
// and would come last forever.
func TestColdTimeThatNeverEnds(t *testing.T) {
	w := newColdWorld(t)
	e := w.endpoints["e00"]
	for at := time.Duration(0); at < 2*fleet.MaxCold; at += 10 * time.Second {
		w.after(at, func() {
			e.coldLeft = 1<<62 + at
			w.register(e)
		})
	}
	known := w.current().core.fleet.Endpoint("e00")
	w.run(fleet.MaxCold / 2)
	if !known.Cold(w.now) {
		t.Error("the endpoint is not cold")
	}
	w.run(fleet.MaxCold + time.Second)
	if known.Cold(w.now) {
		t.Errorf("the endpoint is still cold after %s", fleet.MaxCold)
	}
}
