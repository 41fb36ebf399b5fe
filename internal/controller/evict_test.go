package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestStuckEndpoints has endpoints begin runs that never make progress.
func TestStuckEndpoints(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		ids := w.ids()
		for i := range 2 {
			e := w.endpoints[ids[w.rand.IntN(len(ids))]]
			w.at(time.Duration(i)*time.Second, func() { e.stuck = true })
			w.at(12*time.Second, func() { e.stuck = false })
		}
		w.run(90 * time.Second)
		w.requireServed()
	})
}

// TestDrainingEndpoints has endpoints leave while tasks run there.
func TestDrainingEndpoints(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		ids := w.ids()
		for i := range 2 {
			w.at(time.Duration(2+3*i)*time.Second, func() { w.drain(w.endpoints[ids[i]], 2500*time.Millisecond) })
		}
		w.run(90 * time.Second)
		w.requireServed()
		if w.leftBehind > 0 {
			t.Errorf("%d runs were left on endpoints that had said when they leave", w.leftBehind)
		}
	})
}

func TestLeavesTooSoon(t *testing.T) {
	c := &Core{bounds: Params{StopGrace: 400 * time.Millisecond}}
	for name, tc := range map[string]struct {
		spec   workload.Step
		phase  fleet.Phase
		endsIn time.Duration
		left   time.Duration
		want   bool
	}{
		"ends before":               {endsIn: 2 * time.Second, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning},
		"ends a little after":       {endsIn: 2900 * time.Millisecond, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning},
		"can't end":                 {endsIn: 5 * time.Second, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning, want: true},
		"saves, early":              {spec: workload.Step{Checkpoints: true}, endsIn: 5 * time.Second, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning},
		"saves, late":               {spec: workload.Step{Checkpoints: true}, endsIn: 5 * time.Second, left: 700 * time.Millisecond, phase: fleet.PhaseRunning, want: true},
		"lasts":                     {spec: workload.Step{LongRunning: true}, left: time.Minute, phase: fleet.PhaseRunning, want: true},
		"not confirmed":             {endsIn: 5 * time.Second, phase: fleet.PhaseOrdered},
		"is being stopped":          {endsIn: 5 * time.Second, phase: fleet.PhaseStopping},
		"past the time that it has": {endsIn: time.Second, left: -time.Second, phase: fleet.PhaseRunning, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Instant{Steady: time.Hour}
			r := &fleet.Run{Phase: tc.phase, ExpectedEnd: now.Steady + tc.endsIn, Step: &workload.StepRun{Spec: &tc.spec}}
			if got := c.leavesTooSoon(now, r, tc.left); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestUnknownProgress shows that a run is not taken as stuck on an endpoint
// that does not tell of progress.
func TestUnknownProgress(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.begin()
	w.silentProgress = true
	w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{{
		Count: 1, Size: resource.Vector{MilliCores: 1000, MemoryMB: 1000}, Estimate: 20 * time.Second,
	}}})
	w.run(60 * time.Second)
	w.requireServed()
	if n := w.current().core.stats.Evicted; n > 0 {
		t.Errorf("%d runs were evicted", n)
	}
}
