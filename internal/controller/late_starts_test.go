package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestLateStartsInALaterLife guards against starts without an answer that are carried out
// seconds later, in a life of the endpoint that knows no stop of them: the task would run
// there beside its next run, or after its end.
func TestLateStartsInALaterLife(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { playLateStarts(t, seed, false, false) })
}

// TestLateStartsOfGangsInALaterLife is the same with gangs, whose starts are repeated.
func TestLateStartsOfGangsInALaterLife(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { playLateStarts(t, seed, true, false) })
}

// TestLateStartsWithHolderChanges is the same with a change of the holder at each restart:
// the starts of earlier holders are refused by their epoch.
func TestLateStartsWithHolderChanges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { playLateStarts(t, seed, false, true) })
}

// playLateStarts restarts endpoints under their old ids, and cuts some of them off for a
// while, while many starts are carried out late.
func playLateStarts(t *testing.T, seed uint64, gangs, holderChanges bool) {
	w := newWorld(t, seed, faults{delayed: 0.15})
	for i := range w.catalog.Queues {
		w.catalog.Queues[i].Eligibility = nil
	}
	addEndpoints(w)
	w.registryDelay = 500 * time.Millisecond
	w.beginTerm()
	prefix := "b"
	if gangs {
		prefix = "c"
	}
	for i := range 50 {
		w.after(time.Duration(i)*500*time.Millisecond, func() {
			w.submit(workload.ID(fmt.Sprintf("%s%015x", prefix, i)), "c2", workload.Spec{Steps: []workload.Step{{
				Count: 4, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 4 * time.Second, Gang: gangs,
			}}})
		})
	}
	for at := 3 * time.Second; at < 28*time.Second; at += 3 * time.Second {
		for i := range 4 {
			e := w.endpoints[fmt.Sprintf("e%02d", i)]
			w.after(at+w.between(0, 500*time.Millisecond), func() {
				if e.up {
					w.crash(e, w.between(100*time.Millisecond, 600*time.Millisecond))
				}
			})
		}
		if holderChanges {
			w.after(at+w.between(0, time.Second), w.replaceHolder)
		}
	}
	w.after(40*time.Second, func() { w.faults = faults{} })
	w.run(110 * time.Second)
	w.requireAllEnded()
	t.Logf("%d late starts in a life that no holder knew", w.unavoidableStarts)
}

// TestBarsThatAreRefusedEnd guards against an endpoint that is left out for good because its
// new life refuses the stops by which it is told of late starts.
func TestBarsThatAreRefusedEnd(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	w.run(time.Second)
	key := fleet.Key{Task: workload.TaskID{Job: "b000000000000009"}, Number: 1}
	w.current().core.noteLateStart(w.instant(), "e1", key)
	w.refuseStops = ReasonUnhealthy
	w.crash(w.endpoints["e1"], 100*time.Millisecond)
	w.run(3 * time.Second)
	w.submit("b000000000000001", "c2", largeJob(10))
	w.run(10 * time.Second)
	if w.jobs["b000000000000001"].begun {
		t.Error("the endpoint is used before it has confirmed the stop")
	}
	w.run(1*time.Second + maxOrderDelay + 3*time.Second)
	w.requireAllEnded()
}
