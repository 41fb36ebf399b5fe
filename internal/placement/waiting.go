package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// maxBuckets bounds the buckets of one teamQueue. Further kinds of work share
// one mixed bucket, in order of arrival.
const maxBuckets = 64

// workItem is waiting work.
type workItem struct {
	Work
	seq    uint64
	bucket *bucket
	// holdAccess is determined when the work is queued.
	holdAccess holdAccess
	// heapIndex is the item's index in the bucket's heap.
	heapIndex int
	// holds lists the capacity that is held for the work.
	holds []*hold
	// reservationTimeout is the length of the next reservation, 0 for that of
	// the policy.
	reservationTimeout time.Duration
	// nextReservation is the earliest time of the next reservation.
	nextReservation time.Duration
}

// gangSize returns the number of tasks that must start together, or 0 if the
// work is not a gang.
func (it *workItem) gangSize() int {
	if it.Gang {
		return len(it.Tasks)
	}
	return 0
}

// itemHeap orders items by arrival.
type itemHeap []*workItem

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return older(h[i], h[j]) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*workItem)
	it.heapIndex = len(*h)
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

// older reports whether a was enqueued before b. The order of submission decides
// between equal times.
func older(a, b *workItem) bool {
	if a.Enqueued != b.Enqueued {
		return a.Enqueued < b.Enqueued
	}
	return a.seq < b.seq
}

// bucketKey holds the properties that items in one bucket have in common. They
// differ in age only.
type bucketKey struct {
	priority   int
	queue      string
	size       Resources
	runner     bool
	gang       int
	holdAccess holdAccess
}

func bucketKeyOf(it *workItem) bucketKey {
	return bucketKey{
		priority: it.Priority, queue: it.Queue, size: it.Size, runner: it.Runner, gang: it.gangSize(), holdAccess: it.holdAccess,
	}
}

// bucket holds waiting items of one team and class with the same key, oldest
// first.
type bucket struct {
	key   bucketKey
	class Class
	team  *team
	items itemHeap
	shape *shape
	// mixed is set for the bucket of items with different keys. Its shape is
	// that of its head.
	mixed bool
	// readyIndex is the index in the shape's list of buckets with work.
	readyIndex int
	// nextPreemption is the earliest time of the next search for victims.
	nextPreemption time.Duration
}

func (b *bucket) head() *workItem { return b.items[0] }

// before reports whether the head of b is placed before the head of o. Both
// belong to the same team.
func (b *bucket) before(o *bucket) bool {
	x, y := b.head(), o.head()
	if x.Priority != y.Priority {
		return x.Priority > y.Priority
	}
	return older(x, y)
}

// teamQueue holds the waiting work of one team and class.
type teamQueue struct {
	buckets []*bucket
	byKey   map[bucketKey]*bucket
	mixed   *bucket
	// waiting is the number of waiting tasks.
	waiting int
}

// enqueue adds the item to the bucket with its key.
func (e *engine) enqueue(t *team, it *workItem) {
	q := &t.queues[it.Class]
	it.holdAccess = e.holdAccessOf(t, it)
	b := e.bucketFor(t, q, it)
	it.bucket = b
	heap.Push(&b.items, it)
	if len(b.items) == 1 {
		b.shape.addReady(b)
		e.updateShape(b)
	} else if b.mixed {
		e.updateShape(b)
	}
	q.waiting += len(it.Tasks)
	t.waiting += len(it.Tasks)
	t.queued = t.queued.Add(it.Size.Scale(int64(len(it.Tasks))))
}

// dequeue removes the item from its bucket.
func (e *engine) dequeue(it *workItem) {
	b := it.bucket
	heap.Remove(&b.items, it.heapIndex)
	if len(b.items) == 0 {
		b.shape.removeReady(b)
	} else if b.mixed {
		e.updateShape(b)
	}
	b.team.queues[it.Class].waiting -= len(it.Tasks)
	b.team.waiting -= len(it.Tasks)
	b.team.queued = b.team.queued.Sub(it.Size.Scale(int64(len(it.Tasks))))
	it.bucket = nil
}

func (e *engine) bucketFor(t *team, q *teamQueue, it *workItem) *bucket {
	key := bucketKeyOf(it)
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

func (e *engine) mixedBucket(t *team, q *teamQueue, it *workItem) *bucket {
	if q.mixed == nil {
		q.mixed = &bucket{class: it.Class, team: t, mixed: true}
		q.mixed.shape = e.shapes.acquire(e.shapeKeyOf(q.mixed, it))
		q.buckets = append(q.buckets, q.mixed)
	}
	return q.mixed
}

// dropEmptyBuckets removes the empty buckets. They are kept until maxBuckets is
// reached because the same kinds of work tend to come back.
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
