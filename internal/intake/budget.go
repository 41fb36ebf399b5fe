package intake

import (
	"context"
	"slices"
	"sync"
)

// Budget bounds the memory of the requests that are worked on at once. A customer may
// have as much of it as is left free, so that others find room beside any number of
// customers that take all they may.
type Budget struct {
	bytes int64

	mu     sync.Mutex
	used   int64
	shares map[string]int64
	// waiting are the portions for which there is no room yet, in order.
	waiting []*portion
}

// portion is what a request has, or waits for, of a Budget.
type portion struct {
	customer string
	bytes    int64
	granted  chan struct{}
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{bytes: max(2, bytes), shares: make(map[string]int64)}
}

// Acquire waits until bytes are free for a request of the customer. The
// returned function frees all but keep of them; the last call keeps 0.
func (b *Budget) Acquire(ctx context.Context, customer string, bytes int64) (free func(keep int64), err error) {
	p := &portion{customer: customer, bytes: min(bytes, b.bytes/2), granted: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	b.grant()
	b.mu.Unlock()
	select {
	case <-p.granted:
		return b.freeFunc(p), nil
	default:
	}
	select {
	case <-p.granted:
		return b.freeFunc(p), nil
	case <-ctx.Done():
		return nil, b.withdraw(ctx, p)
	}
}

// withdraw ends the wait for a portion, and returns why.
func (b *Budget) withdraw(ctx context.Context, p *portion) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, p); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	} else {
		b.release(p, p.bytes)
	}
	return ctx.Err()
}

// freeFunc returns the function that frees a portion.
func (b *Budget) freeFunc(p *portion) func(keep int64) {
	return func(keep int64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.release(p, p.bytes-min(keep, p.bytes))
	}
}

// grant grants the waiting portions that fit.
func (b *Budget) grant() {
	b.waiting = slices.DeleteFunc(b.waiting, func(p *portion) bool {
		if b.shares[p.customer]+p.bytes > b.bytes-b.used-p.bytes {
			return false
		}
		b.used += p.bytes
		b.shares[p.customer] += p.bytes
		close(p.granted)
		return true
	})
}

// release frees a part of a portion.
func (b *Budget) release(p *portion, bytes int64) {
	if bytes <= 0 {
		return
	}
	p.bytes -= bytes
	b.used -= bytes
	b.shares[p.customer] -= bytes
	if b.shares[p.customer] == 0 {
		delete(b.shares, p.customer)
	}
	b.grant()
}
