package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// newTwoPoolWorld returns a world with endpoints of 10 cores each: busy ones in pool p, to
// which the urgent queue sends its work, and idle ones in pool v, to which only the queue
// vans does.
func newTwoPoolWorld(t *testing.T, busy, idle int) *world {
	w := newWorld(t, 1, faults{})
	w.catalog.Queues = append(w.catalog.Queues, catalog.Queue{Name: "vans", Host: "h", Prefix: "/v/", Pool: "v", Priority: 2, Attempts: 2, Stretch: 4, Objective: 3 * time.Second})
	w.catalog.Pools["v"] = catalog.Pool{Name: "v"}
	for i := range w.catalog.Queues {
		w.catalog.Queues[i].Eligibility = nil
	}
	if err := w.catalog.Index(); err != nil {
		t.Fatal(err)
	}
	w.noteCatalog()
	for i := range busy + idle {
		id := string(rune('a'+i)) + "00"
		w.addEndpoint(id)
		w.endpoints[id].capacity = resource.Vector{MilliCores: 10_000, MemoryMB: 1 << 20}
		if i >= busy {
			w.endpoints[id].pool = "v"
		}
	}
	w.beginTerm()
	w.run(time.Second)
	return w
}

// submitUrgentTraffic submits short urgent jobs of two tasks for the given time from now on.
func (w *world) submitUrgentTraffic(forTime time.Duration) {
	n := 0
	for at := time.Duration(0); at < forTime; at += 100 * time.Millisecond {
		id := workload.ID(fmt.Sprintf("a%015x", 1000+n))
		n++
		w.after(at, func() {
			w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{Count: 2, Size: resource.Vector{MilliCores: 1000, MemoryMB: 64}, Estimate: 400 * time.Millisecond}}})
		})
	}
}

// TestUrgentWorkLeavesOtherPoolsTheirRoom guards against accepted jobs that never start on
// the idle endpoints of a pool because the urgent work of another one has filled that:
// single tasks, a gang and tasks that last.
func TestUrgentWorkLeavesOtherPoolsTheirRoom(t *testing.T) {
	small := workload.Step{Count: 2, Size: resource.Vector{MilliCores: 2000, MemoryMB: 64}, Estimate: time.Second}
	gang, lasting := small, small
	gang.Gang, gang.Count = true, 6
	lasting.LongRunning = true
	for name, step := range map[string]workload.Step{"single tasks": small, "a gang": gang, "tasks that last": lasting} {
		t.Run(name, func(t *testing.T) {
			w := newTwoPoolWorld(t, 8, 2)
			w.submit("a000000000000001", "c2", workload.Spec{Steps: []workload.Step{{Count: 70, Size: resource.Vector{MilliCores: 1000, MemoryMB: 64}, Estimate: time.Second, LongRunning: true}}})
			w.submitUrgentTraffic(20 * time.Second)
			w.run(21 * time.Second)
			w.submit("d000000000000002", "c2", workload.Spec{Steps: []workload.Step{step}})
			w.run(24 * time.Second)
			if !w.jobs["d000000000000002"].begun {
				t.Error("the job hasn't begun after 3 s, with all endpoints of its pool idle")
			}
		})
	}
}

// TestGangLeavesRoomThatItMayNotUse guards against a gang that may not start beside the
// headroom and reserves the free room all the same: what comes after it in the order would
// wait for good, with half of the cores free. Tasks that last have no end to wait for.
func TestGangLeavesRoomThatItMayNotUse(t *testing.T) {
	for name, gangs := range map[string]int{"one gang": 1, "two gangs": 2} {
		t.Run(name, func(t *testing.T) {
			w := newTwoPoolWorld(t, 8, 0)
			lasting := workload.Step{Count: 39, Size: resource.Vector{MilliCores: 1000, MemoryMB: 64}, Estimate: time.Second, LongRunning: true}
			w.submit("a000000000000001", "c2", workload.Spec{Steps: []workload.Step{lasting}})
			w.submitUrgentTraffic(20 * time.Second)
			w.run(22 * time.Second)
			for i := range gangs {
				w.submit(workload.ID(fmt.Sprintf("c%015x", i)), "c2", workload.Spec{Steps: []workload.Step{{
					Count: 37, Size: resource.Vector{MilliCores: 1000, MemoryMB: 64}, Estimate: 8 * time.Second, Gang: true,
				}}})
			}
			small := workload.Spec{Steps: []workload.Step{{Count: 1, Size: resource.Vector{MilliCores: 5000, MemoryMB: 64}, Estimate: time.Second}}}
			for i := range 6 {
				w.after(time.Duration(i)*200*time.Millisecond, func() { w.submit(workload.ID(fmt.Sprintf("b%015x", i)), "c2", small) })
			}
			w.run(39 * time.Second)
			for i := range 6 {
				if id := workload.ID(fmt.Sprintf("b%015x", i)); !w.jobs[id].begun {
					t.Errorf("the small job %s hasn't begun after 16 s, with 39 of 80 cores in use", id)
				}
			}
		})
	}
}

// TestLastingTasksRestartBesideUrgentWork guards against tasks that last and fail while the
// only free room is kept for urgent work: it has no bound in time, and they serve somebody.
func TestLastingTasksRestartBesideUrgentWork(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d tasks", count), func(t *testing.T) {
			w := newTwoPoolWorld(t, 8, 0)
			one := workload.Step{Count: count, Size: resource.Vector{MilliCores: 1000, MemoryMB: 64}, Estimate: time.Second, LongRunning: true}
			w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{one}})
			long := workload.Step{Count: 56, Size: resource.Vector{MilliCores: 1000, MemoryMB: 64}, Estimate: 40 * time.Second}
			w.submit("a000000000000001", "c2", workload.Spec{Steps: []workload.Step{long}})
			w.submitUrgentTraffic(35 * time.Second)
			w.run(18 * time.Second)
			atWork := func() (n int) {
				for _, id := range w.ids() {
					for key := range w.endpoints[id].running {
						if key.Task.Job == "b000000000000001" {
							n++
						}
					}
				}
				return n
			}
			if n := atWork(); n != count {
				t.Fatalf("%d tasks are at work before the failure, want %d", n, count)
			}
			for _, id := range w.ids() {
				for _, r := range w.endpoints[id].sorted() {
					if r.key.Task.Job == "b000000000000001" {
						w.endRun(w.endpoints[id], r, workload.EndFailed)
					}
				}
			}
			w.run(22 * time.Second)
			if n := atWork(); n != count {
				t.Errorf("%d of %d tasks that last are at work 4 s after they failed", n, count)
			}
		})
	}
}

// TestRoomIsKeptForAWhile guards against work that waits for as long as urgent tasks do, in
// a pool that has room for it: a job of single tasks and a gang.
func TestRoomIsKeptForAWhile(t *testing.T) {
	step := workload.Step{Count: 2, Size: resource.Vector{MilliCores: 4000, MemoryMB: 64}, Estimate: time.Second}
	gang := step
	gang.Gang = true
	for id, step := range map[workload.ID]workload.Step{"b000000000000001": step, "c000000000000001": gang} {
		t.Run(string(id), func(t *testing.T) {
			w := newTwoPoolWorld(t, 8, 0)
			long := workload.Step{Count: 56, Size: resource.Vector{MilliCores: 1000, MemoryMB: 64}, Estimate: 80 * time.Second}
			w.submit("a000000000000001", "c2", workload.Spec{Steps: []workload.Step{long}})
			w.submitUrgentTraffic(35 * time.Second)
			w.run(15 * time.Second)
			w.submit(id, "c2", workload.Spec{Steps: []workload.Step{step}})
			w.run(17 * time.Second)
			if w.jobs[id].begun {
				t.Error("the job has begun at once, in room that is kept for urgent work")
			}
			w.run(29 * time.Second)
			if !w.jobs[id].begun {
				t.Error("the job hasn't begun after 14 s, with room for it twice over")
			}
		})
	}
}
