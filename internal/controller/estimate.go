package controller

import (
	"math"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/estimate"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// learnProgress is the progress from which a run's time counts as known. Runs that
	// have ended alone would show too short times: long ones end later.
	learnProgress = 0.5
	// minLearned is the part of a run's work over which its time is measured at least.
	minLearned = 0.3
	// learnLogInterval is the interval of the log lines on what was learned.
	learnLogInterval = 10 * time.Second
	// chainsAge is how long the run times that a job's chains rest on are kept.
	chainsAge = time.Second
)

// runTimeOf returns the expected run time of a task of a step at the usual speed.
func (c *Core) runTimeOf(s *workload.StepRun) time.Duration {
	return c.expectedRunTime(s.Job, s.Spec)
}

// expectedRunTime returns the expected run time of a task of a job's step: as its caller
// states it, or corrected by those seen.
func (c *Core) expectedRunTime(j *workload.Job, s *workload.Step) time.Duration {
	return c.expectation(j, s).Typical
}

// expectation returns what is expected of the run time of a task of a job's step.
func (c *Core) expectation(j *workload.Job, s *workload.Step) estimate.Expectation {
	if c.runTimes == nil || s.LongRunning {
		return estimate.Expectation{Typical: s.Estimate, High: s.Estimate}
	}
	return c.runTimes.Expect(estimate.Key{Queue: j.Queue, Customer: j.Customer}, s.Estimate)
}

// runTimeSpread returns the standard deviation of the logarithm of a queue's run times around
// what is expected, 0 if that is taken as stated.
func (c *Core) runTimeSpread(queue string) float64 {
	if c.runTimes == nil {
		return 0
	}
	return c.runTimes.Spread(queue)
}

// forgetRunTimes forgets the run times of queues and customers that are not configured.
func (c *Core) forgetRunTimes() {
	if c.runTimes != nil {
		c.runTimes.Retain(c.isConfigured)
	}
}

// isConfigured reports whether a queue, and the customer if one is given, are configured.
func (c *Core) isConfigured(k estimate.Key) bool {
	_, known := c.catalog.Customers[k.Customer]
	return c.catalog.Queue(k.Queue) != nil && (known || k.Customer == "")
}

// learnFromProgress adds the time of a run to those seen once its progress foretells it.
func (c *Core) learnFromProgress(now clock.Instant, r *fleet.Run) {
	if c.runTimes == nil || !(r.Progress > 0 && r.Progress <= 1) {
		return
	}
	rs := c.runStateOf(r)
	if rs.progressAt == 0 {
		rs.progressAt, rs.progressFrom = now.Steady, r.Progress
	}
	if r.Progress >= learnProgress {
		c.learnRunTime(now, r, rs, r.Progress)
	}
}

// learnFromEnd adds the time of a run that was done to those seen.
func (c *Core) learnFromEnd(now clock.Instant, r *fleet.Run) {
	if c.runTimes != nil {
		c.learnRunTime(now, r, c.runStateOf(r), 1)
	}
}

// learnRunTime adds the time of a run, which has done the given part of its work, to those
// seen of its queue and customer, once. It leaves out runs that this term didn't start,
// that resumed from a checkpoint or that are away from their data or rack: their times say
// little of the usual ones.
func (c *Core) learnRunTime(now clock.Instant, r *fleet.Run, rs *runState, done float64) {
	if r.Step == nil || r.Number > 1 || rs.learned || rs.startConfirmedAt == 0 {
		return
	}
	spec := r.Step.Spec
	if spec.LongRunning || spec.Fills || spec.SameRack || spec.PreferredRack != "" && spec.PreferredRack != r.Endpoint.Rack {
		return
	}
	since, from := r.ConfirmedAt, 0.0
	if spec.Gang {
		// Members wait for each other before they work.
		since, from = rs.progressAt, rs.progressFrom
	}
	key := estimate.Key{Queue: r.Queue, Customer: r.Customer}
	if since == 0 || done-from < minLearned || !c.isConfigured(key) {
		return
	}
	rs.learned = true
	metrics.RunTimesLearned.Add(r.Queue, 1)
	// The tasks of a step share their run time, and so count as one outcome.
	c.runTimes.Observe(key, spec.Estimate, time.Duration(float64(now.Steady-since)/(done-from)), 1/float64(max(spec.Count, 1)))
	c.logRunTimes(now)
}

// logRunTimes logs what was learned of each queue, at most once per learnLogInterval.
func (c *Core) logRunTimes(now clock.Instant) {
	if now.Steady-c.runTimesLoggedAt < learnLogInterval {
		return
	}
	c.runTimesLoggedAt = now.Steady
	for _, s := range c.runTimes.Summaries() {
		c.log.Info("run times learned", "queue", s.Queue, "outcomes", math.Round(s.Outcomes), "factor", s.Factor, "slope", s.Slope, "spread", s.Spread)
	}
}

// chainsOf returns the chains of a job's steps, with the time of a question added for each
// step.
func (c *Core) chainsOf(now clock.Instant, e *jobEntry, questionTime time.Duration) workload.Chains {
	stale := e.chainsQuestionTime != questionTime || c.runTimes != nil && now.Steady-e.chainsAt >= chainsAge
	if e.chains.From == nil || stale {
		spec := &e.job.Spec
		e.chains = spec.ChainsOf(func(i int) time.Duration {
			return min(c.expectedRunTime(e.job, &spec.Steps[i]), workload.MaxSpan) + questionTime
		})
		e.chainsQuestionTime, e.chainsAt = questionTime, now.Steady
	}
	return e.chains
}
