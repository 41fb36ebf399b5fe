package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Budget bounds the retries of one operation.
type Budget struct {
	// Tries is the maximum number of attempts, the first one included; 1
	// disables retries and 0 means DefaultTries.
	Tries uint
	// Elapsed bounds the total time of all attempts; 0 means DefaultElapsed.
	Elapsed time.Duration
	// InitialInterval is the first backoff interval, before jitter; 0 means
	// DefaultInitialInterval.
	InitialInterval time.Duration
	// Notify, if not nil, is called before the pause that precedes each
	// retry.
	Notify func(cause *Error, pause time.Duration)
}

// Defaults of a Budget.
const (
	DefaultTries           = 5
	DefaultElapsed         = 20 * time.Second
	DefaultInitialInterval = 50 * time.Millisecond
)

// retryAfterBackOff adds the daemon's RetryAfter to a jittered exponential
// backoff, so that callers that got the same RetryAfter don't retry at the same
// moment.
type retryAfterBackOff struct {
	*backoff.ExponentialBackOff
	retryAfter time.Duration
}

// NextBackOff returns the next pause.
func (b *retryAfterBackOff) NextBackOff() time.Duration {
	return b.retryAfter + b.ExponentialBackOff.NextBackOff()
}

// retry calls attempt until it succeeds, fails with an error that isn't
// retryable, or the budget is used up. It returns the last error of attempt.
func retry[T any](ctx context.Context, budget Budget, retryable func(*Error) bool, attempt func() (T, *Error)) (T, error) {
	pauses := &retryAfterBackOff{ExponentialBackOff: backoff.NewExponentialBackOff()}
	pauses.InitialInterval = orDefault(budget.InitialInterval, DefaultInitialInterval)
	var last *Error
	result, err := backoff.Retry(ctx, func() (T, error) {
		out, failure := attempt()
		last = failure
		if failure == nil {
			return out, nil
		}
		if !retryable(failure) {
			return out, backoff.Permanent(failure)
		}
		pauses.retryAfter = failure.RetryAfter
		return out, failure
	},
		backoff.WithBackOff(pauses),
		backoff.WithMaxTries(orDefault(budget.Tries, DefaultTries)),
		backoff.WithMaxElapsedTime(orDefault(budget.Elapsed, DefaultElapsed)),
		backoff.WithNotify(notify(budget)),
	)
	if err != nil && last != nil {
		// If the context ends during a pause, backoff returns the context's
		// error. The last error of attempt says more and has the verdict.
		return result, last
	}
	return result, err
}

// notify adapts budget.Notify to the callback of package backoff.
func notify(budget Budget) backoff.Notify {
	return func(err error, pause time.Duration) {
		var cause *Error
		if budget.Notify != nil && errors.As(err, &cause) {
			budget.Notify(cause, pause)
		}
	}
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// retryableMutation reports whether an operation that changes something may be
// retried after e: nothing has run for certain, and a retry may succeed.
func retryableMutation(e *Error) bool {
	return e.Verdict == VerdictNotRun && e.Temporary()
}

// retryableRead reports whether an operation that only reads may be retried
// after e.
func retryableRead(e *Error) bool {
	return e.Temporary() || e.Kind == KindBroken || e.Kind == KindProtocol
}

// get sends a GET operation, with retries.
func (c *Client) get(ctx context.Context, path string) (*bufferedResponse, error) {
	op, err := newJSONOperation("GET", path, nil)
	if err != nil {
		return nil, err
	}
	return retry(ctx, c.budget, retryableRead, func() (*bufferedResponse, *Error) { return c.roundTrip(ctx, op) })
}

// sendMutation sends an operation that changes something, with retries.
func (c *Client) sendMutation(ctx context.Context, op operation) (*bufferedResponse, error) {
	return retry(ctx, c.budget, retryableMutation, func() (*bufferedResponse, *Error) { return c.roundTrip(ctx, op) })
}
