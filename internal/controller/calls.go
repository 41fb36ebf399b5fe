package controller

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"gopkg.in/tomb.v2"
)

// stuckLimit is for how long the log may not take an append before new jobs
// are refused: what waits then is likely to run into its caller's deadline.
const stuckLimit = 600 * time.Millisecond

// Submit accepts a job; it returns ErrTermEnded if its fate is not known here.
func (c *Controller) Submit(ctx context.Context, s Submission) (SubmitResult, error) {
	if stuck := c.AppendStalledFor(); stuck > stuckLimit && !c.known(s.ID) {
		return SubmitResult{Problem: problem.Refuse(problem.LogUnavailable, "try again later",
			"the log has taken nothing for %s", stuck.Round(time.Millisecond)).WithRetryAfter(comeBack)}, nil
	}
	done := make(chan SubmitResult, 1)
	c.with(func(now clock.Instant, core *Core) {
		core.Submit(now, s, func(r SubmitResult) { done <- r })
	})
	return await(ctx, c.tomb, done)
}

// comeBack is when a caller may try again whose job the log could not take.
const comeBack = time.Second

// known reports whether a job is in the books, stored or not.
func (c *Controller) known(id workload.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.jobs[id] != nil
}

// Cancel ends a job and reports whether there is such a job.
func (c *Controller) Cancel(ctx context.Context, id workload.ID, customer string) (bool, error) {
	done := make(chan bool, 1)
	c.with(func(now clock.Instant, core *Core) {
		core.Cancel(now, id, customer, func(found bool) { done <- found })
	})
	return await(ctx, c.tomb, done)
}

// proofPoll is how often a caller looks for the proof that it waits for.
const proofPoll = 5 * time.Millisecond

// ConfirmCurrent returns nil once the term is known to have been current after
// the call, so that what is not known here is not known to any later holder
// that had begun before.
func (c *Controller) ConfirmCurrent(ctx context.Context) error {
	since := c.clock.Now()
	ticker := time.NewTicker(proofPoll)
	defer ticker.Stop()
	for c.currency.Proven() < since {
		c.proofWanted.Store(true)
		c.wake()
		select {
		case <-ticker.C:
		case <-c.tomb.Dying():
			return ErrTermEnded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// await waits for a result of the core.
func await[T any](ctx context.Context, t *tomb.Tomb, done <-chan T) (T, error) {
	var none T
	select {
	case r := <-done:
		return r, nil
	case <-t.Dying():
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case r := <-done:
		return r, nil
	default:
		return none, ErrTermEnded
	}
}

// Status returns the state of a job.
func (c *Controller) Status(id workload.ID, customer string) (workload.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Status(id, customer)
}

// Waiting counts the jobs of a queue of which no task has started.
func (c *Controller) Waiting(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Waiting(queue)
}

// SetCatalog brings a newer configuration into force.
func (c *Controller) SetCatalog(next *catalog.Catalog) {
	c.with(func(_ clock.Instant, core *Core) { core.SetCatalog(next) })
}

// SetEligibilityInstances says how many instances questions can be put through.
func (c *Controller) SetEligibilityInstances(n int) {
	c.with(func(_ clock.Instant, core *Core) { core.SetEligibilityInstances(n) })
}

// Version returns the version of the configuration in force.
func (c *Controller) Version() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Version()
}

// ProofAge returns how long ago the term was last proven current.
func (c *Controller) ProofAge() time.Duration { return c.clock.Now() - c.currency.Proven() }

// EndpointListed takes in what the registry says of an endpoint.
func (c *Controller) EndpointListed(r fleet.Registration) {
	c.with(func(now clock.Instant, core *Core) { core.EndpointListed(now, r) })
}

// EndpointUnlisted takes in that the registry lacks an endpoint.
func (c *Controller) EndpointUnlisted(id string) {
	c.with(func(_ clock.Instant, core *Core) { core.EndpointUnlisted(id) })
}

// Stats returns what the term has done.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Stats()
}
