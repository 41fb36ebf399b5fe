package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxVictimSearches bounds the searches for victims per class in one
	// Schedule call.
	maxVictimSearches = 16
	// maxHoldOwners bounds the work items for which capacity is held at the same
	// time.
	maxHoldOwners = 64
	// maxScannedItems bounds the items of a bucket that are examined per call.
	maxScannedItems = 64
	// reclaimThreshold is the fraction of its fair share below which a team may
	// reclaim capacity by preemption.
	reclaimThreshold = 0.75
	// preemptRetry is the delay after a search that found no victims.
	preemptRetry = 250 * time.Millisecond
)

// preempt adds the decision to checkpoint and stop tk.
func (e *engine) preempt(tk *task) {
	tk.preempted = true
	tk.preemptedAt = e.now
	tk.team.preemptedUsage = tk.team.preemptedUsage.Add(tk.charged)
	e.preempting = append(e.preempting, tk)
	e.decisions = append(e.decisions, Decision{Work: tk.Work, Task: tk.Task, Endpoint: tk.Endpoint, Preempt: true})
}

// clearPreemption resets the preemption of tk after it has stopped or has failed to
// stop in time.
func (e *engine) clearPreemption(tk *task) {
	if tk.preempted {
		tk.preempted = false
		tk.team.preemptedUsage = tk.team.preemptedUsage.Sub(tk.charged)
	}
}

// expirePreemptions makes tasks that did not stop in time eligible for
// preemption again.
func (e *engine) expirePreemptions() {
	e.preempting = slices.DeleteFunc(e.preempting, func(tk *task) bool {
		if !tk.preempted {
			return true
		}
		if e.now-tk.preemptedAt < e.policy.PreemptTimeout {
			return false
		}
		e.clearPreemption(tk)
		return true
	})
}

// preemptUrgent preempts tasks of lower classes for blocked urgent work.
func (e *engine) preemptUrgent() {
	e.preemptClass(ClassUrgent, 0, func(*workItem) func(*task) bool {
		return func(tk *task) bool { return tk.Class > ClassUrgent }
	})
}

// preemptWaiting preempts batch work for blocked service work, and work of teams
// above their fair share for batch work of teams below theirs.
func (e *engine) preemptWaiting() {
	e.preemptClass(ClassService, e.policy.ServicePreemptAfter, func(*workItem) func(*task) bool {
		return func(tk *task) bool { return tk.Class > ClassService }
	})
	e.preemptClass(ClassBatch, e.policy.ReclaimAfter, e.overShareVictims)
}

// overShareVictims returns a function that admits victims for the item if the share
// per weight of the item's team, the claimant, is below reclaimThreshold times
// the mean of all teams with work. The victim's team must not fall below that
// mean, so that a preemption is never followed by its reverse. Capacity that is
// held for the claimant counts as used by it, and tasks that are being preempted
// count as ended.
func (e *engine) overShareVictims(it *workItem) func(*task) bool {
	claimant := it.bucket.team
	own := claimant.used.Add(it.Size.Scale(int64(claimant.heldTasks)))
	short := dominantShare(own, e.endpoints.inverseTotal) < reclaimThreshold*e.activeLevel*claimant.weight()
	return func(tk *task) bool {
		if !short || tk.Class < it.Class || tk.team == claimant {
			return false
		}
		left := dominantShare(tk.team.used.Sub(tk.team.preemptedUsage).Sub(tk.charged), e.endpoints.inverseTotal)
		return left >= e.activeLevel*tk.team.weight()
	}
}

// preemptClass preempts tasks for blocked work of a class that has waited for at
// least wait. Gangs are not considered. victims returns for an item the function
// that decides which tasks may be preempted for it.
func (e *engine) preemptClass(class Class, wait time.Duration, victims func(*workItem) func(*task) bool) {
	e.searches = 0
	for _, s := range e.shapes.blocked {
		if s.key.gang > 0 {
			continue
		}
		for _, r := range s.ready[class] {
			if r.bucket.nextPreemption <= e.now {
				e.preemptBucket(r.bucket, wait, victims)
			}
		}
	}
}

func (e *engine) preemptBucket(b *bucket, wait time.Duration, victims func(*workItem) func(*task) bool) {
	for _, it := range b.items[:min(len(b.items), maxScannedItems)] {
		if it.Gang || e.now-it.Enqueued < wait {
			continue
		}
		wanted := min(len(it.Tasks)-it.heldTasks(), b.team.remainingTasks()-b.team.heldTasks)
		for ; wanted > 0; wanted-- {
			if e.searches >= maxVictimSearches || len(e.decisions) >= e.limit || len(e.holdOwners) >= maxHoldOwners {
				return
			}
			e.searches++
			if !e.preemptFor(it, victims(it)) {
				b.nextPreemption = e.now + preemptRetry
				return
			}
		}
	}
}

// preemptFor preempts the victims on one endpoint whose preemption loses the least
// work and holds their capacity for one task of the item. It returns false if
// there are no suitable victims.
func (e *engine) preemptFor(it *workItem, admit func(*task) bool) bool {
	c := e.candidateOf(it)
	var best []*task
	var bestEndpoint *endpoint
	bestCost := time.Duration(0)
	for _, ep := range e.endpoints.byKind(it.Runner) {
		if !ep.schedulable(e.now) || !c.size.Fits(ep.Capacity) {
			continue
		}
		victims, cost := e.victims(c, ep, admit)
		if victims == nil || bestEndpoint != nil && cost >= bestCost {
			continue
		}
		best = append(best[:0], victims...)
		bestEndpoint, bestCost = ep, cost
	}
	if bestEndpoint == nil {
		return false
	}
	for _, tk := range best {
		e.preempt(tk)
	}
	e.addHold(&hold{owner: it, ep: bestEndpoint, size: c.size, count: 1, expectedStart: e.now, expires: e.now + e.policy.PreemptTimeout})
	return true
}

// victims returns tasks of ep whose end would make c fit, chosen by the least
// work done, and the run time that is lost. It returns nil if there are none.
func (e *engine) victims(c *candidate, ep *endpoint, admit func(*task) bool) ([]*task, time.Duration) {
	eligible := e.scratch.victims[:0]
	free := ep.unheldCapacity(c)
	reclaimable := free
	for _, tk := range ep.tasks {
		if tk.mayPreempt() && admit(tk) {
			eligible = append(eligible, tk)
			reclaimable = reclaimable.Add(tk.charged)
		}
	}
	e.scratch.victims = eligible
	if len(eligible) == 0 || !c.size.Fits(reclaimable) {
		return nil, 0
	}
	slices.SortStableFunc(eligible, func(a, b *task) int { return cmp.Compare(b.Started, a.Started) })
	taken := 0
	for !c.size.Fits(free) {
		free = free.Add(eligible[taken].charged)
		taken++
	}
	return e.dropUnneeded(c, eligible[:taken], free)
}

// dropUnneeded removes victims that are not needed from chosen, those with the
// most work done first, and returns the rest and the run time that is lost.
func (e *engine) dropUnneeded(c *candidate, chosen []*task, free Resources) ([]*task, time.Duration) {
	var cost time.Duration
	for i := len(chosen) - 1; i >= 0; i-- {
		without := free.Sub(chosen[i].charged)
		if c.size.Fits(without) {
			free = without
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		cost += e.now - chosen[i].Started
	}
	return chosen, cost
}

// unheldCapacity returns the capacity available to c once all preempted tasks have
// stopped, less everything that is held for other work or for other tasks of the
// same item.
func (ep *endpoint) unheldCapacity(c *candidate) Resources {
	available := ep.capacityFor(c)
	for _, h := range ep.holds {
		if h.owner == c.item {
			available = available.Sub(h.size.Scale(h.count))
		}
	}
	for _, tk := range ep.tasks {
		if tk.preempted {
			available = available.Add(tk.charged)
		}
	}
	return available
}

// preemptOvercommitted preempts, on each worker whose tasks use more than its
// capacity, the task that exceeds its size the most.
func (e *engine) preemptOvercommitted() {
	for _, ep := range e.endpoints.workers {
		if (Resources{}).Fits(ep.free) {
			continue
		}
		if tk := ep.mostOverSize(); tk != nil && len(e.decisions) < e.limit {
			e.preempt(tk)
		}
	}
}

// mostOverSize returns the preemptible task that exceeds its size the most, or nil
// if there is none or a task is being preempted already.
func (ep *endpoint) mostOverSize() *task {
	var worst *task
	worstOver := 0.0
	for _, tk := range ep.tasks {
		if tk.preempted {
			return nil
		}
		over := dominantShare(tk.charged.Sub(tk.Size), ep.inverseCapacity)
		if tk.mayPreempt() && over > worstOver {
			worst, worstOver = tk, over
		}
	}
	return worst
}
