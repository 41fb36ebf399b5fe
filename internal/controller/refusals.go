package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// firstRefusalPause and maxRefusalPause are the shortest and the longest time for
// which no task of a step is placed after endpoints have refused its starts again.
const (
	firstRefusalPause = 50 * time.Millisecond
	maxRefusalPause   = time.Second
)

// noteRefusal records that an endpoint refused the start of a run. The first time the
// step is tried again at once, as what was wrong is known now: a permit that had
// expired, or a clock that was off. After that the pause doubles each time, because
// every attempt costs a record in the log and an order.
func (c *Core) noteRefusal(now clock.Instant, r *fleet.Run) {
	e := c.steps[r.Step]
	if e == nil || e.refusals > 0 && r.OrderedAt <= e.refusedAt {
		// Starts that were placed before the last refusal belong to its round.
		return
	}
	e.refusedAt = now.Steady
	e.refusals++
	if e.refusals > 1 {
		e.placeAfter = now.Steady + refusalPause(e.refusals-1)
	}
}

// refusalPause returns the pause after the given number of repeated refusals.
func refusalPause(repeated int) time.Duration {
	pause := firstRefusalPause
	for range repeated - 1 {
		pause = min(2*pause, maxRefusalPause)
	}
	return pause
}

// resetRefusals lets the tasks of a step be placed at once, after a confirmed start or
// a change of the configuration.
func (e *stepEntry) resetRefusals() { e.refusals, e.placeAfter = 0, 0 }
