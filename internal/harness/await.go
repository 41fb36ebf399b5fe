package harness

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 25 * time.Millisecond

// WithTimeout returns a context that ends after d or with ctx. Unlike that of
// context.WithTimeout, its resources are released without a call to cancel.
func WithTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Eventually polls a condition until it holds or ctx ends, and reports
// whether it held.
func Eventually(ctx context.Context, condition func() bool) bool {
	for {
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
}

// AwaitEvents waits until the history contains at least n events for which match
// returns true, and reports whether it did before ctx ended.
func (c *Cell) AwaitEvents(ctx context.Context, n int, match func(history.Event) bool) bool {
	return Eventually(ctx, func() bool {
		events, err := c.History()
		if err != nil {
			return false
		}
		count := 0
		for _, e := range events {
			if match(e) {
				count++
			}
		}
		return count >= n
	})
}
