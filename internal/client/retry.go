package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Budget bounds the further attempts of one operation.
type Budget struct {
	// Tries is the largest number of attempts; 0 stands for DefaultTries and
	// 1 for no further attempt.
	Tries uint
	// Elapsed bounds the time of all attempts; 0 stands for DefaultElapsed.
	Elapsed time.Duration
	// Initial is the first pause; 0 stands for DefaultInitial.
	Initial time.Duration
	// Notify, if set, is told of every pause before another attempt.
	Notify func(cause *Error, pause time.Duration)
}

// Defaults of a Budget.
const (
	DefaultTries   = 5
	DefaultElapsed = 20 * time.Second
	DefaultInitial = 50 * time.Millisecond
)

// hintedBackOff adds the daemon's hint to jittered exponential backoff, so
// that callers who got the same hint don't come back together.
type hintedBackOff struct {
	*backoff.ExponentialBackOff
	hint time.Duration
}

// NextBackOff returns the next pause.
func (b *hintedBackOff) NextBackOff() time.Duration {
	return b.hint + b.ExponentialBackOff.NextBackOff()
}

// retry runs attempt until it succeeds, fails for good or the budget is used
// up, and returns its last failure.
func retry[T any](ctx context.Context, budget Budget, again func(*Error) bool, attempt func() (T, *Error)) (T, error) {
	pauses := &hintedBackOff{ExponentialBackOff: backoff.NewExponentialBackOff()}
	pauses.InitialInterval = orDefault(budget.Initial, DefaultInitial)
	var last *Error
	result, err := backoff.Retry(ctx, func() (T, error) {
		out, failure := attempt()
		last = failure
		if failure == nil {
			return out, nil
		}
		if !again(failure) {
			return out, backoff.Permanent(failure)
		}
		pauses.hint = failure.RetryAfter
		return out, failure
	},
		backoff.WithBackOff(pauses),
		backoff.WithMaxTries(orDefault(budget.Tries, DefaultTries)),
		backoff.WithMaxElapsedTime(orDefault(budget.Elapsed, DefaultElapsed)),
		backoff.WithNotify(notify(budget)),
	)
	if err != nil && last != nil {
		// backoff returns the context's error when it ends a pause; the last
		// failure says more and carries the verdict.
		return result, last
	}
	return result, err
}

func notify(budget Budget) backoff.Notify {
	return func(err error, pause time.Duration) {
		var cause *Error
		if budget.Notify != nil && errors.As(err, &cause) {
			budget.Notify(cause, pause)
		}
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// notRun reports whether an operation that changes something may be tried
// again: certainly nothing ran, and that may change.
func notRun(e *Error) bool {
	return e.Verdict == VerdictNotRun && e.Temporary()
}

// readOnly reports whether an operation that only reads may be tried again.
func readOnly(e *Error) bool {
	return e.Temporary() || e.Kind == KindBroken || e.Kind == KindProtocol
}

// read sends a call that changes nothing.
func (c *Client) read(ctx context.Context, path string) (*answer, error) {
	op, err := jsonCall("GET", path, nil)
	if err != nil {
		return nil, err
	}
	return retry(ctx, c.budget, readOnly, func() (*answer, *Error) { return c.once(ctx, op) })
}

// change sends a call that changes something.
func (c *Client) change(ctx context.Context, op call) (*answer, error) {
	return retry(ctx, c.budget, notRun, func() (*answer, *Error) { return c.once(ctx, op) })
}
