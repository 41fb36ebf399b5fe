package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptBatch bounds the searches for victims in one Schedule call.
	preemptBatch = 16
	// maxOwners bounds the works that have room held at the same time.
	maxOwners = 64
	// preemptScan bounds the works of a bucket that are looked at per call.
	preemptScan = 64
	// reclaimBelow is the part of its share below which a team takes room back.
	reclaimBelow = 0.75
	// preemptRetry is the wait after a search that found no victims.
	preemptRetry = 250 * time.Millisecond
)

// preempt asks for tk to be checkpointed and stopped.
func (e *engine) preempt(tk *task) {
	tk.preempted = true
	tk.preemptedAt = e.now
	tk.team.leaving = tk.team.leaving.Add(tk.charged)
	e.preempting = append(e.preempting, tk)
	e.out = append(e.out, Decision{Work: tk.Work, Task: tk.Task, Endpoint: tk.Endpoint, Preempt: true})
}

// endPreemption notes that tk has stopped, or was not stopped in time.
func (e *engine) endPreemption(tk *task) {
	if tk.preempted {
		tk.preempted = false
		tk.team.leaving = tk.team.leaving.Sub(tk.charged)
	}
}

// expirePreemptions lets tasks that did not stop in time be chosen again.
func (e *engine) expirePreemptions() {
	e.preempting = slices.DeleteFunc(e.preempting, func(tk *task) bool {
		if !tk.preempted {
			return true
		}
		if e.now-tk.preemptedAt < e.policy.PreemptTimeout {
			return false
		}
		e.endPreemption(tk)
		return true
	})
}

// preemptUrgent makes room for urgent work that found none.
func (e *engine) preemptUrgent() {
	e.preemptClass(ClassUrgent, 0, func(*item) func(*task) bool {
		return func(tk *task) bool { return tk.Class > ClassUrgent }
	})
}

// preemptWaiting makes room for service work, at the cost of batch work, and
// for batch work of teams below their share, at the cost of teams above.
func (e *engine) preemptWaiting() {
	e.preemptClass(ClassService, e.policy.ServicePreemptAfter, func(*item) func(*task) bool {
		return func(tk *task) bool { return tk.Class > ClassService }
	})
	e.preemptClass(ClassBatch, e.policy.ReclaimAfter, e.overShare)
}

// overShare admits victims for a claimant whose share per weight is well below
// the mean of all teams with work; the victim's team must stay above that mean,
// so that a preemption is never followed by its reverse. Room that is held for
// the claimant counts as its own, and tasks that are being preempted as gone.
func (e *engine) overShare(it *item) func(*task) bool {
	claimant := it.bucket.team
	own := claimant.used.Add(it.Size.Scale(int64(claimant.held)))
	short := dominant(own, e.fleet.scale) < reclaimBelow*e.activeLevel*claimant.weight()
	return func(tk *task) bool {
		if !short || tk.Class < it.Class || tk.team == claimant {
			return false
		}
		left := dominant(tk.team.used.Sub(tk.team.leaving).Sub(tk.charged), e.fleet.scale)
		return left >= e.activeLevel*tk.team.weight()
	}
}

// preemptClass searches victims for blocked work of a class that has waited
// for at least wait.
func (e *engine) preemptClass(class Class, wait time.Duration, victims func(*item) func(*task) bool) {
	e.searches = 0
	for _, s := range e.shapes.blocked {
		if s.key.gang > 0 {
			continue
		}
		for _, r := range s.ready[class] {
			if r.bucket.preemptAt <= e.now {
				e.preemptBucket(r.bucket, wait, victims)
			}
		}
	}
}

func (e *engine) preemptBucket(b *bucket, wait time.Duration, victims func(*item) func(*task) bool) {
	for _, it := range b.items[:min(len(b.items), preemptScan)] {
		if it.Gang || e.now-it.Enqueued < wait {
			continue
		}
		wanted := min(len(it.Tasks)-it.held(), b.team.room()-b.team.held)
		for ; wanted > 0; wanted-- {
			if e.searches >= preemptBatch || len(e.out) >= e.limit || len(e.owners) >= maxOwners {
				return
			}
			e.searches++
			if !e.claim(it, victims(it)) {
				b.preemptAt = e.now + preemptRetry
				return
			}
		}
	}
}

// claim preempts the victims that cost the least work to make room for one
// task of it on one endpoint, and holds that room.
func (e *engine) claim(it *item, admit func(*task) bool) bool {
	c := e.candidateOf(it)
	var best []*task
	var bestEndpoint *endpoint
	bestCost := time.Duration(0)
	for _, ep := range e.fleet.kind(it.Runner) {
		if !ep.open(e.now) || !c.size.Fits(ep.Capacity) {
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
	e.addHold(&hold{owner: it, ep: bestEndpoint, size: c.size, count: 1, ready: e.now, expires: e.now + e.policy.PreemptTimeout})
	return true
}

// victims returns tasks of ep whose end would let c in, those with the least
// work done first, and the work that is lost; nil if there are none.
func (e *engine) victims(c *candidate, ep *endpoint, admit func(*task) bool) ([]*task, time.Duration) {
	eligible := e.scratch.victims[:0]
	room := ep.unclaimedRoom(c)
	sum := room
	for _, tk := range ep.tasks {
		if tk.mayPreempt() && admit(tk) {
			eligible = append(eligible, tk)
			sum = sum.Add(tk.charged)
		}
	}
	e.scratch.victims = eligible
	if len(eligible) == 0 || !c.size.Fits(sum) {
		return nil, 0
	}
	slices.SortStableFunc(eligible, func(a, b *task) int { return cmp.Compare(b.Started, a.Started) })
	taken := 0
	for !c.size.Fits(room) {
		room = room.Add(eligible[taken].charged)
		taken++
	}
	return e.spare(c, eligible[:taken], room)
}

// spare drops the victims that are not needed, those with the most work done
// first.
func (e *engine) spare(c *candidate, chosen []*task, room Resources) ([]*task, time.Duration) {
	var cost time.Duration
	for i := len(chosen) - 1; i >= 0; i-- {
		without := room.Sub(chosen[i].charged)
		if c.size.Fits(without) {
			room = without
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		cost += e.now - chosen[i].Started
	}
	return chosen, cost
}

// unclaimedRoom returns the room for c when all preempted tasks have stopped,
// less everything that is held for others, its own earlier claims included.
func (ep *endpoint) unclaimedRoom(c *candidate) Resources {
	room := ep.roomFor(c)
	for _, h := range ep.holds {
		if h.owner == c.item {
			room = room.Sub(h.size.Scale(h.count))
		}
	}
	for _, tk := range ep.tasks {
		if tk.preempted {
			room = room.Add(tk.charged)
		}
	}
	return room
}

// relieveOverfull preempts, on each endpoint whose tasks have outgrown it, the
// one that has outgrown its size the most.
func (e *engine) relieveOverfull() {
	for _, ep := range e.fleet.workers {
		if (Resources{}).Fits(ep.free) {
			continue
		}
		if tk := ep.outgrown(); tk != nil && len(e.out) < e.limit {
			e.preempt(tk)
		}
	}
}

// outgrown returns the preemptible task that exceeds its size the most, nil if
// one is being preempted already.
func (ep *endpoint) outgrown() *task {
	var worst *task
	worstOver := 0.0
	for _, tk := range ep.tasks {
		if tk.preempted {
			return nil
		}
		over := dominant(tk.charged.Sub(tk.Size), ep.scale)
		if tk.mayPreempt() && over > worstOver {
			worst, worstOver = tk, over
		}
	}
	return worst
}
