package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// newPlannedStart returns a planned start.
func newPlannedStart(step *workload.StepRun, task, priority int) *plannedStart {
	return &plannedStart{run: &fleet.Run{Key: fleet.Key{Task: step.ID(task), Number: 1}, Step: step, Priority: priority}}
}

func newStepRun(id workload.ID, gang bool) *workload.StepRun {
	job := workload.NewJob(id, "q", "c", simWall, workload.Spec{Steps: []workload.Step{{Count: 4, Gang: gang}}})
	return job.OpenNext().Steps[0]
}

// TestWindowFollowsStartLatency requires that the window grows to its maximum
// while starts are answered soon, and shrinks to its minimum while they take
// too long.
func TestWindowFollowsStartLatency(t *testing.T) {
	answer := func(f *flowControl, took time.Duration, n int) {
		now := simStart
		for range n {
			now += 10 * time.Millisecond
			f.inFlight = int(f.window)
			f.recordLatency(now, took)
		}
	}
	f := newFlowControl()
	answer(&f, 30*time.Millisecond, 2000)
	if f.window != maxWindow || f.reportStretch() != 1 {
		t.Errorf("after short answers: window %v, reports %v times rarer", f.window, f.reportStretch())
	}
	answer(&f, 400*time.Millisecond, 2000)
	if f.window != minWindow || f.reportStretch() != maxReportStretch {
		t.Errorf("after long answers: window %v, reports %v times rarer", f.window, f.reportStretch())
	}
	// A window that is not full gives no reason to enlarge it.
	f = newFlowControl()
	for range 2000 {
		f.inFlight = 1
		f.recordLatency(simStart, 10*time.Millisecond)
	}
	if f.window != initialWindow {
		t.Errorf("the window grew to %v without being full", f.window)
	}
}

// TestGangSentAsWhole fills the window with starts waiting: a gang must be sent
// as a whole or not at all, and urgent starts come first.
func TestGangSentAsWhole(t *testing.T) {
	gang, bulk, urgent := newStepRun("c000000000000001", true), newStepRun("b000000000000001", false), newStepRun("a000000000000001", false)
	f := newFlowControl()
	f.planned = 7
	f.enqueue([]*plannedStart{newPlannedStart(bulk, 0, 2), newPlannedStart(gang, 0, 1), newPlannedStart(gang, 1, 1), newPlannedStart(gang, 2, 1), newPlannedStart(gang, 3, 1), newPlannedStart(bulk, 1, 2), newPlannedStart(urgent, 0, 0)})
	if f.planned != 0 || f.planCapacity() != maxPlannedStarts-7 {
		t.Errorf("%d starts without a record, %d more may be planned", f.planned, f.planCapacity())
	}
	f.inFlight = int(f.window)
	if got := f.nextGroup(); got != nil {
		t.Errorf("%d starts are sent although the window is full", len(got))
	}
	f.inFlight--
	var sent []string
	for group := f.nextGroup(); group != nil; group = f.nextGroup() {
		sent = append(sent, fmt.Sprintf("%s %d", group[0].run.Task.Job, len(group)))
	}
	want := "[a000000000000001 1 b000000000000001 1 c000000000000001 4 b000000000000001 1]"
	if fmt.Sprint(sent) != want {
		t.Errorf("sent %v, want %s", sent, want)
	}
}

// TestImmediateHoldsAreBounded begins a term with many endpoints. They must not
// all be asked at once, but all soon, those with runs of earlier terms first.
func TestImmediateHoldsAreBounded(t *testing.T) {
	w := newWorld(t, 1, faults{})
	const endpoints = 300
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("e%03d", i))
	}
	w.beginTerm()
	w.run(time.Second)
	w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{{Count: 60, Size: resource.Vector{MilliCores: 20_000}, Estimate: 20 * time.Second}}})
	w.run(2 * time.Second)
	core := NewCore(w.params, w.catalog, w.now, w.logger)
	for _, id := range w.ids() {
		core.EndpointListed(w.instant(), w.endpoints[id].registration())
	}
	core.Restore(w.instant(), w.entries())
	core.Tick(w.instant())
	orders := core.TakeOrders()
	if len(orders) != maxImmediateHolds {
		t.Errorf("%d endpoints are asked at once, want %d", len(orders), maxImmediateHolds)
	}
	for _, o := range orders {
		if e := core.fleet.Endpoint(o.(*HoldOrder).Target.ID); len(e.Runs()) == 0 {
			t.Fatalf("%s is asked first and has no runs", e.ID)
		}
	}
	w.beginTerm()
	w.run(3 * time.Second)
	for _, e := range w.current().core.fleet.Endpoints() {
		if !e.Adopted {
			t.Fatalf("%s is not adopted within a second", e.ID)
		}
	}
}

// TestImmediateHoldsReachAllEndpoints has more endpoints than immediate holds,
// none of which answers. The retries must not keep the other endpoints from
// being asked.
func TestImmediateHoldsReachAllEndpoints(t *testing.T) {
	w := newWorld(t, 1, faults{})
	const endpoints = 300
	core := NewCore(w.params, w.catalog, w.now, w.logger)
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("e%03d", i))
		core.EndpointListed(w.instant(), w.endpoints[fmt.Sprintf("e%03d", i)].registration())
	}
	asked := make(map[string]bool)
	for range endpoints/maxImmediateHolds + 1 {
		core.Tick(w.instant())
		for _, o := range core.TakeOrders() {
			hold := o.(*HoldOrder)
			asked[hold.Target.ID] = true
			core.HoldAnswered(w.instant(), hold, Report{}, Outcome{Fate: FateUnanswered})
		}
		w.now += 2 * holdRetry
	}
	if len(asked) < endpoints {
		t.Errorf("%d of %d endpoints were asked", len(asked), endpoints)
	}
}

// TestLargeGangStartsAfterOneRoundOfQuestions starts a gang that needs half of a fleet of
// which two thirds are eligible: more hosts than one question may name.
func TestLargeGangStartsAfterOneRoundOfQuestions(t *testing.T) {
	w := newWorld(t, 1, faults{})
	for i := range 300 {
		w.addEndpoint(fmt.Sprintf("e%03d", i))
	}
	w.beginTerm()
	w.current().core.SetEligibilityInstances(40)
	w.run(time.Second)
	const id, tasks = workload.ID("c000000000000001"), 150
	w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{
		Count: tasks, Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}, Estimate: 5 * time.Second, Gang: true, MaxPerEndpoint: 1,
	}}})
	w.run(2 * time.Second)
	running := 0
	for _, e := range w.endpoints {
		running += len(e.running)
	}
	if running != tasks {
		t.Errorf("a second after its submission %d of %d members run", running, tasks)
	}
}
