package holder

import (
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// maxBatchBytes bounds the size of the entries of one group commit. It is below the
// size of the largest log record.
const maxBatchBytes = 512 << 10

// sized is an entry that can estimate its size in a record, in bytes.
type sized interface{ size() int }

// batcher commits entries in groups: while one group is being appended to the log the
// next one accumulates, so that the rate of appends does not grow with the rate of
// entries. It is safe for concurrent use.
type batcher[E sized] struct {
	commit func([]E) (retry []E)
	// minInterval is the least time between the starts of two commits. It bounds a
	// zone's rate of appends whatever the rate of entries.
	minInterval time.Duration

	mu      sync.Mutex
	pending []E
	wake    chan struct{}
}

// newBatcher returns a batcher that calls commit with each group. The entries that
// commit returns are committed again with the next group.
func newBatcher[E sized](minInterval time.Duration, commit func([]E) []E) *batcher[E] {
	return &batcher[E]{commit: commit, minInterval: minInterval, wake: make(chan struct{}, 1)}
}

// add queues an entry.
func (b *batcher[E]) add(e E) {
	b.mu.Lock()
	b.pending = append(b.pending, e)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run commits groups until t is dying.
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
			start := time.Now()
			b.putBack(b.commit(group))
			sleepWhileAlive(t, b.minInterval-time.Since(start))
		}
	}
}

// take removes and returns the next group. It holds at least one entry if any is
// pending, even one larger than maxBatchBytes.
func (b *batcher[E]) take() []E {
	b.mu.Lock()
	defer b.mu.Unlock()
	total, n := 0, 0
	for n < len(b.pending) {
		total += b.pending[n].size()
		if total > maxBatchBytes && n > 0 {
			break
		}
		n++
	}
	group := append([]E(nil), b.pending[:n]...)
	b.pending = b.pending[n:]
	return group
}

// putBack queues entries ahead of all others.
func (b *batcher[E]) putBack(entries []E) {
	if len(entries) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(entries, b.pending...)
}

// sleepWhileAlive waits for d or until t is dying, whichever comes first.
func sleepWhileAlive(t *tomb.Tomb, d time.Duration) {
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
