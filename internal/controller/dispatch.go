package controller

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// dispatch executes orders, each in its own goroutine.
func (c *Controller) dispatch(orders []Order) {
	if len(orders) == 0 {
		return
	}
	decided := c.clock.Now()
	for _, o := range orders {
		c.openOrders.Add(1)
		c.tomb.Go(func() error {
			defer c.openOrders.Add(-1)
			c.execute(o, decided)
			return nil
		})
	}
}

// execute executes one order and passes its result to the core.
func (c *Controller) execute(o Order, decided time.Duration) {
	ctx := c.tomb.Context(context.Background())
	switch o := o.(type) {
	case *StartOrder:
		out := c.send(decided, func() Outcome { return c.endpoints.Start(ctx, c.epoch, o) })
		c.deliver(out, func(now clock.Instant, core *Core) { core.StartAnswered(now, o, out) })
	case *StopOrder:
		out := c.send(decided, func() Outcome { return c.endpoints.Stop(ctx, c.epoch, o) })
		c.deliver(out, func(now clock.Instant, core *Core) { core.StopAnswered(now, o, out) })
	case *PaceOrder:
		out := c.send(decided, func() Outcome { return c.endpoints.Pace(ctx, c.epoch, o) })
		c.deliver(out, func(now clock.Instant, core *Core) { core.PaceAnswered(now, o, out) })
	case *HoldOrder:
		var report Report
		out := c.send(decided, func() Outcome {
			var out Outcome
			report, out = c.endpoints.Hold(ctx, c.epoch, o)
			return out
		})
		c.deliver(out, func(now clock.Instant, core *Core) { core.HoldAnswered(now, o, report, out) })
	case *AskOrder:
		answer, err := c.eligibility.Ask(ctx, o)
		c.withCore(func(now clock.Instant, core *Core) { core.AskAnswered(now, o, answer, err) })
	}
}

// send sends an order that was decided on earlier, unless the term may have
// been superseded since. It checks that last, because the process may have been
// suspended in between.
func (c *Controller) send(decided time.Duration, order func() Outcome) Outcome {
	now := c.clock.Now()
	queued := now - decided
	metrics.OrderQueueTime.Observe(queued)
	if !c.termProof.Valid(now) {
		return Outcome{Fate: FateNotSent, Detail: "the last proof that the term is current is too old", Queued: queued}
	}
	out := order()
	out.Queued = queued
	metrics.OrderConnectTime.Observe(out.Connecting)
	metrics.OrderTime.Observe(out.Took)
	return out
}

// deliver passes the result of an order to the core. If the endpoint has seen a
// higher epoch, it ends the term instead.
func (c *Controller) deliver(out Outcome, f func(clock.Instant, *Core)) {
	if out.Fate == FateRefused && out.Reason == ReasonFenced {
		if c.tomb.Alive() {
			c.log.Warn("term ends, an endpoint has seen a higher epoch", "epoch", c.epoch, "detail", out.Detail)
		}
		c.tomb.Kill(ErrTermEnded)
		return
	}
	if c.tomb.Alive() {
		c.withCore(f)
	}
}
