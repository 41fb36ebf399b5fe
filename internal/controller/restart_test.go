package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestRestartedEndpointsCutOff restarts endpoints under their old ids and cuts them off
// soon after, while long tasks run there. Orders for the former incarnation that reach
// the next one may give it the longest lease: its tasks must not start elsewhere before.
func TestRestartedEndpointsCutOff(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { playRestartsAndCuts(t, seed, false) })
}

// TestRestartedEndpointsCutOffWithHolderChanges is the same with a change of the holder
// between the restart and the cut.
func TestRestartedEndpointsCutOffWithHolderChanges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { playRestartsAndCuts(t, seed, true) })
}

func playRestartsAndCuts(t *testing.T, seed uint64, holderChanges bool) {
	w := newWorld(t, seed, faults{unanswered: 0.02})
	addEndpoints(w)
	w.registryDelay = 1500 * time.Millisecond
	w.beginTerm()
	for i := range 60 {
		w.after(time.Duration(i)*300*time.Millisecond, func() {
			w.submit(workload.ID(fmt.Sprintf("b%015x", i)), "c2", workload.Spec{Steps: []workload.Step{{
				Count: 6, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 12 * time.Second,
			}}})
		})
	}
	for _, at := range []time.Duration{4 * time.Second, 18 * time.Second} {
		for i := range 4 {
			e := w.endpoints[fmt.Sprintf("e%02d", i)]
			w.after(at, func() { w.crash(e, 600*time.Millisecond) })
			w.after(at+w.between(600*time.Millisecond, 1200*time.Millisecond), func() { e.disconnected = true })
			w.after(at+12*time.Second, func() { e.disconnected = false })
		}
		if holderChanges {
			w.after(at+w.between(500*time.Millisecond, 2*time.Second), w.replaceHolder)
		}
	}
	w.after(40*time.Second, func() { w.faults = faults{} })
	w.run(125 * time.Second)
	w.requireAllEnded()
}

// TestStartOnNextIncarnation has a start reach the next incarnation of an endpoint, which
// is cut off before anything else is heard of it, with its answer or without.
func TestStartOnNextIncarnation(t *testing.T) {
	for name, c := range map[string]struct{ answered, holderChanges bool }{
		"no answer": {}, "no answer, the holder changes": {holderChanges: true},
		"answer": {answered: true}, "answer, the holder changes": {answered: true, holderChanges: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.addEndpoint("e1")
			w.addEndpoint("e2")
			w.beginTerm()
			passed := 20 * time.Second
			w.run(passed)
			w.registryDelay = 1000 * time.Second
			if !c.answered {
				w.faults.unanswered = 1
			}
			w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{{
				Count: 2, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 12 * time.Second, MaxPerEndpoint: 1,
			}}})
			e := w.endpoints["e1"]
			w.crash(e, 150*time.Millisecond)
			for c.answered && w.current().core.fleet.Endpoint("e1").LastAnswered < simStart+20*time.Second || len(e.running) == 0 {
				passed += time.Millisecond
				w.run(passed)
			}
			e.disconnected = true
			w.run(20_500 * time.Millisecond)
			w.faults.unanswered = 0
			if c.holderChanges {
				w.run(23 * time.Second)
				w.beginTerm()
			}
			w.run(90 * time.Second)
			w.requireAllEnded()
		})
	}
}
