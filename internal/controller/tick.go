package controller

import (
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
)

// Tick performs the time-driven work: updating the start rate, opening
// occurrences, expiring leases, retrying stops, forgetting jobs that ended long
// ago, evicting runs from draining endpoints, recording silent endpoints,
// sending holds, resuming steps after a pause and planning again for blocked
// ones.
func (c *Core) Tick(now clock.Instant) {
	c.backlog.updateRate(now.Steady)
	c.openRecurring(now)
	c.expireLeases(now)
	c.forgetLateStarts(now)
	c.retryStops(now)
	c.forgetEndedJobs(now)
	c.evictFromDraining(now)
	c.recordSilences(now)
	c.sendDueHolds(now)
	c.resumeSteps(now)
	c.replanBlocked(now)
}

// replanInterval is how often a plan is made for work that could not start, if no event
// causes one.
const replanInterval = 250 * time.Millisecond

// replanBlocked makes a plan due for work that could not start. Some of what it waits for
// passes without an event: an endpoint answers again, its backoff ends, or a task has
// waited long enough for the rack of its data.
func (c *Core) replanBlocked(now clock.Instant) {
	if (c.blocked || c.deferred) && now.Steady-c.plannedAt >= replanInterval {
		c.planDue = true
	}
}

// openRecurring opens the occurrences that are due.
func (c *Core) openRecurring(now clock.Instant) {
	if len(c.recurring) == 0 {
		return
	}
	for _, id := range sortedKeys(c.recurring) {
		c.openDueOccurrences(now, c.recurring[id])
	}
}

// retryStops repeats the stops that failed.
func (c *Core) retryStops(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		es := c.endpointStates[e]
		if es != nil && len(es.bars) > 0 {
			c.sendBars(now, e, es)
		}
		if es == nil || es.pendingStops == 0 {
			continue
		}
		for _, r := range e.Runs() {
			rs := es.runs[r]
			if rs != nil && rs.stopDecided && !rs.stopInFlight && rs.barredAt == 0 && rs.mayHaveBeenSent(r) && now.Steady >= rs.stopRetryAt {
				c.sendStop(r, rs)
			}
		}
	}
}

// resumeSteps makes a plan due when a step may be asked about or placed again.
func (c *Core) resumeSteps(now clock.Instant) {
	for _, e := range c.steps {
		if e.placeAfter > 0 && now.Steady >= e.placeAfter {
			e.placeAfter = 0
			c.planDue = true
		}
		if e.askAfter > 0 && now.Steady >= e.askAfter {
			e.askAfter = 0
			e.eligibility.QuestionInFlight = e.unanswered > 0
			c.planDue = true
		}
	}
}

// forgetEndedJobs drops the jobs whose state need not be kept any longer. A job with
// unfinished runs is kept, and does not keep those that ended after it.
func (c *Core) forgetEndedJobs(now clock.Instant) {
	var unfinished []*jobEntry
	for len(c.ended) > 0 {
		e := c.ended[0]
		if now.Wall.Sub(e.job.Finished()) <= c.params.StateKept {
			break
		}
		c.ended = c.ended[1:]
		if e.job.HasUnfinishedRuns() {
			unfinished = append(unfinished, e)
			continue
		}
		delete(c.jobs, e.job.ID)
		c.batch.dropped = append(c.batch.dropped, e.job.ID)
	}
	if len(unfinished) > 0 {
		c.ended = slices.Concat(unfinished, c.ended)
	}
}
