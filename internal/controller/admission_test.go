package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/admission"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// bulkJob is a job of tasks of two cores that take two seconds.
func bulkJob(tasks int) workload.Spec {
	return workload.Spec{Steps: []workload.Step{{Count: tasks, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 2 * time.Second}}}
}

// answer is what a submission was answered, and when it came.
type answer struct {
	problem *problem.Problem
	at      time.Duration
}

// flood has a customer submit jobs at a rate for a time, each once, and returns the answers.
func (w *world) flood(customer, prefix string, gap, length time.Duration, spec workload.Spec) map[workload.ID]answer {
	answers := make(map[workload.ID]answer)
	for at := time.Duration(0); at < length; at += gap {
		id := workload.ID(fmt.Sprintf("%s%014x", prefix, int64(at/gap)))
		w.after(at, func() {
			j := w.newJob(customer, spec)
			w.jobs[id] = j
			core, at := w.current().core, w.now
			core.Submit(w.instant(), Submission{ID: id, Queue: w.queueOf(id), Customer: customer, Accepted: w.instant().Wall, Spec: spec}, func(r SubmitResult) {
				answers[id], j.accepted = answer{r.Problem, at}, r.Problem == nil
			})
			w.flush(w.current())
		})
	}
	return answers
}

// newJob returns the simulation's record of a job.
func (w *world) newJob(customer string, spec workload.Spec) *simJob {
	return &simJob{
		spec: spec, customer: customer, submitted: true,
		done: make(map[workload.TaskID]bool), acknowledgedDone: make(map[workload.TaskID]bool),
		restarted: make(map[workload.TaskID]int), failures: make(map[workload.TaskID]int), failedEnds: make(map[workload.TaskID]int),
	}
}

// overloadDoor has a hot customer ask for four times the room of the endpoints, a small one
// for a hundredth of it, with the door on.
func overloadDoor(w *world) (hot, small map[workload.ID]answer) {
	w.params.Features.Admission, w.params.Features.Estimates = true, true
	addEndpoints(w)
	w.beginTerm()
	hot = w.flood("c2", "b1", 100*time.Millisecond, 60*time.Second, bulkJob(26))
	small = w.flood("c1", "b2", time.Second, 60*time.Second, bulkJob(1))
	return hot, small
}

// TestOverloadIsRefusedAtTheDoor checks who is refused in an overload that lasts, that most of
// what was accepted meets its objective, that a refused job is not known, and that jobs are
// accepted once the overload is over. Before it shows that an overload lasts, more is accepted.
func TestOverloadIsRefusedAtTheDoor(t *testing.T) {
	w := newWorld(t, 1, faults{})
	hot, small := overloadDoor(w)
	ended := make(map[workload.ID]time.Duration)
	for second := range 110 {
		w.run(time.Duration(second+1) * time.Second)
		for id := range hot {
			if state, _ := w.current().core.Status(id, "c2"); state == workload.StateCompleted && ended[id] == 0 {
				ended[id] = w.now
			}
		}
	}
	core, refused, inTime, useless := w.current().core, 0, 0, 0
	objective := objectiveOf(core.catalog.Queue("bulk"), 2*time.Second)
	for id, a := range hot {
		p := a.problem
		switch {
		case p != nil && (core.jobs[id] != nil || p.Code != problem.QueueFull || p.RetryAfter <= 0):
			t.Errorf("job %s was refused (%v), and is known: %v", id, p, core.jobs[id] != nil)
		case p != nil:
			refused++
			delete(w.jobs, id)
		case ended[id]-a.at <= objective:
			inTime++
		case ended[id]-a.at > usefulObjectives*objective:
			useless++
		}
	}
	if refused < len(hot)/4 || refused > len(hot)*9/10 {
		t.Errorf("%d of %d jobs of the hot customer were refused", refused, len(hot))
	}
	if accepted := len(hot) - refused; inTime < accepted/2 || useless > accepted/5 {
		t.Errorf("of %d accepted jobs %d met their objectives and %d ended too late to be of use", accepted, inTime, useless)
	}
	for id, a := range small {
		if a.problem != nil {
			t.Errorf("job %s of the small customer was refused: %v", id, a.problem)
		}
	}
	w.requireAllEnded()
	if p := core.checkAdmission(w.instant(), Submission{ID: "b300000000000000", Queue: "bulk", Customer: "c2", Accepted: w.instant().Wall, Spec: bulkJob(26)}); p != nil {
		t.Errorf("refused after the overload: %v", p)
	}
}

// TestNewHolderInOverload begins a term in the middle of an overload. It knows what waits
// from the log, refuses the hot customer again, and keeps what was accepted.
func TestNewHolderInOverload(t *testing.T) {
	w := newWorld(t, 1, faults{})
	hot, small := overloadDoor(w)
	w.run(30 * time.Second)
	w.current().dead = true
	w.beginTerm()
	before := len(hot)
	w.run(110 * time.Second)
	again, silent := 0, 0
	for id := range w.jobs {
		a, answered := hot[id]
		if !answered {
			a, answered = small[id]
		}
		switch {
		case !answered:
			// The old holder died before its answer. The caller knows nothing of the job.
			silent++
			delete(w.jobs, id)
		case a.problem != nil:
			if w.current().core.jobs[id] != nil {
				t.Errorf("job %s was refused and is known", id)
			}
			again++
			delete(w.jobs, id)
		}
	}
	if again == 0 || len(hot) <= before || silent > 3 {
		t.Errorf("%d jobs were refused, %d of %d answered before the change, %d never", again, before, len(hot), silent)
	}
	w.requireAllEnded()
}

// TestDoorAcceptsWhatIsDueLater has an overload in which jobs come that are due later, or
// that last.
func TestDoorAcceptsWhatIsDueLater(t *testing.T) {
	w := newWorld(t, 1, faults{})
	overloadDoor(w)
	w.run(40 * time.Second)
	later, lasting := bulkJob(26), bulkJob(26)
	later.Recurrence = &workload.Recurrence{Times: 1, First: w.instant().Wall.Add(time.Minute), Interval: time.Second}
	lasting.Steps[0].LongRunning = true
	for name, c := range map[string]struct {
		spec    workload.Spec
		refused bool
	}{"now": {bulkJob(26), true}, "due later": {later, false}, "lasting": {lasting, false}} {
		p := w.current().core.checkAdmission(w.instant(), Submission{ID: "b300000000000000", Queue: "bulk", Customer: "c2", Accepted: w.instant().Wall, Spec: c.spec})
		if (p != nil) != c.refused {
			t.Errorf("%s: refused with %v", name, p)
		}
	}
}

// TestRoomForTheJobIsRoom has an overload of wide jobs leave room in which a small one fits.
// Whoever sends it, it is accepted.
func TestRoomForTheJobIsRoom(t *testing.T) {
	w := newWorld(t, 1, faults{})
	overloadDoor(w)
	w.run(40 * time.Second)
	core, refused := w.current().core, make(map[string]bool)
	for name, cores := range map[string]int64{"fits": 1000, "is too large": 33_000} {
		spec := bulkJob(1)
		spec.Steps[0].Size.MilliCores = cores
		if core.hasRoom(w.instant(), "p", &spec) != (name == "fits") {
			t.Fatalf("a job that %s: wrong room", name)
		}
		refused[name] = core.checkAdmission(w.instant(), Submission{ID: "b300000000000000", Queue: "bulk", Customer: "c2", Accepted: w.instant().Wall, Spec: spec}) != nil
	}
	if refused["fits"] || !refused["is too large"] {
		t.Errorf("refused: %v", refused)
	}
}

// TestSlowHolderRefusesWithTheDoorOn has more work wait than the holder can start, although
// there is room: the door sees no pool that is full, and the bound on the backlog holds.
func TestSlowHolderRefusesWithTheDoorOn(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.params.Features.Admission = true
	addEndpoints(w)
	w.beginTerm()
	core := w.current().core
	core.backlog.waiting, core.backlog.rate, core.backlog.byCustomer = 10*minBacklog, 1, map[string]int{"c2": 10 * minBacklog}
	refused := func() bool {
		return core.checkAdmission(w.instant(), Submission{ID: "b300000000000000", Queue: "bulk", Customer: "c2", Accepted: w.instant().Wall, Spec: bulkJob(1)}) != nil
	}
	if !refused() {
		t.Error("a backlog that the holder can't start is accepted without bound")
	}
	core.tellDoor(w.instant(), map[string]*admission.Pool{"p": admission.NewPool(0.9)})
	if !refused() {
		t.Error("a backlog is accepted without bound while a step waits for an answer on idle endpoints")
	}
	core.tellDoor(w.instant(), map[string]*admission.Pool{"other": admission.NewPool(0)})
	if !refused() {
		t.Error("a backlog is accepted without bound while another pool is full")
	}
	core.tellDoor(w.instant(), map[string]*admission.Pool{"p": admission.NewPool(0)})
	if refused() {
		t.Error("the backlog of steps counts although they wait for room")
	}
}

// TestPromisesWithDoorAndEstimates plays changes of the holder, and orders that are lost, with
// more work than there is room for and both parts on.
func TestPromisesWithDoorAndEstimates(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.02, delayed: 0.03, unanswered: 0.02, taskFailure: 0.02, lostAppends: 0.03})
		w.params.Features.Admission, w.params.Features.Estimates = true, true
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(16)
		for i := range 4 {
			w.after(time.Duration(i+1)*4300*time.Millisecond, w.replaceHolder)
		}
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(110 * time.Second)
		w.requireAllEnded()
	})
}
