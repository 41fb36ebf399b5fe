package intake

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

// Budget bounds the memory of the requests that are worked on at once. A
// customer may have half of it, so that others find room beside it.
type Budget struct {
	all  *semaphore.Weighted
	half int64

	mu     sync.Mutex
	shares map[string]*share
}

// share is a customer's part of a Budget while a request of it needs some.
type share struct {
	room  *semaphore.Weighted
	users int
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{all: semaphore.NewWeighted(bytes), half: max(1, bytes/2), shares: make(map[string]*share)}
}

// Acquire waits until bytes are free for a request of the customer. The
// returned function frees all but keep of them; the last call keeps 0.
func (b *Budget) Acquire(ctx context.Context, customer string, bytes int64) (free func(keep int64), err error) {
	bytes = min(bytes, b.half)
	s := b.use(customer)
	if err := s.room.Acquire(ctx, bytes); err != nil {
		b.unuse(customer, s)
		return nil, err
	}
	if err := b.all.Acquire(ctx, bytes); err != nil {
		s.room.Release(bytes)
		b.unuse(customer, s)
		return nil, err
	}
	done := false
	return func(keep int64) {
		if done {
			return
		}
		keep = min(keep, bytes)
		b.all.Release(bytes - keep)
		s.room.Release(bytes - keep)
		bytes = keep
		if done = keep == 0; done {
			b.unuse(customer, s)
		}
	}, nil
}

func (b *Budget) use(customer string) *share {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shares[customer]
	if s == nil {
		s = &share{room: semaphore.NewWeighted(b.half)}
		b.shares[customer] = s
	}
	s.users++
	return s
}

func (b *Budget) unuse(customer string, s *share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.users--; s.users == 0 {
		delete(b.shares, customer)
	}
}
