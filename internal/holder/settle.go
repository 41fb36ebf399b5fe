package holder

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/pkg/errors"
)

// withdraw takes a waiting unit out of the queue.
func (t *Term) withdraw(u *unit) {
	t.engine.Withdraw(u.work, u.key)
	t.backlog.remove(u)
	u.phase = phaseHeld
}

// expire ends a request whose caller waits no longer. What never started is
// withdrawn; what may have started is stopped, and its end awaited briefly.
func (t *Term) expire(u *unit, cause error) {
	t.mu.Lock()
	if u.phase == phaseFinal || u.request.waiters > 1 {
		t.mu.Unlock()
		return
	}
	if u.phase == phaseWaiting {
		t.withdraw(u)
		t.settle(u, failed(expired(cause)))
		t.mu.Unlock()
		return
	}
	stoppable := errors.Is(cause, context.DeadlineExceeded) && u.session != nil
	if stoppable {
		u.cancelled = true
		u.session.queueStop(endpoint.ActionStop, u.spec.ID)
	}
	t.mu.Unlock()
	if stoppable {
		select {
		case <-u.request.done:
		case <-time.After(expireGrace):
		}
	}
}

// expired is the refusal of work that waited too long.
func expired(cause error) *problem.Problem {
	if errors.Is(cause, context.DeadlineExceeded) {
		return problem.Refuse(problem.DeadlineQueued, "retry later or with a longer deadline", "the deadline passed before the work could start").WithRetryAfter(retryHint)
	}
	return problem.Refuse(problem.Cancelled, "send the request again if it is still wanted", "the caller went away before the work started")
}

// cancelledWaiting is the outcome of work that was cancelled before it ran.
func cancelledWaiting() *problem.Problem {
	return problem.Refuse(problem.Cancelled, "send the request again if it is still wanted", "the work was cancelled before it started")
}

// cancelledRunning is the outcome of work that was cancelled while it ran.
func cancelledRunning() *problem.Problem {
	return problem.UnknownOutcome(problem.Cancelled, "check the effect of the work before sending it again", "the work was cancelled after it had started")
}

// CancelRequest cancels the request with the given ticket for its team.
func (t *Term) CancelRequest(key, team string) *problem.Problem {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.units[key]
	if u == nil || u.request == nil || u.spec.Team != team {
		return problem.UnknownOutcome(problem.TicketInvalid, "check the ticket and the key", "no request with this ticket is known here")
	}
	t.cancel(u)
	return nil
}

// cancel ends a unit that waits and stops one that runs.
func (t *Term) cancel(u *unit) {
	switch u.phase {
	case phaseFinal:
	case phaseWaiting:
		t.withdraw(u)
		t.settle(u, failed(cancelledWaiting()))
	case phaseHeld:
		u.cancelled = true
	default:
		u.cancelled = true
		if u.session != nil {
			u.session.queueStop(endpoint.ActionStop, u.spec.ID)
		}
	}
}

// settle records the result of a unit and tells who waits for it.
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
		t.settleTask(u, result)
		return
	}
	u.request.result = result
	t.registry.settled(u.key, t.now())
	if t.deps.Observer != nil && u.request.waiters > 0 {
		code := problem.Code("")
		if result.Problem != nil {
			code = result.Problem.Code
		}
		t.deps.Observer.Answered(u.spec.Team, u.spec.Queue, result.verdict(), code)
	}
	close(u.request.done)
}

// adjustVerdict turns "not run" into "unknown" for a unit that may have run in an
// earlier attempt.
func (u *unit) adjustVerdict(result Result) Result {
	if !u.ran || result.verdict() != problem.NotRun {
		return result
	}
	doubt := *result.Problem
	doubt.Verdict = problem.Unknown
	return Result{Problem: &doubt}
}

// ackTo arranges for the endpoint to forget the attempt: after the outcome of
// a job's task stands in the log, or when a request's ticket is forgotten.
func (u *unit) ackTo(s *session, attempt string) {
	ack := func() { s.queueAck(attempt) }
	if u.job != nil {
		u.job.acks[u.spec.Index] = ack
		return
	}
	u.request.ack = ack
}
