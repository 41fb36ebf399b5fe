package controller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// ErrTermEnded is returned for calls whose result is not known because the term
// ended first.
var ErrTermEnded = errors.New("the term has ended; ask the next holder")

const (
	// tickInterval is the longest time between two rounds of the run loop.
	tickInterval = 20 * time.Millisecond
	// minTickInterval is the shortest time between two calls of Core.Tick. A
	// tick visits all endpoints and costs the same however little has changed,
	// and answers arrive more often than this.
	minTickInterval = 5 * time.Millisecond
	// minPlanInterval is the shortest time between two plans, so that one plan
	// covers events that arrive close together. maxPlanFraction bounds the
	// fraction of time spent planning: half of the time is left to callers,
	// records and orders, and a tenth is spare.
	minPlanInterval = 8 * time.Millisecond
	maxPlanFraction = 0.4
	// minAppendInterval is the shortest time between the starts of two appends.
	// Calls to the log are billed, and each takes about this long.
	minAppendInterval = 12 * time.Millisecond
	// slowAppendFraction is the fraction of the usual append time after which
	// the next append starts although the last is still in flight. A slow log
	// takes longer for each append, so that it must not be sent more than it
	// can take.
	slowAppendFraction = 0.35
	// maxProofAge is the age of the last proof at which an append without
	// records renews it.
	maxProofAge = time.Second
)

// TermProof tracks when the term was last proven current, that is, not
// superseded by a term with a higher epoch.
type TermProof interface {
	// Confirm records that the term was current at the given instant.
	Confirm(at time.Duration)
	// ConfirmedAt returns the instant of the last proof.
	ConfirmedAt() time.Duration
	// Valid reports whether the last proof is recent enough to send orders.
	Valid(now time.Duration) bool
}

// Controller connects a Core to the log, the endpoints and the clock for one
// term: it executes the core's orders, appends its records and passes the
// results back. It is safe for concurrent use.
type Controller struct {
	epoch       int64
	clock       clock.Clock
	termProof   TermProof
	endpoints   EndpointClient
	eligibility Eligibility
	writer      *keyedlog.Writer
	log         *slog.Logger

	mu   sync.Mutex
	core *Core

	wakeups chan struct{}
	tomb    *tomb.Tomb
	// lastTickAt is when Core.Tick last ran, lastAppendAt when the last append
	// started, nextPlanAt when the next plan may be made, and latestAppend the
	// append that started last. Only the run loop uses them.
	lastTickAt   time.Duration
	lastAppendAt time.Duration
	nextPlanAt   time.Duration
	latestAppend *inFlightAppend
	// stalledSince is when the append in flight first failed; 0 if it has not.
	// logUnanswered is set if its last attempt got no answer rather than a
	// refusal.
	stalledSince  atomic.Int64
	logUnanswered atomic.Bool
	// proofs holds the requests for a proof that the term is current.
	proofs proofRequests
	// openOrders counts the orders being executed.
	openOrders atomic.Int64
}

// Options holds the dependencies of a Controller.
type Options struct {
	Epoch       int64
	Clock       clock.Clock
	TermProof   TermProof
	Endpoints   EndpointClient
	Eligibility Eligibility
	Writer      *keyedlog.Writer
	Logger      *slog.Logger
}

// NewController returns a controller for a core to which the records of earlier
// terms have been restored.
func NewController(core *Core, o Options) *Controller {
	return &Controller{
		epoch:       o.Epoch,
		clock:       o.Clock,
		termProof:   o.TermProof,
		endpoints:   o.Endpoints,
		eligibility: o.Eligibility,
		writer:      o.Writer,
		log:         o.Logger,
		core:        core,
		wakeups:     make(chan struct{}, 1),
	}
}

// Start runs the term until t dies. If the term is superseded, it kills t with
// ErrTermEnded.
func (c *Controller) Start(t *tomb.Tomb) {
	c.tomb = t
	t.Go(c.runLoop)
	t.Go(c.watchLag)
}

// Epoch returns the epoch of the term, which is the fencing token of its orders
// and appends.
func (c *Controller) Epoch() int64 { return c.epoch }

// withCore runs f on the core under the lock and wakes the run loop.
func (c *Controller) withCore(f func(now clock.Instant, core *Core)) {
	c.mu.Lock()
	f(clock.Read(c.clock), c.core)
	c.mu.Unlock()
	c.wake()
}

func (c *Controller) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

// runLoop runs rounds of the core until the term ends: on each wake-up, and at
// the latest when the timer fires.
func (c *Controller) runLoop() error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-c.wakeups:
		case <-timer.C:
		}
		timer.Reset(c.runOnce())
	}
}

// runOnce runs one round: it ticks, plans, dispatches orders and starts an
// append, each if due. It returns how long to wait for the next round.
func (c *Controller) runOnce() time.Duration {
	now := clock.Read(c.clock)
	var batch *Batch
	next := tickInterval
	c.mu.Lock()
	if wait := c.lastTickAt + minTickInterval - now.Steady; wait <= 0 {
		c.core.Tick(now)
		c.lastTickAt = now.Steady
	} else {
		next = min(next, wait)
	}
	if wait := c.nextPlanAt - now.Steady; wait <= 0 {
		before := c.core.stats.Plans
		c.core.Plan(now)
		took := c.clock.Now() - now.Steady
		if c.core.stats.Plans > before {
			metrics.PlanTime.Observe(took)
		}
		c.nextPlanAt = now.Steady + planInterval(took)
	} else {
		next = min(next, wait)
	}
	orders := c.core.TakeOrders()
	untilAppend := c.untilNextAppend(now.Steady)
	if untilAppend > 0 {
		next = min(next, untilAppend)
	} else {
		batch = c.core.Seal()
	}
	c.mu.Unlock()
	c.dispatch(orders)
	// A proof takes the place of an append: begun in between, it would put off the
	// next batch for as long as callers ask for proofs.
	if batch != nil || untilAppend <= 0 && c.needsProof(now.Steady) {
		c.beginAppend(now.Steady, batch)
	}
	return next
}

// planInterval returns the time from the start of a plan that took the given
// time to the start of the next one.
func planInterval(took time.Duration) time.Duration {
	return max(minPlanInterval, time.Duration(float64(took)/maxPlanFraction))
}

// inFlightAppend is an append whose result is not known yet.
type inFlightAppend struct {
	// batch is nil if the append only proves that the term is current.
	batch *Batch
	// proof is set if a write without records proves that the term is current.
	proof bool
	// pending is nil if the batch has no records. rest are the records of the
	// calls that follow once it is stored.
	pending   *keyedlog.Pending
	rest      [][]keyedlog.Record
	startedAt time.Duration
	// previous is the append that must finish first, nil if none. done is
	// closed once this one has finished.
	previous *inFlightAppend
	done     chan struct{}
}

// isDone reports whether an append has finished; a nil append counts as
// finished.
func (a *inFlightAppend) isDone() bool {
	if a == nil {
		return true
	}
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// untilNextAppend returns how long to wait before the next append may start. It
// normally starts after the last has finished; while the log is slow, several
// are in flight. A batch of several calls is stored before the next one starts, as
// the calls take their position in the log one by one.
func (c *Controller) untilNextAppend(now time.Duration) time.Duration {
	gap := minAppendInterval
	if !c.latestAppend.isDone() {
		if c.writer.InFlight() >= keyedlog.MaxInFlight || len(c.latestAppend.rest) > 0 {
			return tickInterval
		}
		gap = max(gap, time.Duration(slowAppendFraction*float64(c.writer.TypicalLatency())))
	}
	return c.lastAppendAt + gap - now
}

// beginAppend starts the append of a batch, which fixes its position in the
// log.
func (c *Controller) beginAppend(now time.Duration, batch *Batch) {
	a := &inFlightAppend{batch: batch, startedAt: now, done: make(chan struct{})}
	if batch != nil && len(batch.Records) > 0 {
		calls := batch.Calls()
		a.pending, a.rest = c.writer.BeginAppend(calls[0]), calls[1:]
	} else {
		a.proof = c.needsProof(now)
	}
	if !c.latestAppend.isDone() {
		a.previous = c.latestAppend
	}
	c.lastAppendAt = now
	if a.proof || a.pending != nil {
		c.proofs.begin()
	}
	c.latestAppend = a
	c.tomb.Go(func() error {
		c.append(a)
		// Woken before, the run loop would still find the append in flight.
		close(a.done)
		c.wake()
		return nil
	})
}

// needsProof reports whether to append without records to renew the proof.
func (c *Controller) needsProof(now time.Duration) bool {
	if !c.latestAppend.isDone() {
		return false
	}
	return c.proofs.requested() || now-c.termProof.ConfirmedAt() > maxProofAge && now-c.lastAppendAt > maxProofAge
}

// append waits for an append and all earlier ones, then tells the core that the
// batch is committed. A failure ends the term.
func (c *Controller) append(a *inFlightAppend) {
	ctx := c.tomb.Context(context.Background())
	if err := c.awaitAppend(ctx, a); err != nil {
		if c.tomb.Alive() {
			c.log.Warn("term ends, its append failed", "epoch", c.epoch, "error", err)
			c.tomb.Kill(ErrTermEnded)
		}
		return
	}
	if a.previous != nil {
		select {
		case <-a.previous.done:
		case <-c.tomb.Dying():
			return
		}
	}
	if a.batch != nil {
		c.mu.Lock()
		c.core.Committed(clock.Read(c.clock), a.batch)
		c.mu.Unlock()
		a.batch.observeWaits()
	}
}

// awaitAppend waits until the records of an append are written, or until a write
// without records proves that the term is current.
func (c *Controller) awaitAppend(ctx context.Context, a *inFlightAppend) error {
	var err error
	switch {
	case a.proof:
		err = c.writer.Fence(ctx, c.noteAppendFailure)
	case a.pending == nil:
		return nil
	default:
		err = a.pending.Wait(ctx, c.noteAppendFailure)
		for i := 0; i < len(a.rest) && err == nil; i++ {
			err = c.writer.BeginAppend(a.rest[i]).Wait(ctx, c.noteAppendFailure)
		}
	}
	if err == nil {
		metrics.AppendTime.Observe(c.clock.Now() - a.startedAt)
		c.termProof.Confirm(a.startedAt)
		c.proofs.end()
	}
	c.stalledSince.Store(0)
	return err
}

// noteAppendFailure records that an append failed and is retried.
func (c *Controller) noteAppendFailure(err error) {
	c.logUnanswered.Store(keyedlog.KindOf(err) == keyedlog.KindUnanswered)
	if c.stalledSince.CompareAndSwap(0, int64(c.clock.Now())) {
		c.log.Warn("append not done yet, it is repeated", "epoch", c.epoch, "error", err)
	}
}

// AppendStalledFor returns how long the log has not accepted the append in
// flight; 0 if it has not failed.
func (c *Controller) AppendStalledFor() time.Duration {
	since := time.Duration(c.stalledSince.Load())
	if since == 0 {
		return 0
	}
	return c.clock.Now() - since
}

const (
	// takeoverAfterRefused and takeoverAfterUnanswered are how long the log may
	// refuse appends, or not answer them, before another daemon should take
	// over. A single lost answer costs less than a change of holder.
	takeoverAfterRefused    = 300 * time.Millisecond
	takeoverAfterUnanswered = 700 * time.Millisecond
)

// NeedsTakeover reports whether another daemon should take over because this
// one can't append to the log.
func (c *Controller) NeedsTakeover() bool {
	limit := takeoverAfterRefused
	if c.logUnanswered.Load() {
		limit = takeoverAfterUnanswered
	}
	return c.AppendStalledFor() > limit
}
