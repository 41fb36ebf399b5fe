// Package gateway admits callers' requests at a daemon and brings them to the
// daemon that holds the cell.
package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleetpeer"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
)

const (
	// holderWait is how long a request waits for a holder to be found. Most
	// changes of the holder take less; beyond it the caller does better to
	// come back.
	holderWait = 1200 * time.Millisecond
	// attemptTimeout bounds one attempt to reach the holder.
	attemptTimeout = 1200 * time.Millisecond
	// attemptPause is the pause before the next attempt.
	attemptPause = 40 * time.Millisecond
	// answerReserve is what is kept of the caller's time for the answer.
	answerReserve = 150 * time.Millisecond
	// comeBack is when a caller may try again that found no holder.
	comeBack = time.Second
)

// Catalogs gives the configuration in force here and when it was last proven
// to be the newest.
type Catalogs interface {
	// Catalog returns nil before the first configuration.
	Catalog() *catalog.Catalog
	// Proven returns the instant at which Catalog was the newest.
	Proven() time.Duration
}

// Holders finds the daemon that holds the cell.
type Holders interface {
	// Current returns the newest claim; its epoch is 0 if there is none.
	Current() leadership.Claim
	// Changed returns a channel that is closed at the next change of claims.
	Changed() <-chan struct{}
	// To returns the holder of a claim.
	To(leadership.Claim) fleetpeer.Holder
}

// Gateway admits requests. It is safe for concurrent use.
type Gateway struct {
	catalogs Catalogs
	holders  Holders
	clock    clock.Clock
	// keyBound is how long keyed requests are served without proof that no
	// key was withdrawn.
	keyBound time.Duration
	log      *slog.Logger
}

// New returns a gateway.
func New(catalogs Catalogs, holders Holders, c clock.Clock, keyBound time.Duration, logger *slog.Logger) *Gateway {
	return &Gateway{catalogs: catalogs, holders: holders, clock: c, keyBound: keyBound, log: logger}
}

// Admission is a request that may be served.
type Admission struct {
	Queue *catalog.Queue
	// Customer is empty for a queue that is open to all.
	Customer string
	// Rest is the path behind the queue's prefix.
	Rest string
	// Version is the configuration that admitted the request.
	Version int64
	// MaxHeader and MaxBody bound the request's header and body in bytes; 0
	// means no bound.
	MaxHeader int
	MaxBody   int
}

// Admit finds the queue and the customer of a request. With a problem, only the
// version of the returned admission has a meaning.
func (g *Gateway) Admit(host, path, key string) (Admission, *problem.Problem) {
	a, p := g.admit(host, path, key)
	if p != nil {
		metrics.JobRefusals.Add(string(p.Code), 1)
		g.log.Info("request refused at the door", "host", host, "path", path, "config", a.Version,
			"config_age", (g.clock.Now() - g.catalogs.Proven()).Round(time.Millisecond), "code", p.Code, "detail", p.Detail, "retry_after", p.RetryAfter)
	}
	return a, p
}

func (g *Gateway) admit(host, path, key string) (Admission, *problem.Problem) {
	c := g.catalogs.Catalog()
	if c == nil {
		return Admission{}, problem.Refuse(problem.ConfigNotFresh, "try again later", "no configuration has been read yet").WithRetryAfter(comeBack)
	}
	q, rest := c.Route(host, path)
	a := Admission{Queue: q, Rest: rest, Version: c.Version, MaxHeader: c.Limits.MaxHeaderBytes, MaxBody: c.Limits.MaxBodyBytes}
	if q == nil {
		if p := g.fresh(); p != nil {
			return a, p
		}
		return a, problem.Refuse(problem.UnknownQueue, "check host and path", "no queue has the address %s%s", host, path)
	}
	if q.Open {
		return a, nil
	}
	if p := g.fresh(); p != nil {
		return a, p
	}
	customer, ok := c.CustomerOfKey(key)
	if !ok {
		return a, problem.Refuse(problem.KeyRefused, "use a key that is in force", "the key is not known")
	}
	a.Customer = customer
	return a, nil
}

// fresh refuses what depends on a configuration that may have been replaced.
func (g *Gateway) fresh() *problem.Problem {
	if age := g.clock.Now() - g.catalogs.Proven(); age > g.keyBound {
		return problem.Refuse(problem.ConfigNotFresh, "try another entry instance, or later",
			"the configuration was last proven current %s ago", age.Round(time.Millisecond)).WithRetryAfter(comeBack)
	}
	return nil
}

// Submit hands a job to the holder. It returns nil once the job is stored. A
// problem with the verdict NotRun means that it never will be.
func (g *Gateway) Submit(ctx context.Context, a Admission, id workload.ID, spec workload.Spec, accepted time.Time) *problem.Problem {
	job := workload.NewJob(id, a.Queue.Name, a.Customer, accepted, spec)
	began := g.clock.Now()
	var refused *problem.Problem
	p := g.ask(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		refused, err = h.Submit(ctx, job, a.Version)
		return err
	})
	if p == nil {
		p = refused
	}
	took := g.clock.Now() - began
	metrics.SubmitTime.Observe(took)
	g.answered("submit", id, a, took, p)
	return p
}

// answered logs and counts the answer to a request for a job; p is nil if the
// request was served.
func (g *Gateway) answered(operation string, id workload.ID, a Admission, took time.Duration, p *problem.Problem) {
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
	g.log.Info("request not served", "job", id, "operation", operation, "queue", a.Queue.Name, "customer", a.Customer,
		"config", a.Version, "epoch", epoch, "took", took.Round(time.Millisecond),
		"verdict", p.Verdict, "code", p.Code, "detail", p.Detail, "retry_after", p.RetryAfter)
}

// Status returns the state of a job.
func (g *Gateway) Status(ctx context.Context, a Admission, id workload.ID) (workload.State, *problem.Problem) {
	var state workload.State
	p := g.ask(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		state, err = h.Status(ctx, id, a.Customer)
		return err
	})
	if p == nil && state == "" {
		p = problem.Refuse(problem.UnknownJob, "check the id", "there is no job %s", id)
	}
	if p != nil {
		g.answered("status", id, a, 0, p)
	}
	return state, p
}

// Cancel ends a job.
func (g *Gateway) Cancel(ctx context.Context, a Admission, id workload.ID) *problem.Problem {
	began := g.clock.Now()
	found := false
	p := g.ask(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		found, err = h.Cancel(ctx, id, a.Customer)
		return err
	})
	if p == nil && !found {
		p = problem.Refuse(problem.UnknownJob, "check the id", "there is no job %s", id)
	}
	g.answered("cancel", id, a, g.clock.Now()-began, p)
	return p
}

// Waiting counts the jobs of a queue of which no task has started.
func (g *Gateway) Waiting(ctx context.Context, a Admission) (int, *problem.Problem) {
	n := 0
	p := g.ask(ctx, func(ctx context.Context, h fleetpeer.Holder) error {
		var err error
		n, err = h.Waiting(ctx, a.Queue.Name)
		return err
	})
	return n, p
}

// ask puts a question to the holder until it is answered, the caller's time is
// over or no holder is found. Questions have the same effect if repeated.
func (g *Gateway) ask(ctx context.Context, question func(context.Context, fleetpeer.Holder) error) *problem.Problem {
	ctx, cancel := reserve(ctx)
	defer cancel()
	began := g.clock.Now()
	unanswered := false
	var last error
	for {
		changed := g.holders.Changed()
		claim := g.holders.Current()
		if claim.Epoch > 0 {
			err := attempt(ctx, g.holders.To(claim), question)
			if err == nil {
				return nil
			}
			last = err
			unanswered = unanswered || !errors.Is(err, fleetpeer.ErrNotHolder) && !errors.Is(err, fleetpeer.ErrNotSent)
		}
		if ctx.Err() != nil || g.clock.Now()-began > holderWait && !unanswered {
			return noHolder(last, unanswered)
		}
		pause(ctx, changed)
	}
}

// reserve shortens the caller's time by what the answer takes.
func reserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-answerReserve))
}

// attempt makes one attempt. A caller that leaves does not end a call that is
// under way sooner than its bound.
func attempt(ctx context.Context, h fleetpeer.Holder, question func(context.Context, fleetpeer.Holder) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return question(ctx, h)
}

// pause waits a little, or until the claims change.
func pause(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(attemptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// noHolder is the answer to a request that reached no holder, or none that
// answered.
func noHolder(last error, unanswered bool) *problem.Problem {
	detail := "no daemon holds the cell"
	if last != nil {
		detail = last.Error()
	}
	if unanswered {
		return problem.UnknownOutcome(problem.OutcomeLost, "repeat the request with the same id", "%s", detail)
	}
	return problem.Refuse(problem.NoHolder, "try again later", "%s", detail).WithRetryAfter(comeBack)
}
