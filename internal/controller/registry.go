package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// EndpointListed handles an endpoint's entry in the registry.
func (c *Core) EndpointListed(now clock.Instant, r fleet.Registration) {
	before := c.fleet.Endpoint(r.ID)
	if before != nil && r.Incarnation < before.Incarnation {
		// The entry is stale: the endpoint has reported a later incarnation.
		return
	}
	if before != nil && before.Incarnation == r.Incarnation {
		c.updateListed(now, before, r)
		return
	}
	e, replaced := c.fleet.Register(r)
	c.observeCold(now, e)
	c.boundInheritedLease(e)
	if replaced != nil {
		c.assumeLongestLease(now, e)
		c.log.Info("endpoint is back as a new incarnation", "endpoint", e.ID, "incarnation", e.Incarnation, "described", e.Described(),
			"former", replaced.Incarnation, "runs", len(replaced.Runs()), "lapses_in", e.LeaseEnd()-now.Steady)
		c.resolveReplacedRuns(now, replaced, e)
	}
	c.barLateStarts(now, e)
	c.planDue = true
}

// updateListed applies a changed entry of a known incarnation.
func (c *Core) updateListed(now clock.Instant, e *fleet.Endpoint, r fleet.Registration) {
	// An endpoint that has reported that it drains stays draining.
	r.Draining = r.Draining || e.Draining
	if !e.Listed || r.Draining != e.Draining || !e.OffersSame(&r) {
		c.planDue = true
	}
	if !e.Described() {
		c.log.Info("endpoint has registered", "endpoint", e.ID, "incarnation", e.Incarnation, "pool", r.Pool, "labels", r.Labels,
			"millicores", r.Capacity.MilliCores)
	}
	if r.Draining && !e.Draining {
		// The endpoint's report states how long it stays.
		c.log.Info("endpoint drains", "endpoint", e.ID, "runs", len(e.Runs()))
		c.requestReport(e, now.Steady)
	}
	c.fleet.Register(r)
	c.observeCold(now, e)
}

// observeCold records for how much longer an endpoint says that it stays cold.
func (c *Core) observeCold(now clock.Instant, e *fleet.Endpoint) {
	if !c.params.Features.Evacuation {
		return
	}
	cold := e.Cold(now.Steady)
	if e.ObserveCold(now.Steady, e.ColdLeft) {
		c.log.Warn("endpoint says that it stays cold for too long, it counts as warm after the longest time", "endpoint", e.ID,
			"left", e.ColdLeft, "longest", fleet.MaxCold)
	}
	if e.Cold(now.Steady) != cold {
		c.log.Info("endpoint says whether it is cold", "endpoint", e.ID, "cold", !cold, "left", e.ColdLeft)
	}
}

// EndpointUnlisted handles the removal of an endpoint from the registry. Its
// runs are kept until its lease has certainly ended.
func (c *Core) EndpointUnlisted(id string) {
	if e := c.fleet.Endpoint(id); e != nil && e.Listed {
		c.fleet.Unlist(e)
		c.log.Info("endpoint left the registry", "endpoint", id, "runs", len(e.Runs()))
	}
}

// incarnationChanged handles a report from another incarnation than the
// registered one. What it offers is unknown until it registers: nothing is placed there
// meanwhile, but its runs are listed, held and stopped.
func (c *Core) incarnationChanged(now clock.Instant, e *fleet.Endpoint, incarnation int64) {
	if incarnation < e.Incarnation {
		c.log.Warn("endpoint reports an earlier incarnation than registered", "endpoint", e.ID, "incarnation", incarnation)
		c.endpointStateOf(e).nextHoldAt = now.Steady + holdRetry
		return
	}
	c.EndpointListed(now, fleet.Registration{ID: e.ID, Incarnation: incarnation, Address: e.Address})
}

// resolveReplacedRuns resolves the runs of a replaced incarnation. Runs that it
// has listed, and those whose start was not sent, are lost. Any other run may
// have started in the new incarnation: orders name an endpoint by its id alone,
// and the new incarnation knows no earlier stop and no epoch. The first report
// of the new incarnation resolves a run whose start was confirmed or that an
// earlier term ordered. A run without an answer is barred there.
func (c *Core) resolveReplacedRuns(now clock.Instant, old, current *fleet.Endpoint) {
	for _, r := range runsOf(old) {
		rs := c.runStateOf(r)
		switch {
		case rs.listed || !rs.mayHaveBeenSent(r):
			c.finishRun(now, r, workload.EndLost, "")
		case r.Phase == fleet.PhaseInherited, rs.startConfirmedAt > 0 && !rs.stopDecided:
			c.moveRun(r, old, current)
			r.Phase = fleet.PhaseInherited
		default:
			c.moveRun(r, old, current)
			r.Phase = fleet.PhaseDoubtful
			c.stopRun(now, r)
			if r.Step.Spec.Gang {
				c.stopGang(now, r.Step, r.Number)
			}
		}
	}
	c.clearSilence(old)
	delete(c.endpointStates, old)
}

// moveRun moves a run to the account of another incarnation.
func (c *Core) moveRun(r *fleet.Run, old, current *fleet.Endpoint) {
	c.dropRunState(old, r)
	old.Remove(r)
	current.Add(r)
	r.Moved = true
}

// assumeLongestLease accounts for orders for a former incarnation of an endpoint that
// have reached this one: orders name an endpoint by its id alone. Their deadlines are on
// the former incarnation's clock, so that each may have granted the longest lease.
func (c *Core) assumeLongestLease(now clock.Instant, e *fleet.Endpoint) {
	e.ExtendLeaseEnd(now.Steady + c.longestLease())
}

// noteFormerOrder handles the result of an order that extends the lease of an endpoint. If
// the endpoint has a later incarnation than the order was meant for, that may have
// executed it.
func (c *Core) noteFormerOrder(now clock.Instant, target Target, deadline time.Duration, out Outcome) {
	e := c.fleet.Endpoint(target.ID)
	if e == nil || e.Incarnation <= target.Incarnation || deadline == 0 || out.Fate == FateNotSent || out.Reason == ReasonIncarnation {
		return
	}
	c.assumeLongestLease(now, e)
	c.log.Info("order for a former incarnation may have extended the lease", "endpoint", e.ID, "incarnation", e.Incarnation,
		"former", target.Incarnation, "reason", out.Reason, "lapses_in", e.LeaseEnd()-now.Steady)
}

// usualLease is how long, by this daemon's clock, a lease may last that an order
// in flight now grants to the incarnation that it is meant for. All holders of a cell
// grant leases of the same length.
func (c *Core) usualLease() time.Duration { return c.ownTime(c.params.Lease) }

// longestLease is the same for an order that may reach any incarnation.
func (c *Core) longestLease() time.Duration { return c.ownTime(c.params.LeaseMax) }

// ownTime is how long, by this daemon's clock, what an order grants may last if it lasts
// for the given time on the endpoint's clock.
func (c *Core) ownTime(length time.Duration) time.Duration {
	return time.Duration(float64(length)*leaseClockFactor) + leaseMargin
}

// leaseClockFactor is the factor by which a lease may outlast its length by
// this daemon's clock. An endpoint's clock may run 2% slow; the rest is margin.
const leaseClockFactor = 1.03

// expireLeases ends the runs of endpoints whose lease has certainly lapsed
// without an answer since, and drops unlisted endpoints without runs.
func (c *Core) expireLeases(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		if !e.LeaseLapsed(now.Steady) {
			continue
		}
		for _, r := range runsOf(e) {
			if rs := c.runStateOf(r); !rs.mayHaveBeenSent(r) || now.Steady <= rs.mayRunUntil {
				continue
			}
			c.stats.Lapsed++
			c.log.Warn("run counted as ended, the endpoint's lease has lapsed", "task", r.Task, "run", r.Number, "endpoint", e.ID)
			end := workload.EndLapsed
			if r.ConfirmedAt == 0 {
				end = workload.EndUnheard
			}
			c.finishRun(now, r, end, "")
		}
		if !e.Listed && len(e.Runs()) == 0 {
			c.clearSilence(e)
			c.fleet.Drop(e)
			delete(c.endpointStates, e)
		}
	}
}
