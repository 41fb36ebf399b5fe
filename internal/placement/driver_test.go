package placement

import (
	"fmt"
	"testing"
	"time"
)

// driver runs an engine in steps of one second with tasks of known run times.
type driver struct {
	t          *testing.T
	engine     Engine
	now        time.Duration
	runTimes   map[string]time.Duration
	submitted  map[string]Work
	ends       map[string]time.Duration
	started    map[string]time.Duration
	placedOn   map[string]string
	stopped    []string
	startOrder []string
}

func newDriver(t *testing.T, workers int, teams ...Team) *driver {
	d := &driver{
		t: t, engine: New(), runTimes: map[string]time.Duration{}, submitted: map[string]Work{},
		ends: map[string]time.Duration{}, started: map[string]time.Duration{}, placedOn: map[string]string{},
	}
	for _, team := range teams {
		d.engine.SetTeam(team)
	}
	for i := range workers {
		w := worker(fmt.Sprintf("w%d", i))
		w.Rack = fmt.Sprintf("r%d", i%3)
		d.engine.SetEndpoint(w)
	}
	return d
}

// submit queues w with n tasks whose ids begin with w.ID and which run for run.
func (d *driver) submit(w Work, n int, run time.Duration) {
	for i := range n {
		id := fmt.Sprintf("%s-%d", w.ID, i)
		w.Tasks = append(w.Tasks, id)
		d.runTimes[id] = run
	}
	w.Enqueued = d.now
	d.submitted[w.ID] = w
	d.engine.Submit(w)
}

// step finishes the tasks that are due, applies the engine's decisions and
// advances the time by one second. Preempted tasks stop at once and are queued
// again.
func (d *driver) step() []Decision {
	kept := d.startOrder[:0]
	for _, id := range d.startOrder {
		if end, runs := d.ends[id]; runs && end <= d.now {
			delete(d.ends, id)
			d.engine.Finish(id, d.now, ResultDone)
		} else if runs {
			kept = append(kept, id)
		}
	}
	d.startOrder = kept
	out := d.engine.Schedule(d.now, 1000)
	for _, x := range out {
		if x.Preempt {
			delete(d.ends, x.Task)
			d.stopped = append(d.stopped, x.Task)
			d.engine.Finish(x.Task, d.now, ResultStopped)
			w := d.submitted[x.Work]
			w.Tasks = []string{x.Task}
			d.engine.Submit(w)
			continue
		}
		if _, before := d.started[x.Task]; !before {
			d.started[x.Task] = d.now
		}
		d.placedOn[x.Task] = x.Endpoint
		d.ends[x.Task] = d.now + d.runTimes[x.Task]
		d.startOrder = append(d.startOrder, x.Task)
	}
	d.now += time.Second
	return out
}

func (d *driver) steps(n int) {
	for range n {
		d.step()
	}
}
