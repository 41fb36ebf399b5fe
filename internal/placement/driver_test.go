package placement

import (
	"fmt"
	"testing"
	"time"
)

// driver runs an engine in steps of a second with tasks of known run times.
type driver struct {
	t       *testing.T
	e       Engine
	now     time.Duration
	runs    map[string]time.Duration
	works   map[string]Work
	ends    map[string]time.Duration
	started map[string]time.Duration
	where   map[string]string
	stopped []string
	order   []string
}

func newDriver(t *testing.T, workers int, teams ...Team) *driver {
	d := &driver{
		t: t, e: New(), runs: map[string]time.Duration{}, works: map[string]Work{},
		ends: map[string]time.Duration{}, started: map[string]time.Duration{}, where: map[string]string{},
	}
	for _, team := range teams {
		d.e.SetTeam(team)
	}
	for i := range workers {
		w := worker(fmt.Sprintf("w%d", i))
		w.Rack = fmt.Sprintf("r%d", i%3)
		d.e.SetEndpoint(w)
	}
	return d
}

// submit queues w with n tasks named after it that run for run.
func (d *driver) submit(w Work, n int, run time.Duration) {
	for i := range n {
		id := fmt.Sprintf("%s-%d", w.ID, i)
		w.Tasks = append(w.Tasks, id)
		d.runs[id] = run
	}
	w.Enqueued = d.now
	d.works[w.ID] = w
	d.e.Submit(w)
}

// step ends what is due, takes decisions and moves on by a second. Preempted
// tasks stop at once and are queued again.
func (d *driver) step() []Decision {
	kept := d.order[:0]
	for _, id := range d.order {
		if end, runs := d.ends[id]; runs && end <= d.now {
			delete(d.ends, id)
			d.e.Finish(id, d.now, ResultDone)
		} else if runs {
			kept = append(kept, id)
		}
	}
	d.order = kept
	out := d.e.Schedule(d.now, 1000)
	for _, x := range out {
		if x.Preempt {
			delete(d.ends, x.Task)
			d.stopped = append(d.stopped, x.Task)
			d.e.Finish(x.Task, d.now, ResultStopped)
			w := d.works[x.Work]
			w.Tasks = []string{x.Task}
			d.e.Submit(w)
			continue
		}
		if _, before := d.started[x.Task]; !before {
			d.started[x.Task] = d.now
		}
		d.where[x.Task] = x.Endpoint
		d.ends[x.Task] = d.now + d.runs[x.Task]
		d.order = append(d.order, x.Task)
	}
	d.now += time.Second
	return out
}

func (d *driver) steps(n int) {
	for range n {
		d.step()
	}
}
