package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/fxamacker/cbor/v2"
)

// silentPrefix begins the keys of the records of silent endpoints.
const silentPrefix = "s/"

// silentAfter is how long an endpoint with runs goes unheard before that is
// recorded: longer than an order waits for its answer.
const silentAfter = 700 * time.Millisecond

// silentRecord says that no lease is granted to an incarnation of an endpoint
// until the record is gone. A later term that finds it knows that every lease
// there was granted before the term began. Without it, holders of earlier terms
// may have granted leases for TermGrace longer, and a holder that changes again
// and again would never know that a lost endpoint's tasks have ended.
type silentRecord struct {
	Incarnation int64 `cbor:"1,keyasint"`
}

// silence is what a batch changes about a record of a silent endpoint; with
// gone the record is dropped.
type silence struct {
	incarnation int64
	gone        bool
}

// value returns the stored form, empty if the record is to be dropped.
func (s silence) value() ([]byte, error) {
	if s.gone {
		return nil, nil
	}
	return cbor.Marshal(silentRecord{Incarnation: s.incarnation})
}

// mayGrant reports whether an order to an endpoint may extend its lease.
func (c *Core) mayGrant(e *fleet.Endpoint) bool {
	return e.Clock.Known() && e.Failures == 0 && !c.controlOf(e).silent
}

// noteSilence records the endpoints with runs that don't answer, and drops the
// records of those that answer again. Holders of earlier terms may still grant
// leases at first, so that nothing is recorded then.
func (c *Core) noteSilence(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		ec := c.controlOf(e)
		switch {
		case ec.silent && e.Failures == 0 && e.LastAnswered > 0 && !ec.clearing:
			ec.clearing = true
			c.batch.silences[e.ID] = silence{gone: true}
		case !ec.silent && e.Failures > 0 && len(e.Runs()) > 0 &&
			now.Steady >= c.began+c.bounds.TermGrace && now.Steady-e.LastAnswered >= silentAfter:
			ec.silent = true
			c.log.Info("endpoint is silent, its lease is left to lapse", "endpoint", e.ID, "runs", len(e.Runs()),
				"unheard", now.Steady-e.LastAnswered, "lapses_in", e.LeaseEnd()-now.Steady)
			c.batch.silences[e.ID] = silence{incarnation: e.Incarnation}
		}
	}
}

// dropSilence drops the record of an endpoint that is forgotten or replaced.
func (c *Core) dropSilence(e *fleet.Endpoint) {
	if ec := c.control[e]; ec != nil && ec.silent {
		c.batch.silences[e.ID] = silence{gone: true}
	}
}

// silencesCommitted notes what stands in the log about silent endpoints.
func (c *Core) silencesCommitted(b *Batch) {
	for id, s := range b.silences {
		e := c.fleet.Endpoint(id)
		if e == nil || !s.gone {
			continue
		}
		if ec := c.controlOf(e); ec.clearing {
			ec.silent, ec.clearing = false, false
			c.planDue = true
		}
	}
}

// restoreSilence takes in the record of a silent endpoint.
func (c *Core) restoreSilence(id string, value []byte) {
	var r silentRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		c.log.Error("the record of a silent endpoint can't be read, its lease counts as longer", "endpoint", id, "error", err)
		return
	}
	c.silentBefore[id] = r.Incarnation
	if e := c.fleet.Endpoint(id); e != nil {
		c.boundInherited(e)
	}
}

// boundInherited bounds the lease that holders of earlier terms may have
// granted to an endpoint: they stop giving orders TermGrace after this term
// has begun, or before if the endpoint was recorded as silent.
func (c *Core) boundInherited(e *fleet.Endpoint) {
	if incarnation, known := c.silentBefore[e.ID]; known && incarnation == e.Incarnation {
		c.controlOf(e).silent = true
		e.SetLeaseEnd(c.began + c.longestLease())
		return
	}
	e.ExtendLeaseEnd(c.began + c.bounds.TermGrace + c.longestLease())
}
