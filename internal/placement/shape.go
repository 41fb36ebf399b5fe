package placement

import "time"

// variant says which room on held endpoints work may use.
type variant int8

const (
	variantUrgent variant = iota
	variantService
	variantPlain
	// variantBackfill and above may use held room for backfillRuns of the rest.
	variantBackfill
)

// backfillRuns are the run times that are told apart for backfill; longer
// tasks are not backfilled.
var backfillRuns = [...]time.Duration{15 * time.Second, time.Minute, 4 * time.Minute, 16 * time.Minute}

// shapeKey is all that decides whether work fits: works of one key fit or
// don't fit together, whichever team they belong to.
type shapeKey struct {
	size    Resources
	runner  bool
	gang    int
	variant variant
}

// shape remembers that work of its key does not fit at present, so that the
// endpoints are not searched again until one of them has gained room.
type shape struct {
	key     shapeKey
	refs    int
	blocked bool
	// at is the position in the list of blocked or of open shapes.
	at int
	// wokenBy is the only endpoint on which the shape may fit, nil if it may
	// fit on any.
	wokenBy *endpoint
	// ready holds the buckets with waiting work, by class.
	ready [classes][]readyBucket
}

// readyBucket repeats the bucket's team, which is compared first.
type readyBucket struct {
	team   *team
	bucket *bucket
}

func (s *shape) addReady(b *bucket) {
	b.readyAt = len(s.ready[b.class])
	s.ready[b.class] = append(s.ready[b.class], readyBucket{b.team, b})
}

func (s *shape) removeReady(b *bucket) {
	list := s.ready[b.class]
	last := len(list) - 1
	list[b.readyAt] = list[last]
	list[b.readyAt].bucket.readyAt = b.readyAt
	list[last] = readyBucket{}
	s.ready[b.class] = list[:last]
}

// shapeTable holds each shape in one of two lists.
type shapeTable struct {
	byKey   map[shapeKey]*shape
	open    []*shape
	blocked []*shape
}

func newShapeTable() shapeTable { return shapeTable{byKey: map[shapeKey]*shape{}} }

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
	s.at = len(list)
	return append(list, s)
}

func (s *shape) removeFrom(list []*shape) []*shape {
	last := len(list) - 1
	list[s.at] = list[last]
	list[s.at].at = s.at
	list[last] = nil
	return list[:last]
}

func (t *shapeTable) block(s *shape) {
	if s.blocked {
		return
	}
	t.open = s.removeFrom(t.open)
	s.blocked = true
	s.wokenBy = nil
	t.blocked = s.appendTo(t.blocked)
}

// unblock opens s; by is the only endpoint that may have room, if not nil.
func (t *shapeTable) unblock(s *shape, by *endpoint) {
	if !s.blocked {
		if s.wokenBy != by {
			s.wokenBy = nil
		}
		return
	}
	t.blocked = s.removeFrom(t.blocked)
	s.blocked = false
	s.wokenBy = by
	t.open = s.appendTo(t.open)
}

// wake unblocks the shapes of which at least one task fits on ep.
func (t *shapeTable) wake(ep *endpoint) {
	for _, s := range t.open {
		if s.wokenBy != nil && s.wokenBy != ep && s.fits(ep) {
			s.wokenBy = nil
		}
	}
	for i := len(t.blocked) - 1; i >= 0; i-- {
		if s := t.blocked[i]; s.fits(ep) {
			t.unblock(s, ep)
		}
	}
}

// shrunk blocks the shapes that only ep had room for and that no longer fit.
func (t *shapeTable) shrunk(ep *endpoint) {
	for i := len(t.open) - 1; i >= 0; i-- {
		if s := t.open[i]; s.wokenBy == ep && !s.fits(ep) {
			t.block(s)
		}
	}
}

// missed blocks s, for which the search found no room, and with it the open
// shapes that need at least as much and have no further rights to held room.
func (t *shapeTable) missed(s *shape, holds bool) {
	t.block(s)
	if s.key.gang > 0 {
		return
	}
	for i := len(t.open) - 1; i >= 0; i-- {
		o := t.open[i]
		if o.key.runner == s.key.runner && s.key.size.Fits(o.key.size) && (!holds || o.key.variant == s.key.variant) {
			t.block(o)
		}
	}
}

func (s *shape) fits(ep *endpoint) bool {
	return s.key.runner == ep.Runner && s.key.size.Fits(ep.free)
}

// shapeKeyOf returns the key of it in bucket b.
func (e *engine) shapeKeyOf(b *bucket, it *item) shapeKey {
	return shapeKey{
		size: e.effectiveSize(b.team, it), runner: it.Runner, gang: it.gangSize(), variant: it.variant,
	}
}

// variantOf returns what it may do with held room. Only tasks that can be
// stopped again without harm are placed there, for a known run time.
func (e *engine) variantOf(t *team, it *item) variant {
	switch it.Class {
	case ClassUrgent:
		return variantUrgent
	case ClassService:
		return variantService
	}
	run := e.longRun(t, it)
	if it.Gang || !it.Preemptible || !it.Idempotent || run == 0 {
		return variantPlain
	}
	for i, longest := range backfillRuns {
		if run <= longest {
			return variantBackfill + variant(i)
		}
	}
	return variantPlain
}

// backfillRun returns the run time that a backfill variant stands for.
func (v variant) backfillRun() time.Duration { return backfillRuns[v-variantBackfill] }

// reshape renews the shape of b after its head, or what has been learned about
// its queue, has changed.
func (e *engine) reshape(b *bucket) {
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
