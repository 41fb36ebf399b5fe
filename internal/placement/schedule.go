package placement

import "time"

const (
	// housekeepInterval is how often reservations, quarantine, promotions
	// and preemption by age are looked at.
	housekeepInterval = time.Second
	// maxMisses bounds the searches without result in one Schedule call; the
	// next call goes on after them.
	maxMisses = 512
)

// Schedule implements Engine. The order is: urgent work, work with room held
// for it, overdue work, services, batch.
func (e *engine) Schedule(now time.Duration, limit int) []Decision {
	e.now = max(e.now, now)
	e.limit = limit
	e.out = nil
	e.misses = 0
	e.wake()
	due := e.now-e.housekeptAt >= housekeepInterval || !e.housekept
	if due {
		e.housekept = true
		e.housekeptAt = e.now
		e.keepHouse()
	}
	e.placeOwners(true)
	e.placeClass(ClassUrgent)
	e.preemptUrgent()
	e.placeOwners(false)
	if due {
		e.promote()
	}
	e.placeClass(ClassService)
	e.placeClass(ClassBatch)
	if due {
		e.reserve()
		e.preemptWaiting()
		e.clearBackfill()
	}
	e.accrue()
	return e.out
}

func (e *engine) keepHouse() {
	e.expireHolds()
	e.expirePreemptions()
	e.releaseQuarantined()
	e.relieveOverfull()
	e.wake()
}

// wake looks at the endpoints that have gained room and unblocks the shapes
// that may fit there now.
func (e *engine) wake() {
	for _, ep := range e.fleet.grown {
		ep.grown = false
		if ep.open(e.now) {
			e.shapes.wake(ep)
		}
	}
	e.fleet.grown = e.fleet.grown[:0]
}

func (e *engine) done() bool { return len(e.out) >= e.limit || e.misses >= maxMisses }

// placeClass starts waiting work of a class, the least served team first.
func (e *engine) placeClass(class Class) {
	for !e.done() {
		b := e.next(class)
		if b == nil {
			return
		}
		if !e.attempt(b.head()) {
			e.shapes.missed(b.shape, len(e.owners) > 0)
			e.misses++
		}
	}
}

// next returns the bucket whose head goes next among the work of a class that
// may fit, nil if there is none: that of the team with the least key, then by
// priority and age.
func (e *engine) next(class Class) *bucket {
	var best readyBucket
	for _, s := range e.shapes.open {
		for _, r := range s.ready[class] {
			if best.team != nil && !r.before(best) {
				continue
			}
			if room := r.team.room(); room > 0 && r.bucket.head().gangSize() <= room {
				best = r
			}
		}
	}
	return best.bucket
}

// before reports whether r's head is placed before o's.
func (r readyBucket) before(o readyBucket) bool {
	if r.team == o.team {
		return r.bucket.before(o.bucket)
	}
	if r.team.key != o.team.key {
		return r.team.key < o.team.key
	}
	return r.team.Name < o.team.Name
}

// placeOwners starts work whose held room has become free.
func (e *engine) placeOwners(urgent bool) {
	for i := 0; i < len(e.owners) && !e.done(); {
		it := e.owners[i]
		t, overdue := it.bucket.team, e.overdue(it.bucket.team, it)
		if (it.Class == ClassUrgent) != urgent || !it.holdsReady() || t.room() < max(1, it.gangSize()) || !e.attempt(it) {
			i++
			continue
		}
		if overdue {
			t.promotedAt = e.now
		}
	}
}

// overdue reports whether it has waited so long that it goes before all but
// urgent work; each team has one such start per PromoteInterval.
func (e *engine) overdue(t *team, it *item) bool {
	return e.now-it.Enqueued >= e.policy.StarveAfter && e.now-t.promotedAt >= e.policy.PromoteInterval
}

// promote starts the oldest work of each team in which it is overdue.
func (e *engine) promote() {
	for _, t := range e.teamList {
		if e.done() {
			return
		}
		it := t.oldest()
		if it == nil || !e.overdue(t, it) || t.room() < max(1, it.gangSize()) {
			continue
		}
		if e.attempt(it) {
			t.promotedAt = e.now
		}
	}
}

// oldest returns the team's work that has waited the longest, urgent work
// excepted.
func (t *team) oldest() *item {
	var oldest *item
	for _, class := range []Class{ClassService, ClassBatch} {
		for _, b := range t.queues[class].buckets {
			if len(b.items) > 0 && (oldest == nil || older(b.head(), oldest)) {
				oldest = b.head()
			}
		}
	}
	return oldest
}

// attempt starts one task of it, or the whole of a gang, and reports whether
// there was room.
func (e *engine) attempt(it *item) bool {
	c := e.candidateOf(it)
	if it.Gang {
		return e.attemptGang(it, c)
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
	e.consume(it, ep)
	if len(it.Tasks) == 0 {
		e.forget(it)
	}
	return true
}

func (e *engine) attemptGang(it *item, c *candidate) bool {
	chosen := e.chooseGang(c)
	if chosen == nil {
		return false
	}
	for i, ep := range chosen {
		e.place(c, it.Tasks[i], ep)
	}
	if e.overdue(it.bucket.team, it) {
		it.bucket.team.promotedAt = e.now
	}
	e.forget(it)
	return true
}

// place starts one task on ep.
func (e *engine) place(c *candidate, id string, ep *endpoint) {
	it := c.item
	backfill := len(ep.holds) > 0 && c.variant >= variantBackfill && !c.size.Fits(ep.roomFor(c))
	tk := e.start(RunningTask{
		Task: id, Work: it.ID, Endpoint: ep.ID, Team: it.Team, Queue: it.Queue, Class: it.Class, Size: it.Size,
		Idempotent: it.Idempotent, Preemptible: it.Preemptible, Started: e.now, RunTime: it.RunTime,
	}, c.size)
	tk.backfill = backfill
	e.shapes.shrunk(ep)
	if ep.health.probation > 0 {
		tk.probe = true
		ep.health.running++
	}
	e.out = append(e.out, Decision{Work: it.ID, Task: id, Endpoint: ep.ID})
}
