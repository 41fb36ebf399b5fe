package placement

import "time"

const (
	// housekeepInterval is how often Schedule processes reservations,
	// quarantines, overdue work and preemption by age.
	housekeepInterval = time.Second
	// maxFailedSearches bounds the searches without result in one Schedule call.
	// The searched shapes stay blocked, so the next call continues after them.
	maxFailedSearches = 512
)

// Schedule implements Engine. The order is: urgent work, work with held
// capacity, overdue work, services, batch.
func (e *engine) Schedule(now time.Duration, limit int) []Decision {
	e.now = max(e.now, now)
	e.limit = limit
	e.decisions = nil
	e.failedSearches = 0
	e.unblockShapes()
	due := e.now-e.lastHousekeeping >= housekeepInterval || !e.housekeepingDone
	if due {
		e.housekeepingDone = true
		e.lastHousekeeping = e.now
		e.housekeep()
	}
	e.placeHoldOwners(true)
	e.placeClass(ClassUrgent)
	e.preemptUrgent()
	e.placeHoldOwners(false)
	if due {
		e.placeOverdue()
	}
	e.placeClass(ClassService)
	e.placeClass(ClassBatch)
	if due {
		e.makeReservations()
		e.preemptWaiting()
		e.preemptBlockingBackfill()
	}
	e.accrueDeficits()
	return e.decisions
}

func (e *engine) housekeep() {
	e.expireHolds()
	e.expirePreemptions()
	e.releaseQuarantined()
	e.preemptOvercommitted()
	e.unblockShapes()
}

// unblockShapes unblocks the shapes that may now fit on an endpoint whose free
// capacity has grown.
func (e *engine) unblockShapes() {
	for _, ep := range e.endpoints.gainedCapacity {
		ep.gainedCapacity = false
		if ep.schedulable(e.now) {
			e.shapes.unblockFitting(ep)
		}
	}
	e.endpoints.gainedCapacity = e.endpoints.gainedCapacity[:0]
}

func (e *engine) limitReached() bool {
	return len(e.decisions) >= e.limit || e.failedSearches >= maxFailedSearches
}

// placeClass starts waiting work of a class, in the order of nextBucket.
func (e *engine) placeClass(class Class) {
	for !e.limitReached() {
		b := e.nextBucket(class)
		if b == nil {
			return
		}
		if !e.tryPlace(b.head()) {
			e.shapes.blockAfterMiss(b.shape, len(e.holdOwners) > 0)
			e.failedSearches++
		}
	}
}

// nextBucket returns the bucket whose head is placed next among the work of a
// class that may fit, or nil if there is none. The team with the lowest shareKey
// goes first, then the order is by priority and age.
func (e *engine) nextBucket(class Class) *bucket {
	var best readyBucket
	for _, s := range e.shapes.open {
		for _, r := range s.ready[class] {
			if best.team != nil && !r.before(best) {
				continue
			}
			if remaining := r.team.remainingTasks(); remaining > 0 && r.bucket.head().gangSize() <= remaining {
				best = r
			}
		}
	}
	return best.bucket
}

// before reports whether the head of r is placed before the head of o.
func (r readyBucket) before(o readyBucket) bool {
	if r.team == o.team {
		return r.bucket.before(o.bucket)
	}
	if r.team.shareKey != o.team.shareKey {
		return r.team.shareKey < o.team.shareKey
	}
	return r.team.Name < o.team.Name
}

// placeHoldOwners starts work whose held capacity has become free.
func (e *engine) placeHoldOwners(urgent bool) {
	for i := 0; i < len(e.holdOwners) && !e.limitReached(); {
		it := e.holdOwners[i]
		t, overdue := it.bucket.team, e.overdue(it.bucket.team, it)
		if (it.Class == ClassUrgent) != urgent || !it.holdsFree() || t.remainingTasks() < max(1, it.gangSize()) || !e.tryPlace(it) {
			i++
			continue
		}
		if overdue {
			t.lastOverdueStart = e.now
		}
	}
}

// overdue reports whether the item has waited so long that it goes before all
// work that is not urgent. Each team has one such start per PromoteInterval.
func (e *engine) overdue(t *team, it *workItem) bool {
	return e.now-it.Enqueued >= e.policy.StarveAfter && e.now-t.lastOverdueStart >= e.policy.PromoteInterval
}

// placeOverdue starts the oldest work of each team whose oldest work is overdue.
func (e *engine) placeOverdue() {
	for _, t := range e.teamList {
		if e.limitReached() {
			return
		}
		it := t.oldest()
		if it == nil || !e.overdue(t, it) || t.remainingTasks() < max(1, it.gangSize()) {
			continue
		}
		if e.tryPlace(it) {
			t.lastOverdueStart = e.now
		}
	}
}

// oldest returns the team's oldest waiting work that is not urgent, or nil.
func (t *team) oldest() *workItem {
	var oldest *workItem
	for _, class := range []Class{ClassService, ClassBatch} {
		for _, b := range t.queues[class].buckets {
			if len(b.items) > 0 && (oldest == nil || older(b.head(), oldest)) {
				oldest = b.head()
			}
		}
	}
	return oldest
}

// tryPlace starts one task of the item, or all tasks of a gang, and reports
// whether they fit.
func (e *engine) tryPlace(it *workItem) bool {
	c := e.candidateOf(it)
	if it.Gang {
		return e.tryPlaceGang(it, c)
	}
	ep := e.bestEndpoint(c)
	if ep == nil {
		return false
	}
	t := it.bucket.team
	e.place(c, it.Tasks[0], ep)
	it.Tasks = it.Tasks[1:]
	t.queues[it.Class].waiting--
	t.waiting--
	t.queued = t.queued.Sub(it.Size)
	e.releaseTaskHold(it, ep)
	if len(it.Tasks) == 0 {
		e.removeItem(it)
	}
	return true
}

func (e *engine) tryPlaceGang(it *workItem, c *candidate) bool {
	chosen := e.chooseGang(c)
	if chosen == nil {
		return false
	}
	for i, ep := range chosen {
		e.place(c, it.Tasks[i], ep)
	}
	if e.overdue(it.bucket.team, it) {
		it.bucket.team.lastOverdueStart = e.now
	}
	e.removeItem(it)
	return true
}

// place starts the task with the given id on ep.
func (e *engine) place(c *candidate, id string, ep *endpoint) {
	it := c.item
	backfill := len(ep.holds) > 0 && c.holdAccess >= accessBackfill && !c.size.Fits(ep.capacityFor(c))
	tk := e.start(RunningTask{
		Task: id, Work: it.ID, Endpoint: ep.ID, Team: it.Team, Queue: it.Queue, Class: it.Class, Size: it.Size,
		Idempotent: it.Idempotent, Preemptible: it.Preemptible, Started: e.now, RunTime: it.RunTime,
	}, c.size)
	tk.backfill = backfill
	e.shapes.blockUnfit(ep)
	if ep.health.probation > 0 {
		tk.onProbation = true
		ep.health.probationRunning++
	}
	e.decisions = append(e.decisions, Decision{Work: it.ID, Task: id, Endpoint: ep.ID})
}
