package controller

import (
	"sort"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// Tick does what has become due: occurrences, lapsed leases, repeated stops,
// holds, and forgetting jobs that ended long ago.
func (c *Core) Tick(now clock.Instant) {
	for _, e := range c.recurring {
		c.openDue(now, e)
	}
	c.lapse(now)
	c.repeatStops(now)
	c.forget(now)
	c.dueHolds(now)
	c.wakeQuestions(now)
}

// repeatStops sends stops again that got no answer.
func (c *Core) repeatStops(now clock.Instant) {
	for _, ec := range c.control {
		for r, rc := range ec.runs {
			if rc.stopped && !rc.stopping && rc.barred == 0 && rc.sent(r) && now.Steady >= rc.stopAt {
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
			e.access.Asking = false
			c.planDue = true
		}
	}
}

// forget drops the jobs whose state need not be told any more.
func (c *Core) forget(now clock.Instant) {
	for len(c.ended) > 0 {
		e := c.ended[0]
		if now.Wall.Sub(e.job.Finished()) <= c.bounds.StateKept {
			return
		}
		c.ended = c.ended[1:]
		delete(c.jobs, e.job.ID)
		c.batch.dropped[e.job.ID] = true
	}
}

// sortedKeys returns the ids of endpoints in order.
func sortedKeys(m map[string]*fleet.Endpoint) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
