package controller

import (
	"github.com/bluebellstile/bluebellstile/internal/clock"
)

// Tick does what has become due: occurrences, lapsed leases, repeated stops,
// evacuations, silent endpoints, holds, and forgetting jobs that ended long ago.
func (c *Core) Tick(now clock.Instant) {
	c.backlog.turn(now.Steady)
	c.openRecurring(now)
	c.lapse(now)
	c.repeatStops(now)
	c.forget(now)
	c.evacuate(now)
	c.noteSilence(now)
	c.dueHolds(now)
	c.wakeQuestions(now)
}

// openRecurring opens the occurrences that have become due.
func (c *Core) openRecurring(now clock.Instant) {
	if len(c.recurring) == 0 {
		return
	}
	for _, id := range sortedIDs(c.recurring) {
		c.openDue(now, c.recurring[id])
	}
}

// repeatStops sends stops again that got no answer.
func (c *Core) repeatStops(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		ec := c.control[e]
		if ec == nil || ec.stops == 0 {
			continue
		}
		for _, r := range e.Runs() {
			rc := ec.runs[r]
			if rc != nil && rc.stopped && !rc.stopping && rc.barred == 0 && rc.sent(r) && now.Steady >= rc.stopAt {
				c.sendStop(r, rc)
			}
		}
	}
}

// wakeQuestions makes a plan due when questions may be asked again.
func (c *Core) wakeQuestions(now clock.Instant) {
	for _, e := range c.steps {
		if e.askAfter > 0 && now.Steady >= e.askAfter {
			e.askAfter = 0
			e.access.QuestionInFlight = false
			c.planDue = true
		}
	}
}

// forget drops the jobs whose state need not be told any more.
func (c *Core) forget(now clock.Instant) {
	for len(c.ended) > 0 {
		e := c.ended[0]
		if now.Wall.Sub(e.job.Finished()) <= c.bounds.StateKept || e.job.HasUnfinishedRuns() {
			return
		}
		c.ended = c.ended[1:]
		delete(c.jobs, e.job.ID)
		c.batch.dropped = append(c.batch.dropped, e.job.ID)
	}
}
