package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// preemptedIn returns how many runs the terms of a world have preempted.
func preemptedIn(w *world) int64 {
	n := int64(0)
	for _, t := range w.terms {
		n += t.core.stats.Preempted
	}
	return n
}

// TestPromisesWithPreemptionAndShares plays bursts on endpoints that are too few, so that work
// is stopped for more urgent work, beside the faults of the other tests: all jobs must end and
// no promise may be broken.
func TestPromisesWithPreemptionAndShares(t *testing.T) {
	for name, c := range map[string]struct {
		faults faults
		// disturb plans what happens beside the load.
		disturb func(w *world)
	}{
		"no faults":         {},
		"unanswered orders": {faults: faults{lost: 0.02, unanswered: 0.03, delayed: 0.05, taskFailure: 0.05, lostAppends: 0.05}},
		"crashing endpoints": {faults: faults{delayed: 0.03, unanswered: 0.02}, disturb: func(w *world) {
			for i := range 6 {
				w.after(time.Duration(i)*3*time.Second, func() {
					if e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]; e.up {
						w.crash(e, w.between(time.Millisecond, 8*time.Second))
					}
				})
			}
		}},
		"holders that are superseded": {disturb: func(w *world) {
			for i := range 5 {
				w.after(time.Duration(2+4*i)*time.Second, w.beginTerm)
			}
		}},
		"changed and removed queues and weights": {disturb: func(w *world) {
			for i := range 5 {
				w.after(time.Duration(2+3*i)*time.Second, func() {
					w.publish(func(next *catalog.Catalog) {
						next.Queues[1].Priority = 1 + i%3
						c1 := next.Customers["c1"]
						c1.Weight = []float64{0, -5, 1e300, 100, 1}[i]
						next.Customers["c1"] = c1
					})
				})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			preempted := int64(0)
			forEachSeed(t, func(t *testing.T, seed uint64) {
				w := newWorld(t, seed, c.faults)
				w.params.Features.Preemption, w.params.Features.Shares = true, true
				for i := range 4 {
					w.addEndpoint(fmt.Sprintf("e%02d", i))
				}
				w.beginTerm()
				w.submitTraffic(8)
				for i := range 40 {
					w.after(time.Duration(5+i/20*6)*time.Second+time.Duration(i%20)*20*time.Millisecond, func() {
						w.submit(workload.ID(fmt.Sprintf("a%015x", 0xb0000+i)), "c2", w.randomSpec('a'))
					})
				}
				if c.disturb != nil {
					c.disturb(w)
				}
				w.after(40*time.Second, func() { w.faults = faults{} })
				w.run(120 * time.Second)
				w.requireAllEnded()
				preempted += preemptedIn(w)
			})
			if preempted == 0 {
				t.Error("no run was preempted")
			}
		})
	}
}

// urgentAt is when urgent work comes into a preemptionWorld: the budget has filled by then.
const urgentAt = 14 * time.Second

// preemptionWorld returns a world whose endpoints are full of long work that can wait when
// urgent work comes.
func preemptionWorld(t *testing.T, endpoints int) *world {
	w := newWorld(t, 1, faults{})
	w.params.Features.Preemption = true
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("e%02d", i))
	}
	w.beginTerm()
	long := workload.Step{Count: 8 * endpoints, Size: resource.Vector{MilliCores: 4000, MemoryMB: 10}, Estimate: 20 * time.Second, Checkpoints: true}
	w.after(8*time.Second, func() { w.submit("b000000000000001", "c2", workload.Spec{Steps: []workload.Step{long}}) })
	// Without urgent work seen, capacity is kept for it; the burst needs more than that.
	w.after(urgentAt, func() {
		for i := range 6 * endpoints {
			w.submit(workload.ID(fmt.Sprintf("a%015x", i)), "c2", workload.Spec{Steps: []workload.Step{{
				Count: 1, Size: resource.Vector{MilliCores: 4000, MemoryMB: 10}, Estimate: time.Second,
			}}})
		}
	})
	return w
}

// stoppingRuns returns the runs that the newest term is stopping.
func stoppingRuns(w *world) []*fleet.Run {
	var out []*fleet.Run
	for _, e := range w.current().core.fleet.Endpoints() {
		for _, r := range e.Runs() {
			if r.Phase == fleet.PhaseStopping {
				out = append(out, r)
			}
		}
	}
	return out
}

// TestPreemptedTaskKeepsItsAttempts has urgent work stop runs of a step: its tasks keep their
// attempts and end, none is stopped more often than allowed, and what is thrown away stays
// within the bound.
func TestPreemptedTaskKeepsItsAttempts(t *testing.T) {
	w := preemptionWorld(t, 4)
	w.run(urgentAt + time.Second)
	core := w.current().core
	if core.stats.Preempted == 0 {
		t.Fatal("no run was preempted")
	}
	if left := core.preemptions.left; left < 0 {
		t.Errorf("the budget is overdrawn: %v", left)
	}
	for _, e := range core.steps {
		for task, n := range e.preempted {
			if n > maxPreemptions {
				t.Errorf("task %d was preempted %d times", task, n)
			}
		}
	}
	w.run(110 * time.Second)
	w.requireAllEnded()
}

// TestHolderLostWhileRunsAreStopped begins a term while the last one has decided on stops that
// have not all arrived: the tasks of all of them must end, and none may run twice.
func TestHolderLostWhileRunsAreStopped(t *testing.T) {
	w := preemptionWorld(t, 4)
	for at := urgentAt; len(stoppingRuns(w)) == 0 && at < urgentAt+2*time.Second; at += simTick {
		w.run(at)
	}
	if len(stoppingRuns(w)) == 0 {
		t.Fatal("no run is being stopped")
	}
	w.current().dead = true
	w.beginTerm()
	w.run(110 * time.Second)
	w.requireAllEnded()
}

// TestSilentEndpointOfStoppedRun cuts an endpoint off while a run is being stopped there: the
// room is not counted on, and other runs may be stopped instead.
func TestSilentEndpointOfStoppedRun(t *testing.T) {
	w := preemptionWorld(t, 4)
	for at := urgentAt; len(stoppingRuns(w)) == 0 && at < urgentAt+2*time.Second; at += simTick {
		w.run(at)
	}
	stopped := stoppingRuns(w)
	if len(stopped) == 0 {
		t.Fatal("no run is being stopped")
	}
	cut := w.endpoints[stopped[0].Endpoint.ID]
	cut.disconnected = true
	w.after(20*time.Second, func() { cut.disconnected = false })
	w.run(urgentAt + 2500*time.Millisecond)
	if e := stopped[0].Endpoint; w.current().core.usable(w.instant(), e) || e.Used() == (resource.Vector{}) {
		t.Errorf("the endpoint that is cut off is usable, or its runs don't count: %+v", e.Used())
	}
	w.run(110 * time.Second)
	w.requireAllEnded()
}

// TestMayPreempt checks which runs urgent work may stop, and which of these would miss their
// objectives by it.
func TestMayPreempt(t *testing.T) {
	const long, slack = 10 * time.Second, time.Minute
	for name, tc := range map[string]struct {
		spec     workload.Step
		change   func(r *fleet.Run, e *stepEntry)
		may      bool
		misses   bool
		lossless bool
	}{
		"with checkpoints": {spec: workload.Step{Checkpoints: true}, may: true, lossless: true},
		"without":          {may: true},
		"it would be late": {may: true, misses: true, change: func(_ *fleet.Run, e *stepEntry) { e.latestStart = time.Hour + 3*time.Second }},
		"it would come after others": {spec: workload.Step{Checkpoints: true}, may: true, misses: true, lossless: true, change: func(r *fleet.Run, e *stepEntry) {
			r.ExpectedEnd, e.latestStart = time.Hour+2*time.Second, time.Hour+time.Second
		}},
		"it is late anyway":          {may: true, change: func(_ *fleet.Run, e *stepEntry) { e.latestStart = time.Hour - 30*time.Second }},
		"a gang":                     {spec: workload.Step{Gang: true}},
		"a task that lasts":          {spec: workload.Step{LongRunning: true}},
		"a task that fills":          {spec: workload.Step{Fills: true}},
		"urgent":                     {change: func(r *fleet.Run, _ *stepEntry) { r.Priority = 0 }},
		"about to end":               {change: func(r *fleet.Run, _ *stepEntry) { r.ExpectedEnd = time.Hour + time.Second }},
		"not confirmed":              {change: func(r *fleet.Run, _ *stepEntry) { r.Phase = fleet.PhaseOrdered }},
		"stopping":                   {change: func(r *fleet.Run, _ *stepEntry) { r.Phase = fleet.PhaseStopping }},
		"stopped often":              {change: func(_ *fleet.Run, e *stepEntry) { e.preempted = map[int]int{0: maxPreemptions} }},
		"its queue is not there now": {change: func(r *fleet.Run, _ *stepEntry) { r.Queue = "gone" }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			c, now := NewCore(w.params, w.catalog, 0, w.logger), clock.Instant{Steady: time.Hour}
			tc.spec.Estimate = long
			e := &stepEntry{step: &workload.StepRun{Spec: &tc.spec, Job: workload.NewJob("b", "bulk", "c1", simWall, workload.Spec{})}, latestStart: now.Steady + slack}
			r := &fleet.Run{Step: e.step, Queue: "bulk", Priority: 2, Phase: fleet.PhaseRunning, Charge: resource.Vector{MilliCores: 1000},
				ConfirmedAt: now.Steady - 5*time.Second, ExpectedEnd: now.Steady + 5*time.Second}
			if tc.change != nil {
				tc.change(r, e)
			}
			if got := c.mayPreempt(now, r, e); got != tc.may {
				t.Fatalf("may be stopped: %v, want %v", got, tc.may)
			}
			if !tc.may {
				return
			}
			v := c.victimOf(now, r, e)
			if v.Misses != tc.misses || (v.Loss < 5) != tc.lossless {
				t.Errorf("misses its objective: %v, want %v; loses %v core-seconds", v.Misses, tc.misses, v.Loss)
			}
		})
	}
}

// TestPromisesWithAllParts plays changes of the holder and lost orders with all parts on: gangs
// and single tasks compete, urgent work stops others, and jobs come faster than they run.
func TestPromisesWithAllParts(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.02, delayed: 0.03, unanswered: 0.02, taskFailure: 0.02, lostAppends: 0.03})
		w.params.Features = Features{Evacuation: true, GangRoom: true, Preemption: true, Shares: true, Admission: true, Estimates: true}
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(20)
		for i := range 4 {
			w.after(time.Duration(i+1)*4300*time.Millisecond, w.replaceHolder)
		}
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(120 * time.Second)
		w.requireAllEnded()
	})
}
