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
	// waiting are the requests for which there is no room yet, in order.
	waiting []*claim
}

// claim is a request that waits for its part of a Budget.
type claim struct {
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
	c := &claim{customer: customer, bytes: min(bytes, b.bytes/2), granted: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, c)
	b.grant()
	b.mu.Unlock()
	select {
	case <-c.granted:
		return b.freeFunc(c), nil
	default:
	}
	select {
	case <-c.granted:
		return b.freeFunc(c), nil
	case <-ctx.Done():
		return nil, b.withdraw(ctx, c)
	}
}

// withdraw ends the wait of a claim, and returns why.
func (b *Budget) withdraw(ctx context.Context, c *claim) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, c); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	} else {
		b.release(c, c.bytes)
	}
	return ctx.Err()
}

// freeFunc returns the function that frees what a claim was granted.
func (b *Budget) freeFunc(c *claim) func(keep int64) {
	return func(keep int64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.release(c, c.bytes-min(keep, c.bytes))
	}
}

// grant grants the waiting claims that fit.
func (b *Budget) grant() {
	b.waiting = slices.DeleteFunc(b.waiting, func(c *claim) bool {
		if b.shares[c.customer]+c.bytes > b.bytes-b.used-c.bytes {
			return false
		}
		b.used += c.bytes
		b.shares[c.customer] += c.bytes
		close(c.granted)
		return true
	})
}

// release frees a part of what a claim was granted.
func (b *Budget) release(c *claim, bytes int64) {
	if bytes <= 0 {
		return
	}
	c.bytes -= bytes
	b.used -= bytes
	b.shares[c.customer] -= bytes
	if b.shares[c.customer] == 0 {
		delete(b.shares, c.customer)
	}
	b.grant()
}
