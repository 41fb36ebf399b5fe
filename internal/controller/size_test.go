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
