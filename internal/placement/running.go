package placement

import "time"

// task is a running task.
type task struct {
	RunningTask
	team   *team
	source *source
	// ep is nil while the endpoint is not known.
	ep *endpoint
	// at is the position in ep.tasks.
	at int
	// charged is what the endpoint and the team are charged: the larger of
	// the size and the reported usage.
	charged Resources
	peak    Resources
	// preempted says that a stop was asked for, at preemptedAt.
	preempted   bool
	preemptedAt time.Duration
	// backfill marks a task on room that is held for a reservation.
	backfill bool
	// probe marks a task that was started on probation.
	probe bool
}

// mayPreempt reports whether the task can be stopped without a second run of
// something that must run at most once.
func (tk *task) mayPreempt() bool {
	return tk.Preemptible && tk.Idempotent && !tk.preempted
}

// start records r as running.
func (e *engine) start(r RunningTask, charged Resources) *task {
	t := e.team(r.Team)
	tk := &task{RunningTask: r, team: t, source: t.source(r.Queue), charged: charged}
	e.running[r.Task] = tk
	t.running++
	t.used = t.used.Add(charged)
	e.rescore(t)
	if ep, ok := e.fleet.byID[r.Endpoint]; ok {
		ep.attach(tk)
		e.spreads.add(r.Work, ep.rack, 1)
	} else {
		e.orphans[r.Endpoint] = append(e.orphans[r.Endpoint], tk)
	}
	return tk
}

// Adopt implements Engine.
func (e *engine) Adopt(r RunningTask) {
	if _, ok := e.running[r.Task]; ok {
		return
	}
	e.Withdraw(r.Work, r.Task)
	e.start(r, r.Size)
}

// Finish implements Engine.
func (e *engine) Finish(id string, now time.Duration, result Result) {
	tk, ok := e.running[id]
	if !ok {
		return
	}
	delete(e.running, id)
	t := tk.team
	e.endPreemption(tk)
	t.running--
	t.used = t.used.Sub(tk.charged)
	e.rescore(t)
	if ep := tk.ep; ep != nil {
		ep.detach(tk)
		e.spreads.add(tk.Work, ep.rack, -1)
		e.fleet.noteGrown(ep)
		e.judge(ep, tk, now, result)
	} else {
		e.removeOrphan(tk)
	}
	if result == ResultDone {
		e.learn(tk, now)
	}
}

func (e *engine) removeOrphan(tk *task) {
	list := e.orphans[tk.Endpoint]
	for i, o := range list {
		if o == tk {
			list[i] = list[len(list)-1]
			e.orphans[tk.Endpoint] = list[:len(list)-1]
			break
		}
	}
	if len(e.orphans[tk.Endpoint]) == 0 {
		delete(e.orphans, tk.Endpoint)
	}
}

// ReportUsage implements Engine. A task that uses more than its size is charged for
// it, so that nothing else is placed on what it has taken.
func (e *engine) ReportUsage(id string, used Resources) {
	tk, ok := e.running[id]
	if !ok {
		return
	}
	tk.peak = tk.peak.Max(used)
	charged := tk.charged.Max(used)
	grown := charged.Sub(tk.charged)
	if grown == (Resources{}) {
		return
	}
	if tk.preempted {
		tk.team.leaving = tk.team.leaving.Add(grown)
	}
	tk.charged = charged
	tk.team.used = tk.team.used.Add(grown)
	e.rescore(tk.team)
	if tk.ep != nil {
		tk.ep.free = tk.ep.free.Sub(grown)
	}
}

// rackCounts counts the running tasks of each spread work per rack.
type rackCounts map[string][]int

// track begins to count for a work.
func (c rackCounts) track(work string, racks int) []int {
	counts := c[work]
	for len(counts) < racks {
		counts = append(counts, 0)
	}
	c[work] = counts
	return counts
}

// add counts n more tasks of work on rack, if the work is tracked.
func (c rackCounts) add(work string, rack, n int) {
	counts, ok := c[work]
	if !ok || rack >= len(counts) {
		return
	}
	counts[rack] += n
	c.release(work)
}

// release stops counting for a work that has no task running.
func (c rackCounts) release(work string) {
	for _, x := range c[work] {
		if x > 0 {
			return
		}
	}
	delete(c, work)
}
