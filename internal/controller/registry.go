package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// EndpointListed takes in what the registry says of an endpoint.
func (c *Core) EndpointListed(now clock.Instant, r fleet.Registration) {
	before := c.fleet.Endpoint(r.ID)
	if before != nil && r.Incarnation < before.Incarnation {
		// An entry of an earlier life; the endpoint has told of a later one.
		return
	}
	if before != nil && before.Incarnation == r.Incarnation {
		c.update(now, before, r)
		return
	}
	e, replaced := c.fleet.Register(r)
	c.boundInherited(e)
	if replaced != nil {
		c.log.Info("endpoint is back as a new incarnation", "endpoint", e.ID, "incarnation", e.Incarnation)
		c.moveDoubts(now, replaced, e)
	}
	c.planDue = true
}

// update takes in a changed entry of a known incarnation.
func (c *Core) update(now clock.Instant, e *fleet.Endpoint, r fleet.Registration) {
	// An endpoint that said itself that it drains goes on draining.
	r.Draining = r.Draining || e.Draining
	if !e.Listed || r.Draining != e.Draining {
		c.planDue = true
	}
	if r.Draining && !e.Draining {
		// Its report says how long it stays.
		c.log.Info("endpoint drains", "endpoint", e.ID, "runs", len(e.Runs()))
		c.wantReport(e, now.Steady)
	}
	c.fleet.Register(r)
}

// EndpointUnlisted takes in that the registry lacks an endpoint. Its runs stay
// in the books until its lease has certainly ended.
func (c *Core) EndpointUnlisted(id string) {
	if e := c.fleet.Endpoint(id); e != nil && e.Listed {
		e.Listed = false
		c.log.Info("endpoint left the registry", "endpoint", id, "runs", len(e.Runs()))
	}
}

// reborn takes in that an endpoint has told of another life than registered.
func (c *Core) reborn(now clock.Instant, e *fleet.Endpoint, incarnation int64) {
	if incarnation < e.Incarnation {
		c.log.Warn("endpoint tells of an earlier life than registered", "endpoint", e.ID, "incarnation", incarnation)
		c.controlOf(e).holdAt = now.Steady + holdRetry
		return
	}
	r := e.Registration
	r.Incarnation, r.Draining = incarnation, false
	c.EndpointListed(now, r)
}

// moveDoubts resolves the runs of a replaced incarnation. What it has listed is
// lost. Anything else may be in the new life: orders name an endpoint by its id
// alone, and the new life knows of no earlier stop and no epoch. A run whose
// start was answered, or was ordered in an earlier term, is resolved by the new
// life's first report; one without an answer is barred there.
func (c *Core) moveDoubts(now clock.Instant, old, current *fleet.Endpoint) {
	for _, r := range runsOf(old) {
		rc := c.controlOfRun(r)
		switch {
		case rc.listed || !rc.sent(r):
			c.finish(now, r, workload.EndLost, "")
		case r.Phase == fleet.PhaseInherited, rc.answered > 0 && !rc.stopped:
			c.move(now, r, old, current)
			r.Phase = fleet.PhaseInherited
		default:
			c.move(now, r, old, current)
			r.Phase = fleet.PhaseDoubtful
			c.stop(now, r)
			if r.Step.Spec.Gang {
				c.stopGang(now, r.Step, r.Number)
			}
		}
	}
	c.dropSilence(old)
	delete(c.control, old)
}

// move takes a run over to another incarnation's account. Its order may have
// given the new life a lease: a deadline of the old life's clock means nothing
// there, and counts as the longest.
func (c *Core) move(now clock.Instant, r *fleet.Run, old, current *fleet.Endpoint) {
	c.dropControl(old, r)
	old.Remove(r)
	current.Add(r)
	current.ExtendLeaseEnd(now.Steady + c.longestLease())
}

// longestLease is how long a lease may last by our clock that an order under
// way now grants. All holders of a cell grant leases of the same length.
func (c *Core) longestLease() time.Duration {
	return time.Duration(float64(c.bounds.Lease)*leaseStretch) + leaseMargin
}

// leaseStretch is how much longer than asked for a lease may last by our
// clock, as the endpoint's may run 2% slow; a little more is counted.
const leaseStretch = 1.03

// lapse frees the runs of endpoints whose lease has certainly ended without
// an answer since.
func (c *Core) lapse(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		if !e.LeaseLapsed(now.Steady) {
			continue
		}
		for _, r := range runsOf(e) {
			if !c.controlOfRun(r).sent(r) {
				continue
			}
			c.stats.Lapsed++
			c.log.Warn("run counted as ended, the endpoint's lease has lapsed", "task", r.Task, "run", r.Number, "endpoint", e.ID)
			c.finish(now, r, workload.EndLapsed, "")
		}
		if !e.Listed && len(e.Runs()) == 0 {
			c.dropSilence(e)
			c.fleet.Drop(e)
			delete(c.control, e)
		}
	}
}
