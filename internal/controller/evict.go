package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

const (
	// minStall is the shortest time without progress after which a run counts
	// as stalled. Endpoints report at least once a second while tasks run.
	minStall = 1200 * time.Millisecond
	// stallFraction is the same as a fraction of the task's expected run time. Progress
	// is reported in hundredths, so that even a run at a twentieth of its
	// normal speed shows progress within that time.
	stallFraction = 0.2
	// restoreAllowance is the extra time allowed for resuming from a checkpoint
	// before progress shows.
	restoreAllowance = time.Second
	// drainStopMargin is the time that a stop needs in addition to its grace
	// period when a draining endpoint is about to leave: the transit of the
	// order and one retry.
	drainStopMargin = 400 * time.Millisecond
	// minDrainOverstay is how much longer than announced a draining endpoint
	// stays at least. A run that ends within that time is left alone.
	minDrainOverstay = 500 * time.Millisecond
)

// Causes of evictions, as logged.
const (
	causeDraining = "its endpoint leaves before it ends"
	causeStalled  = "it makes no progress"
)

// evict stops a run so that its task starts elsewhere. A gang is stopped as a
// whole.
func (c *Core) evict(now clock.Instant, r *fleet.Run, cause string) {
	c.log.Info("run evicted", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "cause", cause,
		"progress", r.Progress, "ran", runDuration(now, r), "expected_in", (r.ExpectedEnd - now.Steady).Round(time.Millisecond))
	c.stats.Evicted++
	if r.Step.Spec.Gang {
		c.stopGang(now, r.Step, r.Number)
		return
	}
	c.stopRun(now, r)
}

// evictFromDraining stops the runs that can't finish on draining endpoints. A
// task that saves checkpoints runs as long as possible; any other task loses
// its work anyway and restarts elsewhere at once.
func (c *Core) evictFromDraining(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		if !e.Draining || e.RemainingAt == 0 {
			continue
		}
		left := e.RemainingAt + e.Remaining - now.Steady
		for _, r := range runsOf(e) {
			if c.mustEvictFromDraining(now, r, left) {
				c.evict(now, r, causeDraining)
			}
		}
	}
}

// mustEvictFromDraining reports whether to stop a run now because its endpoint
// may leave in the given time.
func (c *Core) mustEvictFromDraining(now clock.Instant, r *fleet.Run, left time.Duration) bool {
	if r.Phase != fleet.PhaseRunning || r.Step == nil {
		return false
	}
	spec := r.Step.Spec
	switch {
	case spec.LongRunning:
		return true
	case r.ExpectedEnd-now.Steady <= left+minDrainOverstay:
		return false
	case spec.Checkpoints:
		return left <= c.params.StopGrace+drainStopMargin
	default:
		return true
	}
}

// isStalled reports whether a run that was just listed makes no progress and
// should be restarted elsewhere. It waits at least as long as the work took
// that a restart would lose: most stalls are temporary, and this wait costs at
// most twice as much as the best choice in hindsight.
func (c *Core) isStalled(now clock.Instant, r *fleet.Run) bool {
	if r.Phase != fleet.PhaseRunning || r.Step == nil || r.Step.Spec.LongRunning || r.Pace < fullPace {
		return false
	}
	spec := r.Step.Spec
	runTime := float64(c.runTimeOf(r.Step))
	limit := max(minStall, time.Duration(stallFraction*runTime))
	if !spec.Checkpoints {
		// Stopping a run with checkpoints loses no work.
		limit = max(limit, time.Duration(r.Progress*runTime))
	}
	if spec.Gang {
		limit += c.params.GangWait
	}
	if r.Step.Checkpoint(r.Index()) != "" {
		limit += restoreAllowance
	}
	return now.Steady-r.ProgressedAt >= limit
}

// evictStalled stops a run that makes no progress. It counts as a failure of
// the endpoint, not of the task.
func (c *Core) evictStalled(now clock.Instant, r *fleet.Run) {
	c.evict(now, r, causeStalled)
	if se := c.steps[r.Step]; se != nil {
		se.recordFailure(r.Index(), r.Endpoint.ID)
	}
	c.recordFailedRun(now, r)
}
