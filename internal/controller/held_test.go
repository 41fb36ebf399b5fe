package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestHeldCapacityReleasedAfterPlan requires that the capacity held for a
// question stays held when the answer arrives, and is released by the next plan.
func TestHeldCapacityReleasedAfterPlan(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	w.submit("c000000000000001", "c2", workload.Spec{Steps: []workload.Step{{
		Count: 2, Size: resource.Vector{MilliCores: 4000, MemoryMB: 100}, Estimate: time.Second, Gang: true,
	}}})
	core := w.current().core
	var entry *stepEntry
	for _, e := range core.steps {
		entry = e
	}
	if entry == nil || entry.eligibility == nil {
		t.Fatal("there is no step with an eligibility question")
	}
	entry.eligibility.QuestionInFlight, entry.eligibility.HeldTasks = true, map[string]int{"e1": 2}
	entry.askSequence++
	entry.unanswered++
	order := &AskOrder{Step: entry.step.Name(), Endpoints: []string{"e1"}, step: entry, sequence: entry.askSequence}
	core.questionsInFlight++
	core.AskAnswered(w.instant(), order, EligibilityAnswer{Valid: time.Second}, nil)
	if len(entry.eligibility.HeldTasks) == 0 {
		t.Error("the capacity was released when the answer arrived")
	}
	core.Plan(w.instant())
	if len(entry.eligibility.HeldTasks) > 0 && !entry.eligibility.QuestionInFlight {
		t.Error("the capacity is still held after the plan")
	}
}
