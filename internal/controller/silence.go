package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/fxamacker/cbor/v2"
)

// silentPrefix is the key prefix of the records of silent endpoints.
const silentPrefix = "s/"

// maxOrderTime is how long an order may be on its way: a hold waits for holdWait, and
// for its answer somewhat longer.
const maxOrderTime = holdWait + 500*time.Millisecond

// silentAfter is how long an endpoint with runs may fail to answer before it is
// recorded as silent. It exceeds the timeout of an order.
const silentAfter = 700 * time.Millisecond

// silentRecord says that an incarnation of an endpoint gets no lease as long as
// the record exists. A later term that finds it knows that every lease there
// was granted before that term began. Without it, holders of earlier terms may
// have granted leases for TermGrace longer, and if the holder kept changing, no
// term would ever know that the tasks of a lost endpoint have ended.
type silentRecord struct {
	Incarnation int64 `cbor:"1,keyasint"`
	// Longest is set while the lease may last for Params.LeaseMax, because orders for a
	// former incarnation may have granted it.
	Longest bool `cbor:"2,keyasint,omitempty"`
}

// silenceChange is a change of the record of a silent endpoint in a batch. If
// cleared is set, the record is dropped.
type silenceChange struct {
	incarnation int64
	longest     bool
	cleared     bool
}

// value returns the encoded record, nil if the record is to be dropped.
func (s silenceChange) value() ([]byte, error) {
	if s.cleared {
		return nil, nil
	}
	return cbor.Marshal(silentRecord{Incarnation: s.incarnation, Longest: s.longest})
}

// mayExtendLease reports whether a hold may extend the lease of an endpoint.
func (c *Core) mayExtendLease(e *fleet.Endpoint) bool {
	return e.Clock.Known() && e.Failures == 0 && !c.endpointStateOf(e).silent
}

// recordSilences records the endpoints with runs that don't answer, and drops
// the records of those that answer again. It records nothing while holders of
// earlier terms may still grant leases.
func (c *Core) recordSilences(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		es := c.endpointStateOf(e)
		switch {
		case es.silent && e.Failures == 0 && e.LastAnswered > 0 && !es.clearing:
			es.clearing = true
			c.batch.silences[e.ID] = silenceChange{cleared: true}
		case !es.silent && e.Failures > 0 && len(e.Runs()) > 0 &&
			now.Steady >= c.fencedAt+c.params.TermGrace && now.Steady-e.LastAnswered >= silentAfter:
			es.silent = true
			c.log.Info("endpoint is silent, its lease is left to lapse", "endpoint", e.ID, "runs", len(e.Runs()),
				"unheard", now.Steady-e.LastAnswered, "lapses_in", e.LeaseEnd()-now.Steady)
			es.longest = c.mayOutlastUsualLease(now, e)
			c.batch.silences[e.ID] = silenceChange{incarnation: e.Incarnation, longest: es.longest}
		case es.silent && !es.clearing && es.longest != c.mayOutlastUsualLease(now, e):
			es.longest = !es.longest
			c.batch.silences[e.ID] = silenceChange{incarnation: e.Incarnation, longest: es.longest}
		}
	}
}

// mayOutlastUsualLease reports whether runs of an endpoint may work for longer from now on
// than the lease that holders ask for.
func (c *Core) mayOutlastUsualLease(now clock.Instant, e *fleet.Endpoint) bool {
	usual := now.Steady + c.usualLease()
	if e.LeaseEnd() > usual {
		return true
	}
	for _, r := range e.Runs() {
		if c.runStateOf(r).mayRunUntil > usual {
			return true
		}
	}
	return false
}

// clearSilence drops the record of an endpoint that is removed or replaced.
func (c *Core) clearSilence(e *fleet.Endpoint) {
	if es := c.endpointStates[e]; es != nil && es.silent {
		c.batch.silences[e.ID] = silenceChange{cleared: true}
	}
}

// silencesCommitted applies the changes of silence records of a batch that is
// now in the log.
func (c *Core) silencesCommitted(b *Batch) {
	for id, s := range b.silences {
		e := c.fleet.Endpoint(id)
		if e == nil || !s.cleared {
			continue
		}
		if es := c.endpointStateOf(e); es.clearing {
			es.silent, es.clearing = false, false
			c.planDue = true
		}
	}
}

// restoreSilence loads the record of a silent endpoint.
func (c *Core) restoreSilence(id string, value []byte) {
	var r silentRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		c.log.Error("can't decode the record of a silent endpoint, assuming its lease lasts longer", "endpoint", id, "error", err)
		return
	}
	c.inheritedSilences[id] = r
	if e := c.fleet.Endpoint(id); e != nil {
		c.boundInheritedLease(e)
	}
}

// boundInheritedLease bounds the end of the lease that holders of earlier terms
// may have granted to an endpoint. They stop sending orders TermGrace after
// this term began, or before it began if the endpoint was recorded as silent.
func (c *Core) boundInheritedLease(e *fleet.Endpoint) {
	if r, known := c.inheritedSilences[e.ID]; known && r.Incarnation == e.Incarnation {
		es := c.endpointStateOf(e)
		es.silent, es.longest = true, r.Longest
		lease := c.usualLease()
		if r.Longest {
			lease = c.longestLease()
		}
		e.SetLeaseEnd(c.fencedAt + lease)
		return
	}
	// Its last orders for a former incarnation may still have been on their way.
	e.ExtendLeaseEnd(c.fencedAt + max(c.params.TermGrace+c.usualLease(), maxOrderTime+c.longestLease()))
}
