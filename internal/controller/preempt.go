package controller

import (
	"math"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/preemption"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
)

const (
	// stopMargin is the time until the room of a stopped run can be used, beyond its
	// grace: the order's transit, the report of the end, its record and the next plan.
	stopMargin = 150 * time.Millisecond
	// maxPreemptions is how often a task is stopped for more urgent work.
	maxPreemptions = 2
	// lossShare is the largest part of the endpoints' processors whose work preemptions
	// may throw away, and lossBurst the time over which it may add up.
	lossShare = 0.01
	lossBurst = 10 * time.Second
	// waitAfterPreemption is how long a stopped task is expected to wait for room.
	waitAfterPreemption = 2 * time.Second
	// searchInterval is the time between plans that look for runs to stop: a fraction of
	// what a stop takes.
	searchInterval = 50 * time.Millisecond
)

// preemptionBudget is a token bucket of core-seconds that may be thrown away. It is empty
// when a term begins, so that changes of the holder don't add to it.
type preemptionBudget struct {
	left     float64
	filledAt time.Duration
}

// available refills the bucket for a number of processor cores and returns what is left.
func (b *preemptionBudget) available(now time.Duration, cores float64) float64 {
	if b.filledAt > 0 {
		b.left = min(b.left+lossShare*cores*(now-b.filledAt).Seconds(), lossShare*cores*lossBurst.Seconds())
	}
	b.filledAt = now
	return b.left
}

// offerVictims lets a plan stop runs if the last one that might was searchInterval ago.
func (c *Core) offerVictims(now clock.Instant, s *scheduler.Snapshot) {
	if now.Steady-c.preemptions.filledAt < searchInterval {
		return
	}
	cores := int64(0)
	for _, h := range s.Hosts {
		cores += h.Endpoint.Capacity.MilliCores
	}
	s.PreemptionBudget = c.preemptions.available(now.Steady, float64(cores)/1000)
	for i := range c.catalog.Queues {
		s.WorstPriority = max(s.WorstPriority, c.catalog.Queues[i].Priority)
	}
	s.Victims = func(h *scheduler.Host) []scheduler.Victim { return c.victimsOn(now, h.Endpoint) }
}

// victimsOn returns the runs on an endpoint that may be stopped for more urgent work.
func (c *Core) victimsOn(now clock.Instant, e *fleet.Endpoint) []scheduler.Victim {
	var victims []scheduler.Victim
	for _, r := range e.Runs() {
		if entry := c.steps[r.Step]; entry != nil && c.mayPreempt(now, r, entry) {
			victims = append(victims, scheduler.Victim{Run: r, Victim: c.victimOf(now, r, entry)})
		}
	}
	return victims
}

// mayPreempt reports whether a run may be stopped for more urgent work. Gangs and tasks that
// last are left alone, as are runs that are about to end and those of queues that are no
// longer configured, whose tasks would not start again.
func (c *Core) mayPreempt(now clock.Instant, r *fleet.Run, entry *stepEntry) bool {
	spec := r.Step.Spec
	return r.Phase == fleet.PhaseRunning && r.Priority > 0 &&
		!spec.Gang && !spec.LongRunning && !spec.Fills &&
		entry.preempted[r.Index()] < maxPreemptions &&
		r.ExpectedEnd-now.Steady >= 2*(c.params.StopGrace+stopMargin) &&
		c.catalog.Queue(r.Queue) != nil
}

// victimOf returns what stopping a run gives and costs.
func (c *Core) victimOf(now clock.Instant, r *fleet.Run, entry *stepEntry) preemption.Victim {
	// A stop saves the progress of a task that has checkpoints. Its capacity does nothing
	// while it stops and while the task is restored.
	runTime := c.runTimeOf(r.Step)
	lost, remaining := restoreAllowance, r.ExpectedEnd-now.Steady
	if !r.Step.Spec.Checkpoints {
		// An earlier term may have started the run.
		lost = max(now.Steady-r.ConfirmedAt, time.Duration(r.Progress*float64(runTime)))
		remaining += lost
	}
	// Its place in the order follows from the latest start, whatever is left to do.
	startsAt := now.Steady + c.params.StopGrace + waitAfterPreemption
	endsAt := startsAt + restoreAllowance + remaining
	endsBy := entry.latestStart + runTime
	return preemption.Victim{
		Size:   r.Charge,
		Loss:   (lost + c.params.StopGrace).Seconds() * float64(r.Charge.MilliCores) / 1000,
		Misses: (endsAt > endsBy || startsAt > entry.latestStart) && r.ExpectedEnd <= endsBy,
	}
}

// preempt stops the runs that a plan has chosen. Their tasks keep their place in the
// order and their attempts.
func (c *Core) preempt(now clock.Instant, chosen []scheduler.Preemption) {
	for i := range chosen {
		p := &chosen[i]
		r, entry, gains := p.Run, c.steps[p.Run.Step], p.For.Step
		if entry == nil || r.Phase != fleet.PhaseRunning {
			continue
		}
		if entry.preempted == nil {
			entry.preempted = make(map[int]int)
		}
		entry.preempted[r.Index()]++
		c.preemptions.left -= p.Loss
		c.stats.Preempted++
		metrics.Preemptions.Add(gains.Job.Queue, 1)
		metrics.PreemptionLoss.Add(r.Queue, int64(p.Loss*1000))
		c.log.Info("run preempted", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "queue", r.Queue,
			"progress", r.Progress, "ran", runDuration(now, r), "checkpoints", r.Step.Spec.Checkpoints,
			"for", gains.Name(), "for_queue", gains.Job.Queue, "loss_core_s", math.Round(100*p.Loss)/100)
		c.stopRun(now, r)
	}
}
