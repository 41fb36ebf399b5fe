package harness

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 25 * time.Millisecond

// Within returns a context that ends d from now or with ctx.
func Within(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Eventually polls a condition until it holds or ctx ends, and reports
// whether it held.
func Eventually(ctx context.Context, holds func() bool) bool {
	for {
		if holds() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
}

// AwaitEvents waits until the endpoints have recorded n events for which
// match holds, and reports whether they did before ctx ended.
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
