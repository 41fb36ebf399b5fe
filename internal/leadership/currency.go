package leadership

import (
	"sync/atomic"
	"time"
)

// TermProof tracks when the term was last proven to be current. A holder sends
// no orders to endpoints when the proof is older than the grace period, so that its
// successor knows when the last of them was sent. It is safe for concurrent
// use.
type TermProof struct {
	grace       time.Duration
	confirmedAt atomic.Int64
}

// NewTermProof returns a TermProof with a first proof at the given time.
func NewTermProof(grace, at time.Duration) *TermProof {
	p := &TermProof{grace: grace}
	p.confirmedAt.Store(int64(at))
	return p
}

// Confirm records that the term was current at the given time. Earlier times
// than the last proof are ignored.
func (p *TermProof) Confirm(at time.Duration) {
	for {
		last := p.confirmedAt.Load()
		if int64(at) <= last || p.confirmedAt.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// ConfirmedAt returns the time of the last proof.
func (p *TermProof) ConfirmedAt() time.Duration { return time.Duration(p.confirmedAt.Load()) }

// Valid reports whether orders may be sent at the given time.
func (p *TermProof) Valid(now time.Duration) bool { return now-p.ConfirmedAt() <= p.grace }
