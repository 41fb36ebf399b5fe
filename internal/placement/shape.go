package placement

import "time"

// holdAccess determines which held capacity work may use.
type holdAccess int8

const (
	// accessUrgent may use all holds of lower classes, firm ones included.
	accessUrgent holdAccess = iota
	// accessService may use holds of lower classes that are not firm.
	accessService
	// accessPlain may not use capacity held for other work.
	accessPlain
	// accessBackfill and the values above it may use held capacity for the run
	// time at the same position in backfillRunTimes.
	accessBackfill
)

// backfillRunTimes are the limits of the run time classes for backfill. Longer
// tasks are not backfilled.
var backfillRunTimes = [...]time.Duration{15 * time.Second, time.Minute, 4 * time.Minute, 16 * time.Minute}

// shapeKey holds all properties that decide whether work fits. Work with the
// same key either all fits or all does not fit, whichever team it belongs to.
type shapeKey struct {
	size       Resources
	runner     bool
	gang       int
	holdAccess holdAccess
}

// shape records whether work with its key is known not to fit at present
// (blocked), so that the endpoints are not searched again until the free
// capacity of one of them has grown.
type shape struct {
	key     shapeKey
	refs    int
	blocked bool
	// listIndex is the index in the list of blocked or of open shapes.
	listIndex int
	// unblockedBy is the only endpoint on which the shape may fit, or nil if
	// it may fit on any.
	unblockedBy *endpoint
	// ready holds the buckets with waiting work, by class.
	ready [classCount][]readyBucket
}

// readyBucket is a bucket with waiting work. It repeats the bucket's team, which
// is compared first.
type readyBucket struct {
	team   *team
	bucket *bucket
}

func (s *shape) addReady(b *bucket) {
	b.readyIndex = len(s.ready[b.class])
	s.ready[b.class] = append(s.ready[b.class], readyBucket{b.team, b})
}

func (s *shape) removeReady(b *bucket) {
	list := s.ready[b.class]
	last := len(list) - 1
	list[b.readyIndex] = list[last]
	list[b.readyIndex].bucket.readyIndex = b.readyIndex
	list[last] = readyBucket{}
	s.ready[b.class] = list[:last]
}

// shapeTable holds all shapes in use, each in either the open or the blocked
// list.
type shapeTable struct {
	byKey   map[shapeKey]*shape
	open    []*shape
	blocked []*shape
}

func newShapeTable() shapeTable { return shapeTable{byKey: map[shapeKey]*shape{}} }

// acquire returns the shape with the given key and adds a reference to it. A new
// shape is open.
func (t *shapeTable) acquire(key shapeKey) *shape {
	s, ok := t.byKey[key]
	if !ok {
		s = &shape{key: key}
		t.byKey[key] = s
		t.open = s.appendTo(t.open)
	}
	s.refs++
	return s
}

// release drops a reference to s and removes s with the last one.
func (t *shapeTable) release(s *shape) {
	s.refs--
	if s.refs > 0 {
		return
	}
	t.unblock(s, nil)
	t.open = s.removeFrom(t.open)
	delete(t.byKey, s.key)
}

func (s *shape) appendTo(list []*shape) []*shape {
	s.listIndex = len(list)
	return append(list, s)
}

func (s *shape) removeFrom(list []*shape) []*shape {
	last := len(list) - 1
	list[s.listIndex] = list[last]
	list[s.listIndex].listIndex = s.listIndex
	list[last] = nil
	return list[:last]
}

func (t *shapeTable) block(s *shape) {
	if s.blocked {
		return
	}
	t.open = s.removeFrom(t.open)
	s.blocked = true
	s.unblockedBy = nil
	t.blocked = s.appendTo(t.blocked)
}

// unblock moves s to the open list. If by is not nil, it is the only endpoint
// on which s may fit.
func (t *shapeTable) unblock(s *shape, by *endpoint) {
	if !s.blocked {
		if s.unblockedBy != by {
			s.unblockedBy = nil
		}
		return
	}
	t.blocked = s.removeFrom(t.blocked)
	s.blocked = false
	s.unblockedBy = by
	t.open = s.appendTo(t.open)
}

// unblockFitting unblocks the shapes of which at least one task fits on ep.
func (t *shapeTable) unblockFitting(ep *endpoint) {
	for _, s := range t.open {
		if s.unblockedBy != nil && s.unblockedBy != ep && s.fits(ep) {
			s.unblockedBy = nil
		}
	}
	for i := len(t.blocked) - 1; i >= 0; i-- {
		if s := t.blocked[i]; s.fits(ep) {
			t.unblock(s, ep)
		}
	}
}

// blockUnfit blocks the shapes that could fit on ep only and no longer do.
func (t *shapeTable) blockUnfit(ep *endpoint) {
	for i := len(t.open) - 1; i >= 0; i-- {
		if s := t.open[i]; s.unblockedBy == ep && !s.fits(ep) {
			t.block(s)
		}
	}
}

// blockAfterMiss blocks s, for which a search found no endpoint, and the open
// shapes that need at least as much and may not use more held capacity than s.
func (t *shapeTable) blockAfterMiss(s *shape, holds bool) {
	t.block(s)
	if s.key.gang > 0 {
		return
	}
	for i := len(t.open) - 1; i >= 0; i-- {
		o := t.open[i]
		if o.key.runner == s.key.runner && s.key.size.Fits(o.key.size) && (!holds || o.key.holdAccess == s.key.holdAccess) {
			t.block(o)
		}
	}
}

func (s *shape) fits(ep *endpoint) bool {
	return s.key.runner == ep.Runner && s.key.size.Fits(ep.free)
}

// shapeKeyOf returns the shape key of an item in bucket b.
func (e *engine) shapeKeyOf(b *bucket, it *workItem) shapeKey {
	return shapeKey{
		size: e.effectiveSize(b.team, it), runner: it.Runner, gang: it.gangSize(), holdAccess: it.holdAccess,
	}
}

// holdAccessOf returns which held capacity the item may use. Only preemptible and
// idempotent batch tasks with a known run time are backfilled.
func (e *engine) holdAccessOf(t *team, it *workItem) holdAccess {
	switch it.Class {
	case ClassUrgent:
		return accessUrgent
	case ClassService:
		return accessService
	}
	run := e.conservativeRunTime(t, it)
	if it.Gang || !it.Preemptible || !it.Idempotent || run == 0 {
		return accessPlain
	}
	for i, longest := range backfillRunTimes {
		if run <= longest {
			return accessBackfill + holdAccess(i)
		}
	}
	return accessPlain
}

// backfillRunTime returns the longest run time that a backfill value stands for.
func (v holdAccess) backfillRunTime() time.Duration { return backfillRunTimes[v-accessBackfill] }

// updateShape updates the shape of b after its head or the statistics of its queue
// have changed.
func (e *engine) updateShape(b *bucket) {
	if len(b.items) == 0 {
		return
	}
	key := e.shapeKeyOf(b, b.head())
	if key == b.shape.key {
		return
	}
	old := b.shape
	old.removeReady(b)
	b.shape = e.shapes.acquire(key)
	b.shape.addReady(b)
	e.shapes.release(old)
}
