package holder

import (
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// batchBytes bounds the entries of one group commit, below the size of the
// largest log record.
const batchBytes = 512 << 10

// sized is an entry that knows about how many bytes it takes in a record.
type sized interface{ size() int }

// batcher commits entries in groups: while one group is on its way to the log
// the next one gathers, so that the rate of appends doesn't grow with the rate
// of entries.
type batcher[E sized] struct {
	commit func([]E) (again []E)
	// gap is the least time between the begins of two commits. It bounds the
	// appends of a zone whatever the rate of entries.
	gap time.Duration

	mu      sync.Mutex
	waiting []E
	wake    chan struct{}
}

// newBatcher returns a batcher that calls commit with each group; what commit
// returns goes into the next group again.
func newBatcher[E sized](gap time.Duration, commit func([]E) []E) *batcher[E] {
	return &batcher[E]{commit: commit, gap: gap, wake: make(chan struct{}, 1)}
}

// add queues an entry.
func (b *batcher[E]) add(e E) {
	b.mu.Lock()
	b.waiting = append(b.waiting, e)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run commits groups until t dies.
func (b *batcher[E]) run(t *tomb.Tomb) error {
	for {
		select {
		case <-t.Dying():
			return nil
		case <-b.wake:
		}
		for t.Alive() {
			group := b.take()
			if len(group) == 0 {
				break
			}
			began := time.Now()
			b.putBack(b.commit(group))
			rest(t, b.gap-time.Since(began))
		}
	}
}

// take removes the next group.
func (b *batcher[E]) take() []E {
	b.mu.Lock()
	defer b.mu.Unlock()
	total, n := 0, 0
	for n < len(b.waiting) {
		total += b.waiting[n].size()
		if total > batchBytes && n > 0 {
			break
		}
		n++
	}
	group := append([]E(nil), b.waiting[:n]...)
	b.waiting = b.waiting[n:]
	return group
}

// putBack queues entries ahead of all others.
func (b *batcher[E]) putBack(again []E) {
	if len(again) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(again, b.waiting...)
}

// rest waits for d or until t dies.
func rest(t *tomb.Tomb, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.Dying():
	case <-timer.C:
	}
}
