package leadership

import (
	"sync/atomic"
	"time"
)

// Currency judges whether a term is current from when that was last proven. A
// holder gives no orders when the proof is older than the grace, so that its
// successor knows when the last of them was sent.
type Currency struct {
	grace  time.Duration
	proven atomic.Int64
}

// NewCurrency returns a currency that was proven at an instant.
func NewCurrency(grace, at time.Duration) *Currency {
	c := &Currency{grace: grace}
	c.proven.Store(int64(at))
	return c
}

// Prove notes that the term was current at an instant.
func (c *Currency) Prove(at time.Duration) {
	for {
		last := c.proven.Load()
		if int64(at) <= last || c.proven.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// Proven returns the instant of the last proof.
func (c *Currency) Proven() time.Duration { return time.Duration(c.proven.Load()) }

// Valid reports whether orders may be given at an instant.
func (c *Currency) Valid(now time.Duration) bool { return now-c.Proven() <= c.grace }
