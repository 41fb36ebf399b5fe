package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestFillingTasksYieldToServing has filling tasks add a varying latency to
// serving tasks. No tail latency may exceed its objective for maxOverTime while
// filling tasks work.
func TestFillingTasksYieldToServing(t *testing.T) {
	const (
		objective   = 100 * time.Millisecond
		maxOverTime = 4 * time.Second
	)
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.05})
		w.addEndpoint("e00")
		w.beginTerm()
		w.fillingLatency = 10 * time.Millisecond
		step := func(s workload.Step) workload.Spec {
			s.Size = resource.Vector{MilliCores: 4000, MemoryMB: 100}
			return workload.Spec{Steps: []workload.Step{s}}
		}
		w.submit("b000000000000001", "c2", step(workload.Step{Count: 2, LongRunning: true, LatencyObjective: objective}))
		for i := range 3 {
			w.submit(workload.ID(fmt.Sprintf("b%015x", 16+i)), "c2", step(workload.Step{Count: 2, Estimate: 200 * time.Second, Fills: true}))
		}
		w.after(10*time.Second, func() { w.fillingLatency = 60 * time.Millisecond })
		w.after(25*time.Second, func() { w.fillingLatency = 5 * time.Millisecond })
		overFor, worked := time.Duration(0), 0.0
		const sampleInterval = 100 * time.Millisecond
		for at := sampleInterval; at < 45*time.Second; at += sampleInterval {
			w.after(at, func() {
				e := w.endpoints["e00"]
				works := false
				for _, r := range e.sorted() {
					if r.step.Fills && r.pace > 0 {
						works = true
						worked += r.pace
					}
				}
				if !works || w.tail(e) <= objective {
					overFor = 0
					return
				}
				if overFor += sampleInterval; overFor >= maxOverTime {
					w.violation("HARM", "the tail latency is %s for %s", w.tail(e), overFor)
				}
			})
		}
		w.run(50 * time.Second)
		if worked < 300 {
			t.Errorf("the filling tasks worked at full pace for %.0f tenths of a second together, want 300 or more", worked)
		}
		for _, r := range w.endpoints["e00"].sorted() {
			if r.step.Fills && r.pace < 0.9 {
				t.Errorf("a filling task works at pace %.2f in the end, although it adds little latency", r.pace)
			}
		}
	})
}

func TestNextPace(t *testing.T) {
	for name, c := range map[string]struct {
		pace      int
		worst     float64
		noServing bool
		since     time.Duration
		want      int
	}{
		"no serving tasks":   {pace: 10, noServing: true, want: 100},
		"over":               {pace: 100, worst: 1.5, want: 40},
		"near":               {pace: 40, worst: 0.9, want: 16},
		"paused":             {pace: 6, worst: 2, want: 0},
		"between the bounds": {pace: 40, worst: 0.7, since: time.Minute, want: 40},
		"raised":             {pace: 40, worst: 0.3, since: 2 * time.Second, want: 55},
		"raised too soon":    {pace: 40, worst: 0.3, since: time.Second, want: 40},
		"full":               {pace: 95, worst: 0.3, since: time.Minute, want: 100},
	} {
		t.Run(name, func(t *testing.T) {
			if got := nextPace(c.pace, c.worst, !c.noServing, c.since); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
