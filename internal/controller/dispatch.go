package controller

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// dispatch carries out orders, each by itself.
func (c *Controller) dispatch(orders []Order) {
	if len(orders) == 0 {
		return
	}
	decided := c.clock.Now()
	for _, o := range orders {
		c.open.Add(1)
		c.tomb.Go(func() error {
			defer c.open.Add(-1)
			c.carryOut(o, decided)
			return nil
		})
	}
}

// carryOut carries out one order and feeds back its result.
func (c *Controller) carryOut(o Order, decided time.Duration) {
	ctx := c.tomb.Context(context.Background())
	switch o := o.(type) {
	case *StartOrder:
		out := c.send(decided, func() Outcome { return c.endpoints.Start(ctx, c.epoch, o) })
		c.taken(out, func(now clock.Instant, core *Core) { core.StartAnswered(now, o, out) })
	case *StopOrder:
		out := c.send(decided, func() Outcome { return c.endpoints.Stop(ctx, c.epoch, o) })
		c.taken(out, func(now clock.Instant, core *Core) { core.StopAnswered(now, o, out) })
	case *PaceOrder:
		out := c.send(decided, func() Outcome { return c.endpoints.Pace(ctx, c.epoch, o) })
		c.taken(out, func(now clock.Instant, core *Core) { core.PaceAnswered(now, o, out) })
	case *HoldOrder:
		var report Report
		out := c.send(decided, func() Outcome {
			var out Outcome
			report, out = c.endpoints.Hold(ctx, c.epoch, o)
			return out
		})
		c.taken(out, func(now clock.Instant, core *Core) { core.HoldAnswered(now, o, report, out) })
	case *AskOrder:
		answer, err := c.eligibility.Ask(ctx, o)
		c.with(func(now clock.Instant, core *Core) { core.AskAnswered(now, o, answer, err) })
	}
}

// send sends an order that was decided on a while ago, unless the term may not
// be current any more. That is looked at last, since the process may have stood
// still.
func (c *Controller) send(decided time.Duration, order func() Outcome) Outcome {
	now := c.clock.Now()
	queued := now - decided
	metrics.OrderQueueTime.Observe(queued)
	if !c.currency.Valid(now) {
		return Outcome{Fate: FateNotSent, Detail: "the term is not proven current", Queued: queued}
	}
	out := order()
	out.Queued = queued
	metrics.OrderConnectTime.Observe(out.Connecting)
	metrics.OrderTime.Observe(out.Took)
	return out
}

// taken feeds back the result of an order to an endpoint. A refusal for a
// higher epoch ends the term.
func (c *Controller) taken(out Outcome, f func(clock.Instant, *Core)) {
	if out.Fate == FateRefused && out.Reason == ReasonFenced {
		if c.tomb.Alive() {
			c.log.Warn("term ends, an endpoint has seen a higher epoch", "epoch", c.epoch, "detail", out.Detail)
		}
		c.tomb.Kill(ErrTermEnded)
		return
	}
	if c.tomb.Alive() {
		c.with(f)
	}
}
