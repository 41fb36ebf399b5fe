package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// submit submits a job to the newest term and retries until it is accepted.
func (w *world) submit(id workload.ID, customer string, spec workload.Spec) {
	j := w.jobs[id]
	if j == nil {
		j = &simJob{spec: spec, customer: customer, submitted: true, done: make(map[workload.TaskID]bool), acknowledgedDone: make(map[workload.TaskID]bool), restarted: make(map[workload.TaskID]int), failures: make(map[workload.TaskID]int), failedEnds: make(map[workload.TaskID]int)}
		w.jobs[id] = j
	}
	if t := w.current(); t != nil && w.now >= t.suspendedUntil {
		t.core.Submit(w.instant(), Submission{ID: id, Queue: w.queueOf(id), Customer: customer, Accepted: simWall.Add(w.now), Spec: spec}, func(r SubmitResult) {
			if r.Problem == nil {
				j.accepted = true
			}
		})
		w.flush(t)
	}
	w.after(time.Second, func() {
		if !j.accepted {
			w.submit(id, customer, spec)
		}
	})
}

func (w *world) cancel(id workload.ID) {
	t := w.current()
	if t == nil || w.now < t.suspendedUntil {
		w.after(200*time.Millisecond, func() { w.cancel(id) })
		return
	}
	t.core.Cancel(w.instant(), id, w.jobs[id].customer, func(found bool) {
		if found && w.jobs[id].cancelled == 0 {
			w.jobs[id].cancelled = w.now
		}
	})
	w.flush(t)
}

// randomSpec returns a random job for a queue, given by the first letter of the
// job's id.
func (w *world) randomSpec(queue byte) workload.Spec {
	step := func(count int, cores int64, estimate time.Duration) workload.Step {
		return workload.Step{Count: count, Size: resource.Vector{MilliCores: cores * 1000, MemoryMB: 1000}, Estimate: estimate}
	}
	spec := workload.Spec{Payload: fmt.Sprint(w.rand.Int64())}
	switch queue {
	case 'a':
		spec.Steps = []workload.Step{step(1+w.rand.IntN(3), 1+w.rand.Int64N(5), 600*time.Millisecond)}
	case 'b':
		spec.Steps = []workload.Step{step(1+w.rand.IntN(12), 1+w.rand.Int64N(4), 2*time.Second)}
		if w.chance(0.5) {
			second := step(1+w.rand.IntN(4), 2, time.Second)
			second.After = []int{0}
			spec.Steps = append(spec.Steps, second)
		}
		if w.chance(0.2) {
			spec.Steps[0].MaxPerEndpoint = 2
		}
	default:
		s := step(2+w.rand.IntN(4), 6, 3*time.Second)
		s.Gang = true
		spec.Steps = []workload.Step{s}
	}
	if w.chance(0.1) {
		spec.Recurrence = &workload.Recurrence{Times: 3, First: simWall.Add(w.now), Interval: 2 * time.Second}
	}
	return spec
}

// submitTraffic submits random jobs, perSecond a second, for 20 s of simulated
// time and cancels some of them.
func (w *world) submitTraffic(perSecond float64) {
	const length = 20 * time.Second
	n := 0
	gap := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < length; at += gap {
		w.after(at, func() {
			queue := "aaaaaabbc"[w.rand.IntN(9)]
			id := workload.ID(fmt.Sprintf("%c%015x", queue, n))
			n++
			w.submit(id, []string{"c1", "c2"}[w.rand.IntN(2)], w.randomSpec(queue))
			if w.chance(0.05) {
				w.after(w.between(10*time.Millisecond, 3*time.Second), func() { w.cancel(id) })
			}
		})
	}
}

// requireAllEnded requires that the newest term knows all jobs as ended.
func (w *world) requireAllEnded() {
	t := w.current()
	if t == nil {
		w.t.Fatal("no term runs")
	}
	open := 0
	for id, j := range w.jobs {
		state, ok := t.core.Status(id, j.customer)
		if !ok {
			w.violation("LOST", "job %s is not known", id)
			continue
		}
		if !state.Final() {
			open++
			if open <= 3 {
				w.violation("LOST", "job %s is %s", id, state)
			}
			continue
		}
		if state == workload.StateCompleted {
			w.checkCompleted(id, j)
		}
	}
	if open > 0 {
		w.t.Errorf("%d of %d jobs have not ended: %+v", open, len(w.jobs), t.core.Stats())
	}
}

// checkCompleted requires that all tasks of a completed job are done.
func (w *world) checkCompleted(id workload.ID, j *simJob) {
	for k := range j.spec.Occurrences() {
		for s := range j.spec.Steps {
			for i := range j.spec.Steps[s].Count {
				task := workload.TaskID{Job: id, Occurrence: k, Step: s, Index: i}
				if !j.done[task] {
					w.violation("MIXED", "job %s is completed and %s is not done", id, task)
				}
			}
		}
	}
}

// worlds is the number of simulated worlds per test.
var worlds = flag.Uint64("worlds", 12, "number of simulated worlds, each with its own seed, per test")

// forEachSeed runs f in a subtest for each seed.
func forEachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= *worlds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { f(t, seed) })
	}
}

func addEndpoints(w *world) {
	const n = 8
	for i := range n {
		w.addEndpoint(fmt.Sprintf("e%02d", i))
	}
}

func TestNoFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(8)
		w.run(60 * time.Second)
		w.requireAllEnded()
		if s := w.current().core.Stats(); s.Doubtful+s.Lapsed > 0 || w.refused > 0 {
			t.Errorf("unanswered or lapsed starts without faults: %+v, %d starts refused", s, w.refused)
		}
	})
}

func TestUnansweredOrders(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.02, unanswered: 0.03, delayed: 0.05, taskFailure: 0.05, lostAppends: 0.05})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(90 * time.Second)
		w.requireAllEnded()
	})
}

func TestCrashingEndpoints(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{delayed: 0.03, unanswered: 0.02, taskFailure: 0.02})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		for i := range 12 {
			w.after(time.Duration(i)*1700*time.Millisecond, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				if e.up {
					w.crash(e, w.between(time.Millisecond, 8*time.Second))
				}
			})
		}
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(100 * time.Second)
		w.requireAllEnded()
	})
}

func TestDisconnectedEndpoints(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{delayed: 0.02})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		for i := range 8 {
			w.after(time.Duration(i)*2500*time.Millisecond, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				e.disconnected = true
				w.after(w.between(time.Second, 12*time.Second), func() { e.disconnected = false })
			})
		}
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(110 * time.Second)
		w.requireAllEnded()
	})
}

// replaceHolder begins a new term after a short time. The old daemon is killed,
// is suspended and resumes later, or continues to run.
func (w *world) replaceHolder() {
	t := w.current()
	if t != nil {
		switch w.rand.IntN(4) {
		case 0:
			// The daemon is killed.
			t.dead = true
		case 1:
			// The daemon is suspended and resumes after its term was
			// superseded.
			t.suspendedUntil = w.now + w.between(time.Second, 8*time.Second)
		default:
			// The daemon keeps running until it learns of the new term.
		}
	}
	w.after(w.between(50*time.Millisecond, 1500*time.Millisecond), func() { w.beginTerm() })
}

func TestHolderChanges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { playHolderChanges(t, seed, 500) })
}

// TestHolderChangesWithPartialReports is TestHolderChanges with reports that list
// two ends at most.
func TestHolderChangesWithPartialReports(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { playHolderChanges(t, seed, 2) })
}

// playHolderChanges changes the holder while endpoints crash and are cut off.
// listedEnds is how many ends a report lists.
func playHolderChanges(t *testing.T, seed uint64, listedEnds int) {
	w := newWorld(t, seed, faults{delayed: 0.03, unanswered: 0.02, taskFailure: 0.02, lostAppends: 0.03})
	w.listedEnds = listedEnds
	addEndpoints(w)
	w.beginTerm()
	w.submitTraffic(6)
	for i := range 8 {
		w.after(time.Duration(i+1)*2300*time.Millisecond, w.replaceHolder)
	}
	for i := range 5 {
		w.after(time.Duration(i)*4*time.Second, func() {
			e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
			switch {
			case !e.up:
			case w.chance(0.5):
				w.crash(e, w.between(300*time.Millisecond, 6*time.Second))
			default:
				e.disconnected = true
				w.after(w.between(time.Second, 9*time.Second), func() { e.disconnected = false })
			}
		})
	}
	w.after(40*time.Second, func() { w.faults = faults{} })
	w.run(110 * time.Second)
	w.requireAllEnded()
}

func TestLogOutage(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{delayed: 0.01})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		w.after(5*time.Second, func() { w.logDown = true })
		w.after(w.between(8*time.Second, 16*time.Second), func() { w.logDown = false })
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(100 * time.Second)
		w.requireAllEnded()
	})
}

// TestPermanentlyLostEndpoint requires that the tasks of an endpoint that never
// answers again run elsewhere.
func TestPermanentlyLostEndpoint(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		playLostEndpoint(t, seed, 15*time.Second, func(*world) {})
	})
}

// TestLostEndpointWhoseAddressIsTaken loses an endpoint with runs. Another one that gets
// its address refuses the orders for it, with readings of its own clock. The tasks must
// run elsewhere.
func TestLostEndpointWhoseAddressIsTaken(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		playLostEndpoint(t, seed, 16*time.Second, func(w *world) {
			// Sooner than the endpoint is noticed to be silent, or later.
			w.after(w.between(0, 3*time.Second), func() { w.endpoints["e03"].addressTaken = true })
		})
	})
}

// playLostEndpoint loses an endpoint for good after 10 s. It leaves the registry at the
// given time, and with every second seed the holder changes before.
func playLostEndpoint(t *testing.T, seed uint64, unlistedAt time.Duration, lost func(*world)) {
	w := newWorld(t, seed, faults{})
	addEndpoints(w)
	w.beginTerm()
	w.submitTraffic(6)
	w.after(10*time.Second, func() {
		w.endpoints["e03"].up = false
		w.endpoints["e03"].running = make(map[fleet.Key]*simRun)
		lost(w)
	})
	w.after(unlistedAt, func() { w.current().core.EndpointUnlisted("e03") })
	if seed%2 == 0 {
		w.after(12*time.Second, func() { w.beginTerm() })
	}
	w.run(60 * time.Second)
	w.requireAllEnded()
}

// TestQuickRestarts restarts endpoints within milliseconds, so that orders for
// the old incarnation reach the new one.
func TestQuickRestarts(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{unanswered: 0.02})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		for i := range 40 {
			w.after(time.Duration(i)*500*time.Millisecond, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				if e.up {
					w.crash(e, w.between(0, 40*time.Millisecond))
				}
			})
		}
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(100 * time.Second)
		w.requireAllEnded()
	})
}

// TestShortGangs runs gangs that end before a start times out, while answers
// are lost: a retried start may reach an endpoint where the run has ended.
func TestShortGangs(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.05, unanswered: 0.4, reportDelay: time.Second})
		addEndpoints(w)
		w.beginTerm()
		for i := range 60 {
			id := workload.ID(fmt.Sprintf("c%015x", i))
			w.after(time.Duration(i)*150*time.Millisecond, func() {
				w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{
					Count: 2 + w.rand.IntN(3), Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 120 * time.Millisecond, Gang: true,
				}}})
			})
		}
		w.after(30*time.Second, func() { w.faults = faults{} })
		w.run(80 * time.Second)
		w.requireAllEnded()
	})
}
