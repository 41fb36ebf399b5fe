package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// BenchmarkCoreSecond measures a second of a cell of 540 endpoints: 120 urgent jobs of three
// tasks, 11 of fifteen and 7 gangs of twenty. The time is that of the core and of its
// simulated endpoints.
func BenchmarkCoreSecond(b *testing.B) {
	w := newWorld(b, 1, faults{})
	for i := range 540 {
		w.addEndpoint(fmt.Sprintf("e%03d", i))
	}
	w.beginTerm()
	w.current().core.SetEligibilityInstances(96)
	w.run(time.Second)
	submitted := 0
	submit := func(queue byte, tasks int, cores int64, estimate time.Duration, gang bool) {
		submitted++
		w.submit(workload.ID(fmt.Sprintf("%c%015x", queue, submitted)), "c2", workload.Spec{Steps: []workload.Step{{
			Count: tasks, Size: resource.Vector{MilliCores: 1000 * cores, MemoryMB: 100}, Estimate: estimate, Gang: gang,
		}}})
	}
	for s := 1; s <= b.N; s++ {
		for i := range 120 {
			at := time.Duration(i) * time.Second / 120
			w.after(at, func() { submit('a', 3, 8, 640*time.Millisecond, false) })
			if i%11 == 0 {
				w.after(at, func() { submit('b', 15, 5, 3400*time.Millisecond, false) })
			}
			if i%17 == 0 {
				w.after(at, func() { submit('c', 20, 8, 5*time.Second, true) })
			}
		}
		w.run(time.Second + time.Duration(s)*time.Second)
	}
	b.ReportMetric(float64(w.current().core.Stats().Plans)/float64(b.N), "plans/s")
}
