package controller

import (
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
	lossBurst = 4 * time.Second
	// waitAfterPreemption is how long a stopped task is expected to wait for room.
	waitAfterPreemption = 2 * time.Second
)

// preemptionBudget is a token bucket of core-seconds that may be thrown away.
type preemptionBudget struct {
	left     float64
	filledAt time.Duration
}

// available refills the bucket for a number of processor cores and returns what is left.
func (b *preemptionBudget) available(now time.Duration, cores float64) float64 {
	most := lossShare * cores * lossBurst.Seconds()
	if b.filledAt == 0 {
		b.left = most
	}
	b.left = min(b.left+lossShare*cores*(now-b.filledAt).Seconds(), most)
	b.filledAt = now
	return b.left
}

// coresOf returns the processor cores of the hosts.
func (c *Core) coresOf(hosts []*scheduler.Host) float64 {
	n := int64(0)
	for _, h := range hosts {
		n += h.Endpoint.Capacity.MilliCores
	}
	return float64(n) / 1000
}

// victimsOn returns the runs on an endpoint that may be stopped for more urgent work. Gangs
// and tasks that last are left alone, as are runs that are about to end.
func (c *Core) victimsOn(now clock.Instant, e *fleet.Endpoint) []scheduler.Victim {
	var victims []scheduler.Victim
	for _, r := range e.Runs() {
		if r.Step == nil || r.Phase != fleet.PhaseRunning || r.Priority == 0 {
			continue
		}
		entry, spec := c.steps[r.Step], r.Step.Spec
		if entry == nil || spec.Gang || spec.LongRunning || spec.Fills || entry.preempted[r.Index()] >= maxPreemptions ||
			r.ExpectedEnd-now.Steady < 2*(c.params.StopGrace+stopMargin) {
			continue
		}
		victims = append(victims, scheduler.Victim{Run: r, Victim: c.victimOf(now, r, entry)})
	}
	return victims
}

// victimOf returns what stopping a run gives and costs.
func (c *Core) victimOf(now clock.Instant, r *fleet.Run, entry *stepEntry) preemption.Victim {
	// A stop saves the progress of a task that has checkpoints.
	lost := restoreAllowance
	remaining := r.ExpectedEnd - now.Steady
	if !r.Step.Spec.Checkpoints {
		lost = now.Steady - r.ConfirmedAt
		remaining += lost
	}
	endsAt := now.Steady + c.params.StopGrace + waitAfterPreemption + restoreAllowance + remaining
	endsBy := entry.latestStart + c.runTimeOf(r.Step)
	return preemption.Victim{
		Size:   r.Charge,
		Loss:   lost.Seconds() * float64(r.Charge.MilliCores) / 1000,
		Misses: endsAt > endsBy && r.ExpectedEnd <= endsBy,
	}
}

// preempt stops the runs that a plan has chosen. Their tasks keep their place in the
// order and their attempts.
func (c *Core) preempt(now clock.Instant, chosen []scheduler.Preemption) {
	for i := range chosen {
		p := &chosen[i]
		entry := c.steps[p.Run.Step]
		if entry == nil || p.Run.Phase != fleet.PhaseRunning {
			continue
		}
		if entry.preempted == nil {
			entry.preempted = make(map[int]int)
		}
		entry.preempted[p.Run.Index()]++
		c.preemptions.left -= p.Loss
		c.stats.Preempted++
		metrics.Preemptions.Add(p.For.Step.Job.Queue, 1)
		c.log.Info("run preempted", "task", p.Run.Task, "run", p.Run.Number, "endpoint", p.Run.Endpoint.ID,
			"queue", p.Run.Queue, "for", p.For.Step.Name(), "for_queue", p.For.Step.Job.Queue, "loss_core_s", p.Loss)
		c.evict(now, p.Run, causePreempt)
	}
}
