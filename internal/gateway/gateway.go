// Package gateway admits callers' requests at any daemon of a cell and forwards
// them to the holder, the daemon that schedules the cell at present. A cell is
// the set of availability zones under one log and one configuration, with the
// daemons, endpoints and jobs in them.
package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleetpeer"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/bluebellstile/bluebellstile/internal/logging"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
)

const (
	// maxHolderWait is how long a request waits for a holder to be found. Most
	// changes of the holder take less time. After that, it is better that the
	// caller tries again later.
	maxHolderWait = 1200 * time.Millisecond
	// attemptTimeout is the timeout of one attempt to call the holder.
	attemptTimeout = 1200 * time.Millisecond
	// retryInterval is the delay before the next attempt.
	retryInterval = 40 * time.Millisecond
	// responseReserve is the part of the caller's deadline that is reserved for
	// sending the response.
	responseReserve = 150 * time.Millisecond
	// retryAfter is after how long a caller may retry if there is no holder or
	// no current configuration.
	retryAfter = time.Second
)

// CatalogSource provides the configuration in force on this daemon.
type CatalogSource interface {
	// Catalog returns nil before the first configuration.
	Catalog() *catalog.Catalog
	// ConfirmedAt returns the latest instant at which Catalog is known to have
	// been the newest configuration.
	ConfirmedAt() time.Duration
}

// HolderLocator finds the holder. A claim is the record by which a daemon holds
// the cell for a term; its epoch is the term's fencing token.
type HolderLocator interface {
	// Current returns the newest claim; its epoch is 0 if there is none.
	Current() leadership.Claim
	// Changed returns a channel that is closed when the newest claim changes.
	Changed() <-chan struct{}
	// HolderOf returns a client for the holder that made a claim.
	HolderOf(leadership.Claim) fleetpeer.Holder
}

// Gateway admits requests. It is safe for concurrent use.
type Gateway struct {
	catalogs CatalogSource
	holders  HolderLocator
	clock    clock.Clock
	// keyBound is how long keyed requests are served without proof that no
	// key was withdrawn.
	keyBound time.Duration
	log      *slog.Logger
}

// New returns a gateway.
func New(catalogs CatalogSource, holders HolderLocator, c clock.Clock, keyBound time.Duration, logger *slog.Logger) *Gateway {
	return &Gateway{catalogs: catalogs, holders: holders, clock: c, keyBound: keyBound, log: logger}
}

// Admission describes an admitted request.
type Admission struct {
	Queue *catalog.Queue
	// Customer is empty for a queue that is open to all.
	Customer string
	// Rest is the part of the path after the queue's prefix.
	Rest string
	// Version is the version of the configuration that admitted the request.
	Version int64
	// MaxHeader and MaxBody are the size limits of the request's header and
	// body in bytes; 0 means no limit.
	MaxHeader int
	MaxBody   int
}

// Admit finds the queue and the customer of a request. If it returns a problem,
// only the Version of the admission is valid.
func (g *Gateway) Admit(host, path, key string) (Admission, *problem.Problem) {
	a, p := g.admit(host, path, key)
	if p != nil {
		metrics.JobRefusals.Add(string(p.Code), 1)
		g.log.Info("request refused at the door", "host", host, "path", path, "config", a.Version,
			"config_age", (g.clock.Now() - g.catalogs.ConfirmedAt()).Round(time.Millisecond), "code", p.Code, "detail", p.Detail, "retry_after", p.RetryAfter)
	}
	return a, p
}

// admit does the work of Admit, without logging and counting.
func (g *Gateway) admit(host, path, key string) (Admission, *problem.Problem) {
	c := g.catalogs.Catalog()
	if c == nil {
		return Admission{}, problem.Refuse(problem.ConfigNotFresh, "try again later", "no configuration has been read yet").WithRetryAfter(retryAfter)
	}
	q, rest := c.Route(host, path)
	a := Admission{Queue: q, Rest: rest, Version: c.Version, MaxHeader: c.Limits.MaxHeaderBytes, MaxBody: c.Limits.MaxBodyBytes}
	if q == nil {
		if p := g.checkFresh(); p != nil {
			return a, p
		}
		return a, problem.Refuse(problem.UnknownQueue, "check host and path", "no queue is configured for %s%s", host, path)
	}
	if q.Open {
		return a, nil
	}
	if p := g.checkFresh(); p != nil {
		return a, p
	}
	customer, ok := c.CustomerOfKey(key)
	if !ok {
		return a, problem.Refuse(problem.KeyRefused, "use a key that is in force", "the key is not known")
	}
	a.Customer = customer
	return a, nil
}

// checkFresh returns a problem if the configuration may have been replaced more
// than keyBound ago.
func (g *Gateway) checkFresh() *problem.Problem {
	if age := g.clock.Now() - g.catalogs.ConfirmedAt(); age > g.keyBound {
		return problem.Refuse(problem.ConfigNotFresh, "try another entry instance, or later",
			"the configuration was last proven current %s ago", age.Round(time.Millisecond)).WithRetryAfter(retryAfter)
	}
	return nil
}

// Submit passes a job to the holder. It returns nil once the job is stored. A
// problem with the verdict NotRun means that the job never runs.
func (g *Gateway) Submit(ctx context.Context, a Admission, id workload.ID, spec workload.Spec, accepted time.Time) *problem.Problem {
	job := workload.NewJob(id, a.Queue.Name, a.Customer, accepted, spec)
	began := g.clock.Now()
	var refused *problem.Problem
	p := g.callHolder(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		refused, err = h.Submit(ctx, job, a.Version)
		return err
	})
	if p == nil {
		p = refused
	}
	took := g.clock.Now() - began
	metrics.SubmitTime.Observe(took)
	g.recordResult("submit", id, a, took, p)
	return p
}

// recordResult logs and counts the result of a request; p is nil if the request
// was served.
func (g *Gateway) recordResult(operation string, id workload.ID, a Admission, took time.Duration, p *problem.Problem) {
	verdict := problem.Done
	if p != nil {
		verdict = p.Verdict
	}
	metrics.Jobs.Add(operation+" "+string(verdict), 1)
	epoch := g.holders.Current().Epoch
	if p == nil {
		g.log.Info("request served", "job", id, "operation", operation, "queue", a.Queue.Name, "customer", a.Customer,
			"config", a.Version, "epoch", epoch, "took", took.Round(time.Millisecond))
		return
	}
	metrics.JobRefusals.Add(string(p.Code), 1)
	if p.Code == problem.UnknownJob {
		g.log.Info("request for an unknown job", logging.UnknownJobKey, id, "operation", operation, "queue", a.Queue.Name, "customer", a.Customer,
			"config", a.Version, "epoch", epoch, "took", took.Round(time.Millisecond))
		return
	}
	g.log.Info("request not served", "job", id, "operation", operation, "queue", a.Queue.Name, "customer", a.Customer,
		"config", a.Version, "epoch", epoch, "took", took.Round(time.Millisecond),
		"verdict", p.Verdict, "code", p.Code, "detail", p.Detail, "retry_after", p.RetryAfter)
}

// Status returns the state of a job.
func (g *Gateway) Status(ctx context.Context, a Admission, id workload.ID) (workload.State, *problem.Problem) {
	var state workload.State
	p := g.callHolder(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		state, err = h.Status(ctx, id, a.Customer)
		return err
	})
	if p == nil && state == "" {
		p = problem.Refuse(problem.UnknownJob, "check the id", "there is no job %s", id)
	}
	if p != nil {
		g.recordResult("status", id, a, 0, p)
	}
	return state, p
}

// Cancel ends a job.
func (g *Gateway) Cancel(ctx context.Context, a Admission, id workload.ID) *problem.Problem {
	began := g.clock.Now()
	found := false
	p := g.callHolder(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		found, err = h.Cancel(ctx, id, a.Customer)
		return err
	})
	if p == nil && !found {
		p = problem.Refuse(problem.UnknownJob, "check the id", "there is no job %s", id)
	}
	g.recordResult("cancel", id, a, g.clock.Now()-began, p)
	return p
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (g *Gateway) Waiting(ctx context.Context, a Admission) (int, *problem.Problem) {
	n := 0
	p := g.callHolder(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		n, err = h.Waiting(ctx, a.Queue.Name)
		return err
	})
	return n, p
}

// callHolder calls the holder, and retries until a call succeeds, the caller's
// deadline is near or no holder is found within maxHolderWait. Once a call may
// have taken effect, it retries until the deadline, as only a repetition can
// show the outcome. The call must be idempotent.
func (g *Gateway) callHolder(ctx context.Context, call func(context.Context, fleetpeer.Holder) error) *problem.Problem {
	ctx, cancel := withResponseReserve(ctx)
	defer cancel()
	began := g.clock.Now()
	unanswered := false
	var last error
	for {
		changed := g.holders.Changed()
		claim := g.holders.Current()
		if claim.Epoch > 0 {
			err := callOnce(ctx, g.holders.HolderOf(claim), call)
			if err == nil {
				return nil
			}
			last = err
			unanswered = unanswered || !errors.Is(err, fleetpeer.ErrNotHolder) && !errors.Is(err, fleetpeer.ErrNotSent)
		}
		if ctx.Err() != nil || g.clock.Now()-began > maxHolderWait && !unanswered {
			return noHolderProblem(last, unanswered)
		}
		waitRetry(ctx, changed)
	}
}

// withResponseReserve returns a context whose deadline is responseReserve
// earlier.
func withResponseReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-responseReserve))
}

// callOnce calls the holder once, with attemptTimeout.
func callOnce(ctx context.Context, h fleetpeer.Holder, call func(context.Context, fleetpeer.Holder) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, h)
}

// waitRetry waits for retryInterval, or until the newest claim changes.
func waitRetry(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// noHolderProblem returns the problem of a request for which there was no
// holder. unanswered is true if a call may have reached a holder and had an
// effect.
func noHolderProblem(last error, unanswered bool) *problem.Problem {
	detail := "no daemon holds the cell"
	if last != nil {
		detail = last.Error()
	}
	if unanswered {
		return problem.UnknownOutcome(problem.OutcomeLost, "repeat the request with the same id", "%s", detail)
	}
	return problem.Refuse(problem.NoHolder, "try again later", "%s", detail).WithRetryAfter(retryAfter)
}
