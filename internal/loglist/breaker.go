package loglist

import (
	"sync"
	"time"
)

// BreakerState is the state of a circuit breaker.
type BreakerState string

// Circuit breaker states.
const (
	BreakerClosed   BreakerState = "closed"
	BreakerOpen     BreakerState = "open"
	BreakerHalfOpen BreakerState = "half_open"
)

// outcome is the result of an attempt as a breaker counts it.
type outcome int

const (
	succeeded outcome = iota
	failed
	// abandoned means that the caller cancelled the attempt, which says nothing
	// about the platform's health.
	abandoned
)

// breaker makes calls fail fast after consecutive failures. Once per cooldown
// it lets a single probe through, and closes when that succeeds.
type breaker struct {
	threshold int
	cooldown  time.Duration
	now       func() time.Time

	mu       sync.Mutex
	failures int
	probeAt  time.Time
	probing  bool
}

func newBreaker(threshold int, cooldown time.Duration) *breaker {
	return &breaker{threshold: threshold, cooldown: cooldown, now: time.Now}
}

// allow reports whether an attempt may be made. Each allowed attempt must be
// followed by one call of record.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.threshold {
		return true
	}
	if b.probing || b.now().Before(b.probeAt) {
		return false
	}
	b.probing = true
	return true
}

// record takes the outcome of an allowed attempt.
func (b *breaker) record(o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	switch o {
	case succeeded:
		b.failures = 0
	case failed:
		b.failures++
		b.probeAt = b.now().Add(b.cooldown)
	case abandoned:
	}
}

// state returns the current state.
func (b *breaker) state() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.failures < b.threshold:
		return BreakerClosed
	case b.probing || !b.now().Before(b.probeAt):
		return BreakerHalfOpen
	}
	return BreakerOpen
}
