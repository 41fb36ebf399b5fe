package holder

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

const (
	// scheduleBatch bounds the decisions taken under one hold of the lock.
	scheduleBatch = 128
	// scheduleInterval is how often the engine is asked without a cause, for
	// what depends on time alone.
	scheduleInterval = 100 * time.Millisecond
	// refusalRest is how long an endpoint that refused a task gets no other.
	refusalRest = 250 * time.Millisecond
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

// scheduleOnce carries out one batch of decisions and reports whether there
// may be more.
func (t *Term) scheduleOnce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.handingOver {
		return false
	}
	began := time.Now()
	decisions := t.engine.Schedule(t.now(), scheduleBatch)
	metrics.DecisionNS.Add(time.Since(began).Nanoseconds())
	metrics.Decisions.Add(int64(len(decisions)))
	for _, d := range decisions {
		t.carryOut(d)
	}
	return len(decisions) >= scheduleBatch
}

// carryOut starts or preempts the task of a decision.
func (t *Term) carryOut(d placement.Decision) {
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
	if p := t.recheck(u); p != nil {
		t.engine.Finish(u.key, t.now(), placement.ResultStopped)
		u.phase = phaseHeld
		t.settle(u, failed(p))
		return
	}
	t.begin(s, u)
}

// recheck refuses work whose key was withdrawn while it waited, and work that
// could no longer be answered in time.
func (t *Term) recheck(u *unit) *problem.Problem {
	if u.request == nil {
		return nil
	}
	if u.until > 0 && t.now()+t.rateOf(u).needed() > u.until {
		return problem.Refuse(problem.DeadlineQueued, "retry later or with a longer deadline", "too little time was left when the work's turn came").WithRetryAfter(retryHint)
	}
	if u.keyID == "" {
		return nil
	}
	return t.deps.Authorize(u.keyID, u.spec.Team, u.spec.Queue)
}

// begin sends a unit to the endpoint that the engine chose.
func (t *Term) begin(s *session, u *unit) {
	u.spec.ID = u.attemptID(t.epoch)
	u.phase = phaseStarting
	u.session = s
	u.answer = assembly{}
	s.units[u.key] = u
	waited := t.now() - u.enqueued
	u.begun = t.now()
	if u.request != nil {
		u.request.queued = waited
		t.rateOf(u).started(u.begun)
	}
	if t.deps.Observer != nil && u.attempts == 1 {
		t.deps.Observer.Started(u.spec.Team, u.spec.Queue, waited, t.waitCause(u))
	}
	metrics.TasksStarted.Add(1)
	s.queueStart(u.spec)
}

// waitCause names what held a unit back, for the service-level report.
func (t *Term) waitCause(u *unit) string {
	if u.enqueued < takeoverWindow && t.gate.since.Equal(t.began) && u.job != nil {
		return "failover"
	}
	if int64(t.engine.RunningTasks(u.spec.Team)) >= t.bound(u.spec.Team) {
		return "limit"
	}
	return "queueing"
}

// takeoverWindow is how long after the begin of a term waiting is put down to
// the change of holder.
const takeoverWindow = 5 * time.Second

// enqueue hands a unit to the engine.
func (t *Term) enqueue(u *unit) {
	u.phase = phaseWaiting
	if u.request != nil && t.backlog.of(u.spec.Queue, u.spec.Team) == 0 {
		t.rateOf(u).begin(t.now())
	}
	t.backlog.add(u)
	t.noteTeam(u.spec.Team)
	t.engine.Submit(u.engineWork())
	t.kick()
}

// requeue queues a unit again after an attempt that came to nothing.
func (t *Term) requeue(u *unit) {
	if t.handingOver && u.request != nil {
		u.phase = phaseHeld
		t.settle(u, failed(problem.Refuse(problem.Moved, "the front door tries the next holder", "the zone's holder changed before the work started")))
		return
	}
	u.work = u.key
	t.enqueue(u)
}

// observeStarts takes in the answer to a batch of starts. Refused tasks never
// ran.
func (t *Term) observeStarts(s *session, batch []endpoint.TaskSpec, refused []endpoint.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons := make(map[string]string, len(refused))
	for _, r := range refused {
		reasons[r.ID] = r.Reason
	}
	for _, spec := range batch {
		u := t.unitOf(spec.ID)
		if u == nil || u.phase != phaseStarting {
			continue
		}
		if reason, ok := reasons[spec.ID]; ok {
			t.log.Warn("endpoint refused a task", "endpoint", s.id, "task", spec.ID, "reason", reason)
			t.undoStart(s, u)
			t.rest(s)
			continue
		}
		u.phase, u.ran = phaseRunning, true
	}
}

// rest keeps new work from an endpoint that refused a task, for a while.
func (t *Term) rest(s *session) {
	if s.resting {
		return
	}
	s.resting = true
	t.applyUsable(s)
	time.AfterFunc(refusalRest, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.resting = false
		t.applyUsable(s)
	})
}

// undoStart queues a unit again that its endpoint refused.
func (t *Term) undoStart(s *session, u *unit) {
	t.engine.Finish(u.key, t.now(), placement.ResultStopped)
	delete(s.units, u.key)
	u.session = nil
	if u.cancelled {
		t.settle(u, failed(cancelledWaiting()))
		return
	}
	t.requeue(u)
}

// unitOf returns the unit whose current attempt has the given id.
func (t *Term) unitOf(attemptID string) *unit {
	if u := t.units[keyOf(attemptID)]; u != nil && u.spec.ID == attemptID {
		return u
	}
	if u := t.units[attemptID]; u != nil && u.spec.ID == attemptID {
		return u
	}
	return nil
}

// observeEvents takes in parts of answers and ends of tasks.
func (t *Term) observeEvents(s *session, events []endpoint.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range events {
		u := t.unitOf(e.ID)
		if u == nil || u.session != s || u.phase == phaseFinal {
			metrics.DroppedEvents.Add(1)
			t.ackStray(s, e, u)
			continue
		}
		if u.answer.add(e) {
			t.finish(s, u)
		}
	}
	t.kick()
}

// ackStray lets the endpoint forget the end of a task that nobody waits for.
// The outcome of a unit that is final is acknowledged by whoever ended it.
func (t *Term) ackStray(s *session, e endpoint.Event, u *unit) {
	if u == nil && e.State != endpoint.TaskRunning && t.gate.isOpen() {
		s.queueAck(e.ID)
	}
}

// finish ends the attempt of a unit whose answer is whole.
func (t *Term) finish(s *session, u *unit) {
	metrics.TasksFinished.Add(string(u.answer.state), 1)
	u.ran = true
	t.engine.Finish(u.key, t.now(), engineResult(u.answer.state))
	delete(s.units, u.key)
	attempt := u.spec.ID
	u.session = nil
	switch {
	case u.answer.state == endpoint.TaskDone:
		if u.request != nil && u.begun > 0 {
			t.rateOf(u).finished(t.now() - u.begun)
		}
		t.settleDone(s, u, attempt)
	case u.cancelled:
		s.queueAck(attempt)
		t.settle(u, failed(cancelledRunning()))
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

// settleFailed ends a unit that may not be tried again.
func (t *Term) settleFailed(s *session, u *unit, attempt string) {
	reason := u.answer.reason
	if u.answer.state == endpoint.TaskStopped {
		reason = "the task was stopped before it had finished"
	}
	u.ackTo(s, attempt)
	t.settle(u, failed(problem.UnknownOutcome(problem.TaskFailed, "read the reason, mend the input and send it as a new request", "the task failed: %s", reason)))
}

// settleDone ends a unit with its whole answer.
func (t *Term) settleDone(s *session, u *unit, attempt string) {
	u.ackTo(s, attempt)
	t.settle(u, Result{Output: u.answer.bytes()})
}

// engineResult converts the final state of a task.
func engineResult(state endpoint.TaskState) placement.Result {
	switch state {
	case endpoint.TaskDone:
		return placement.ResultDone
	case endpoint.TaskFailed:
		return placement.ResultFailed
	}
	return placement.ResultStopped
}

// observeStops takes in the answer to a stop. The end of a task that was
// running arrives as an event as well; one that never ran ends here.
func (t *Term) observeStops(s *session, stopped []endpoint.StoppedTask) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, task := range stopped {
		u := t.unitOf(task.ID)
		if u == nil || u.session != s {
			continue
		}
		u.spec.ResumeMS = max(u.spec.ResumeMS, task.CheckpointMS)
		if task.NeverRan {
			t.undoStart(s, u)
		}
	}
	t.kick()
}
