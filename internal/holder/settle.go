package holder

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/pkg/errors"
)

// withdraw removes a waiting unit from the engine and the backlog.
func (t *Term) withdraw(u *unit) {
	t.engine.Withdraw(u.workID, u.key)
	t.backlog.remove(u)
	u.phase = phaseHeld
}

// expireRequest ends a request whose last waiter stops waiting. It withdraws a request
// that waits. If the deadline has passed it stops a request that may have started, and
// waits at most expireGrace for its end. It reports whether the caller is to be given what
// has become of the request; if not, it counts as a waiter no more.
func (t *Term) expireRequest(u *unit, cause error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stoppable := errors.Is(cause, context.DeadlineExceeded) && u.session != nil
	switch {
	case u.phase == phaseFinal:
	case u.request.waiters > 1:
		// Of callers that expire at one instant the last one has to find itself alone.
		u.request.waiters--
		return false
	case u.phase == phaseWaiting:
		t.withdraw(u)
		t.settle(u, problemResult(expiredProblem(cause)))
	case stoppable:
		u.cancelled = true
		u.session.queueStop(endpoint.ActionStop, u.spec.ID)
		t.mu.Unlock()
		select {
		case <-u.request.done:
		case <-time.After(expireGrace):
		}
		t.mu.Lock()
	}
	return true
}

// expiredProblem returns the refusal of a request whose caller gave up before its start.
func expiredProblem(cause error) *problem.Problem {
	if errors.Is(cause, context.DeadlineExceeded) {
		return problem.Refuse(problem.DeadlineQueued, "retry later or with a longer deadline", "the deadline passed before the work could start").WithRetryAfter(retryHint)
	}
	return problem.Refuse(problem.Cancelled, "send the request again if it is still wanted", "the caller disconnected before the work started")
}

// cancelledBeforeStart returns the outcome of work that was cancelled before it ran.
func cancelledBeforeStart() *problem.Problem {
	return problem.Refuse(problem.Cancelled, "send the request again if it is still wanted", "the work was cancelled before it started")
}

// cancelledAfterStart returns the outcome of work that was cancelled after its start.
func cancelledAfterStart() *problem.Problem {
	return problem.UnknownOutcome(problem.Cancelled, "check the effect of the work before sending it again", "the work was cancelled after it had started")
}

// CancelRequest cancels the request of the given team with the given ticket.
func (t *Term) CancelRequest(key, team string) *problem.Problem {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.units[key]
	if u == nil || u.request == nil || u.spec.Team != team {
		return problem.UnknownOutcome(problem.TicketInvalid, "check the ticket and the key", "the zone's holder knows no request of the team with this ticket")
	}
	t.cancel(u)
	return nil
}

// cancel settles a unit that waits, stops one that runs, and marks one that is held as cancelled.
func (t *Term) cancel(u *unit) {
	switch u.phase {
	case phaseFinal:
	case phaseWaiting:
		t.withdraw(u)
		t.settle(u, problemResult(cancelledBeforeStart()))
	case phaseHeld:
		u.cancelled = true
	default:
		u.cancelled = true
		if u.session != nil {
			u.session.queueStop(endpoint.ActionStop, u.spec.ID)
		}
	}
}

// settle sets the final result of a unit and notifies its waiters. A job's task is
// queued for the log instead.
func (t *Term) settle(u *unit, result Result) {
	if u.phase == phaseFinal {
		return
	}
	if u.phase == phaseWaiting {
		t.withdraw(u)
	}
	u.phase = phaseFinal
	result = u.adjustVerdict(result)
	if u.job != nil {
		t.queueOutcome(u, result)
		return
	}
	u.request.result = result
	t.registry.recordEnded(u.key, t.now())
	if t.deps.Observer != nil && u.request.waiters > 0 {
		code := problem.Code("")
		if result.Problem != nil {
			code = result.Problem.Code
		}
		t.deps.Observer.Answered(u.spec.Team, u.spec.Queue, result.verdict(), code)
	}
	close(u.request.done)
}

// adjustVerdict turns verdict "not run" into "unknown" for a unit that may have run in an
// earlier attempt.
func (u *unit) adjustVerdict(result Result) Result {
	if !u.mayHaveRun || result.verdict() != problem.NotRun {
		return result
	}
	unknown := *result.Problem
	unknown.Verdict = problem.Unknown
	return Result{Problem: &unknown}
}

// deferAck stores the acknowledgement of an attempt until it may be sent: once the log
// holds the outcome of a job's task, or ackDelay after a request got its result.
func (u *unit) deferAck(s *session, attempt string) {
	ack := func() { s.queueAck(attempt) }
	if u.job != nil {
		u.job.acks[u.spec.Index] = append(u.job.acks[u.spec.Index], ack)
		return
	}
	u.request.ack = ack
}

// ackDiscarded acknowledges an ended attempt whose answer nobody waits for. That of a job's
// task waits until the log holds the task's outcome: a next holder that found neither would
// start the task again.
func (t *Term) ackDiscarded(s *session, attempt string) {
	if u := t.units[unitKeyOf(attempt)]; u != nil && u.job != nil {
		u.deferAck(s, attempt)
		return
	}
	s.queueAck(attempt)
}
