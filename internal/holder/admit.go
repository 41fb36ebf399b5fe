package holder

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/operator"
)

// admit returns the unit of a request and counts the caller as a waiter. It creates
// the unit if the ticket is new here or its earlier unit is restartable.
func (t *Term) admit(r *Request) (*unit, *problem.Problem) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := r.Ticket.String()
	u := t.units[key]
	if u != nil && !u.restartable() {
		return t.joinRequest(u, r)
	}
	if p := t.checkGeneration(r); p != nil {
		return nil, p
	}
	if r.Ticket.Epoch > t.epoch || !t.tomb.Alive() || t.handingOver {
		return nil, problem.Refuse(problem.Moved, "the front door tries the next holder", "this daemon no longer holds the zone").WithRetryAfter(retryHint)
	}
	if p := t.checkAdmission(r); p != nil {
		p = t.closeRefused(r, t.adjustVerdict(r, p))
		t.reportRefusal(r, p)
		return nil, p
	}
	u = t.newRequestUnit(key, r)
	u.mayHaveRun = !t.neverStarted(r)
	t.units[key] = u
	u.request.waiters++
	if t.neverStarted(r) {
		t.enqueue(u)
	} else if t.gate.isOpen() {
		t.resolveHeld(u)
	}
	return u, nil
}

// neverStarted reports whether the request can't have started under an earlier
// term: its ticket is of this term, or the holder of the previous epoch has
// declared that it has not started.
func (t *Term) neverStarted(r *Request) bool {
	return r.Ticket.Epoch == t.epoch || (t.previousEpoch != 0 && r.NotStartedEpoch == t.previousEpoch)
}

// NotStartedThrough returns the epoch that a "moved" refusal of the request
// declares: the request has not started up to and including this term. It returns
// 0 if that is not known, as when the ticket may have been forgotten.
func (t *Term) NotStartedThrough(r *Request) uint64 {
	if t.neverStarted(r) && t.checkGeneration(r) == nil {
		return t.epoch
	}
	return 0
}

// checkGeneration refuses a ticket of this term whose generation is so old that the
// ticket may have been forgotten, or so new that this term can't have issued it
// yet. It accepts tickets of other terms.
func (t *Term) checkGeneration(r *Request) *problem.Problem {
	now := t.now()
	switch {
	case r.Ticket.Epoch != t.epoch:
		return nil
	case t.registry.expired(r.Ticket.Generation, now):
		return problem.UnknownOutcome(problem.TicketExpired, "check the effect of the request, then send it with a new ticket", "the ticket is too old for its outcome to be known")
	case r.Ticket.Generation > t.registry.generation(now):
		return problem.Refuse(problem.TicketInvalid, "get a ticket from POST /v1/tickets", "the ticket was not issued by this zone")
	}
	return nil
}

// adjustVerdict turns the refusal of a request that an earlier term may have run
// into one with verdict "unknown".
func (t *Term) adjustVerdict(r *Request, p *problem.Problem) *problem.Problem {
	if t.neverStarted(r) {
		return p
	}
	unknown := *p
	unknown.Verdict = problem.Unknown
	return &unknown
}

// closeRefused closes the ticket of a request that is refused as "not run", since another
// sending of it may be on its way and would start. It returns the refusal, with verdict
// "unknown" if the ticket can't be closed.
func (t *Term) closeRefused(r *Request, p *problem.Problem) *problem.Problem {
	if p.Verdict != problem.NotRun || r.Sole {
		return p
	}
	closed := *p
	closed.Remedy += ", with a new ticket"
	if !t.closeTicket(r.Ticket.String(), closedByRefusal, &closed) {
		closed.Verdict = problem.Unknown
		closed.Remedy = "ask again with the same ticket"
	}
	return &closed
}

// restartable reports whether a unit ended without having run and no caller has
// received that result, as when the front door failed while the unit waited. A new
// request with the ticket may then start over.
func (u *unit) restartable() bool {
	return u.phase == phaseFinal && !u.request.delivered && u.request.waiters == 0 &&
		u.request.result.verdict() == problem.NotRun
}

// joinRequest adds a caller to the waiters of a unit with the same ticket. It
// refuses a request that differs from the unit's.
func (t *Term) joinRequest(u *unit, r *Request) (*unit, *problem.Problem) {
	if u.request == nil {
		return nil, problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a job, which may have run")
	}
	digest := r.digest()
	if u.request.digestKnown && u.request.digest != digest {
		return nil, problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a different request, which may have run")
	}
	u.request.digest, u.request.digestKnown = digest, true
	u.request.waiters++
	u.deadline = max(u.deadline, t.deadlineOf(r))
	return u, nil
}

// checkAdmission returns the reason for which a new request can't be accepted, or nil.
func (t *Term) checkAdmission(r *Request) *problem.Problem {
	if p := t.checkDraining(); p != nil {
		return p
	}
	if p := t.checkWaitingBounds(r); p != nil {
		return p
	}
	if !t.gate.isOpen() {
		return nil
	}
	verdict := t.engine.Check(t.newRequestUnit("check", r).engineWork())
	if !verdict.Feasible {
		return problem.Refuse(problem.NeverRunnable, "ask for no more than the nearest size that fits", "%s; nearest size %+v", verdict.Reason, verdict.NearestSize)
	}
	return nil
}

// checkDraining refuses new work while the zone is drained by configuration.
func (t *Term) checkDraining() *problem.Problem {
	cfg, _ := t.deps.Journal.State().Config()
	if cfg == nil {
		return nil
	}
	for _, z := range cfg.Zones {
		if z.Name == t.settings.AvailabilityZone && z.Drain {
			return problem.Refuse(problem.ZoneDraining, "send it to another zone", "zone %q is being drained", z.Name)
		}
	}
	return nil
}

// checkWaitingBounds refuses a request that exceeds the bound on waiting requests
// of its team in the queue or of the zone, or that would miss its deadline.
func (t *Term) checkWaitingBounds(r *Request) *problem.Problem {
	waiting := t.backlog.waiting(r.Queue.Name, r.Team)
	if r.Queue.MaxWaiting > 0 && waiting >= r.Queue.MaxWaiting {
		return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d requests of the team wait in queue %q already", waiting, r.Queue.Name).WithRetryAfter(retryHint)
	}
	if t.backlog.requests >= t.deps.MaxWaiting() && !t.shedBatchRequest(r) {
		return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d requests wait in the zone already", t.backlog.requests).WithRetryAfter(retryHint)
	}
	return t.checkDeadline(r, waiting)
}

// checkDeadline refuses a request that is predicted to wait past its deadline at
// the rate at which its team is served in the queue.
func (t *Term) checkDeadline(r *Request, waiting int) *problem.Problem {
	rate := t.serviceRates[backlogKey{queue: r.Queue.Name, team: r.Team}]
	deadline := t.deadlineOf(r)
	if rate == nil || deadline == 0 {
		return nil
	}
	now := t.now()
	wait, ok := rate.predictWait(now, waiting)
	if !ok || now+wait+rate.requiredTime() <= deadline {
		return nil
	}
	return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff, or with a longer deadline", "%d requests of the team wait in queue %q, about %s", waiting, r.Queue.Name, wait.Round(time.Millisecond)).WithRetryAfter(wait)
}

// deadlineOf returns the deadline of a request on the term's clock, 0 if it has none.
func (t *Term) deadlineOf(r *Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(r.Deadline.Sub(t.startedAt), 1)
}

// serviceRateOf returns the service rate of a unit's team in its queue.
func (t *Term) serviceRateOf(u *unit) *serviceRate {
	key := backlogKeyOf(u)
	if t.serviceRates[key] == nil {
		t.serviceRates[key] = &serviceRate{}
	}
	return t.serviceRates[key]
}

// reportRefusal reports the refusal of a request that was never queued to the observer.
func (t *Term) reportRefusal(r *Request, p *problem.Problem) {
	if t.deps.Observer != nil {
		t.deps.Observer.Answered(r.Team, r.Queue.Name, p.Verdict, p.Code)
	}
}

// shedBatchRequest refuses the batch request that was queued last to free capacity
// for an urgent request. It reports whether it did.
func (t *Term) shedBatchRequest(r *Request) bool {
	if r.Queue.Class != operator.ClassUrgent {
		return false
	}
	victim := t.backlog.popNewestBatch()
	if victim == nil {
		return false
	}
	t.withdraw(victim)
	t.settle(victim, problemResult(problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "the queue is full and an urgent request took this request's place").WithRetryAfter(retryHint)))
	return true
}
