package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/estimate"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// learnProgress is the progress from which a run's time counts as known. Runs that
	// have ended alone would show too short times: long ones end later.
	learnProgress = 0.5
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
	if c.runTimes == nil || s.LongRunning {
		return s.Estimate
	}
	return c.runTimes.Expect(estimate.Key{Queue: j.Queue, Customer: j.Customer}, s.Estimate).Typical
}

// learnFromProgress adds the time of a run to those seen once its progress foretells it.
func (c *Core) learnFromProgress(now clock.Instant, r *fleet.Run) {
	if r.Progress >= learnProgress && r.Progress <= 1 {
		c.learnRunTime(r, time.Duration(float64(now.Steady-r.ConfirmedAt)/r.Progress))
	}
}

// learnFromEnd adds the time of a run that was done to those seen.
func (c *Core) learnFromEnd(now clock.Instant, r *fleet.Run) {
	c.learnRunTime(r, now.Steady-r.ConfirmedAt)
}

// learnRunTime adds the time of a run to those seen of its queue and customer, once. It
// leaves out runs that this term didn't start, that resumed from a checkpoint or that
// are away from their data or rack: their times say little of the usual ones.
func (c *Core) learnRunTime(r *fleet.Run, took time.Duration) {
	if c.runTimes == nil || r.Step == nil || r.Number > 1 || took <= 0 {
		return
	}
	rs, spec := c.runStateOf(r), r.Step.Spec
	if rs.learned || rs.startConfirmedAt == 0 || spec.LongRunning || spec.Fills || spec.SameRack ||
		spec.PreferredRack != "" && spec.PreferredRack != r.Endpoint.Rack {
		return
	}
	rs.learned = true
	key := estimate.Key{Queue: r.Queue, Customer: r.Customer}
	// The tasks of a step share their run time, and so count as one outcome.
	c.runTimes.Observe(key, spec.Estimate, took, 1/float64(max(spec.Count, 1)))
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
