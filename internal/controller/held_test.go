package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestHeldRoomReleasedAfterPlan requires that the room held for a question
// stays held when the answer arrives, and is released by the next plan.
func TestHeldRoomReleasedAfterPlan(t *testing.T) {
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
	if entry == nil || entry.access == nil {
		t.Fatal("there is no step with an eligibility question")
	}
	entry.access.QuestionInFlight, entry.access.HeldTasks = true, map[string]int{"e1": 2}
	entry.askSequence++
	order := &AskOrder{Step: entry.step.Name(), Endpoints: []string{"e1"}, step: entry, sequence: entry.askSequence}
	core.questionsInFlight++
	core.AskAnswered(w.instant(), order, EligibilityAnswer{Valid: time.Second}, nil)
	if len(entry.access.HeldTasks) == 0 {
		t.Error("the room was released when the answer arrived")
	}
	core.Plan(w.instant())
	if len(entry.access.HeldTasks) > 0 && !entry.access.QuestionInFlight {
		t.Error("the room is still held after the plan")
	}
}
