package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"pgregory.net/rapid"
)

// TestOnlyProvenRunsAreTold loses orders and endpoints, restarts them under their old ids
// and changes the holder at drawn moments. No job may be told as begun of which no run has
// (see checkTold), and all of them end, so that none is told as waiting for good.
func TestOnlyProvenRunsAreTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), faults{
			lost:        rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost"),
			unanswered:  rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "unanswered"),
			delayed:     rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "delayed"),
			taskFailure: 0.02,
		})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(4)
		for i := range rapid.IntRange(1, 8).Draw(t, "troubles") {
			id := fmt.Sprintf("e%02d", rapid.IntRange(0, 7).Draw(t, "endpoint"))
			at := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "at")) * time.Millisecond
			length := time.Duration(rapid.IntRange(1, 12_000).Draw(t, "length")) * time.Millisecond
			switch kind := rapid.SampledFrom([]string{"cut", "crash", "holder", "lost"}).Draw(t, "kind"); {
			case kind == "holder":
				w.after(at, w.replaceHolder)
			case kind == "cut":
				w.after(at, func() { w.endpoints[id].disconnected = true })
				w.after(at+length, func() { w.endpoints[id].disconnected = false })
			case kind == "crash" || i > 0:
				w.after(at, func() {
					if e := w.endpoints[id]; e.up {
						w.crash(e, length)
					}
				})
			default:
				w.after(at, func() {
					e := w.endpoints[id]
					e.up, e.running = false, make(map[fleet.Key]*simRun)
				})
			}
		}
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(120 * time.Second)
		w.requireAllEnded()
		for _, queue := range []string{"urgent", "bulk", "gangs"} {
			if n := w.current().core.Waiting(queue); n != 0 {
				t.Errorf("%d jobs of queue %s are told as waiting after all have ended", n, queue)
			}
		}
	})
}

// TestUnheardRunSaysNothingOfItsSpeed guards against an endpoint that passes for a fast
// one because the first that was heard of a run was its end.
func TestUnheardRunSaysNothingOfItsSpeed(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	w.run(time.Second)
	e := w.current().core.fleet.Endpoint("e1")
	e.History.ObserveDuration(2*time.Second, time.Second)
	w.faults.unanswered = 1
	job := largeJob(10)
	job.Steps[0].Estimate = 10 * time.Millisecond
	w.submit("b000000000000001", "c2", job)
	w.run(1200 * time.Millisecond)
	w.faults.unanswered = 0
	w.run(5 * time.Second)
	if state, _ := w.current().core.Status("b000000000000001", "c2"); state != workload.StateCompleted {
		t.Fatalf("the job is %q", state)
	}
	if got := e.History.Slowdown(); got != 2 {
		t.Errorf("the endpoint takes %.2f times the estimate, want 2 as before the run", got)
	}
}
