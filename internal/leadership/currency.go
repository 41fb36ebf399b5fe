package leadership

import (
	"sync/atomic"
	"time"
)

// TermProof judges whether a term is current from when that was last proven. A
// holder gives no orders when the proof is older than the grace, so that its
// successor knows when the last of them was sent.
type TermProof struct {
	grace  time.Duration
	proven atomic.Int64
}

// NewTermProof returns a currency that was proven at an instant.
func NewTermProof(grace, at time.Duration) *TermProof {
	c := &TermProof{grace: grace}
	c.proven.Store(int64(at))
	return c
}

// Prove notes that the term was current at an instant.
func (c *TermProof) Prove(at time.Duration) {
	for {
		last := c.proven.Load()
		if int64(at) <= last || c.proven.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// Proven returns the instant of the last proof.
func (c *TermProof) Proven() time.Duration { return time.Duration(c.proven.Load()) }

// Valid reports whether orders may be given at an instant.
func (c *TermProof) Valid(now time.Duration) bool { return now-c.Proven() <= c.grace }
