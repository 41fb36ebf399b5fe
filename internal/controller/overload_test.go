package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// slowOrder is how long sending an order, or processing its answer, takes on the
// weakest instance of the enlarged sites of the benchmark: a quarter of a
// millisecond of processor time at 0.192 cores.
const slowOrder = 1300 * time.Microsecond

// TestGangsCompleteUnderOverloadedHolder has a slow holder begin its term with
// more waiting tasks than it can order within a call's deadline. Neither
// endpoints nor connections fail, so no gang member may end because the others
// were not started.
func TestGangsCompleteUnderOverloadedHolder(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		w.orderCost = slowOrder
		const endpoints = 80
		for i := range endpoints {
			w.addEndpoint(fmt.Sprintf("e%02d", i))
		}
		w.beginTerm()
		step := func(count int, estimate time.Duration, gang bool) workload.Spec {
			return workload.Spec{Steps: []workload.Step{{
				Count: count, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: estimate, Gang: gang,
			}}}
		}
		const bulk, gangs = 20, 30
		for i := range bulk {
			w.submit(workload.ID(fmt.Sprintf("b%015x", i)), "c2", step(40, 2*time.Second, false))
		}
		for i := range gangs {
			w.after(time.Duration(i)*100*time.Millisecond, func() {
				w.submit(workload.ID(fmt.Sprintf("a%015x", i)), "c2", step(2+w.rand.IntN(6), 600*time.Millisecond, true))
			})
		}
		w.run(60 * time.Second)
		w.requireAllEnded()
		if w.endedAlone > 0 {
			t.Errorf("%d runs ended because their gang was incomplete: %+v", w.endedAlone, w.current().core.Stats())
		}
	})
}
