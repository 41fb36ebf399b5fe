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

// ErrTermEnded is returned for calls whose term has ended before their result
// was known.
var ErrTermEnded = errors.New("the term has ended; ask the next holder")

const (
	// tickInterval is how often what is due is looked for.
	tickInterval = 20 * time.Millisecond
	// tickGap is the least time between two looks at all endpoints: answers come
	// more often, and a look costs the same whatever has changed.
	tickGap = 5 * time.Millisecond
	// planGap is the least time between two plans, so that events that come
	// close together are planned for at once; planShare bounds the part of the
	// time that plans take: half of the time is left to callers, records and
	// orders, and a tenth to spare.
	planGap   = 8 * time.Millisecond
	planShare = 0.4
	// appendGap is the least time between the begins of two appends; calls of
	// the log are charged, and one of them takes about this long.
	appendGap = 12 * time.Millisecond
	// slowShare is the part of an append's usual time after which the next one
	// begins while it is still under way: a slow log takes longer for each
	// append, too, and must not be given more than it takes.
	slowShare = 0.35
	// proveAfter is the age of the last proof at which an append without
	// records is made to renew it.
	proveAfter = time.Second
)

// TermProof judges whether the term is current.
type TermProof interface {
	// Prove notes that the term was current at an instant.
	Prove(at time.Duration)
	// Proven returns the instant of the last proof.
	Proven() time.Duration
	// Valid reports whether orders may be given.
	Valid(now time.Duration) bool
}

// Controller runs a core: it carries out the core's orders, appends its
// records and feeds the results back. It is safe for concurrent use.
type Controller struct {
	epoch       int64
	clock       clock.Clock
	currency    TermProof
	endpoints   EndpointClient
	eligibility Eligibility
	writer      *keyedlog.Writer
	log         *slog.Logger

	mu   sync.Mutex
	core *Core

	kick chan struct{}
	tomb *tomb.Tomb
	// lastTick is when the core last looked for what is due, lastAppend when the
	// last append began, nextPlan when the next plan may be made, and last the
	// append begun last. They belong to the pump.
	lastTick   time.Duration
	lastAppend time.Duration
	nextPlan   time.Duration
	last       *commit
	// stuckSince is when the append under way first failed; 0 if it has not.
	// deaf is set if the log gave no answer at last, rather than a refusal.
	stuckSince atomic.Int64
	deaf       atomic.Bool
	// proofWanted asks the pump for a proof that the term is current.
	proofWanted atomic.Bool
	// open counts the orders that are being carried out.
	open atomic.Int64
}

// Options are what a controller works with.
type Options struct {
	Epoch       int64
	Clock       clock.Clock
	TermProof   TermProof
	Endpoints   EndpointClient
	Eligibility Eligibility
	Writer      *keyedlog.Writer
	Logger      *slog.Logger
}

// NewController returns a controller of a core to which earlier terms' records
// have been restored.
func NewController(core *Core, o Options) *Controller {
	return &Controller{
		epoch:       o.Epoch,
		clock:       o.Clock,
		currency:    o.TermProof,
		endpoints:   o.Endpoints,
		eligibility: o.Eligibility,
		writer:      o.Writer,
		log:         o.Logger,
		core:        core,
		kick:        make(chan struct{}, 1),
	}
}

// Start runs the term until t dies. A term that is superseded kills t with
// ErrTermEnded.
func (c *Controller) Start(t *tomb.Tomb) {
	c.tomb = t
	t.Go(c.pump)
	t.Go(c.watchLag)
}

// Epoch returns the term's epoch.
func (c *Controller) Epoch() int64 { return c.epoch }

// with runs f on the core and wakes the pump.
func (c *Controller) with(f func(now clock.Instant, core *Core)) {
	c.mu.Lock()
	f(clock.Read(c.clock), c.core)
	c.mu.Unlock()
	c.wake()
}

func (c *Controller) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// pump lets the core do what is due and carries out what it wants done.
func (c *Controller) pump() error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-c.kick:
		case <-timer.C:
		}
		timer.Reset(c.turn())
	}
}

// turn is one round of the pump. It returns when the next one is due.
func (c *Controller) turn() time.Duration {
	now := clock.Read(c.clock)
	var batch *Batch
	next := tickInterval
	c.mu.Lock()
	if wait := c.lastTick + tickGap - now.Steady; wait <= 0 {
		c.core.Tick(now)
		c.lastTick = now.Steady
	} else {
		next = min(next, wait)
	}
	if wait := c.nextPlan - now.Steady; wait <= 0 {
		before := c.core.stats.Plans
		c.core.Plan(now)
		took := c.clock.Now() - now.Steady
		if c.core.stats.Plans > before {
			metrics.PlanTime.Observe(took)
		}
		c.nextPlan = now.Steady + planEvery(took)
	} else {
		next = min(next, wait)
	}
	orders := c.core.TakeOrders()
	if wait := c.appendDue(now.Steady); wait > 0 {
		next = min(next, wait)
	} else {
		batch = c.core.Seal()
	}
	c.mu.Unlock()
	c.dispatch(orders)
	if batch != nil || c.needsProof(now.Steady) {
		c.beginAppend(now.Steady, batch)
	}
	return next
}

// planEvery returns how long after the begin of a plan, which took so long, the
// next one may begin.
func planEvery(took time.Duration) time.Duration {
	return max(planGap, time.Duration(float64(took)/planShare))
}

// commit is an append under way.
type commit struct {
	// batch is nil if only a proof that the term is current is wanted.
	batch *Batch
	// pending is nil if the batch has no records.
	pending *keyedlog.Pending
	began   time.Duration
	// before is the commit that has to come first, done is closed after.
	before *commit
	done   chan struct{}
}

// ended reports whether a commit is done; there may be none.
func (m *commit) ended() bool {
	if m == nil {
		return true
	}
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// appendDue returns how long the next append has to wait. One begins when the
// last is done; if the log is slow, several are under way.
func (c *Controller) appendDue(now time.Duration) time.Duration {
	gap := appendGap
	if !c.last.ended() {
		if c.writer.InFlight() >= keyedlog.MaxInFlight {
			return tickInterval
		}
		gap = max(gap, time.Duration(slowShare*float64(c.writer.TypicalLatency())))
	}
	return c.lastAppend + gap - now
}

// beginAppend begins to append a batch; its place in the log is fixed now.
func (c *Controller) beginAppend(now time.Duration, batch *Batch) {
	c.lastAppend = now
	c.proofWanted.Store(false)
	m := &commit{batch: batch, began: now, done: make(chan struct{})}
	if !c.last.ended() {
		m.before = c.last
	}
	if batch != nil && len(batch.Records) > 0 {
		m.pending = c.writer.Begin(batch.Records)
	}
	c.last = m
	c.tomb.Go(func() error {
		defer close(m.done)
		c.append(m)
		c.wake()
		return nil
	})
}

// needsProof reports whether an append without records should be made.
func (c *Controller) needsProof(now time.Duration) bool {
	if !c.last.ended() {
		return false
	}
	return c.proofWanted.Load() || now-c.currency.Proven() > proveAfter && now-c.lastAppend > proveAfter
}

// append appends what a commit holds, and lets the core do what waited for it
// once all commits before are done.
func (c *Controller) append(m *commit) {
	ctx := c.tomb.Context(context.Background())
	if err := c.write(ctx, m); err != nil {
		if c.tomb.Alive() {
			c.log.Warn("term ends, its append failed", "epoch", c.epoch, "error", err)
			c.tomb.Kill(ErrTermEnded)
		}
		return
	}
	if m.before != nil {
		select {
		case <-m.before.done:
		case <-c.tomb.Dying():
			return
		}
	}
	if m.batch != nil {
		c.mu.Lock()
		c.core.Committed(clock.Read(c.clock), m.batch)
		c.mu.Unlock()
		m.batch.observe()
	}
}

// write appends the records of a commit, or proves by an append without any
// that the term is current.
func (c *Controller) write(ctx context.Context, m *commit) error {
	var err error
	switch {
	case m.batch == nil:
		err = c.writer.Fence(ctx, c.stuck)
	case m.pending == nil:
		return nil
	default:
		err = m.pending.Wait(ctx, c.stuck)
	}
	if err == nil {
		metrics.AppendTime.Observe(c.clock.Now() - m.began)
		c.currency.Prove(m.began)
	}
	c.stuckSince.Store(0)
	return err
}

// stuck notes that an append has failed and is repeated.
func (c *Controller) stuck(err error) {
	c.deaf.Store(keyedlog.KindOf(err) == keyedlog.KindUnanswered)
	if c.stuckSince.CompareAndSwap(0, int64(c.clock.Now())) {
		c.log.Warn("append not done yet, it is repeated", "epoch", c.epoch, "error", err)
	}
}

// AppendStalledFor returns for how long the log has not taken an append.
func (c *Controller) AppendStalledFor() time.Duration {
	since := time.Duration(c.stuckSince.Load())
	if since == 0 {
		return 0
	}
	return c.clock.Now() - since
}

const (
	// relieveRefused and relieveDeaf are for how long the log may refuse
	// appends, or not answer them, before another daemon should take over. A
	// single lost answer costs less than a change of the holder.
	relieveRefused = 300 * time.Millisecond
	relieveDeaf    = 700 * time.Millisecond
)

// NeedsTakeover reports whether another daemon should take over, as the log
// takes nothing here.
func (c *Controller) NeedsTakeover() bool {
	limit := relieveRefused
	if c.deaf.Load() {
		limit = relieveDeaf
	}
	return c.AppendStalledFor() > limit
}
