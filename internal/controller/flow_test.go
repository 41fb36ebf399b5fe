package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// startOf returns a start that was decided on.
func startOf(step *workload.StepRun, task, priority int) *plannedStart {
	return &plannedStart{run: &fleet.Run{Key: fleet.Key{Task: step.ID(task), Number: 1}, Step: step, Priority: priority}}
}

func stepOf(id workload.ID, gang bool) *workload.StepRun {
	job := workload.NewJob(id, "q", "c", simWall, workload.Spec{Steps: []workload.Step{{Count: 4, Gang: gang}}})
	return job.OpenNext().Steps[0]
}

// TestWindowFollowsAnswers has a window grow while starts are answered soon, and
// shrink to its least while they take too long.
func TestWindowFollowsAnswers(t *testing.T) {
	answer := func(f *flow, took time.Duration, n int) {
		now := simStart
		for range n {
			now += 10 * time.Millisecond
			f.starts = int(f.window)
			f.answered(now, took)
		}
	}
	f := newFlow()
	answer(&f, 30*time.Millisecond, 2000)
	if f.window != mostWindow || f.stretch() != 1 {
		t.Errorf("after short answers: window %v, reports %v times rarer", f.window, f.stretch())
	}
	answer(&f, 400*time.Millisecond, 2000)
	if f.window != leastWindow || f.stretch() != mostStretch {
		t.Errorf("after long answers: window %v, reports %v times rarer", f.window, f.stretch())
	}
	// A window that is not used says nothing about a larger one.
	f = newFlow()
	for range 2000 {
		f.starts = 1
		f.answered(simStart, 10*time.Millisecond)
	}
	if f.window != firstWindow {
		t.Errorf("unused, the window grew to %v", f.window)
	}
}

// TestGangSentInPart has starts wait for a full window: a gang goes as a whole
// or not at all, and urgent starts go first.
func TestGangSentInPart(t *testing.T) {
	gang, bulk, urgent := stepOf("c000000000000001", true), stepOf("b000000000000001", false), stepOf("a000000000000001", false)
	f := newFlow()
	f.planned = 7
	f.ready([]*plannedStart{startOf(bulk, 0, 2), startOf(gang, 0, 1), startOf(gang, 1, 1), startOf(gang, 2, 1), startOf(gang, 3, 1), startOf(bulk, 1, 2), startOf(urgent, 0, 0)})
	if f.planned != 0 || f.mayPlan() != mostPlanned-7 {
		t.Errorf("%d starts without a record, %d more may be planned", f.planned, f.mayPlan())
	}
	f.starts = int(f.window)
	if got := f.next(); got != nil {
		t.Errorf("%d starts go although the window is full", len(got))
	}
	f.starts--
	var sent []string
	for group := f.next(); group != nil; group = f.next() {
		sent = append(sent, fmt.Sprintf("%s %d", group[0].run.Task.Job, len(group)))
	}
	want := "[a000000000000001 1 b000000000000001 1 c000000000000001 4 b000000000000001 1]"
	if fmt.Sprint(sent) != want {
		t.Errorf("sent %v, want %s", sent, want)
	}
}

// TestFirstLooksAtOnce begins a term with many endpoints: not all of them are
// asked at once, all soon, and those with runs of earlier terms first.
func TestFirstLooksAtOnce(t *testing.T) {
	w := newWorld(t, 1, faults{})
	const endpoints = 300
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("e%03d", i))
	}
	w.begin()
	w.run(time.Second)
	w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{{Count: 60, Size: resource.Vector{MilliCores: 20_000}, Estimate: 20 * time.Second}}})
	w.run(2 * time.Second)
	core := NewCore(w.bounds, w.catalog, w.now, w.logger)
	for _, id := range w.ids() {
		core.EndpointListed(w.instant(), w.endpoints[id].registration())
	}
	core.Restore(w.instant(), w.entries())
	core.Tick(w.instant())
	orders := core.TakeOrders()
	if len(orders) != mostLooks {
		t.Errorf("%d endpoints are asked at once, want %d", len(orders), mostLooks)
	}
	for _, o := range orders {
		if e := core.fleet.Endpoint(o.(*HoldOrder).Target.ID); len(e.Runs()) == 0 {
			t.Fatalf("%s is asked first and has no runs", e.ID)
		}
	}
	w.begin()
	w.run(3 * time.Second)
	for _, e := range w.current().core.fleet.Endpoints() {
		if !e.Adopted {
			t.Fatalf("%s is not adopted within a second", e.ID)
		}
	}
}

// TestLooksStarveEndpoints has more endpoints to be asked than looks, and none of
// them answers: each is asked again and again, and all have their turn.
func TestLooksStarveEndpoints(t *testing.T) {
	w := newWorld(t, 1, faults{})
	const endpoints = 300
	core := NewCore(w.bounds, w.catalog, w.now, w.logger)
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("e%03d", i))
		core.EndpointListed(w.instant(), w.endpoints[fmt.Sprintf("e%03d", i)].registration())
	}
	asked := make(map[string]bool)
	for range endpoints/mostLooks + 1 {
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
