package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

const (
	// stallLeast is the least time without progress after which a run counts
	// as stuck: endpoints report at least once a second while tasks run.
	stallLeast = 1200 * time.Millisecond
	// stallShare is the same as a part of the task's estimate. Progress is
	// told in hundredths, so that even a run at a twentieth of its speed moves
	// within that time.
	stallShare = 0.2
	// restoreAllowance is what the resumption from a checkpoint may take
	// before progress is seen.
	restoreAllowance = time.Second
	// evacuateMargin is what a stop near the end of a draining endpoint takes
	// beside its grace: the order's way and a repetition.
	evacuateMargin = 400 * time.Millisecond
	// overstay is how much longer than it says a draining endpoint stays at
	// least; a run that ends within is better left alone.
	overstay = 500 * time.Millisecond
)

// Causes of evictions, as they stand in the log.
const (
	causeDraining = "its endpoint leaves before it ends"
	causeStuck    = "it makes no progress"
)

// evict stops a run so that its task starts elsewhere; a gang as a whole.
func (c *Core) evict(now clock.Instant, r *fleet.Run, cause string) {
	c.log.Info("run evicted", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "cause", cause,
		"progress", r.Progress, "ran", ranFor(now, r), "expected_in", (r.ExpectedEnd - now.Steady).Round(time.Millisecond))
	c.stats.Evicted++
	if r.Step.Spec.Gang {
		c.stopGang(now, r.Step, r.Number)
		return
	}
	c.stop(now, r)
}

// evacuate stops what can't end on draining endpoints. A task that saves
// checkpoints works on as long as it can; any other one loses its work in any
// case, and starts elsewhere at once.
func (c *Core) evacuate(now clock.Instant) {
	for _, e := range c.fleet.Endpoints() {
		if !e.Draining || e.RemainingAt == 0 {
			continue
		}
		left := e.RemainingAt + e.Remaining - now.Steady
		for _, r := range runsOf(e) {
			if c.leavesTooSoon(now, r, left) {
				c.evict(now, r, causeDraining)
			}
		}
	}
}

// leavesTooSoon reports whether a run has to be stopped now, as its endpoint
// may leave in left.
func (c *Core) leavesTooSoon(now clock.Instant, r *fleet.Run, left time.Duration) bool {
	if r.Phase != fleet.PhaseRunning || r.Step == nil {
		return false
	}
	spec := r.Step.Spec
	switch {
	case spec.LongRunning:
		return true
	case r.ExpectedEnd-now.Steady <= left+overstay:
		return false
	case spec.Checkpoints:
		return left <= c.bounds.StopGrace+evacuateMargin
	default:
		return true
	}
}

// stuck reports whether a run that was just listed makes no progress, for at
// least as long as the work took that a new start would lose: spells pass, and
// waiting so long costs at most twice what the best choice would.
func (c *Core) stuck(now clock.Instant, r *fleet.Run) bool {
	if r.Phase != fleet.PhaseRunning || r.Step == nil || r.Step.Spec.LongRunning || r.Pace < fullPace {
		return false
	}
	spec := r.Step.Spec
	limit := max(stallLeast, time.Duration(stallShare*float64(spec.Estimate)))
	if !spec.Checkpoints {
		// With checkpoints, a stop saves the work.
		limit = max(limit, time.Duration(r.Progress*float64(spec.Estimate)))
	}
	if spec.Gang {
		limit += c.bounds.GangWait
	}
	if r.Step.Checkpoint(r.Index()) != "" {
		limit += restoreAllowance
	}
	return now.Steady-r.ProgressedAt >= limit
}

// evictStuck stops a run that makes no progress and takes it as a failure of
// its endpoint, though not of its task.
func (c *Core) evictStuck(now clock.Instant, r *fleet.Run) {
	c.evict(now, r, causeStuck)
	if se := c.steps[r.Step]; se != nil {
		se.noteFailure(r.Index(), r.Endpoint.ID)
	}
	c.noteFailed(now, r)
}
