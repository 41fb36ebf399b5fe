package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// stopRetry is the delay before a failed stop is repeated.
	stopRetry = 300 * time.Millisecond
	// noRoomBackoff is how long no task is placed on an endpoint that refused
	// one for lack of capacity: its account here is wrong until the next report.
	noRoomBackoff = 500 * time.Millisecond
	// unhealthyBackoff is how long no task is placed on an endpoint that
	// reported itself unhealthy.
	unhealthyBackoff = time.Second
	// failingBackoff is how long no task is placed on an endpoint whose last
	// runs all failed: about as long as such faults last.
	failingBackoff = 5 * time.Second
	// startTransitTime is the time allowed for a start to reach its endpoint.
	startTransitTime = 30 * time.Millisecond
	// maxStartTries is how often the start of a gang member is sent before the
	// gang is stopped.
	maxStartTries = 2
)

// runState is the scheduling state of a run that fleet.Run does not have.
type runState struct {
	order *StartOrder
	// tries counts how often the start was sent.
	tries int
	// startConfirmedAt is when the endpoint confirmed the start order; 0 if it
	// has not. A report that lists the run sets only fleet.Run.ConfirmedAt.
	startConfirmedAt time.Duration
	// listed is set once a report of the incarnation has listed the run.
	listed bool
	// stopInFlight is set while a stop is in flight, stopRetryAt is when the
	// next one is due, and barredAt is when the endpoint confirmed a stop.
	stopInFlight bool
	stopRetryAt  time.Duration
	barredAt     time.Duration
	// stopDecided is set once the run is to be stopped.
	stopDecided bool
	// learned is set once the run's time was added to those seen of its queue.
	learned bool
	// progressAt is when the run's first progress was reported, progressFrom that progress.
	progressAt   time.Duration
	progressFrom float64
	// mayRunUntil is until when the run may work although the lease of the incarnation
	// that its start was meant for has lapsed: a start without an answer may have
	// reached the next one.
	mayRunUntil time.Duration
}

// endpointState is the scheduling state of an endpoint that fleet.Endpoint does
// not have.
type endpointState struct {
	runs map[*fleet.Run]*runState
	// pendingStops counts the runs with stopDecided.
	pendingStops int
	// holdInFlight is set while a hold is in flight; nextHoldAt is when the
	// next one is due.
	holdInFlight bool
	nextHoldAt   time.Duration
	// holdNotBefore delays the next hold after a report with ends.
	holdNotBefore time.Duration
	// unwantedRuns holds the reported runs that the core doesn't have, with the
	// time of their last stop.
	unwantedRuns map[fleet.Key]time.Duration
	// bars holds the starts for former incarnations that this one hasn't been told to
	// refuse yet.
	bars map[fleet.Key]*bar
	// lastEnd is the number of the last end processed.
	lastEnd int64
	// ackedEnd is the number of the last end that the endpoint was ordered to
	// forget and has confirmed.
	ackedEnd int64
	// silent is set while a record in the log, or about to be there, says that
	// the endpoint gets no lease; clearing is set while that record is being
	// dropped, and longest while it says that the lease may be the longest one.
	silent   bool
	clearing bool
	longest  bool
	// pace is the pace of the filling tasks in percent, last changed at
	// pacedAt.
	pace    int
	pacedAt time.Duration
}

func (c *Core) endpointStateOf(e *fleet.Endpoint) *endpointState {
	es := c.endpointStates[e]
	if es == nil {
		es = &endpointState{runs: make(map[*fleet.Run]*runState), unwantedRuns: make(map[fleet.Key]time.Duration), pace: fullPace}
		c.endpointStates[e] = es
	}
	return es
}

func (c *Core) runStateOf(r *fleet.Run) *runState {
	es := c.endpointStateOf(r.Endpoint)
	rs := es.runs[r]
	if rs == nil {
		rs = &runState{}
		es.runs[r] = rs
	}
	return rs
}

// dropRunState removes the state of a run on an endpoint.
func (c *Core) dropRunState(e *fleet.Endpoint, r *fleet.Run) {
	es := c.endpointStateOf(e)
	if rs := es.runs[r]; rs != nil && rs.stopDecided {
		es.pendingStops--
	}
	delete(es.runs, r)
}

// sendStart emits the start of a run whose record is in the log. permitted tells
// whether it and the other members of its gang may still start.
func (c *Core) sendStart(now clock.Instant, s *plannedStart, permitted bool) {
	r := s.run
	if c.fleet.Find(r.Key) != r {
		return
	}
	rs := c.runStateOf(r)
	if r.Step.Job.Final() || rs.stopDecided || c.endpointStateOf(r.Endpoint).silent || !permitted {
		c.finishNeverRan(now, r)
		return
	}
	rs.order = &StartOrder{
		Target:     targetOf(r.Endpoint),
		Key:        r.Key,
		Payload:    r.Step.Job.Spec.Payload,
		Checkpoint: r.Step.Checkpoint(r.Index()),
		Permit:     s.permit,
	}
	c.repeatStart(now, r, rs)
}

// repeatStart emits a start order with a new deadline.
func (c *Core) repeatStart(now clock.Instant, r *fleet.Run, rs *runState) {
	rs.tries++
	c.flow.inFlight++
	order := *rs.order
	order.sent = now.Steady
	order.Deadline = r.Endpoint.Deadline(now.Steady, c.params.Lease)
	r.Endpoint.Grant(order.Deadline)
	c.stats.Starts++
	c.emit(&order)
}

// StartAnswered handles the result of a start.
func (c *Core) StartAnswered(now clock.Instant, o *StartOrder, out Outcome) {
	c.flow.recordLatency(now.Steady, now.Steady-o.sent)
	defer c.sendReadyStarts(now)
	c.noteFormerOrder(now, o.Target, o.Deadline, out)
	if out.Fate == FateUnanswered {
		c.noteLateStart(now, o.Target.ID, o.Key)
	}
	r := c.fleet.Find(o.Key)
	if r == nil || r.Endpoint.ID != o.Target.ID || r.Endpoint.Incarnation != o.Target.Incarnation {
		return
	}
	rs := c.runStateOf(r)
	c.updateReachability(now, r.Endpoint, out)
	switch out.Fate {
	case FateDone:
		c.confirmRunning(now, r, out.Reading.Sent)
		rs.startConfirmedAt = now.Steady
		if entry := c.steps[r.Step]; entry != nil {
			entry.resetRefusals()
		}
		c.log.Info("run started", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "after", now.Steady-r.OrderedAt, "tries", rs.tries, "times", out)
	case FateNotSent:
		c.log.Warn("start not sent", "task", o.Key.Task, "run", o.Key.Number, "endpoint", o.Target.ID, "cause", out.Detail, "times", out)
		c.startHadNoEffect(now, r, rs)
	case FateRefused:
		c.startRefused(now, r, rs, out)
	case FateUnanswered:
		c.startUnanswered(now, r, rs, out)
	}
}

// updateReachability updates what is known of an endpoint's reachability and
// clock from the result of an order.
func (c *Core) updateReachability(now clock.Instant, e *fleet.Endpoint, out Outcome) {
	switch {
	case out.Fate == FateNotSent, out.Fate == FateUnanswered, out.Reason == ReasonIncarnation:
		// An answer from another endpoint or incarnation, which may have got the
		// address of one that is lost, is no sign of life.
		e.RecordFailure()
		es := c.endpointStateOf(e)
		if !es.holdInFlight {
			es.nextHoldAt = 0
		}
	case out.Reading.Known() && e.RecordAnswer(out.Reading):
		c.log.Info("endpoint answers with another clock", "endpoint", e.ID, "incarnation", e.Incarnation, "clock", out.Reading.Clock)
		c.assumeLongestLease(now, e)
		c.requestReport(e, now.Steady)
		// It is used again once a report has told of its life.
		e.Adopted = false
	}
}

// confirmRunning records that an endpoint that was asked at the given time has a run.
func (c *Core) confirmRunning(now clock.Instant, r *fleet.Run, asked time.Duration) {
	if r.ConfirmedAt == 0 {
		r.ConfirmedAt, r.ProgressedAt = now.Steady, now.Steady
		// An endpoint without runs is asked rarely, so that its next hold may
		// be far off.
		c.requestReport(r.Endpoint, now.Steady+c.reportDelay(now, r.Endpoint))
	}
	c.markBegun(r, asked)
	if r.Phase == fleet.PhaseOrdered || r.Phase == fleet.PhaseInherited || r.Phase == fleet.PhaseDoubtful && !c.runStateOf(r).stopDecided {
		r.Phase = fleet.PhaseRunning
	}
}

// markBegun records that a run on which its endpoint reports has begun. A member of a gang
// waits for the others first, at most GangWait: it has begun once it makes progress, or is
// still there after that time. asked is when the endpoint was asked.
func (c *Core) markBegun(r *fleet.Run, asked time.Duration) {
	s := r.Step
	if s == nil || s.Spec.Gang && r.Progress <= 0 && asked-r.ConfirmedAt <= c.ownTime(c.params.GangWait) {
		return
	}
	s.Job.MarkBegun()
	if entry := c.steps[s]; entry != nil && !entry.begun {
		entry.begun = true
		c.backlog.begun++
	}
}

// startRefused handles a start that the endpoint refused.
func (c *Core) startRefused(now clock.Instant, r *fleet.Run, rs *runState, out Outcome) {
	c.stats.Refused++
	c.log.Warn("start refused", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "reason", out.Reason, "detail", out.Detail)
	switch out.Reason {
	case ReasonRoom:
		r.Endpoint.AvoidUntil = now.Steady + noRoomBackoff
	case ReasonUnhealthy:
		r.Endpoint.AvoidUntil = now.Steady + unhealthyBackoff
	case ReasonPermit:
		c.dropPermit(r)
		c.noteRefusal(now, r)
	case ReasonSuperseded, ReasonLate, ReasonIncarnation, ReasonInvalid:
		c.noteRefusal(now, r)
	case ReasonFenced:
	}
	c.startHadNoEffect(now, r, rs)
}

// startHadNoEffect handles a start order that was not executed. After a retry,
// that says nothing about the earlier order: the run may have started or even
// ended, which a report shows once the run is barred.
func (c *Core) startHadNoEffect(now clock.Instant, r *fleet.Run, rs *runState) {
	switch {
	case rs.tries <= 1:
		c.finishNeverRan(now, r)
	case r.Phase != fleet.PhaseRunning:
		c.stopWithGang(now, r)
	}
}

// stopWithGang stops a run that may have begun and, if it belongs to a gang,
// all other members.
func (c *Core) stopWithGang(now clock.Instant, r *fleet.Run) {
	c.stopRun(now, r)
	if r.Step.Spec.Gang {
		c.stopGang(now, r.Step, r.Number)
	}
}

// finishNeverRan ends a run that has certainly not begun and never will.
func (c *Core) finishNeverRan(now clock.Instant, r *fleet.Run) {
	c.finishRun(now, r, workload.EndNeverRan, "")
}

// startUnanswered handles a start that may have been executed. The start of a
// gang member is repeated, as the others wait for it. Any other run is stopped,
// which bars it, and its task starts elsewhere.
func (c *Core) startUnanswered(now clock.Instant, r *fleet.Run, rs *runState, out Outcome) {
	c.stats.Doubtful++
	c.log.Warn("start not answered", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "cause", out.Detail, "times", out)
	if r.Phase == fleet.PhaseRunning {
		return
	}
	rs.mayRunUntil = now.Steady + c.longestLease()
	if rs.stopDecided {
		return
	}
	r.Phase = fleet.PhaseDoubtful
	if r.Step.Spec.Gang && rs.tries < maxStartTries && !c.endpointStateOf(r.Endpoint).silent && !c.isEvacuated(r.Endpoint) {
		c.repeatStart(now, r, rs)
		return
	}
	c.stopWithGang(now, r)
}

// stopRun stops a run, or bars it if it has not begun.
func (c *Core) stopRun(now clock.Instant, r *fleet.Run) {
	rs := c.runStateOf(r)
	if rs.stopDecided {
		return
	}
	rs.stopDecided = true
	c.endpointStateOf(r.Endpoint).pendingStops++
	if r.Phase == fleet.PhaseRunning {
		r.Phase = fleet.PhaseStopping
		r.ExpectedEnd = now.Steady + c.params.StopGrace
	}
	if !rs.mayHaveBeenSent(r) {
		// The start waits for its record and won't be sent.
		return
	}
	c.sendStop(r, rs)
}

// mayHaveBeenSent reports whether an order to start the run may have been sent.
func (rs *runState) mayHaveBeenSent(r *fleet.Run) bool {
	return r.Phase != fleet.PhaseOrdered || rs.order != nil
}

func (c *Core) sendStop(r *fleet.Run, rs *runState) {
	rs.stopInFlight = true
	c.stats.Stops++
	c.log.Info("stopping run", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "phase", r.Phase, "job_state", jobState(r))
	c.emit(&StopOrder{Target: targetOf(r.Endpoint), Key: r.Key})
}

// StopAnswered handles the result of a stop.
func (c *Core) StopAnswered(now clock.Instant, o *StopOrder, out Outcome) {
	e := c.fleet.Endpoint(o.Target.ID)
	if e == nil || e.Incarnation != o.Target.Incarnation {
		return
	}
	c.updateReachability(now, e, out)
	c.barAnswered(now, e, o.Key, out)
	r := c.fleet.Find(o.Key)
	if r == nil || r.Endpoint != e {
		return
	}
	rs := c.runStateOf(r)
	rs.stopInFlight = false
	if out.Fate == FateDone {
		rs.barredAt = now.Steady
		// The next report shows whether the run had begun.
		c.requestReport(e, now.Steady)
		return
	}
	c.log.Warn("stop failed, it will be retried", "task", r.Task, "run", r.Number, "endpoint", e.ID, "cause", out.Detail, "times", out)
	rs.stopRetryAt = now.Steady + stopRetry
}

// requestReport makes the next hold of an endpoint due at the given time at the
// latest.
func (c *Core) requestReport(e *fleet.Endpoint, at time.Duration) {
	es := c.endpointStateOf(e)
	es.nextHoldAt = min(es.nextHoldAt, at)
}

// stopGang stops all members of a gang's run.
func (c *Core) stopGang(now clock.Instant, s *workload.StepRun, number int) {
	for i := range s.Tasks {
		for _, r := range append([]*fleet.Run(nil), c.fleet.RunsOf(s.ID(i))...) {
			if r.Number == number {
				c.stopRun(now, r)
			}
		}
	}
}

// stopJob stops all runs of a job.
func (c *Core) stopJob(now clock.Instant, j *workload.Job) {
	for _, e := range c.fleet.Endpoints() {
		for _, r := range e.Runs() {
			if r.Task.Job == j.ID {
				c.stopRun(now, r)
			}
		}
	}
}

// finishRun frees the resources of a run and records its end.
func (c *Core) finishRun(now clock.Instant, r *fleet.Run, end workload.End, checkpoint string) {
	e := r.Endpoint
	if end == workload.EndDone && !e.WasCold(r.ConfirmedAt, now.Steady) {
		c.learnFromEnd(now, r)
	}
	c.dropRunState(e, r)
	e.Remove(r)
	c.planDue = true
	if r.Step == nil {
		return
	}
	entry := c.jobs[r.Task.Job]
	s := r.Step
	se := c.steps[s]
	if se != nil {
		se.waitingStale, se.lastEnd = true, now.Steady
	}
	c.recordOutcome(now, r, end)
	if !s.FinishRun(r.Index(), r.Number, end, checkpoint, c.maxAttempts(s), now.Wall) {
		return
	}
	if !entry.ended || !entry.job.HasUnfinishedRuns() {
		// Of an ended job, only the end of the last run is stored.
		c.batch.addProgress(entry)
	}
	c.log.Info("run ended", "task", r.Task, "run", r.Number, "endpoint", e.ID, "end", end, "ran", runDuration(now, r))
	if se != nil && end == workload.EndFailed {
		se.recordFailure(r.Index(), e.ID)
	}
	c.handleRunEnd(now, entry, r, end)
}

// runDuration returns how long a run is known to have run; 0 if it has not
// begun.
func runDuration(now clock.Instant, r *fleet.Run) time.Duration {
	if r.ConfirmedAt == 0 {
		return 0
	}
	return (now.Steady - r.ConfirmedAt).Round(time.Millisecond)
}

// jobState returns the state of a run's job for the log, or "" if the core
// doesn't have the job.
func jobState(r *fleet.Run) workload.State {
	if r.Step == nil {
		return ""
	}
	return r.Step.Job.State()
}

// handleRunEnd updates the job and the task's other runs after the end of a
// run.
func (c *Core) handleRunEnd(now clock.Instant, entry *jobEntry, r *fleet.Run, end workload.End) {
	s := r.Step
	switch {
	case entry.job.Final():
		c.removeJobSteps(entry)
		c.removeSteps(entry.job, s.Occurrence)
		if entry.ended {
			c.stopJob(now, entry.job)
		}
	case s.Done():
		c.removeSteps(entry.job, s.Occurrence)
		c.addReadySteps(now, entry, s.Occurrence)
		c.openDueOccurrences(now, entry)
	case s.Spec.Gang && end != workload.EndDone:
		c.stopGang(now, s, r.Number)
	}
	if s.TaskDone(r.Index()) && !s.Spec.Gang {
		for _, duplicate := range append([]*fleet.Run(nil), c.fleet.RunsOf(r.Task)...) {
			c.stopRun(now, duplicate)
		}
	}
}

// recordOutcome adds a run's end to the history of its endpoint.
func (c *Core) recordOutcome(now clock.Instant, r *fleet.Run, end workload.End) {
	switch end {
	case workload.EndDone:
		r.Endpoint.History.ObserveEnd(string(r.Task.Job), false)
		if r.ConfirmedAt > 0 && !r.Step.Spec.Gang && r.Step.Checkpoint(r.Index()) == "" && !r.Endpoint.WasCold(r.ConfirmedAt, now.Steady) {
			r.Endpoint.History.ObserveUncertain(now.Steady-r.ConfirmedAt, c.runTimeOf(r.Step), c.runTimeSpread(r.Queue))
		}
	case workload.EndFailed:
		c.recordFailedRun(now, r)
	case workload.EndStopped, workload.EndLapsed, workload.EndBroken, workload.EndAlone, workload.EndLost, workload.EndNeverRan, workload.EndUnheard:
	}
}

// recordFailedRun adds a failed run to the history of its endpoint, which may
// cause a backoff.
func (c *Core) recordFailedRun(now clock.Instant, r *fleet.Run) {
	e := r.Endpoint
	e.History.ObserveEnd(string(r.Task.Job), true)
	if e.History.Failing() {
		c.log.Warn("endpoint rests, its last runs have all failed", "endpoint", e.ID, "rest", failingBackoff)
		e.AvoidUntil = now.Steady + failingBackoff
		e.History.Reset()
	}
}

// recordFailure records that a task has failed on an endpoint.
func (se *stepEntry) recordFailure(task int, endpoint string) {
	if se.failedOn == nil {
		se.failedOn = make(map[int]map[string]bool)
	}
	if se.failedOn[task] == nil {
		se.failedOn[task] = make(map[string]bool)
	}
	se.failedOn[task][endpoint] = true
}
