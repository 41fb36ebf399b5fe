package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestEndpointBackAsAnotherKind guards against tasks that are placed by what the former life
// of an endpoint was: the new one tells of its start in a report, and what it is only by
// its entry in the registry, up to 1.5 s later.
func TestEndpointBackAsAnotherKind(t *testing.T) {
	for name, change := range map[string]func(*simEndpoint){
		"other labels":   func(e *simEndpoint) { e.labels = []string{"b"} },
		"another pool":   func(e *simEndpoint) { e.pool = "v" },
		"a smaller size": func(e *simEndpoint) { e.capacity.MilliCores = 2000 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTwoPoolWorld(t, 3, 0)
			for _, id := range w.ids() {
				w.endpoints[id].labels = []string{"a"}
				w.register(w.endpoints[id])
			}
			w.registryDelay = 1500 * time.Millisecond
			e := w.endpoints["a00"]
			step := workload.Step{Count: 2, Size: resource.Vector{MilliCores: 2000, MemoryMB: 64}, Estimate: 700 * time.Millisecond, RequiredLabel: "a"}
			n := 0
			for at := time.Duration(0); at < 40*time.Second; at += 200 * time.Millisecond {
				id := workload.ID(fmt.Sprintf("b%015x", n))
				n++
				w.after(at, func() { w.submit(id, "c2", workload.Spec{Steps: []workload.Step{step}}) })
			}
			labels, pool, capacity := e.labels, e.pool, e.capacity
			for at := 3 * time.Second; at < 40*time.Second; at += 6 * time.Second {
				w.after(at, func() {
					if e.pool, e.labels, e.capacity = pool, labels, capacity; int(at/(6*time.Second))%2 == 0 {
						change(e)
					}
					w.crash(e, 1500*time.Millisecond)
				})
			}
			w.run(60 * time.Second)
			w.requireAllEnded()
			if !slices.ContainsFunc(w.terms, func(t *simTerm) bool { return t.core.stats.Starts > 0 }) {
				t.Error("nothing was started")
			}
		})
	}
}

// TestUndescribedEndpointIsStillHeld guards against runs of a life that hasn't registered and
// that nobody holds or stops: a start that reached it works on, and is noted once it ends.
func TestUndescribedEndpointIsStillHeld(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	w.run(time.Second)
	w.registryDelay = time.Hour
	w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{{
		Count: 1, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 8 * time.Second,
	}}})
	w.crash(w.endpoints["e1"], 150*time.Millisecond)
	w.run(3 * time.Second)
	e := w.current().core.fleet.Endpoint("e1")
	if e.Described() || len(w.endpoints["e1"].running) != 1 || len(e.Runs()) != 1 {
		t.Fatalf("described %v, %d runs there, %d known", e.Described(), len(w.endpoints["e1"].running), len(e.Runs()))
	}
	w.run(25 * time.Second)
	w.requireAllEnded()
}
