package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

const (
	// paceInterval is how often an endpoint is asked on which filling tasks
	// work beside serving ones: endpoints tell the tail of the last half
	// second.
	paceInterval = 400 * time.Millisecond
	// paceDownAt is the tail latency, as a part of the objective, above which
	// filling tasks are slowed down, and paceUpAt the one below which they are
	// let go faster. Interference changes within seconds, so that there is
	// room between the two.
	paceDownAt = 0.85
	paceUpAt   = 0.6
	// paceCut is what is left of the pace at each step down: four steps stop
	// the tasks, well within the time that a miss may last.
	paceCut = 0.4
	// paceLeast is the pace, in hundredths, below which tasks stand still.
	paceLeast = 5
	// paceRaise is a step up in hundredths, and paceRaiseEvery the time
	// between two, in which a raise shows in the tail.
	paceRaise      = 15
	paceRaiseEvery = 1200 * time.Millisecond
	// fullPace lets a task work without a bound.
	fullPace = 100
)

// shares reports whether filling tasks are on an endpoint beside serving ones.
func shares(e *fleet.Endpoint) bool {
	filling, serving := false, false
	for _, r := range e.Runs() {
		if r.Step == nil {
			continue
		}
		filling = filling || r.Step.Spec.Fills
		serving = serving || r.Step.Spec.LatencyObjective > 0
	}
	return filling && serving
}

// setPace judges the tails that an endpoint has told and orders the pace of the
// filling tasks there: a cut as soon as one is near its objective, a raise in
// small steps. Without serving tasks all may work at full pace.
func (c *Core) setPace(now clock.Instant, e *fleet.Endpoint, ec *endpointControl) {
	worst, serving, filling := 0.0, false, false
	for _, r := range e.Runs() {
		if r.Step == nil {
			continue
		}
		filling = filling || r.Step.Spec.Fills
		if objective := r.Step.Spec.LatencyObjective; objective > 0 && r.Phase == fleet.PhaseRunning {
			serving = true
			tail := time.Duration(r.Load) * time.Millisecond
			worst = max(worst, float64(tail)/float64(objective))
		}
	}
	if !filling {
		ec.pace, ec.pacedAt = fullPace, 0
		return
	}
	next := nextPace(ec.pace, worst, serving, now.Steady-ec.pacedAt)
	if next != ec.pace {
		c.log.Info("pace of filling tasks changed", "endpoint", e.ID, "from", ec.pace, "to", next, "tail_of_objective", worst)
		ec.pace, ec.pacedAt = next, now.Steady
	}
	for _, r := range e.Runs() {
		if r.Step != nil && r.Step.Spec.Fills && r.Phase == fleet.PhaseRunning && r.Pace != next {
			c.stats.Paces++
			c.emit(&PaceOrder{Target: targetOf(e), Key: r.Key, Percent: next})
		}
	}
}

// nextPace returns the pace that follows, in hundredths. worst is the worst
// tail as a part of its objective, since is the time since the last change.
func nextPace(pace int, worst float64, serving bool, since time.Duration) int {
	switch {
	case !serving:
		return fullPace
	case worst > paceDownAt:
		next := int(paceCut * float64(pace))
		if next < paceLeast {
			next = 0
		}
		return next
	case worst < paceUpAt && since >= paceRaiseEvery:
		return min(fullPace, pace+paceRaise)
	default:
		return pace
	}
}

// PaceAnswered takes in the result of a pace order. One that was not carried
// out is repeated after the next report.
func (c *Core) PaceAnswered(now clock.Instant, o *PaceOrder, out Outcome) {
	e := c.fleet.Endpoint(o.Target.ID)
	if e == nil || e.Incarnation != o.Target.Incarnation {
		return
	}
	c.heard(e, out)
	r := c.fleet.Find(o.Key)
	if r == nil || r.Endpoint != e {
		return
	}
	if out.Fate == FateDone {
		r.Pace, r.ProgressedAt = o.Percent, now.Steady
		return
	}
	c.log.Warn("pace not set", "task", r.Task, "run", r.Number, "endpoint", e.ID, "percent", o.Percent, "reason", out.Reason, "cause", out.Detail)
}
