package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestCancelAcknowledgedBeforeStored has a job cancelled while an append is
// under way that holds its progress from before. Until the cancellation is
// stored, the job is neither shown as cancelled nor a repeated cancel confirmed:
// the next holder would not know of it.
func TestCancelAcknowledgedBeforeStored(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.begin()
	const id, customer = workload.ID("b000000000000001"), "c2"
	core := w.current().core
	spec := workload.Spec{Steps: []workload.Step{{Count: 1, Size: resource.Vector{MilliCores: 1000}, Estimate: time.Second}}}
	core.Submit(w.instant(), Submission{ID: id, Queue: "bulk", Customer: customer, Accepted: simWall, Spec: spec}, func(SubmitResult) {})
	core.Committed(w.instant(), core.Seal())
	core.batch.touch(core.jobs[id])
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
