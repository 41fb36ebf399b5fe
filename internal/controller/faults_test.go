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

// submit hands a job to the newest term, again and again until it is accepted.
func (w *world) submit(id workload.ID, customer string, spec workload.Spec) {
	j := w.jobs[id]
	if j == nil {
		j = &simJob{spec: spec, customer: customer, submitted: true, done: make(map[workload.TaskID]bool), notedEnd: make(map[workload.TaskID]bool), restarted: make(map[workload.TaskID]int), failures: make(map[workload.TaskID]int)}
		w.jobs[id] = j
	}
	if t := w.current(); t != nil && w.now >= t.frozen {
		t.core.Submit(w.instant(), Submission{ID: id, Queue: w.queueOf(id), Customer: customer, Accepted: simWall.Add(w.now), Spec: spec}, func(r SubmitResult) {
			if r.Problem == nil {
				j.accepted = true
			}
		})
		w.pump(t)
	}
	w.at(time.Second, func() {
		if !j.accepted {
			w.submit(id, customer, spec)
		}
	})
}

func (w *world) cancel(id workload.ID) {
	t := w.current()
	if t == nil || w.now < t.frozen {
		w.at(200*time.Millisecond, func() { w.cancel(id) })
		return
	}
	t.core.Cancel(w.instant(), id, w.jobs[id].customer, func(found bool) {
		if found && w.jobs[id].cancelled == 0 {
			w.jobs[id].cancelled = w.now
		}
	})
	w.pump(t)
}

// drawSpec draws a job of a queue.
func (w *world) drawSpec(queue byte) workload.Spec {
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

// traffic submits jobs for a while.
func (w *world) traffic(perSecond float64) {
	const length = 20 * time.Second
	n := 0
	gap := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < length; at += gap {
		w.at(at, func() {
			queue := "aaaaaabbc"[w.rand.IntN(9)]
			id := workload.ID(fmt.Sprintf("%c%015x", queue, n))
			n++
			w.submit(id, []string{"c1", "c2"}[w.rand.IntN(2)], w.drawSpec(queue))
			if w.chance(0.05) {
				w.at(w.between(10*time.Millisecond, 3*time.Second), func() { w.cancel(id) })
			}
		})
	}
}

// requireServed requires that all jobs have ended at the newest term.
func (w *world) requireServed() {
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
			w.judgeCompleted(id, j)
		}
	}
	if open > 0 {
		w.t.Errorf("%d of %d jobs have not ended: %+v", open, len(w.jobs), t.core.Stats())
	}
}

// judgeCompleted requires that all tasks of a completed job are done.
func (w *world) judgeCompleted(id workload.ID, j *simJob) {
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

// worlds is how many worlds each test plays.
var worlds = flag.Uint64("worlds", 12, "how many simulated worlds each test plays")

// seeds plays worlds with different seeds.
func seeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= *worlds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { f(t, seed) })
	}
}

func fleetOf(w *world) {
	const n = 8
	for i := range n {
		w.addEndpoint(fmt.Sprintf("e%02d", i))
	}
}

func TestCalm(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		fleetOf(w)
		w.begin()
		w.traffic(8)
		w.run(60 * time.Second)
		w.requireServed()
		if s := w.current().core.Stats(); s.Doubtful+s.Lapsed > 0 || w.refused > 0 {
			t.Errorf("doubts in a calm world: %+v, %d starts refused", s, w.refused)
		}
	})
}

func TestUnansweredOrders(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.02, mute: 0.03, late: 0.05, failing: 0.05, lostAppends: 0.05})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		w.at(40*time.Second, func() { w.faults = faults{} })
		w.run(90 * time.Second)
		w.requireServed()
	})
}

func TestCrashingEndpoints(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{late: 0.03, mute: 0.02, failing: 0.02})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		for i := range 12 {
			w.at(time.Duration(i)*1700*time.Millisecond, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				if e.up {
					w.crash(e, w.between(time.Millisecond, 8*time.Second))
				}
			})
		}
		w.at(40*time.Second, func() { w.faults = faults{} })
		w.run(100 * time.Second)
		w.requireServed()
	})
}

func TestCutEndpoints(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{late: 0.02})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		for i := range 8 {
			w.at(time.Duration(i)*2500*time.Millisecond, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				e.cut = true
				w.at(w.between(time.Second, 12*time.Second), func() { e.cut = false })
			})
		}
		w.at(40*time.Second, func() { w.faults = faults{} })
		w.run(110 * time.Second)
		w.requireServed()
	})
}

// replaceHolder ends the current term in one of the ways in which a daemon may
// go, and begins the next.
func (w *world) replaceHolder() {
	t := w.current()
	if t != nil {
		switch w.rand.IntN(4) {
		case 0:
			// Killed.
			t.dead = true
		case 1:
			// Frozen; it wakes up as a zombie.
			t.frozen = w.now + w.between(time.Second, 8*time.Second)
		default:
			// Replaced while it runs.
		}
	}
	w.at(w.between(50*time.Millisecond, 1500*time.Millisecond), func() { w.begin() })
}

func TestHolderChanges(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{late: 0.03, mute: 0.02, failing: 0.02, lostAppends: 0.03})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		for i := range 8 {
			w.at(time.Duration(i+1)*2300*time.Millisecond, w.replaceHolder)
		}
		for i := range 5 {
			w.at(time.Duration(i)*4*time.Second, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				switch {
				case !e.up:
				case w.chance(0.5):
					w.crash(e, w.between(300*time.Millisecond, 6*time.Second))
				default:
					e.cut = true
					w.at(w.between(time.Second, 9*time.Second), func() { e.cut = false })
				}
			})
		}
		w.at(40*time.Second, func() { w.faults = faults{} })
		w.run(110 * time.Second)
		w.requireServed()
	})
}

func TestLogOutage(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{late: 0.01})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		w.at(5*time.Second, func() { w.logDown = true })
		w.at(w.between(8*time.Second, 16*time.Second), func() { w.logDown = false })
		w.at(40*time.Second, func() { w.faults = faults{} })
		w.run(100 * time.Second)
		w.requireServed()
	})
}

// TestEndpointGoneForGood requires that what ran on an endpoint that never
// answers again runs elsewhere.
func TestEndpointGoneForGood(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		w.at(10*time.Second, func() {
			w.endpoints["e03"].up = false
			w.endpoints["e03"].running = make(map[fleet.Key]*simRun)
		})
		w.at(15*time.Second, func() { w.current().core.EndpointUnlisted("e03") })
		if seed%2 == 0 {
			w.at(12*time.Second, func() { w.begin() })
		}
		w.run(60 * time.Second)
		w.requireServed()
	})
}

// TestQuickRestarts has endpoints start again within milliseconds, so that
// orders for the old life meet the new one.
func TestQuickRestarts(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{mute: 0.02})
		fleetOf(w)
		w.begin()
		w.traffic(6)
		for i := range 40 {
			w.at(time.Duration(i)*500*time.Millisecond, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				if e.up {
					w.crash(e, w.between(0, 40*time.Millisecond))
				}
			})
		}
		w.at(40*time.Second, func() { w.faults = faults{} })
		w.run(100 * time.Second)
		w.requireServed()
	})
}

// TestShortGangs has gangs that end sooner than an order is given up, while
// answers are lost: a repeated order may meet a run that has ended.
func TestShortGangs(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.05, mute: 0.4, reportDelay: time.Second})
		fleetOf(w)
		w.begin()
		for i := range 60 {
			id := workload.ID(fmt.Sprintf("c%015x", i))
			w.at(time.Duration(i)*150*time.Millisecond, func() {
				w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{
					Count: 2 + w.rand.IntN(3), Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 120 * time.Millisecond, Gang: true,
				}}})
			})
		}
		w.at(30*time.Second, func() { w.faults = faults{} })
		w.run(80 * time.Second)
		w.requireServed()
	})
}
