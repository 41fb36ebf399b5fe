package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// maxBuckets bounds the distinct kinds of work that one team's queue of a
// class tells apart; further kinds share one bucket, in order of arrival.
const maxBuckets = 64

// item is work that waits.
type item struct {
	Work
	seq    uint64
	bucket *bucket
	// variant is fixed when the work is queued.
	variant variant
	// at is the position in the bucket's heap.
	at int
	// holds is the room kept for the work.
	holds []*hold
	// holdLimit is the length of the next reservation, 0 for the policy's.
	holdLimit time.Duration
	// reserveAt is the earliest time of the next reservation.
	reserveAt time.Duration
}

// gangSize returns the number of tasks that must start together, 0 for work
// that is not a gang.
func (it *item) gangSize() int {
	if it.Gang {
		return len(it.Tasks)
	}
	return 0
}

// itemHeap orders items by arrival.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return older(h[i], h[j]) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.at = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*h = old[:last]
	return it
}

func older(a, b *item) bool {
	if a.Enqueued != b.Enqueued {
		return a.Enqueued < b.Enqueued
	}
	return a.seq < b.seq
}

// bucketKey is what waiting works must have in common to be interchangeable
// but for their age.
type bucketKey struct {
	priority int
	queue    string
	size     Resources
	runner   bool
	gang     int
	variant  variant
}

func keyOf(it *item) bucketKey {
	return bucketKey{
		priority: it.Priority, queue: it.Queue, size: it.Size, runner: it.Runner, gang: it.gangSize(), variant: it.variant,
	}
}

// bucket holds works of one team and class that are alike, oldest first.
type bucket struct {
	key   bucketKey
	class Class
	team  *team
	items itemHeap
	shape *shape
	// mixed buckets hold works that differ; their shape is that of the head.
	mixed bool
	// readyAt is the position in the shape's list of buckets with work.
	readyAt int
	// preemptAt is the earliest time of the next search for victims.
	preemptAt time.Duration
}

func (b *bucket) head() *item { return b.items[0] }

// before reports whether b's head is placed before o's within a team.
func (b *bucket) before(o *bucket) bool {
	x, y := b.head(), o.head()
	if x.Priority != y.Priority {
		return x.Priority > y.Priority
	}
	return older(x, y)
}

// teamQueue is the waiting work of one team and class.
type teamQueue struct {
	buckets []*bucket
	byKey   map[bucketKey]*bucket
	mixed   *bucket
	// waiting counts tasks.
	waiting int
}

// push queues it in the bucket of its kind.
func (e *engine) push(t *team, it *item) {
	q := &t.queues[it.Class]
	it.variant = e.variantOf(t, it)
	b := e.bucketFor(t, q, it)
	it.bucket = b
	heap.Push(&b.items, it)
	if len(b.items) == 1 {
		b.shape.addReady(b)
		e.reshape(b)
	} else if b.mixed {
		e.reshape(b)
	}
	q.waiting += len(it.Tasks)
	t.waiting += len(it.Tasks)
	t.queued = t.queued.Add(it.Size.Scale(int64(len(it.Tasks))))
}

// pull removes it from its bucket.
func (e *engine) pull(it *item) {
	b := it.bucket
	heap.Remove(&b.items, it.at)
	if len(b.items) == 0 {
		b.shape.removeReady(b)
	} else if b.mixed {
		e.reshape(b)
	}
	b.team.queues[it.Class].waiting -= len(it.Tasks)
	b.team.waiting -= len(it.Tasks)
	b.team.queued = b.team.queued.Sub(it.Size.Scale(int64(len(it.Tasks))))
	it.bucket = nil
}

func (e *engine) bucketFor(t *team, q *teamQueue, it *item) *bucket {
	key := keyOf(it)
	if b, ok := q.byKey[key]; ok {
		return b
	}
	if len(q.buckets) >= maxBuckets {
		e.dropEmptyBuckets(q)
	}
	if len(q.buckets) >= maxBuckets {
		return e.mixedBucket(t, q, it)
	}
	b := &bucket{key: key, class: it.Class, team: t}
	b.shape = e.shapes.acquire(e.shapeKeyOf(b, it))
	q.buckets = append(q.buckets, b)
	if q.byKey == nil {
		q.byKey = map[bucketKey]*bucket{}
	}
	q.byKey[key] = b
	return b
}

func (e *engine) mixedBucket(t *team, q *teamQueue, it *item) *bucket {
	if q.mixed == nil {
		q.mixed = &bucket{class: it.Class, team: t, mixed: true}
		q.mixed.shape = e.shapes.acquire(e.shapeKeyOf(q.mixed, it))
		q.buckets = append(q.buckets, q.mixed)
	}
	return q.mixed
}

// dropEmptyBuckets makes place for new kinds; empty buckets are kept until
// then because the same kinds of work tend to come back.
func (e *engine) dropEmptyBuckets(q *teamQueue) {
	q.buckets = slices.DeleteFunc(q.buckets, func(b *bucket) bool {
		if len(b.items) > 0 || b.mixed {
			return false
		}
		delete(q.byKey, b.key)
		e.shapes.release(b.shape)
		return true
	})
}

// compareTeams orders teams by name.
func compareTeams(a, b *team) int { return cmp.Compare(a.Name, b.Name) }
