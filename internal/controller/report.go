package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// holdWait is how long an endpoint may wait for a run to end before it
	// answers a hold. A longer wait costs fewer calls but detects a silent
	// endpoint later.
	holdWait = time.Second
	// minHoldInterval is the shortest time between two holds of an endpoint, so
	// that one answer reports ends that come close together.
	minHoldInterval = 60 * time.Millisecond
	// nonUrgentHoldInterval is the same for endpoints where no urgent run is
	// about to end: calls are billed, and the end of other work may be noticed
	// later.
	nonUrgentHoldInterval = 300 * time.Millisecond
	// urgentEndFraction is the fraction of an urgent run's remaining expected
	// time after which the next report is requested, because estimates are
	// inexact.
	urgentEndFraction = 0.75
	// holdRetry is the delay before a hold without success is repeated.
	holdRetry = 250 * time.Millisecond
	// idleHoldInterval is the time between holds of an endpoint without runs.
	idleHoldInterval = 5 * time.Second
	// unwantedStopRetry is the delay before the stop of an unwanted run is
	// repeated.
	unwantedStopRetry = 500 * time.Millisecond
	// leaseMargin is how much longer than its length a lease may last because
	// of the transit time of the order that grants it. It applies to leases
	// that no order of this term has granted.
	leaseMargin = 500 * time.Millisecond
)

// sendDueHolds emits the holds that are due.
func (c *Core) sendDueHolds(now clock.Instant) {
	// Endpoints with runs come first: their leases and gangs depend on it.
	c.busyCursor = c.sendDueHoldsFrom(now, c.busyCursor, true)
	c.idleCursor = c.sendDueHoldsFrom(now, c.idleCursor, false)
}

// sendDueHoldsFrom emits the due holds of the endpoints with runs, or of those
// without, starting at a position in the list of endpoints. It returns the
// position to start at next time, which is that of the first endpoint left out,
// so that all get their turn.
func (c *Core) sendDueHoldsFrom(now clock.Instant, from int, busy bool) (next int) {
	endpoints := c.fleet.Endpoints()
	next = from
	leftOut := false
	for i := range endpoints {
		at := (from + i) % len(endpoints)
		e := endpoints[at]
		es := c.endpointStateOf(e)
		if es.holdInFlight || now.Steady < es.nextHoldAt || busy != (len(e.Runs()) > 0) {
			continue
		}
		wait := c.holdWaitOf(e, es)
		if wait > 0 || c.flow.mayHold(e.Failures > 0) {
			c.sendHold(now, e, es, wait)
			continue
		}
		if !leftOut {
			next, leftOut = at, true
		}
	}
	return next
}

// holdWaitOf returns how long an endpoint may wait for a run to end before it
// answers; 0 if its answer is needed at once.
func (c *Core) holdWaitOf(e *fleet.Endpoint, es *endpointState) time.Duration {
	switch {
	case !e.Adopted, !e.Clock.Known(), e.Failures > 0, e.Acked < es.lastEnd, len(e.Runs()) == 0, c.hasBarredRun(es):
		return 0
	case mixesFillingAndServing(e):
		return paceInterval
	default:
		return holdWait
	}
}

// sendHold emits a hold.
func (c *Core) sendHold(now clock.Instant, e *fleet.Endpoint, es *endpointState, wait time.Duration) {
	es.holdInFlight = true
	c.stats.Holds++
	o := &HoldOrder{Target: targetOf(e), Wait: wait, retried: e.Failures > 0}
	if wait == 0 {
		c.flow.countHold(1, o.retried)
	}
	if e.Acked > es.ackedEnd && e.Adopted && e.Failures == 0 {
		// Each end is acknowledged once only, and not to an endpoint that doesn't answer: a
		// hold could reach a new incarnation, which numbers its ends from 1 again.
		o.Acked = e.Acked
	}
	if len(e.Runs()) > 0 && c.mayExtendLease(e) {
		// The lease of an endpoint that doesn't answer is not extended, or
		// there would be no time at which it has certainly lapsed.
		o.Deadline = e.Deadline(now.Steady, c.params.Lease)
		e.Grant(o.Deadline)
	}
	c.emit(o)
}

// hasBarredRun reports whether a run was barred and still waits for the report
// that resolves it.
func (c *Core) hasBarredRun(es *endpointState) bool {
	for _, rs := range es.runs {
		if rs.barredAt > 0 {
			return true
		}
	}
	return false
}

// HoldAnswered handles the result of a hold.
func (c *Core) HoldAnswered(now clock.Instant, o *HoldOrder, report Report, out Outcome) {
	if o.Wait == 0 {
		c.flow.countHold(-1, o.retried)
	}
	c.noteFormerOrder(now, o.Target, o.Deadline, out)
	e := c.fleet.Endpoint(o.Target.ID)
	if e == nil || e.Incarnation != o.Target.Incarnation {
		return
	}
	es := c.endpointStateOf(e)
	es.holdInFlight = false
	c.updateReachability(now, e, out)
	if out.Fate != FateDone {
		es.nextHoldAt = now.Steady + holdRetry
		if len(c.lateStarts[e.ID]) > 0 {
			es.nextHoldAt = now.Steady + lateStartHoldRetry
		}
		if out.Reason == ReasonIncarnation {
			c.log.Warn("another endpoint or incarnation answers than registered", "endpoint", e.ID, "address", e.Address)
		}
		return
	}
	es.ackedEnd = max(es.ackedEnd, o.Acked)
	if report.Incarnation != e.Incarnation {
		c.incarnationChanged(now, e, report.Incarnation)
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
		c.handleRunningRow(now, e, es, &report.Running[i], out.Reading.Sent)
	}
	for i := range report.Ended {
		listed[report.Ended[i].Key] = true
		c.handleEndedRow(now, e, es, &report.Ended[i])
	}
	if !report.Partial {
		c.resolveUnlisted(now, e, listed, out.Reading.Sent)
	}
	for key := range es.unwantedRuns {
		if !listed[key] {
			delete(es.unwantedRuns, key)
		}
	}
	c.dropReportedBars(es, out.Reading.Sent)
	c.adjustPace(now, e, es)
	if !e.Adopted {
		// From now on the endpoint refuses the orders of earlier terms. Until now, they
		// may have been meant for a former incarnation.
		e.SetLeaseEnd(min(e.LeaseEnd(), now.Steady+c.longestLease()))
		e.Adopted = true
		c.planDue = true
	}
	c.scheduleHold(now, e, es, len(report.Ended) > 0)
	if report.Partial {
		// The other ends are listed once these are acknowledged.
		es.holdNotBefore = now.Steady
	}
}

// scheduleHold sets when the endpoint is asked for the next report.
func (c *Core) scheduleHold(now clock.Instant, e *fleet.Endpoint, es *endpointState, ends bool) {
	switch {
	case ends:
		// The ends must be in the log before they are acknowledged. Committed
		// makes the next hold due, after a delay in which further ends are
		// collected.
		es.nextHoldAt = now.Steady + holdWait
		es.holdNotBefore = now.Steady + c.reportDelay(now, e)
	case len(e.Runs()) == 0 && len(es.unwantedRuns) == 0:
		es.nextHoldAt = now.Steady + idleHoldInterval
	default:
		es.nextHoldAt = now.Steady
	}
}

// reportDelay returns how long the next report of an endpoint may wait, given
// when its urgent runs are expected to end.
func (c *Core) reportDelay(now clock.Instant, e *fleet.Endpoint) time.Duration {
	wait := nonUrgentHoldInterval
	for _, r := range e.Runs() {
		if r.Priority == 0 {
			wait = min(wait, time.Duration(urgentEndFraction*float64(r.ExpectedEnd-now.Steady)))
		}
	}
	return time.Duration(c.flow.reportStretch() * float64(max(wait, minHoldInterval)))
}

// handleRunningRow handles a run that is reported as running. asked is when the report was
// requested.
func (c *Core) handleRunningRow(now clock.Instant, e *fleet.Endpoint, es *endpointState, row *RunningRow, asked time.Duration) {
	r := c.fleet.Find(row.Key)
	if r == nil {
		if r = c.chargeUnwanted(now, e, row.Key); r != nil {
			r.ConfirmedAt, c.runStateOf(r).listed = now.Steady, true
			c.stopWithGang(now, r)
			return
		}
	}
	if r == nil || r.Endpoint != e {
		c.stopUnwanted(now, e, es, row.Key)
		return
	}
	c.confirmRunning(now, r, asked)
	c.runStateOf(r).listed = true
	if r.Step != nil {
		r.Step.SaveCheckpoint(r.Index(), row.Checkpoint)
	}
	if row.Progress < 0 || row.Progress > r.Progress {
		r.Progress, r.ProgressedAt = max(row.Progress, 0), now.Steady
	}
	c.markBegun(r, asked)
	r.Load = row.Load
	if !r.Endpoint.WasCold(r.ConfirmedAt, now.Steady) {
		c.learnFromProgress(now, r)
	}
	c.updateExpectedEnd(now, r)
	if c.isStalled(now, r) {
		c.evictStalled(now, r)
	}
}

// updateExpectedEnd estimates when a run ends, from its task's estimate and its
// progress.
func (c *Core) updateExpectedEnd(now clock.Instant, r *fleet.Run) {
	if r.Step == nil || r.Phase == fleet.PhaseStopping {
		return
	}
	r.ExpectedEnd = r.ConfirmedAt + r.Endpoint.RunTime(c.runTimeOf(r.Step), r.ConfirmedAt)
	const minProgress = 0.2
	if ran := now.Steady - r.ConfirmedAt; r.Progress >= minProgress && ran > 0 {
		r.ExpectedEnd = now.Steady + time.Duration(float64(ran)*(1-r.Progress)/r.Progress)
	}
	r.ExpectedEnd = max(r.ExpectedEnd, now.Steady)
}

// stopUnwanted stops a run that the core doesn't have. Each start is recorded
// before it is ordered, so the run's job has ended or its task runs elsewhere.
func (c *Core) stopUnwanted(now clock.Instant, e *fleet.Endpoint, es *endpointState, key fleet.Key) {
	if last, known := es.unwantedRuns[key]; known && now.Steady-last < unwantedStopRetry {
		return
	}
	es.unwantedRuns[key] = now.Steady
	c.stats.Stops++
	c.log.Info("stopping a run that is not wanted", "task", key.Task, "run", key.Number, "endpoint", e.ID)
	c.emit(&StopOrder{Target: targetOf(e), Key: key})
}

// handleEndedRow handles a run that is reported as ended.
func (c *Core) handleEndedRow(now clock.Instant, e *fleet.Endpoint, es *endpointState, row *EndedRow) {
	if row.Number <= es.lastEnd {
		return
	}
	es.lastEnd = row.Number
	c.batch.noteEnd(e, row.Number)
	r := c.fleet.Find(row.Key)
	if r == nil && row.End == workload.EndDone {
		// The run was given up, and its task needn't run again.
		r = c.chargeUnwanted(now, e, row.Key)
	}
	if r == nil || r.Endpoint != e {
		return
	}
	c.finishRun(now, r, row.End, row.Checkpoint)
}

// resolveUnlisted resolves the runs that a complete report doesn't list. sent is
// when the report was requested.
func (c *Core) resolveUnlisted(now clock.Instant, e *fleet.Endpoint, listed map[fleet.Key]bool, sent time.Duration) {
	for _, r := range runsOf(e) {
		if listed[r.Key] {
			continue
		}
		rs := c.runStateOf(r)
		switch {
		case r.Phase == fleet.PhaseInherited:
			// The endpoint has seen this term's epoch, so that no order of an
			// earlier term can start the run any more.
			c.finishRun(now, r, endOfUnlisted(r), "")
		case rs.barredAt > 0 && rs.barredAt <= sent:
			c.finishRun(now, r, endOfUnlisted(r), "")
		case rs.startConfirmedAt > 0 && rs.startConfirmedAt < sent && !rs.stopDecided:
			c.log.Warn("a confirmed run is not listed any more", "task", r.Task, "run", r.Number, "endpoint", e.ID)
			r.Phase = fleet.PhaseDoubtful
			c.stopRun(now, r)
		}
	}
}

// endOfUnlisted returns how a run ended that can't begin any more and isn't listed. An
// endpoint lists the ends of its runs until they are acknowledged, but knows nothing of
// those of earlier incarnations.
func endOfUnlisted(r *fleet.Run) workload.End {
	if r.ConfirmedAt > 0 || r.Moved {
		return workload.EndLost
	}
	return workload.EndNeverRan
}

// runsOf returns a copy of the list of an endpoint's runs, so that runs can be
// removed while iterating.
func runsOf(e *fleet.Endpoint) []*fleet.Run { return append([]*fleet.Run(nil), e.Runs()...) }
