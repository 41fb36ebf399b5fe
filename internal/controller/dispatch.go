package controller

import (
	"context"

	"github.com/bluebellstile/bluebellstile/internal/clock"
)

// dispatch carries out orders, each by itself.
func (c *Controller) dispatch(orders []Order) {
	for _, o := range orders {
		c.tomb.Go(func() error {
			c.carryOut(o)
			return nil
		})
	}
}

// notCurrent is the outcome of orders that were held back.
var notCurrent = Outcome{Fate: FateNotSent, Detail: "the term is not proven current"}

// carryOut carries out one order and feeds back its result. The proof that the
// term is current is looked at last, since the process may have stood still.
func (c *Controller) carryOut(o Order) {
	ctx := c.tomb.Context(context.Background())
	valid := c.currency.Valid(c.clock.Now())
	switch o := o.(type) {
	case *StartOrder:
		out := notCurrent
		if valid {
			out = c.endpoints.Start(ctx, c.epoch, o)
		}
		c.taken(out, func(now clock.Instant, core *Core) { core.StartAnswered(now, o, out) })
	case *StopOrder:
		out := notCurrent
		if valid {
			out = c.endpoints.Stop(ctx, c.epoch, o)
		}
		c.taken(out, func(now clock.Instant, core *Core) { core.StopAnswered(now, o, out) })
	case *PaceOrder:
		out := notCurrent
		if valid {
			out = c.endpoints.Pace(ctx, c.epoch, o)
		}
		c.taken(out, func(now clock.Instant, core *Core) { core.PaceAnswered(now, o, out) })
	case *HoldOrder:
		out, report := notCurrent, Report{}
		if valid {
			report, out = c.endpoints.Hold(ctx, c.epoch, o)
		}
		c.taken(out, func(now clock.Instant, core *Core) { core.HoldAnswered(now, o, report, out) })
	case *AskOrder:
		answer, err := c.eligibility.Ask(ctx, o)
		c.with(func(now clock.Instant, core *Core) { core.AskAnswered(now, o, answer, err) })
	}
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
