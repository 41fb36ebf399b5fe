package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestCancelAcknowledgedAfterCommit cancels a job while an append with the
// job's earlier progress is in flight. Until the cancellation is in the log,
// the job must not be shown as cancelled and no cancel, repeated or not, may be
// confirmed: the next holder would not know of it.
func TestCancelAcknowledgedAfterCommit(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	const id, customer = workload.ID("b000000000000001"), "c2"
	core := w.current().core
	spec := workload.Spec{Steps: []workload.Step{{Count: 1, Size: resource.Vector{MilliCores: 1000}, Estimate: time.Second}}}
	core.Submit(w.instant(), Submission{ID: id, Queue: "bulk", Customer: customer, Accepted: simWall, Spec: spec}, func(SubmitResult) {})
	core.Committed(w.instant(), core.Seal())
	core.batch.addProgress(core.jobs[id])
	before := core.Seal()
	confirmed := 0
	cancel := func() { core.Cancel(w.instant(), id, customer, func(bool) { confirmed++ }) }
	cancel()
	core.Committed(w.instant(), before)
	cancel()
	if state, _ := core.Status(id, customer); state.Final() || confirmed > 0 {
		t.Errorf("before it is stored: shown as %s, %d of 2 cancels confirmed", state, confirmed)
	}
	core.Committed(w.instant(), core.Seal())
	if state, _ := core.Status(id, customer); state != workload.StateCancelled || confirmed != 2 {
		t.Errorf("once it is stored: shown as %s, %d of 2 cancels confirmed", state, confirmed)
	}
}

// TestUsageCountedAfterHolderChange cancels a job that uses its customer's
// whole quota and changes the holder before the tasks have stopped. The tasks
// must still count towards the quota, or other tasks of the customer would
// start beside them.
func TestUsageCountedAfterHolderChange(t *testing.T) {
	w := newWorld(t, 1, faults{})
	addEndpoints(w)
	w.beginTerm()
	const big, next, customer = workload.ID("b000000000000001"), workload.ID("b000000000000002"), "c1"
	job := func(count int) workload.Spec {
		return workload.Spec{Steps: []workload.Step{{Count: count, Size: resource.Vector{MilliCores: 5000, MemoryMB: 100}, Estimate: 20 * time.Second}}}
	}
	w.submit(big, customer, job(20))
	w.run(time.Second)
	w.cancel(big)
	w.run(time.Second + 40*time.Millisecond)
	if w.jobs[big].cancelled == 0 {
		t.Fatal("the cancellation is not confirmed yet")
	}
	w.beginTerm()
	running := resource.Vector{}
	for _, e := range w.endpoints {
		for _, r := range e.running {
			running = running.Add(r.step.Size)
		}
	}
	if got := w.current().core.fleet.Usage(customer); running.MilliCores == 0 || got.MilliCores < running.MilliCores {
		t.Errorf("the next holder counts a usage of %v for the customer, tasks of %v run", got, running)
	}
	w.submit(next, customer, job(8))
	w.run(3 * time.Second)
	core := w.current().core
	if len(core.fleet.RunsOf(workload.TaskID{Job: big})) > 0 || core.jobs[big].job.HasUnfinishedRuns() {
		t.Error("the core still has runs of the cancelled job")
	}
	if _, kept := w.records[admissionPrefix+string(big)]; kept {
		t.Error("the admission of the cancelled job is still in the log")
	}
	if state, _ := core.Status(big, customer); state != workload.StateCancelled {
		t.Errorf("the cancelled job is %s", state)
	}
}

// TestEndIsAcknowledgedOnceStored ends tasks while the log is away, some of them by a cancel,
// and changes the holder. An endpoint must keep each end until the log holds it, and no task
// that is done may start again.
func TestEndIsAcknowledgedOnceStored(t *testing.T) {
	w := newWorld(t, 1, faults{})
	addEndpoints(w)
	w.beginTerm()
	const done, cancelled = workload.ID("b000000000000001"), workload.ID("b000000000000002")
	for _, id := range []workload.ID{done, cancelled} {
		w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{Count: 4, Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}}})
	}
	w.run(500 * time.Millisecond)
	w.logDown = true
	w.cancel(cancelled)
	w.run(4 * time.Second)
	kept := 0
	for _, e := range w.endpoints {
		kept += len(e.ended)
	}
	if kept != 8 {
		t.Errorf("the endpoints keep %d of 8 ends that are not stored", kept)
	}
	w.logDown = false
	w.beginTerm()
	w.run(20 * time.Second)
	core := w.current().core
	if state, _ := core.Status(done, "c2"); state != workload.StateCompleted {
		t.Errorf("the job is %s", state)
	}
	for _, e := range w.endpoints {
		if len(e.ended) > 0 {
			t.Errorf("%s still keeps %d ends", e.id, len(e.ended))
		}
	}
}

// TestEndsBeyondOneReport guards against tasks that are started again although they
// are done, because a report that lists only a part of the ends is taken for the
// whole. The holder is away while more tasks end than a report lists.
func TestEndsBeyondOneReport(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.listedEnds = 5
	addEndpoints(w)
	w.beginTerm()
	const id, tasks = workload.ID("b000000000000001"), 200
	w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{Count: tasks, Size: resource.Vector{MilliCores: 100, MemoryMB: 10}, Estimate: time.Second}}})
	w.run(500 * time.Millisecond)
	w.terms[len(w.terms)-1].dead = true
	w.run(3 * time.Second)
	most := 0
	for _, e := range w.endpoints {
		most = max(most, len(e.ended))
	}
	if most <= 2*w.listedEnds {
		t.Fatalf("an endpoint has %d ends, too few for this test", most)
	}
	w.beginTerm()
	w.run(20 * time.Second)
	core := w.current().core
	if state, _ := core.Status(id, "c2"); state != workload.StateCompleted {
		t.Errorf("the job is %s", state)
	}
	if core.stats.Starts > 0 {
		t.Errorf("%d tasks that were done were started again", core.stats.Starts)
	}
}
