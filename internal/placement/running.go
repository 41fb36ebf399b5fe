package placement

import "time"

// task is the engine's state of a running task.
type task struct {
	RunningTask
	team  *team
	stats *queueStats
	// ep is nil if the endpoint is not known.
	ep *endpoint
	// index is the task's index in ep.tasks.
	index int
	// charged is the amount charged to the endpoint and the team: per dimension
	// the larger of the size and the reported usage.
	charged   Resources
	peakUsage Resources
	// preempted is set if the task was asked to stop, at preemptedAt.
	preempted   bool
	preemptedAt time.Duration
	// backfill marks a task that uses capacity held for other work.
	backfill bool
	// onProbation marks a task that started while its endpoint was on
	// probation.
	onProbation bool
}

// mayPreempt reports whether the task can be stopped and run again. A task that
// is not idempotent must run at most once, so it is never preempted.
func (tk *task) mayPreempt() bool {
	return tk.Preemptible && tk.Idempotent && !tk.preempted
}

// start records r as running.
func (e *engine) start(r RunningTask, charged Resources) *task {
	t := e.team(r.Team)
	tk := &task{RunningTask: r, team: t, stats: t.queueStats(r.Queue), charged: charged}
	e.running[r.Task] = tk
	t.running++
	t.used = t.used.Add(charged)
	e.updateShareKey(t)
	if ep, ok := e.endpoints.byID[r.Endpoint]; ok {
		ep.attach(tk)
		e.tasksPerRack.add(r.Work, ep.rack, 1)
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
	e.clearPreemption(tk)
	t.running--
	t.used = t.used.Sub(tk.charged)
	e.updateShareKey(t)
	if ep := tk.ep; ep != nil {
		ep.detach(tk)
		e.tasksPerRack.add(tk.Work, ep.rack, -1)
		e.endpoints.markCapacityGained(ep)
		e.recordOutcome(ep, tk, now, result)
	} else {
		e.removeOrphan(tk)
	}
	if result == ResultDone {
		e.recordSample(tk, now)
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

// ReportUsage implements Engine. A task that uses more than its size is charged
// for its usage, so that no other task is placed on the capacity it takes.
func (e *engine) ReportUsage(id string, used Resources) {
	tk, ok := e.running[id]
	if !ok {
		return
	}
	tk.peakUsage = tk.peakUsage.Max(used)
	charged := tk.charged.Max(used)
	increase := charged.Sub(tk.charged)
	if increase == (Resources{}) {
		return
	}
	if tk.preempted {
		tk.team.preemptedUsage = tk.team.preemptedUsage.Add(increase)
	}
	tk.charged = charged
	tk.team.used = tk.team.used.Add(increase)
	e.updateShareKey(tk.team)
	if tk.ep != nil {
		tk.ep.free = tk.ep.free.Sub(increase)
	}
}

// rackCounts holds the number of running tasks per rack for each unit of work
// with Spread set, by work id.
type rackCounts map[string][]int

// track starts counting for work, with at least the given number of racks, and
// returns its counts.
func (c rackCounts) track(work string, racks int) []int {
	counts := c[work]
	for len(counts) < racks {
		counts = append(counts, 0)
	}
	c[work] = counts
	return counts
}

// add adds n to the count of work on rack if the work is tracked.
func (c rackCounts) add(work string, rack, n int) {
	counts, ok := c[work]
	if !ok || rack >= len(counts) {
		return
	}
	counts[rack] += n
	c.release(work)
}

// release stops counting for work if none of its tasks is running.
func (c rackCounts) release(work string) {
	for _, x := range c[work] {
		if x > 0 {
			return
		}
	}
	delete(c, work)
}
