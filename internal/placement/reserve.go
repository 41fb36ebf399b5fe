package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// largePart is the part of the largest endpoint from which on a single
	// task is reserved for like a gang.
	largePart = 0.5
	// unknownRun is assumed for running tasks of unknown run time.
	unknownRun = time.Minute
	// overrunFactor is the part of its age that a task which has outlived its
	// expected run time is expected to go on.
	overrunFactor = 0.25
	// replanAfter is how long past its expected start a reservation keeps
	// its endpoints before others are chosen.
	replanAfter = 5 * time.Second
	// maxReservations bounds the reservations of a zone at the same time.
	maxReservations = 3
	// reserveBackoff is the wait after a reservation could not be planned.
	reserveBackoff = 30 * time.Second
)

// reservation is a plan to start its owner on room that is held. A plan leaves
// alone what earlier ones hold and waits for running tasks only, so that no two
// gangs wait for each other.
type reservation struct {
	owner *item
	// shadow is when all its room is expected to be free.
	shadow  time.Duration
	expires time.Duration
}

// opening is a moment at which an endpoint gains room for copies more tasks.
type opening struct {
	at     time.Duration
	ep     *endpoint
	copies int64
}

// reserve takes out a reservation for the work that has first claim to one,
// and renews the plans that are late.
func (e *engine) reserve() {
	for _, r := range slices.Clone(e.reservations) {
		if e.now > r.shadow+replanAfter {
			e.abandon(r.owner)
			e.planReservation(r.owner, r.expires)
		}
	}
	if len(e.reservations) >= maxReservations {
		return
	}
	if it := e.reservationCandidate(); it != nil {
		e.planReservation(it, e.now+e.holdLimit(it))
	}
}

// reservationOf returns the reservation of it, nil if there is none.
func (e *engine) reservationOf(it *item) *reservation {
	for _, r := range e.reservations {
		if r.owner == it {
			return r
		}
	}
	return nil
}

func (e *engine) planReservation(it *item, expires time.Duration) {
	openings, ok := e.planOpenings(it)
	if !ok {
		it.reserveAt = e.now + reserveBackoff
		return
	}
	shadow := max(e.now, openings[len(openings)-1].at)
	size := e.effectiveSize(it.bucket.team, it)
	e.reservations = append(e.reservations, &reservation{owner: it, shadow: shadow, expires: expires})
	firm := e.overdue(it.bucket.team, it)
	for _, o := range openings {
		e.holdOpening(hold{owner: it, ep: o.ep, size: size, count: o.copies, firm: firm, ready: shadow, expires: expires})
	}
}

// holdOpening adds a hold, or widens the one on the same endpoint.
func (e *engine) holdOpening(more hold) {
	for _, h := range more.owner.holds {
		if h.ep == more.ep {
			h.count += more.count
			more.owner.bucket.team.held += int(more.count)
			return
		}
	}
	e.addHold(&more)
}

// reservationCandidate returns the blocked work that may be reserved for:
// overdue work by age, then by class, least served team and age.
func (e *engine) reservationCandidate() *item {
	var best *item
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

func reserveBefore(a *item, aOverdue bool, b *item, bOverdue bool) bool {
	if aOverdue != bOverdue {
		return aOverdue
	}
	if !aOverdue {
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		if x, y := a.bucket.team.key, b.bucket.team.key; x != y {
			return x < y
		}
	}
	return older(a, b)
}

// mayReserve reports whether the head of b waits for room that it is unlikely
// to get in competition with smaller tasks, and its team is not above its
// share.
func (e *engine) mayReserve(t *team, b *bucket) bool {
	if len(b.items) == 0 || !b.shape.blocked || t.room() < max(1, b.head().gangSize()) {
		return false
	}
	it := b.head()
	if it.reserveAt > e.now || len(it.holds) > 0 {
		return false
	}
	if e.overdue(t, it) {
		return true
	}
	if e.now-it.Enqueued < e.policy.ReserveAfter || e.level > 0 && t.key > e.level {
		return false
	}
	return it.gangSize() > 1 || e.large(it)
}

func (e *engine) large(it *item) bool {
	var largest Resources
	for _, ep := range e.fleet.kind(it.Runner) {
		largest = largest.Max(ep.Capacity)
	}
	return dominant(it.Size, inverse(largest)) >= largePart
}

// planOpenings returns where and when the tasks of it would fit earliest if
// running tasks end as expected and nothing else is placed there. It fails if
// tasks that don't end are in the way.
func (e *engine) planOpenings(it *item) ([]opening, bool) {
	need := int64(max(1, it.gangSize()))
	size := e.effectiveSize(it.bucket.team, it)
	openings := e.scratch.openings[:0]
	for _, ep := range e.fleet.kind(it.Runner) {
		if ep.available && ep.health.until <= e.now && ep.health.probation == 0 {
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

// endpointOpenings appends the openings of one endpoint as its tasks end.
func (e *engine) endpointOpenings(out []opening, ep *endpoint, it *item, size Resources, need int64) []opening {
	room := ep.roomFor(e.candidateOf(it))
	copies := size.Copies(room, need)
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
		room = room.Add(end.frees)
		if n := size.Copies(room, need); n > copies {
			out = append(out, opening{end.at, ep, n - copies})
			copies = n
		}
	}
	return out
}

type taskEnd struct {
	at    time.Duration
	frees Resources
}

// expectedEnd returns when a running task is likely to end; it is false for
// services, which don't.
func (e *engine) expectedEnd(tk *task) (time.Duration, bool) {
	run := max(tk.RunTime, tk.source.typicalRun)
	if run == 0 {
		if tk.Class == ClassService {
			return 0, false
		}
		run = unknownRun
	}
	age := e.now - tk.Started
	if age >= run {
		return e.now + time.Duration(overrunFactor*float64(age)), true
	}
	return tk.Started + run, true
}

// clearBackfill preempts backfilled tasks once they alone keep the owner of a
// reservation from starting.
func (e *engine) clearBackfill() {
	for _, r := range e.reservations {
		if len(e.out) >= e.limit {
			return
		}
		if r.owner.onlyBackfillInTheWay() {
			e.stopBackfill(r.owner)
		}
	}
}

func (it *item) onlyBackfillInTheWay() bool {
	for _, h := range it.holds {
		if !h.size.Scale(h.count).Fits(h.ep.free.Add(h.ep.backfilled())) {
			return false
		}
	}
	return true
}

func (e *engine) stopBackfill(it *item) {
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

// backfilled returns the room that backfilled tasks would give back.
func (ep *endpoint) backfilled() Resources {
	var sum Resources
	for _, tk := range ep.tasks {
		if tk.backfill {
			sum = sum.Add(tk.charged)
		}
	}
	return sum
}
