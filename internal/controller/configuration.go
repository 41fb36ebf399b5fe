package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// What follows from the configuration in force. It may change, and queues and customers may
// be removed and added again, in every state of the work; see
// docs/design/changes-of-the-configuration.md.

// SetCatalog puts a configuration into force if it is newer than the current
// one, and updates what steps and runs keep of it.
func (c *Core) SetCatalog(now clock.Instant, next *catalog.Catalog) {
	if next.Version <= c.catalog.Version {
		return
	}
	c.catalog = next
	c.planDue = true
	c.forgetRunTimes()
	for _, e := range c.steps {
		e.resetRefusals()
		c.setLatestStart(now, e)
		c.failExhausted(now, e)
	}
	c.updatePriorities()
}

// updatePriorities gives the runs the priorities of their queues. They remain as they are
// for a queue that is not configured.
func (c *Core) updatePriorities() {
	for _, e := range c.fleet.Endpoints() {
		for _, r := range e.Runs() {
			if q := c.catalog.Queue(r.Queue); q != nil {
				r.Priority = q.Priority
			}
		}
	}
}

// Version returns the version of the configuration in force.
func (c *Core) Version() int64 { return c.catalog.Version }

// setLatestStart derives the latest start of a step from the objective of its queue. It
// remains as it is while the queue is not configured.
func (c *Core) setLatestStart(now clock.Instant, entry *stepEntry) {
	job := entry.jobEntry.job
	q := c.catalog.Queue(job.Queue)
	if q == nil {
		return
	}
	questionTime := time.Duration(0)
	if q.Eligibility != nil {
		questionTime = q.Eligibility.Cost(objectiveEndpoints)
	}
	openedAt := job.Accepted
	if r := job.Spec.Recurrence; r != nil {
		openedAt = r.Due(entry.step.Occurrence.Index)
	}
	chains := c.chainsOf(now, entry.jobEntry, questionTime)
	left := max(openedAt.Add(objectiveOf(q, chains.Longest)).Sub(now.Wall), -workload.MaxSpan) - chains.From[entry.step.Index]
	entry.latestStart = now.Steady + left
}

// objectiveEndpoints is the number of endpoints per question that the latency
// objective of a job allows for; the users' rules specify it.
const objectiveEndpoints = 30

// failExhausted fails the job of a step if one of its tasks may not run again under the
// configuration in force.
func (c *Core) failExhausted(now clock.Instant, entry *stepEntry) {
	if !entry.step.FailExhausted(c.maxAttempts(entry.step), now.Wall) {
		return
	}
	c.log.Info("job failed, a task has no attempt left", "job", entry.jobEntry.job.ID, "step", entry.step.Name(), "config", c.catalog.Version)
	c.batch.addProgress(entry.jobEntry)
	c.removeJobSteps(entry.jobEntry)
}

// maxAttempts returns how many failed runs of a task of the step make its job
// fail; 0 means no limit.
func (c *Core) maxAttempts(s *workload.StepRun) int {
	if q := c.catalog.Queue(s.Job.Queue); q != nil {
		return q.Attempts
	}
	return 0
}

// eligibilityOf returns what is known of the endpoints that may run a step, or nil if
// its queue has no eligibility service in the configuration in force.
func (c *Core) eligibilityOf(now clock.Instant, e *stepEntry, q *catalog.Queue) *scheduler.Eligibility {
	if q.Eligibility == nil {
		return nil
	}
	a := e.eligibility
	a.EligibleShare = c.eligibleShareOf(q.Name)
	a.QuestionBase, a.QuestionPerEndpoint = q.Eligibility.Base, q.Eligibility.PerEndpoint
	a.QuestionInFlight = a.QuestionInFlight || now.Steady < e.askAfter
	return a
}

// permitted reports whether a planned start has the permit that it needs under the
// configuration in force, which may have changed since the plan, and whether that is
// still valid when the start arrives.
func (c *Core) permitted(now clock.Instant, s *plannedStart) bool {
	if s.expires > 0 {
		return now.Steady+startTransitTime <= s.expires
	}
	q := c.catalog.Queue(s.run.Queue)
	return q == nil || q.Eligibility == nil
}

// priorityOf returns the priority of a queue; a queue that is no longer
// configured comes last.
func priorityOf(q *catalog.Queue) int {
	const lowestPriority = 1000
	if q == nil {
		return lowestPriority
	}
	return q.Priority
}
