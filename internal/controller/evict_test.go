package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestStalledRuns requires that all jobs end although some endpoints start runs
// that never make progress.
func TestStalledRuns(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		ids := w.ids()
		for i := range 2 {
			e := w.endpoints[ids[w.rand.IntN(len(ids))]]
			w.after(time.Duration(i)*time.Second, func() { e.stallsRuns = true })
			w.after(12*time.Second, func() { e.stallsRuns = false })
		}
		w.run(90 * time.Second)
		w.requireAllEnded()
	})
}

// TestDrainingEndpoints requires that no run is left on an endpoint that leaves
// after draining.
func TestDrainingEndpoints(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		ids := w.ids()
		for i := range 2 {
			w.after(time.Duration(2+3*i)*time.Second, func() { w.drain(w.endpoints[ids[i]], 2500*time.Millisecond) })
		}
		w.run(90 * time.Second)
		w.requireAllEnded()
		if w.leftBehind > 0 {
			t.Errorf("%d runs were left on endpoints that left after draining", w.leftBehind)
		}
	})
}

func TestMustEvictFromDraining(t *testing.T) {
	c := &Core{params: Params{StopGrace: 400 * time.Millisecond}}
	for name, tc := range map[string]struct {
		spec   workload.Step
		phase  fleet.Phase
		endsIn time.Duration
		left   time.Duration
		want   bool
	}{
		"ends before":             {endsIn: 2 * time.Second, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning},
		"ends a little after":     {endsIn: 2900 * time.Millisecond, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning},
		"can't finish":            {endsIn: 5 * time.Second, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning, want: true},
		"checkpoints, early":      {spec: workload.Step{Checkpoints: true}, endsIn: 5 * time.Second, left: 2500 * time.Millisecond, phase: fleet.PhaseRunning},
		"checkpoints, late":       {spec: workload.Step{Checkpoints: true}, endsIn: 5 * time.Second, left: 700 * time.Millisecond, phase: fleet.PhaseRunning, want: true},
		"long-running":            {spec: workload.Step{LongRunning: true}, left: time.Minute, phase: fleet.PhaseRunning, want: true},
		"not confirmed":           {endsIn: 5 * time.Second, phase: fleet.PhaseOrdered},
		"stopping":                {endsIn: 5 * time.Second, phase: fleet.PhaseStopping},
		"past the announced time": {endsIn: time.Second, left: -time.Second, phase: fleet.PhaseRunning, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Instant{Steady: time.Hour}
			r := &fleet.Run{Phase: tc.phase, ExpectedEnd: now.Steady + tc.endsIn, Step: &workload.StepRun{Spec: &tc.spec}}
			if got := c.mustEvictFromDraining(now, r, tc.left); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestUnknownProgress requires that a run is not evicted as stalled on an
// endpoint that doesn't report progress.
func TestUnknownProgress(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	w.hideProgress = true
	w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{{
		Count: 1, Size: resource.Vector{MilliCores: 1000, MemoryMB: 1000}, Estimate: 20 * time.Second,
	}}})
	w.run(60 * time.Second)
	w.requireAllEnded()
	if n := w.current().core.stats.Evicted; n > 0 {
		t.Errorf("%d runs were evicted", n)
	}
}
