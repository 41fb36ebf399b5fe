package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

const (
	// paceInterval is how often an endpoint reports while filling tasks run
	// there beside serving ones. Endpoints report the tail latency of the last
	// half second.
	paceInterval = 400 * time.Millisecond
	// paceDownThreshold is the tail latency, as a fraction of the objective,
	// above which filling tasks are slowed down; below paceUpThreshold they are
	// sped up. Interference changes within seconds, hence the gap between the
	// two.
	paceDownThreshold = 0.85
	paceUpThreshold   = 0.6
	// paceDecrease is the factor applied to the pace at each decrease. Four
	// decreases stop the tasks, well within the time for which an objective may
	// be missed.
	paceDecrease = 0.4
	// minPace is the pace, in percent, below which tasks are paused.
	minPace = 5
	// paceIncrease is the increase per step, in percentage points, and
	// paceIncreaseInterval the time between two steps, in which an increase
	// shows in the tail latency.
	paceIncrease         = 15
	paceIncreaseInterval = 1200 * time.Millisecond
	// fullPace, in percent, lets a task work without a limit.
	fullPace = 100
)

// mixesFillingAndServing reports whether an endpoint has both filling and
// serving tasks.
func mixesFillingAndServing(e *fleet.Endpoint) bool {
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

// adjustPace sets the pace of the filling tasks on an endpoint by the tail
// latencies of its serving tasks: it lowers the pace as soon as a tail latency
// comes close to its objective, and raises it in small steps. Without serving
// tasks, it sets full pace.
func (c *Core) adjustPace(now clock.Instant, e *fleet.Endpoint, es *endpointState) {
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
		es.pace, es.pacedAt = fullPace, 0
		return
	}
	next := nextPace(es.pace, worst, serving, now.Steady-es.pacedAt)
	if next != es.pace {
		c.log.Info("pace of filling tasks changed", "endpoint", e.ID, "from", es.pace, "to", next, "tail_of_objective", worst)
		es.pace, es.pacedAt = next, now.Steady
	}
	for _, r := range e.Runs() {
		if r.Step != nil && r.Step.Spec.Fills && r.Phase == fleet.PhaseRunning && r.Pace != next {
			c.stats.Paces++
			c.emit(&PaceOrder{Target: targetOf(e), Key: r.Key, Percent: next})
		}
	}
}

// nextPace returns the next pace in percent. worst is the highest ratio of tail
// latency to objective, serving whether serving tasks run, and since the time
// since the last change.
func nextPace(pace int, worst float64, serving bool, since time.Duration) int {
	switch {
	case !serving:
		return fullPace
	case worst > paceDownThreshold:
		next := int(paceDecrease * float64(pace))
		if next < minPace {
			next = 0
		}
		return next
	case worst < paceUpThreshold && since >= paceIncreaseInterval:
		return min(fullPace, pace+paceIncrease)
	default:
		return pace
	}
}

// PaceAnswered handles the result of a pace order. A failed order is repeated
// after the next report.
func (c *Core) PaceAnswered(now clock.Instant, o *PaceOrder, out Outcome) {
	e := c.fleet.Endpoint(o.Target.ID)
	if e == nil || e.Incarnation != o.Target.Incarnation {
		return
	}
	c.updateReachability(now, e, out)
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
