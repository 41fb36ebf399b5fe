package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestHeldRoomOutlastsTheAnswer shows that room which is held for a question is
// still held when its answer has come, until the next plan has been made.
func TestHeldRoomOutlastsTheAnswer(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.begin()
	w.submit("c000000000000001", "c2", workload.Spec{Steps: []workload.Step{{
		Count: 2, Size: resource.Vector{MilliCores: 4000, MemoryMB: 100}, Estimate: time.Second, Gang: true,
	}}})
	core := w.current().core
	var entry *stepEntry
	for _, e := range core.steps {
		entry = e
	}
	if entry == nil || entry.access == nil {
		t.Fatal("no step with a question is there")
	}
	entry.access.QuestionInFlight, entry.access.HeldTasks = true, map[string]int{"e1": 2}
	entry.asked++
	order := &AskOrder{Step: entry.step.Name(), Endpoints: []string{"e1"}, step: entry, sequence: entry.asked}
	core.asking++
	core.AskAnswered(w.instant(), order, EligibilityAnswer{Valid: time.Second}, nil)
	if len(entry.access.HeldTasks) == 0 {
		t.Error("the room was given up with the answer")
	}
	core.Plan(w.instant())
	if len(entry.access.HeldTasks) > 0 && !entry.access.QuestionInFlight {
		t.Error("the room is held after the plan")
	}
}
