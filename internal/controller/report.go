package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// holdWait is how long an endpoint may wait for an end before it answers.
	// Longer costs fewer calls and notices a silent endpoint later.
	holdWait = time.Second
	// holdGap is the least time between two holds, so that ends that come
	// close together are told by one answer.
	holdGap = 60 * time.Millisecond
	// bulkGap is the same on endpoints where no urgent run is about to end:
	// looks are charged, and other work can wait for its end to be noticed.
	bulkGap = 300 * time.Millisecond
	// endShare is the part of an urgent run's expected time before which its
	// end is not looked for, as estimates are off.
	endShare = 0.75
	// holdRetry is the pause before a silent endpoint is asked again.
	holdRetry = 250 * time.Millisecond
	// idleHold is how often an endpoint is asked on which nothing runs.
	idleHold = 5 * time.Second
	// strangerRetry is the pause between stops of a run that nobody knows.
	strangerRetry = 500 * time.Millisecond
	// leaseMargin is what a lease that no order of this term has granted may
	// last beyond its bound: the orders' time under way.
	leaseMargin = 500 * time.Millisecond
)

// dueHolds hands out the holds that are due.
func (c *Core) dueHolds(now clock.Instant) {
	// Endpoints with runs go first: their leases and gangs wait for it.
	c.busyFrom = c.dueHoldsOf(now, c.busyFrom, true)
	c.idleFrom = c.dueHoldsOf(now, c.idleFrom, false)
}

// dueHoldsOf hands out the due holds of the endpoints with runs, or of those
// without, beginning at a place. It returns the place to begin at the next time:
// of the first one that was left out, so that all have their turn.
func (c *Core) dueHoldsOf(now clock.Instant, from int, busy bool) (next int) {
	endpoints := c.fleet.Endpoints()
	next = from
	leftOut := false
	for i := range endpoints {
		at := (from + i) % len(endpoints)
		e := endpoints[at]
		ec := c.controlOf(e)
		if ec.holding || now.Steady < ec.holdAt || busy != (len(e.Runs()) > 0) {
			continue
		}
		wait := c.holdWait(e, ec)
		if wait > 0 || c.flow.looks < mostLooks {
			c.sendHold(now, e, ec, wait)
			continue
		}
		if !leftOut {
			next, leftOut = at, true
		}
	}
	return next
}

// holdWait returns how long an endpoint may wait for an end before it answers;
// 0 if its answer is wanted at once.
func (c *Core) holdWait(e *fleet.Endpoint, ec *endpointControl) time.Duration {
	switch {
	case !e.Adopted, !e.Clock.Known(), e.Failures > 0, e.Acked < ec.reached, len(e.Runs()) == 0, c.anyBarred(ec):
		return 0
	case shares(e):
		return paceInterval
	default:
		return holdWait
	}
}

// sendHold hands out a hold.
func (c *Core) sendHold(now clock.Instant, e *fleet.Endpoint, ec *endpointControl, wait time.Duration) {
	ec.holding = true
	c.stats.Holds++
	o := &HoldOrder{Target: targetOf(e), Wait: wait}
	if wait == 0 {
		c.flow.looks++
	}
	if e.Acked > ec.confirmed {
		// Ends are acknowledged once: a hold that arrives late could meet
		// a new life of the endpoint, which counts its ends anew.
		o.Acked = e.Acked
	}
	if len(e.Runs()) > 0 && c.mayGrant(e) {
		// A silent endpoint's lease is not extended, or it would never
		// certainly have lapsed.
		o.Deadline = e.Deadline(now.Steady, c.bounds.Lease)
		e.Grant(o.Deadline)
	}
	c.emit(o)
}

// anyBarred reports whether a run was barred and waits for a report.
func (c *Core) anyBarred(ec *endpointControl) bool {
	for _, rc := range ec.runs {
		if rc.barred > 0 {
			return true
		}
	}
	return false
}

// HoldAnswered takes in the result of a hold.
func (c *Core) HoldAnswered(now clock.Instant, o *HoldOrder, report Report, out Outcome) {
	if o.Wait == 0 {
		c.flow.looks--
	}
	e := c.fleet.Endpoint(o.Target.ID)
	if e == nil || e.Incarnation != o.Target.Incarnation {
		return
	}
	ec := c.controlOf(e)
	ec.holding = false
	c.heard(e, out)
	if out.Fate != FateDone {
		ec.holdAt = now.Steady + holdRetry
		if out.Reason == ReasonIncarnation {
			c.log.Warn("endpoint is another one than registered", "endpoint", e.ID, "address", e.Address)
		}
		return
	}
	ec.confirmed = max(ec.confirmed, o.Acked)
	if report.Incarnation != e.Incarnation {
		c.reborn(now, e, report.Incarnation)
		return
	}
	if report.Draining {
		if !e.Draining {
			c.log.Info("endpoint drains", "endpoint", e.ID, "remaining", report.Remaining)
		}
		e.Draining, e.Remaining, e.RemainingAt = true, report.Remaining, now.Steady
	}
	listed := make(map[fleet.Key]bool, len(report.Running)+len(report.Ended))
	for i := range report.Running {
		listed[report.Running[i].Key] = true
		c.runningRow(now, e, ec, &report.Running[i])
	}
	for i := range report.Ended {
		listed[report.Ended[i].Key] = true
		c.endedRow(now, e, ec, &report.Ended[i])
	}
	c.missing(now, e, listed, out.Reading.Sent)
	for key := range ec.strangers {
		if !listed[key] {
			delete(ec.strangers, key)
		}
	}
	c.setPace(now, e, ec)
	if !e.Adopted {
		// It refuses the orders of earlier terms from now on.
		e.SetLeaseEnd(min(e.LeaseEnd(), now.Steady+c.longestLease()))
		e.Adopted = true
		c.planDue = true
	}
	c.nextHold(now, e, ec, len(report.Ended) > 0)
}

// nextHold says when the endpoint is asked next.
func (c *Core) nextHold(now clock.Instant, e *fleet.Endpoint, ec *endpointControl, ends bool) {
	switch {
	case ends:
		// The ends have to stand in the log before they are acknowledged;
		// Committed makes the hold due, after a gap for further ends.
		ec.holdAt = now.Steady + holdWait
		ec.holdNotBefore = now.Steady + c.reportIn(now, e)
	case len(e.Runs()) == 0 && len(ec.strangers) == 0:
		ec.holdAt = now.Steady + idleHold
	default:
		ec.holdAt = now.Steady
	}
}

// reportIn returns how long the next report of an endpoint may wait, by the
// urgent runs that are expected to end.
func (c *Core) reportIn(now clock.Instant, e *fleet.Endpoint) time.Duration {
	wait := bulkGap
	for _, r := range e.Runs() {
		if r.Priority == 0 {
			wait = min(wait, time.Duration(endShare*float64(r.ExpectedEnd-now.Steady)))
		}
	}
	return time.Duration(c.flow.stretch() * float64(max(wait, holdGap)))
}

// runningRow takes in that a run is running.
func (c *Core) runningRow(now clock.Instant, e *fleet.Endpoint, ec *endpointControl, row *RunningRow) {
	r := c.fleet.Find(row.Key)
	if r == nil || r.Endpoint != e {
		c.stranger(now, e, ec, row.Key)
		return
	}
	c.confirm(now, r)
	c.controlOfRun(r).listed = true
	if r.Step != nil {
		r.Step.SaveCheckpoint(r.Index(), row.Checkpoint)
	}
	if row.Progress < 0 || row.Progress > r.Progress {
		r.Progress, r.ProgressedAt = max(row.Progress, 0), now.Steady
	}
	r.Load = row.Load
	c.expectEnd(now, r)
	if c.stuck(now, r) {
		c.evictStuck(now, r)
	}
}

// expectEnd estimates when a run ends from its estimate and its progress.
func (c *Core) expectEnd(now clock.Instant, r *fleet.Run) {
	if r.Step == nil || r.Phase == fleet.PhaseStopping {
		return
	}
	estimate := time.Duration(float64(r.Step.Spec.Estimate) * r.Endpoint.History.Slowdown())
	r.ExpectedEnd = r.ConfirmedAt + estimate
	const meaningful = 0.2
	if ran := now.Steady - r.ConfirmedAt; r.Progress >= meaningful && ran > 0 {
		r.ExpectedEnd = now.Steady + time.Duration(float64(ran)*(1-r.Progress)/r.Progress)
	}
	r.ExpectedEnd = max(r.ExpectedEnd, now.Steady)
}

// stranger stops a run that the core knows nothing of: each start was recorded
// before it was ordered, so the run's job has ended or its task runs elsewhere.
func (c *Core) stranger(now clock.Instant, e *fleet.Endpoint, ec *endpointControl, key fleet.Key) {
	if last, known := ec.strangers[key]; known && now.Steady-last < strangerRetry {
		return
	}
	ec.strangers[key] = now.Steady
	c.stats.Stops++
	c.log.Info("stopping a run that is not wanted", "task", key.Task, "run", key.Number, "endpoint", e.ID)
	c.emit(&StopOrder{Target: targetOf(e), Key: key})
}

// endedRow takes in that a run has ended.
func (c *Core) endedRow(now clock.Instant, e *fleet.Endpoint, ec *endpointControl, row *EndedRow) {
	if row.Number <= ec.reached {
		return
	}
	ec.reached = row.Number
	c.batch.note(e, row.Number)
	r := c.fleet.Find(row.Key)
	if r == nil || r.Endpoint != e {
		return
	}
	if r.ConfirmedAt == 0 {
		r.ConfirmedAt = now.Steady
	}
	c.finish(now, r, row.End, row.Checkpoint)
}

// missing resolves the runs that a report doesn't list.
func (c *Core) missing(now clock.Instant, e *fleet.Endpoint, listed map[fleet.Key]bool, sent time.Duration) {
	for _, r := range runsOf(e) {
		if listed[r.Key] {
			continue
		}
		rc := c.controlOfRun(r)
		switch {
		case r.Phase == fleet.PhaseInherited:
			// The endpoint has seen this term's epoch, so an order of an
			// earlier term can't begin the run any more.
			c.finish(now, r, workload.EndNeverRan, "")
		case rc.barred > 0 && rc.barred <= sent:
			c.finish(now, r, c.endOfBarred(rc), "")
		case rc.answered > 0 && rc.answered < sent && !rc.stopped:
			c.log.Warn("a confirmed run is not listed any more", "task", r.Task, "run", r.Number, "endpoint", e.ID)
			r.Phase = fleet.PhaseDoubtful
			c.stop(now, r)
		}
	}
}

// endOfBarred is how a run has ended that was barred and isn't listed.
func (c *Core) endOfBarred(rc *runControl) workload.End {
	if rc.answered > 0 {
		return workload.EndLost
	}
	return workload.EndNeverRan
}

// runsOf returns the runs of an endpoint, which may be removed meanwhile.
func runsOf(e *fleet.Endpoint) []*fleet.Run { return append([]*fleet.Run(nil), e.Runs()...) }
