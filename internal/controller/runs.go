package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// stopRetry is the pause before a stop without an answer is repeated.
	stopRetry = 300 * time.Millisecond
	// roomRest is how long an endpoint rests that said it has no room: its
	// account here is wrong until the next report.
	roomRest = 500 * time.Millisecond
	// unhealthyRest is how long an endpoint rests that takes nothing.
	unhealthyRest = time.Second
	// failingRest is how long an endpoint rests whose last runs all failed:
	// about as long as such spells last.
	failingRest = 5 * time.Second
	// sendAllowance is how long a start may be under way to its endpoint.
	sendAllowance = 30 * time.Millisecond
	// startTries is how often the start of a gang's member is sent before the
	// gang is given up.
	startTries = 2
)

// runControl is what the core remembers of a run beside its account.
type runControl struct {
	order *StartOrder
	// tries counts how often the start was sent.
	tries int
	// answered is when the endpoint confirmed the start; 0 if it has not.
	answered time.Duration
	// listed is set once a report of the incarnation has listed the run.
	listed bool
	// stopping is set while a stop is under way, stopAt is when the next one
	// is due, barred is when the endpoint confirmed one.
	stopping bool
	stopAt   time.Duration
	barred   time.Duration
	// stopped is set once a stop was decided on.
	stopped bool
}

// endpointControl is what the core remembers of an endpoint beside its account.
type endpointControl struct {
	runs map[*fleet.Run]*runControl
	// stops counts the runs that are to be stopped.
	stops int
	// holding is set while a hold is under way; holdAt is when the next is due.
	holding bool
	holdAt  time.Duration
	// holdNotBefore spaces holds out after one that told of ends.
	holdNotBefore time.Duration
	// strangers are runs on the endpoint that the core knows nothing of.
	strangers map[fleet.Key]time.Duration
	// reached is the number of the last end taken in.
	reached int64
	// confirmed is the number of the last end that the endpoint was told to
	// forget and has answered.
	confirmed int64
	// silent is set while the log says, or is being told, that no lease is
	// granted there; clearing is set while that record is being dropped.
	silent   bool
	clearing bool
	// pace is the pace of the filling tasks there in hundredths, set at
	// pacedAt.
	pace    int
	pacedAt time.Duration
}

func (c *Core) controlOf(e *fleet.Endpoint) *endpointControl {
	ec := c.control[e]
	if ec == nil {
		ec = &endpointControl{runs: make(map[*fleet.Run]*runControl), strangers: make(map[fleet.Key]time.Duration), pace: fullPace}
		c.control[e] = ec
	}
	return ec
}

func (c *Core) controlOfRun(r *fleet.Run) *runControl {
	ec := c.controlOf(r.Endpoint)
	rc := ec.runs[r]
	if rc == nil {
		rc = &runControl{}
		ec.runs[r] = rc
	}
	return rc
}

// dropControl forgets what is remembered of a run on an endpoint.
func (c *Core) dropControl(e *fleet.Endpoint, r *fleet.Run) {
	ec := c.controlOf(e)
	if rc := ec.runs[r]; rc != nil && rc.stopped {
		ec.stops--
	}
	delete(ec.runs, r)
}

// sendStart hands out the order of a start whose record stands in the log,
// unless its permit, or that of another member of its gang, has expired.
func (c *Core) sendStart(now clock.Instant, s *plannedStart, expired bool) {
	r := s.run
	if c.fleet.Find(r.Key) != r {
		return
	}
	rc := c.controlOfRun(r)
	if r.Step.Job.Final() || rc.stopped || c.controlOf(r.Endpoint).silent || expired {
		c.neverRan(now, r)
		return
	}
	rc.order = &StartOrder{
		Target:     targetOf(r.Endpoint),
		Key:        r.Key,
		Payload:    r.Step.Job.Spec.Payload,
		Checkpoint: r.Step.Checkpoint(r.Index()),
		Permit:     s.permit,
	}
	c.repeatStart(now, r, rc)
}

// repeatStart hands out a start order with a fresh deadline.
func (c *Core) repeatStart(now clock.Instant, r *fleet.Run, rc *runControl) {
	rc.tries++
	c.flow.starts++
	order := *rc.order
	order.sent = now.Steady
	order.Deadline = r.Endpoint.Deadline(now.Steady, c.bounds.Lease)
	r.Endpoint.Grant(order.Deadline)
	c.stats.Starts++
	c.emit(&order)
}

// StartAnswered takes in the result of a start.
func (c *Core) StartAnswered(now clock.Instant, o *StartOrder, out Outcome) {
	c.flow.answered(now.Steady, now.Steady-o.sent)
	defer c.sendReady(now)
	r := c.fleet.Find(o.Key)
	if r == nil || r.Endpoint.ID != o.Target.ID || r.Endpoint.Incarnation != o.Target.Incarnation {
		return
	}
	rc := c.controlOfRun(r)
	c.heard(r.Endpoint, out)
	switch out.Fate {
	case FateDone:
		c.confirm(now, r)
		rc.answered = now.Steady
		c.log.Info("run started", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "after", now.Steady-r.OrderedAt, "tries", rc.tries, "times", out)
	case FateNotSent:
		c.log.Warn("start not sent", "task", o.Key.Task, "run", o.Key.Number, "endpoint", o.Target.ID, "cause", out.Detail, "times", out)
		c.notCarriedOut(now, r, rc)
	case FateRefused:
		c.startRefused(now, r, rc, out)
	case FateUnanswered:
		c.startUnanswered(now, r, rc, out)
	}
}

// heard updates what is known of an endpoint's reachability.
func (c *Core) heard(e *fleet.Endpoint, out Outcome) {
	switch out.Fate {
	case FateDone, FateRefused:
		if out.Reading.Known() {
			e.RecordAnswer(out.Reading)
		}
	case FateNotSent, FateUnanswered:
		e.RecordFailure()
		ec := c.controlOf(e)
		if !ec.holding {
			ec.holdAt = 0
		}
	}
}

// confirm notes that a run has begun.
func (c *Core) confirm(now clock.Instant, r *fleet.Run) {
	if r.ConfirmedAt == 0 {
		r.ConfirmedAt, r.ProgressedAt = now.Steady, now.Steady
		// An endpoint on which nothing ran is asked rarely.
		c.wantReport(r.Endpoint, now.Steady+c.reportIn(now, r.Endpoint))
	}
	if r.Phase == fleet.PhaseOrdered || r.Phase == fleet.PhaseInherited || r.Phase == fleet.PhaseDoubtful && !c.controlOfRun(r).stopped {
		r.Phase = fleet.PhaseRunning
	}
}

// startRefused takes in that a start was not carried out.
func (c *Core) startRefused(now clock.Instant, r *fleet.Run, rc *runControl, out Outcome) {
	c.stats.Refused++
	c.log.Warn("start refused", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "reason", out.Reason, "detail", out.Detail)
	switch out.Reason {
	case ReasonRoom:
		r.Endpoint.AvoidUntil = now.Steady + roomRest
	case ReasonUnhealthy:
		r.Endpoint.AvoidUntil = now.Steady + unhealthyRest
	case ReasonPermit:
		c.forgetPermit(r)
	case ReasonFenced, ReasonSuperseded, ReasonLate, ReasonIncarnation, ReasonInvalid:
	}
	c.notCarriedOut(now, r, rc)
}

// notCarriedOut takes in that an order to start a run has had no effect. If it
// was a repetition, that says nothing of the order before: the run may be there,
// or may have ended already, which a report tells once it is barred.
func (c *Core) notCarriedOut(now clock.Instant, r *fleet.Run, rc *runControl) {
	switch {
	case rc.tries <= 1:
		c.neverRan(now, r)
	case r.Phase != fleet.PhaseRunning:
		c.giveUpGang(now, r)
	}
}

// giveUpGang stops the run of a gang's member that may have begun, and with it
// all others.
func (c *Core) giveUpGang(now clock.Instant, r *fleet.Run) {
	c.stop(now, r)
	if r.Step.Spec.Gang {
		c.stopGang(now, r.Step, r.Number)
	}
}

// neverRan frees a run that certainly has not begun and never will.
func (c *Core) neverRan(now clock.Instant, r *fleet.Run) {
	c.finish(now, r, workload.EndNeverRan, "")
}

// startUnanswered takes in that a start may have been carried out. A gang's
// member is ordered again, as the others wait for it; any other run is stopped,
// which bars it, and its task starts elsewhere.
func (c *Core) startUnanswered(now clock.Instant, r *fleet.Run, rc *runControl, out Outcome) {
	c.stats.Doubtful++
	c.log.Warn("start not answered", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "cause", out.Detail, "times", out)
	if r.Phase == fleet.PhaseRunning || rc.stopped {
		return
	}
	r.Phase = fleet.PhaseDoubtful
	if r.Step.Spec.Gang && rc.tries < startTries && !c.controlOf(r.Endpoint).silent {
		c.repeatStart(now, r, rc)
		return
	}
	c.giveUpGang(now, r)
}

// stop stops a run, or bars it if it has not begun.
func (c *Core) stop(now clock.Instant, r *fleet.Run) {
	rc := c.controlOfRun(r)
	if rc.stopped {
		return
	}
	rc.stopped = true
	c.controlOf(r.Endpoint).stops++
	if r.Phase == fleet.PhaseRunning {
		r.Phase = fleet.PhaseStopping
		r.ExpectedEnd = now.Steady + c.bounds.StopGrace
	}
	if !rc.sent(r) {
		// The start waits for its record and is not sent any more.
		return
	}
	c.sendStop(r, rc)
}

// sent reports whether an order to start the run may be under way.
func (rc *runControl) sent(r *fleet.Run) bool {
	return r.Phase != fleet.PhaseOrdered || rc.order != nil
}

func (c *Core) sendStop(r *fleet.Run, rc *runControl) {
	rc.stopping = true
	c.stats.Stops++
	c.log.Info("stopping run", "task", r.Task, "run", r.Number, "endpoint", r.Endpoint.ID, "phase", r.Phase, "job_state", jobState(r))
	c.emit(&StopOrder{Target: targetOf(r.Endpoint), Key: r.Key})
}

// StopAnswered takes in the result of a stop.
func (c *Core) StopAnswered(now clock.Instant, o *StopOrder, out Outcome) {
	e := c.fleet.Endpoint(o.Target.ID)
	if e == nil || e.Incarnation != o.Target.Incarnation {
		return
	}
	c.heard(e, out)
	r := c.fleet.Find(o.Key)
	if r == nil || r.Endpoint != e {
		return
	}
	rc := c.controlOfRun(r)
	rc.stopping = false
	if out.Fate == FateDone {
		rc.barred = now.Steady
		// A report from now on tells whether the run had begun.
		c.wantReport(e, now.Steady)
		return
	}
	c.log.Warn("stop not done, it is repeated", "task", r.Task, "run", r.Number, "endpoint", e.ID, "cause", out.Detail, "times", out)
	rc.stopAt = now.Steady + stopRetry
}

// wantReport asks for a report of an endpoint without waiting for an end.
func (c *Core) wantReport(e *fleet.Endpoint, now time.Duration) {
	ec := c.controlOf(e)
	ec.holdAt = min(ec.holdAt, now)
}

// stopGang stops all members of a gang's run.
func (c *Core) stopGang(now clock.Instant, s *workload.StepRun, number int) {
	for i := range s.Tasks {
		for _, r := range append([]*fleet.Run(nil), c.fleet.RunsOf(s.ID(i))...) {
			if r.Number == number {
				c.stop(now, r)
			}
		}
	}
}

// stopJob stops all runs of a job.
func (c *Core) stopJob(now clock.Instant, j *workload.Job) {
	for _, e := range c.fleet.Endpoints() {
		for _, r := range e.Runs() {
			if r.Task.Job == j.ID {
				c.stop(now, r)
			}
		}
	}
}

// finish frees a run's room and notes its end.
func (c *Core) finish(now clock.Instant, r *fleet.Run, end workload.End, checkpoint string) {
	e := r.Endpoint
	c.dropControl(e, r)
	e.Remove(r)
	c.planDue = true
	if r.Step == nil {
		return
	}
	entry := c.jobs[r.Task.Job]
	s := r.Step
	c.learn(now, r, end)
	if !s.Finish(r.Index(), r.Number, end, checkpoint, c.attempts(s), now.Wall) {
		return
	}
	if !entry.ended || !entry.job.HasUnfinishedRuns() {
		// Of an ended job, only the end of its last run is stored.
		c.batch.touch(entry)
	}
	c.log.Info("run ended", "task", r.Task, "run", r.Number, "endpoint", e.ID, "end", end, "ran", ranFor(now, r))
	if se := c.steps[s]; se != nil {
		se.stale = true
		if end == workload.EndFailed {
			se.noteFailure(r.Index(), e.ID)
		}
	}
	c.afterEnd(now, entry, r, end)
}

// ranFor returns how long a run is known to have run; 0 if it has not.
func ranFor(now clock.Instant, r *fleet.Run) time.Duration {
	if r.ConfirmedAt == 0 {
		return 0
	}
	return (now.Steady - r.ConfirmedAt).Round(time.Millisecond)
}

// jobState returns the state of a run's job for the log; the job of a run
// that is not wanted may be unknown.
func jobState(r *fleet.Run) workload.State {
	if r.Step == nil {
		return ""
	}
	return r.Step.Job.State()
}

// afterEnd does what follows from the end of a run.
func (c *Core) afterEnd(now clock.Instant, entry *jobEntry, r *fleet.Run, end workload.End) {
	s := r.Step
	switch {
	case entry.job.Final():
		c.closeJob(entry)
		c.closeSteps(entry.job, s.Occurrence)
		if entry.ended {
			c.stopJob(now, entry.job)
		}
	case s.Done():
		c.closeSteps(entry.job, s.Occurrence)
		c.openSteps(now, entry, s.Occurrence)
		c.openDue(now, entry)
	case s.Spec.Gang && end != workload.EndDone:
		c.stopGang(now, s, r.Number)
	}
	if s.TaskDone(r.Index()) && !s.Spec.Gang {
		for _, copied := range append([]*fleet.Run(nil), c.fleet.RunsOf(r.Task)...) {
			c.stop(now, copied)
		}
	}
}

// attempts is how many failed runs a task of the step may have.
func (c *Core) attempts(s *workload.StepRun) int {
	if q := c.catalog.Queue(s.Job.Queue); q != nil {
		return q.Attempts
	}
	return 0
}

// learn notes what a run taught about its endpoint.
func (c *Core) learn(now clock.Instant, r *fleet.Run, end workload.End) {
	switch end {
	case workload.EndDone:
		r.Endpoint.History.ObserveEnd(string(r.Task.Job), false)
		if r.ConfirmedAt > 0 && !r.Step.Spec.Gang && r.Step.Checkpoint(r.Index()) == "" {
			r.Endpoint.History.ObserveDuration(now.Steady-r.ConfirmedAt, r.Step.Spec.Estimate)
		}
	case workload.EndFailed:
		c.noteFailed(now, r)
	case workload.EndStopped, workload.EndLapsed, workload.EndBroken, workload.EndAlone, workload.EndLost, workload.EndNeverRan:
	}
}

// noteFailed notes a failed run on its endpoint's record, which may have to
// rest.
func (c *Core) noteFailed(now clock.Instant, r *fleet.Run) {
	e := r.Endpoint
	e.History.ObserveEnd(string(r.Task.Job), true)
	if e.History.Failing() {
		c.log.Warn("endpoint rests, its last runs have all failed", "endpoint", e.ID, "rest", failingRest)
		e.AvoidUntil = now.Steady + failingRest
		e.History.Reset()
	}
}

// noteFailure remembers where a task has failed.
func (se *stepEntry) noteFailure(task int, endpoint string) {
	if se.failedOn == nil {
		se.failedOn = make(map[int]map[string]bool)
	}
	if se.failedOn[task] == nil {
		se.failedOn[task] = make(map[string]bool)
	}
	se.failedOn[task][endpoint] = true
}
