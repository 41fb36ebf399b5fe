package holder

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

const (
	// scheduleBatch bounds the decisions that are applied while the lock is held.
	scheduleBatch = 128
	// scheduleInterval is the interval at which the engine is asked even if nothing
	// has changed, since some decisions depend on time alone.
	scheduleInterval = 100 * time.Millisecond
	// refusalBackoff is how long an endpoint that refused a task gets no new task.
	refusalBackoff = 250 * time.Millisecond
)

// runScheduler asks the engine for decisions whenever something has changed.
func (t *Term) runScheduler() error {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-t.wake:
		}
		for t.tomb.Alive() && t.scheduleOnce() {
		}
	}
}

// scheduleOnce applies one batch of decisions and reports whether there may be more.
func (t *Term) scheduleOnce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.handingOver {
		return false
	}
	start := time.Now()
	decisions := t.engine.Schedule(t.now(), scheduleBatch)
	metrics.DecisionNS.Add(time.Since(start).Nanoseconds())
	metrics.Decisions.Add(int64(len(decisions)))
	for _, d := range decisions {
		t.applyDecision(d)
	}
	return len(decisions) >= scheduleBatch
}

// applyDecision starts or preempts the task of a decision.
func (t *Term) applyDecision(d placement.Decision) {
	u, s := t.units[d.Task], t.sessions[d.Endpoint]
	if u == nil || s == nil {
		t.log.Error("decision for an unknown task or endpoint", "task", d.Task, "endpoint", d.Endpoint)
		t.engine.Finish(d.Task, t.now(), placement.ResultStopped)
		return
	}
	if d.Preempt {
		s.queueStop(endpoint.ActionCheckpoint, u.spec.ID)
		return
	}
	t.backlog.remove(u)
	if p := t.recheckAdmission(u); p != nil {
		t.engine.Finish(u.key, t.now(), placement.ResultStopped)
		u.phase = phaseHeld
		t.settle(u, problemResult(p))
		return
	}
	t.startUnit(s, u)
}

// recheckAdmission refuses a request whose key was revoked while it waited, or that
// could no longer be answered before its deadline.
func (t *Term) recheckAdmission(u *unit) *problem.Problem {
	if u.request == nil {
		return nil
	}
	if u.deadline > 0 && t.now()+t.serviceRateOf(u).requiredTime() > u.deadline {
		return problem.Refuse(problem.DeadlineQueued, "retry later or with a longer deadline", "too little time was left before the deadline when the work could have started").WithRetryAfter(retryHint)
	}
	if u.keyID == "" {
		return nil
	}
	return t.deps.Authorize(u.keyID, u.spec.Team, u.spec.Queue)
}

// startUnit queues the start of a unit on the endpoint that the engine has chosen.
func (t *Term) startUnit(s *session, u *unit) {
	u.spec.ID = u.nextAttemptID(t.epoch)
	u.phase = phaseStarting
	u.session = s
	u.answer = answerAssembly{}
	s.units[u.key] = u
	waited := t.now() - u.enqueued
	u.sentAt = t.now()
	if u.request != nil {
		u.request.queued = waited
		t.serviceRateOf(u).recordStart(u.sentAt)
	}
	if t.deps.Observer != nil && u.attempts == 1 {
		t.deps.Observer.Started(u.spec.Team, u.spec.Queue, waited, t.waitCause(u))
	}
	metrics.TasksStarted.Add(1)
	s.queueStart(u.spec)
}

// waitCause returns the reason for which a unit waited, for the service-level report:
// "failover", "limit" or "queueing".
func (t *Term) waitCause(u *unit) string {
	if u.enqueued < takeoverWindow && t.gate.startedAt.Equal(t.startedAt) && u.job != nil {
		return "failover"
	}
	if int64(t.engine.RunningTasks(u.spec.Team)) >= t.bound(u.spec.Team) {
		return "limit"
	}
	return "queueing"
}

// takeoverWindow is the time after the start of a term in which the waiting time of
// job tasks is attributed to the change of holder.
const takeoverWindow = 5 * time.Second

// enqueue submits a unit to the engine as a work of its own.
func (t *Term) enqueue(u *unit) {
	u.phase = phaseWaiting
	if u.request != nil && t.backlog.waiting(u.spec.Queue, u.spec.Team) == 0 {
		t.serviceRateOf(u).reset(t.now())
	}
	t.backlog.add(u)
	t.ensureTeam(u.spec.Team)
	t.engine.Submit(u.engineWork())
	t.wakeScheduler()
}

// requeue queues a unit again after an attempt that brought no outcome. A request is
// answered as moved instead if the term is handing over.
func (t *Term) requeue(u *unit) {
	if t.handingOver && u.request != nil {
		u.phase = phaseHeld
		t.settle(u, problemResult(problem.Refuse(problem.Moved, "the front door tries the next holder", "the zone's holder changed before the work started")))
		return
	}
	u.workID = u.key
	t.enqueue(u)
}

// handleStartResponse applies the answer to a batch of starts. Refused tasks have not
// run.
func (t *Term) handleStartResponse(s *session, batch []endpoint.TaskSpec, refused []endpoint.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons := make(map[string]string, len(refused))
	for _, r := range refused {
		reasons[r.ID] = r.Reason
	}
	for _, spec := range batch {
		u := t.unitByAttempt(spec.ID)
		if u == nil || u.phase != phaseStarting {
			continue
		}
		if reason, ok := reasons[spec.ID]; ok {
			t.log.Warn("endpoint refused a task", "endpoint", s.id, "task", spec.ID, "reason", reason)
			t.undoStart(s, u)
			t.backOff(s)
			continue
		}
		u.phase, u.mayHaveRun = phaseRunning, true
	}
}

// backOff gives no new work to an endpoint for refusalBackoff after it refused a task.
func (t *Term) backOff(s *session) {
	if s.backingOff {
		return
	}
	s.backingOff = true
	t.updateAvailability(s)
	time.AfterFunc(refusalBackoff, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.backingOff = false
		t.updateAvailability(s)
	})
}

// undoStart queues a unit again whose current attempt has not run.
func (t *Term) undoStart(s *session, u *unit) {
	t.engine.Finish(u.key, t.now(), placement.ResultStopped)
	delete(s.units, u.key)
	u.session = nil
	if u.cancelled {
		t.settle(u, problemResult(cancelledBeforeStart()))
		return
	}
	t.requeue(u)
}

// unitByAttempt returns the unit whose current attempt has the given id, or nil.
func (t *Term) unitByAttempt(attemptID string) *unit {
	if u := t.units[unitKeyOf(attemptID)]; u != nil && u.spec.ID == attemptID {
		return u
	}
	if u := t.units[attemptID]; u != nil && u.spec.ID == attemptID {
		return u
	}
	return nil
}

// handleEvents applies an endpoint's events: parts of answers and ends of tasks.
func (t *Term) handleEvents(s *session, events []endpoint.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range events {
		u := t.unitByAttempt(e.ID)
		if u == nil || u.session != s || u.phase == phaseFinal {
			metrics.DroppedEvents.Add(1)
			t.ackUnknownTask(s, e, u)
			continue
		}
		if u.answer.add(e) {
			t.finishAttempt(s, u)
		}
	}
	t.wakeScheduler()
}

// ackUnknownTask acknowledges the end of a task that has no unit. The outcome of a unit
// that is final is acknowledged by the code that ended it. Nothing is acknowledged
// while the gate is closed.
func (t *Term) ackUnknownTask(s *session, e endpoint.Event, u *unit) {
	if u == nil && e.State != endpoint.TaskRunning && t.gate.isOpen() {
		s.queueAck(e.ID)
	}
}

// finishAttempt ends the current attempt of a unit whose answer is complete.
func (t *Term) finishAttempt(s *session, u *unit) {
	metrics.TasksFinished.Add(string(u.answer.state), 1)
	u.mayHaveRun = true
	t.engine.Finish(u.key, t.now(), placementResult(u.answer.state))
	delete(s.units, u.key)
	attempt := u.spec.ID
	u.session = nil
	switch {
	case u.answer.state == endpoint.TaskDone:
		if u.request != nil && u.sentAt > 0 {
			t.serviceRateOf(u).recordRunTime(t.now() - u.sentAt)
		}
		t.settleDone(s, u, attempt)
	case u.cancelled:
		t.ackDiscarded(s, attempt)
		t.settle(u, problemResult(cancelledAfterStart()))
	case u.answer.state == endpoint.TaskFailed && u.failures >= u.retryBudget:
		t.settleFailed(s, u, attempt)
	case !u.spec.Idempotent:
		t.settleFailed(s, u, attempt)
	default:
		if u.answer.state == endpoint.TaskFailed {
			u.failures++
		}
		s.queueAck(attempt)
		t.requeue(u)
	}
}

// settleFailed settles a unit whose attempt failed and may not be repeated.
func (t *Term) settleFailed(s *session, u *unit, attempt string) {
	reason := u.answer.reason
	if u.answer.state == endpoint.TaskStopped {
		reason = "the task was stopped before it had finished"
	}
	u.deferAck(s, attempt)
	t.settle(u, problemResult(problem.UnknownOutcome(problem.TaskFailed, "read the reason, correct the input and send it as a new request", "the task failed: %s", reason)))
}

// settleDone settles a unit with its complete answer.
func (t *Term) settleDone(s *session, u *unit, attempt string) {
	u.deferAck(s, attempt)
	t.settle(u, Result{Output: u.answer.bytes()})
}

// placementResult converts the final state of a task to a result for the engine.
func placementResult(state endpoint.TaskState) placement.Result {
	switch state {
	case endpoint.TaskDone:
		return placement.ResultDone
	case endpoint.TaskFailed:
		return placement.ResultFailed
	}
	return placement.ResultStopped
}

// handleStopResponse applies the answer to a stop. The end of a task that was running
// also arrives as an event; a task that never ran ends here.
func (t *Term) handleStopResponse(s *session, stopped []endpoint.StoppedTask) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, task := range stopped {
		u := t.unitByAttempt(task.ID)
		if u == nil || u.session != s {
			continue
		}
		u.spec.ResumeMS = max(u.spec.ResumeMS, task.CheckpointMS)
		if task.NeverRan {
			t.undoStart(s, u)
		}
	}
	t.wakeScheduler()
}
