package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestBlockedWorkIsPlannedWithoutEvent blocks the only task that waits by something that
// passes without an event. It must start soon after that, on a cell that is otherwise quiet.
func TestBlockedWorkIsPlannedWithoutEvent(t *testing.T) {
	const id = workload.ID("b000000000000001")
	endpointRefuses := func(reason Reason) func(*world) {
		return func(w *world) {
			w.refuseStarts = reason
			w.submitSteps(id, "c2", time.Second)
			w.after(100*time.Millisecond, func() { w.refuseStarts = "" })
		}
	}
	tests := []struct {
		name  string
		block func(w *world)
		// within is how long the task may take to start.
		within time.Duration
	}{
		{name: "endpoint lacks room", block: endpointRefuses(ReasonRoom), within: noRoomBackoff + time.Second},
		{name: "endpoint is unhealthy", block: endpointRefuses(ReasonUnhealthy), within: unhealthyBackoff + time.Second},
		{name: "endpoint is cut off", within: 3 * time.Second, block: func(w *world) {
			w.endpoints["e1"].disconnected = true
			w.current().core.requestReport(w.current().core.fleet.Endpoint("e1"), w.now)
			w.after(time.Second, func() { w.submitSteps(id, "c2", time.Second) })
			w.after(2*time.Second, func() { w.endpoints["e1"].disconnected = false })
		}},
		{name: "rack of the data is full", within: 2 * time.Second, block: func(w *world) {
			w.submit("b000000000000002", "c2", workload.Spec{Steps: []workload.Step{{Count: 1, Size: w.endpoints["e1"].capacity, Estimate: time.Minute}}})
			w.after(200*time.Millisecond, func() {
				w.addEndpoint("e2")
				w.after(100*time.Millisecond, func() {
					w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{
						Count: 1, Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}, Estimate: 4 * time.Second, PreferredRack: "r-1",
					}}})
				})
			})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.addEndpoint("e1")
			w.beginTerm()
			w.run(time.Second)
			test.block(w)
			w.run(time.Second + test.within)
			if n := w.startedRuns(id); n == 0 {
				t.Errorf("no task has started within %s", test.within)
			}
		})
	}
}

// startedRuns returns how many runs of a job run or have ended on the endpoints.
func (w *world) startedRuns(id workload.ID) int {
	n := 0
	for _, e := range w.endpoints {
		for key := range e.running {
			if key.Task.Job == id {
				n++
			}
		}
	}
	for range w.jobs[id].done {
		n++
	}
	return n
}
