package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestImpossibleScheduleLeavesOthersAlone guards against a schedule that is never
// done and ends every term: its open occurrences made a record that the log doesn't
// take. 4,000 occurrences of ten steps are due, and no endpoint may run their tasks.
func TestImpossibleScheduleLeavesOthersAlone(t *testing.T) {
	w := newWorld(t, 1, faults{})
	for i := range 4 {
		w.addEndpoint(fmt.Sprintf("e%d", i))
	}
	w.beginTerm()
	task := workload.Step{Count: 1, Size: resource.Vector{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}
	impossible := task
	impossible.RequiredLabel = "none has it"
	schedule := workload.Spec{Recurrence: &workload.Recurrence{
		Times: workload.MaxOccurrences, First: simWall.Add(w.now - 1000*time.Second), Interval: 250 * time.Millisecond,
	}}
	for range 10 {
		schedule.Steps = append(schedule.Steps, impossible)
	}
	w.submit("b000000000000001", "c1", schedule)
	w.run(2 * time.Second)
	w.submit("b000000000000002", "c2", workload.Spec{Steps: []workload.Step{task, task}})
	w.run(6 * time.Second)
	w.beginTerm()
	w.submit("b000000000000003", "c2", workload.Spec{Steps: []workload.Step{task, task}})
	w.run(14 * time.Second)
	core := w.current().core
	for _, id := range []workload.ID{"b000000000000002", "b000000000000003"} {
		if state, _ := core.Status(id, "c2"); state != workload.StateCompleted {
			t.Errorf("job %s of another customer is %q", id, state)
		}
	}
	if state, _ := core.Status("b000000000000001", "c1"); state != workload.StateQueued {
		t.Errorf("the schedule is %q", state)
	}
}

// TestWaitingOccurrencesOpen checks that occurrences beyond the bound open once
// others are done, also after a change of the holder.
func TestWaitingOccurrencesOpen(t *testing.T) {
	w := newWorld(t, 1, faults{})
	for i := range 8 {
		w.addEndpoint(fmt.Sprintf("e%d", i))
	}
	w.beginTerm()
	const occurrences = workload.MaxLiveOccurrences + 50
	w.submit("b000000000000001", "c2", workload.Spec{
		Steps:      []workload.Step{{Count: 1, Size: resource.Vector{MilliCores: 100, MemoryMB: 1}, Estimate: 50 * time.Millisecond}},
		Recurrence: &workload.Recurrence{Times: occurrences, First: simWall.Add(w.now - time.Hour), Interval: time.Millisecond},
	})
	job := w.current().core.jobs["b000000000000001"].job
	if live := len(job.Live()); live != workload.MaxLiveOccurrences {
		t.Errorf("%d occurrences are live, want %d", live, workload.MaxLiveOccurrences)
	}
	w.run(200 * time.Millisecond)
	w.beginTerm()
	w.run(30 * time.Second)
	if state, _ := w.current().core.Status("b000000000000001", "c2"); state != workload.StateCompleted {
		t.Errorf("the job is %q", state)
	}
}

// TestBatchIsSplitIntoCalls guards against an append that the log doesn't take, which
// ends every term: twelve of the largest jobs change at once, as after a change of
// the holder.
func TestBatchIsSplitIntoCalls(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	core := w.current().core
	const jobs = 12
	for i := range jobs {
		id := workload.ID(fmt.Sprintf("b0000000000000%02d", i))
		core.Submit(w.instant(), Submission{ID: id, Queue: "bulk", Customer: "c2", Accepted: simWall, Spec: workload.Spec{Steps: []workload.Step{{
			Count: workload.MaxTasks, Size: resource.Vector{MilliCores: 1000}, Checkpoints: true,
		}}}}, func(SubmitResult) {})
		s := core.jobs[id].job.Live()[0].Steps[0]
		for k := range s.Tasks {
			s.FinishRun(k, s.BeginRun(k, "i-0123456789ab", 1_790_000_000_000), workload.EndFailed, "0123456789abcdef", 0, simWall)
			s.BeginRun(k, "i-0123456789ab", 1_790_000_000_000)
		}
		core.batch.addProgress(core.jobs[id])
	}
	batch := core.Seal()
	calls := batch.Calls()
	records := 0
	for _, call := range calls {
		w.store(call)
		records += len(call)
	}
	if records != len(batch.Records) || len(calls) < 2 {
		t.Errorf("%d calls have %d records, the batch has %d", len(calls), records, len(batch.Records))
	}
	next := NewCore(w.params, w.catalog, w.now, w.logger)
	next.Restore(w.instant(), w.entries())
	for id, e := range next.jobs {
		if n := len(e.job.Live()[0].Steps[0].Runs(workload.MaxTasks - 1)); n != 1 {
			t.Errorf("job %s is restored with %d runs of its last task", id, n)
		}
	}
	if n := len(next.jobs); n != jobs {
		t.Errorf("%d jobs are restored, want %d", n, jobs)
	}
}
