package controller

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/evacuation"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"gopkg.in/tomb.v2"
)

// maxAppendStall is how long appends may stall before new jobs are refused: a
// job accepted later would probably miss its caller's deadline.
const maxAppendStall = 600 * time.Millisecond

// Submit accepts a job. It returns ErrTermEnded if the term ends before it is
// known whether the job was stored.
func (c *Controller) Submit(ctx context.Context, s Submission) (SubmitResult, error) {
	if stalled := c.AppendStalledFor(); stalled > maxAppendStall && !c.KnowsJob(s.ID) {
		return SubmitResult{Problem: problem.Refuse(problem.LogUnavailable, "try again later",
			"the log has accepted no append for %s", stalled.Round(time.Millisecond)).WithRetryAfter(logRetryAfter)}, nil
	}
	done := make(chan SubmitResult, 1)
	c.withCore(func(now clock.Instant, core *Core) {
		core.Submit(now, s, func(r SubmitResult) { done <- r })
	})
	return await(ctx, c.tomb, done)
}

// logRetryAfter is the retry delay given to callers whose job is refused
// because appends stall.
const logRetryAfter = time.Second

// KnowsJob reports whether the core has a job with this id, stored or not.
func (c *Controller) KnowsJob(id workload.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.jobs[id] != nil
}

// Cancel cancels a job and reports whether the customer has such a job.
func (c *Controller) Cancel(ctx context.Context, id workload.ID, customer string) (bool, error) {
	done := make(chan bool, 1)
	c.withCore(func(now clock.Instant, core *Core) {
		core.Cancel(now, id, customer, func(found bool) { done <- found })
	})
	return await(ctx, c.tomb, done)
}

// await waits for a result from the core. A result that is already there takes
// precedence over the end of the term.
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

// Status returns the state of a customer's job and whether there is such a job.
func (c *Controller) Status(id workload.ID, customer string) (workload.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Status(id, customer)
}

// Waiting returns the number of stored jobs of a queue of which no task was
// ordered.
func (c *Controller) Waiting(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Waiting(queue)
}

// SetCatalog puts a configuration into force if it is newer than the current
// one.
func (c *Controller) SetCatalog(next *catalog.Catalog) {
	c.withCore(func(now clock.Instant, core *Core) { core.SetCatalog(now, next) })
}

// UpdateEvacuations sets the availability zones that the operator empties to the newest
// ones. It asks for them once no other call can, so that of two calls at the same time
// the last one sets what is newest.
func (c *Controller) UpdateEvacuations(newest func() evacuation.Zones) {
	c.withCore(func(_ clock.Instant, core *Core) { core.SetEvacuations(newest()) })
}

// SetEligibilityInstances sets through how many instances eligibility questions
// can be asked.
func (c *Controller) SetEligibilityInstances(n int) {
	c.withCore(func(_ clock.Instant, core *Core) { core.SetEligibilityInstances(n) })
}

// Version returns the version of the configuration in force.
func (c *Controller) Version() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Version()
}

// ProofAge returns how long ago the term was last proven current.
func (c *Controller) ProofAge() time.Duration { return c.clock.Now() - c.termProof.ConfirmedAt() }

// EndpointListed handles an endpoint's entry in the registry.
func (c *Controller) EndpointListed(r fleet.Registration) {
	c.withCore(func(now clock.Instant, core *Core) { core.EndpointListed(now, r) })
}

// EndpointUnlisted handles the removal of an endpoint from the registry.
func (c *Controller) EndpointUnlisted(id string) {
	c.withCore(func(_ clock.Instant, core *Core) { core.EndpointUnlisted(id) })
}

// Stats returns the term's counters.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Stats()
}
