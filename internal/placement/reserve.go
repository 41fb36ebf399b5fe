package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// largeTaskFraction is the fraction of the largest endpoint that a task must
	// need for capacity to be reserved for it as for a gang.
	largeTaskFraction = 0.5
	// defaultRunTime is assumed for running tasks of unknown run time.
	defaultRunTime = time.Minute
	// overrunFactor is the fraction of its age for which a task that has
	// exceeded its expected run time is expected to continue.
	overrunFactor = 0.25
	// replanAfter is how long after its expected start a reservation keeps its
	// endpoints before it is planned again.
	replanAfter = 5 * time.Second
	// maxReservations bounds the concurrent reservations of a zone.
	maxReservations = 3
	// reserveBackoff is the delay after a reservation could not be planned.
	reserveBackoff = 30 * time.Second
)

// reservation is a plan to start its owner on held capacity. A plan does not use
// capacity that earlier plans hold and depends on the end of running tasks only,
// so that no two gangs wait for each other.
type reservation struct {
	owner *workItem
	// expectedStart is the time at which all of its capacity is expected to
	// be free (the shadow time of backfill scheduling).
	expectedStart time.Duration
	expires       time.Duration
}

// opening is a time at which an endpoint is expected to have capacity for copies
// more tasks.
type opening struct {
	at     time.Duration
	ep     *endpoint
	copies int64
}

// makeReservations plans late reservations again and makes at most one new
// reservation, for the result of reservationCandidate.
func (e *engine) makeReservations() {
	for _, r := range slices.Clone(e.reservations) {
		if e.now > r.expectedStart+replanAfter {
			e.releaseHolds(r.owner)
			e.planReservation(r.owner, r.expires)
		}
	}
	if len(e.reservations) >= maxReservations {
		return
	}
	if it := e.reservationCandidate(); it != nil {
		e.planReservation(it, e.now+e.reservationTimeout(it))
	}
}

// reservationOf returns the item's reservation, or nil if there is none.
func (e *engine) reservationOf(it *workItem) *reservation {
	for _, r := range e.reservations {
		if r.owner == it {
			return r
		}
	}
	return nil
}

// planReservation makes a reservation for the item. If the item's openings can't
// be planned, it delays the next attempt by reserveBackoff.
func (e *engine) planReservation(it *workItem, expires time.Duration) {
	openings, ok := e.planOpenings(it)
	if !ok {
		it.nextReservation = e.now + reserveBackoff
		return
	}
	start := max(e.now, openings[len(openings)-1].at)
	size := e.effectiveSize(it.bucket.team, it)
	e.reservations = append(e.reservations, &reservation{owner: it, expectedStart: start, expires: expires})
	firm := e.overdue(it.bucket.team, it)
	for _, o := range openings {
		e.holdOpening(hold{owner: it, ep: o.ep, size: size, count: o.copies, firm: firm, expectedStart: start, expires: expires})
	}
}

// holdOpening adds a hold, or extends the owner's hold on the same endpoint.
func (e *engine) holdOpening(more hold) {
	for _, h := range more.owner.holds {
		if h.ep == more.ep {
			h.count += more.count
			more.owner.bucket.team.heldTasks += int(more.count)
			return
		}
	}
	e.addHold(&more)
}

// reservationCandidate returns the blocked work for which capacity is reserved
// next, or nil: overdue work by age, then other work by class, lowest shareKey
// of the team and age.
func (e *engine) reservationCandidate() *workItem {
	var best *workItem
	bestOverdue := false
	for _, t := range e.teamList {
		for c := range t.queues {
			for _, b := range t.queues[c].buckets {
				if !e.mayReserve(t, b) {
					continue
				}
				it, overdue := b.head(), e.overdue(t, b.head())
				if best == nil || reserveBefore(it, overdue, best, bestOverdue) {
					best, bestOverdue = it, overdue
				}
			}
		}
	}
	return best
}

func reserveBefore(a *workItem, aOverdue bool, b *workItem, bOverdue bool) bool {
	if aOverdue != bOverdue {
		return aOverdue
	}
	if !aOverdue {
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		if x, y := a.bucket.team.shareKey, b.bucket.team.shareKey; x != y {
			return x < y
		}
	}
	return older(a, b)
}

// mayReserve reports whether capacity may be reserved for the head of b: it is
// overdue, or it is a gang or a large task, which rarely finds enough free
// capacity in competition with smaller tasks, and its team is not above its fair
// share.
func (e *engine) mayReserve(t *team, b *bucket) bool {
	if len(b.items) == 0 || !b.shape.blocked || t.remainingTasks() < max(1, b.head().gangSize()) {
		return false
	}
	it := b.head()
	if it.nextReservation > e.now || len(it.holds) > 0 {
		return false
	}
	if e.overdue(t, it) {
		return true
	}
	if e.now-it.Enqueued < e.policy.ReserveAfter || e.contendingLevel > 0 && t.shareKey > e.contendingLevel {
		return false
	}
	return it.gangSize() > 1 || e.isLarge(it)
}

func (e *engine) isLarge(it *workItem) bool {
	var largest Resources
	for _, ep := range e.endpoints.byKind(it.Runner) {
		largest = largest.Max(ep.Capacity)
	}
	return dominantShare(it.Size, inverse(largest)) >= largeTaskFraction
}

// planOpenings returns where and when the item's tasks would fit earliest if
// running tasks end as expected and no other task is placed there. It returns
// false if the tasks never all fit because some running tasks do not end.
func (e *engine) planOpenings(it *workItem) ([]opening, bool) {
	need := int64(max(1, it.gangSize()))
	size := e.effectiveSize(it.bucket.team, it)
	openings := e.scratch.openings[:0]
	for _, ep := range e.endpoints.byKind(it.Runner) {
		if ep.available && ep.health.quarantinedUntil <= e.now && ep.health.probation == 0 {
			openings = e.endpointOpenings(openings, ep, it, size, need)
		}
	}
	e.scratch.openings = openings
	slices.SortStableFunc(openings, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
	for i, o := range openings {
		if o.copies >= need {
			openings[i].copies = need
			return openings[:i+1], true
		}
		need -= o.copies
	}
	return nil, false
}

// endpointOpenings appends the openings of one endpoint, at present and as its
// tasks end.
func (e *engine) endpointOpenings(out []opening, ep *endpoint, it *workItem, size Resources, need int64) []opening {
	free := ep.capacityFor(e.candidateOf(it))
	copies := size.Copies(free, need)
	if copies > 0 {
		out = append(out, opening{e.now, ep, copies})
	}
	ends := e.scratch.ends[:0]
	for _, tk := range ep.tasks {
		if end, ok := e.expectedEnd(tk); ok {
			ends = append(ends, taskEnd{end, tk.charged})
		}
	}
	e.scratch.ends = ends
	slices.SortStableFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.at, b.at) })
	for _, end := range ends {
		free = free.Add(end.frees)
		if n := size.Copies(free, need); n > copies {
			out = append(out, opening{end.at, ep, n - copies})
			copies = n
		}
	}
	return out
}

// taskEnd is the expected end of a running task and the capacity that it frees.
type taskEnd struct {
	at    time.Duration
	frees Resources
}

// expectedEnd returns when a running task is likely to end. It returns false for
// services without a known run time, which are not expected to end.
func (e *engine) expectedEnd(tk *task) (time.Duration, bool) {
	run := max(tk.RunTime, tk.stats.typicalRunTime)
	if run == 0 {
		if tk.Class == ClassService {
			return 0, false
		}
		run = defaultRunTime
	}
	age := e.now - tk.Started
	if age >= run {
		return e.now + time.Duration(overrunFactor*float64(age)), true
	}
	return tk.Started + run, true
}

// preemptBlockingBackfill preempts backfilled tasks once they are the only
// obstacle to the start of a reservation's owner.
func (e *engine) preemptBlockingBackfill() {
	for _, r := range e.reservations {
		if len(e.decisions) >= e.limit {
			return
		}
		if r.owner.blockedByBackfillOnly() {
			e.preemptBackfill(r.owner)
		}
	}
}

// blockedByBackfillOnly reports whether all holds of the item would be free if
// the backfilled tasks on their endpoints ended.
func (it *workItem) blockedByBackfillOnly() bool {
	for _, h := range it.holds {
		if !h.size.Scale(h.count).Fits(h.ep.free.Add(h.ep.backfillUsage())) {
			return false
		}
	}
	return true
}

// preemptBackfill preempts the backfilled tasks on the endpoints where the
// item's held capacity is not free.
func (e *engine) preemptBackfill(it *workItem) {
	for _, h := range it.holds {
		if h.size.Scale(h.count).Fits(h.ep.free) {
			continue
		}
		for _, tk := range h.ep.tasks {
			if tk.backfill && tk.mayPreempt() {
				e.preempt(tk)
			}
		}
	}
}

// backfillUsage returns the capacity that the end of all backfilled tasks would
// free.
func (ep *endpoint) backfillUsage() Resources {
	var sum Resources
	for _, tk := range ep.tasks {
		if tk.backfill {
			sum = sum.Add(tk.charged)
		}
	}
	return sum
}
