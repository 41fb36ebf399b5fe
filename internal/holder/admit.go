package holder

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/operator"
)

// admit finds or makes the unit of a request and counts the caller as waiting.
func (t *Term) admit(r *Request) (*unit, *problem.Problem) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := r.Ticket.String()
	u := t.units[key]
	if u != nil && !u.restartable() {
		return t.join(u, r)
	}
	if p := t.outOfDate(r); p != nil {
		return nil, p
	}
	if r.Ticket.Epoch > t.epoch || !t.tomb.Alive() || t.handingOver {
		return nil, problem.Refuse(problem.Moved, "the front door tries the next holder", "this daemon no longer holds the zone").WithRetryAfter(retryHint)
	}
	if p := t.refuse(r); p != nil {
		p = t.adjustVerdict(r, p)
		t.observeRefusal(r, p)
		return nil, p
	}
	u = t.newRequestUnit(key, r)
	u.ran = !t.neverStarted(r)
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
// term: its ticket is of this term, or the previous term has declared so.
func (t *Term) neverStarted(r *Request) bool {
	return r.Ticket.Epoch == t.epoch || (t.previous != 0 && r.NotStartedEpoch == t.previous)
}

// NotStartedThrough returns the epoch that a "moved" refusal of the request declares:
// it has not started up to and including this term. It is 0 if that is not
// known, as when the ticket may have been forgotten.
func (t *Term) NotStartedThrough(r *Request) uint64 {
	if t.neverStarted(r) && t.outOfDate(r) == nil {
		return t.epoch
	}
	return 0
}

// outOfDate refuses a ticket of this term that may have been forgotten, or
// that this term can't have given out yet.
func (t *Term) outOfDate(r *Request) *problem.Problem {
	now := t.now()
	switch {
	case r.Ticket.Epoch != t.epoch:
		return nil
	case t.registry.expired(r.Ticket.Generation, now):
		return problem.UnknownOutcome(problem.TicketExpired, "check the effect of the request, then send it with a new ticket", "the ticket is too old for its outcome to be known")
	case r.Ticket.Generation > t.registry.generation(now):
		return problem.Refuse(problem.TicketInvalid, "get a ticket from POST /v1/tickets", "the ticket was not given out by this zone")
	}
	return nil
}

// adjustVerdict turns the refusal of a request that an earlier term may have run
// into a doubt.
func (t *Term) adjustVerdict(r *Request, p *problem.Problem) *problem.Problem {
	if t.neverStarted(r) {
		return p
	}
	doubt := *p
	doubt.Verdict = problem.Unknown
	return &doubt
}

// restartable reports whether a unit ended without running and without anyone
// having been told, as when the front door died while it waited.
func (u *unit) restartable() bool {
	return u.phase == phaseFinal && !u.request.delivered && u.request.waiters == 0 &&
		u.request.result.verdict() == problem.NotRun
}

// join adds a caller to a request that has the same ticket.
func (t *Term) join(u *unit, r *Request) (*unit, *problem.Problem) {
	if u.request == nil {
		return nil, problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a job, which may have run")
	}
	digest := r.digest()
	if u.request.known && u.request.digest != digest {
		return nil, problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a different request, which may have run")
	}
	u.request.digest, u.request.known = digest, true
	u.request.waiters++
	u.until = max(u.until, t.untilOf(r))
	return u, nil
}

// refuse says why a new request can't be taken.
func (t *Term) refuse(r *Request) *problem.Problem {
	if p := t.draining(); p != nil {
		return p
	}
	if p := t.overBound(r); p != nil {
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

// draining refuses new work while the operators drain the zone.
func (t *Term) draining() *problem.Problem {
	cfg, _ := t.deps.Journal.State().Config()
	if cfg == nil {
		return nil
	}
	for _, z := range cfg.Zones {
		if z.Name == t.settings.AvailabilityZone && z.Drain {
			return problem.Refuse(problem.ZoneDraining, "send it to another zone", "the operators drain zone %q", z.Name)
		}
	}
	return nil
}

// overBound refuses a request beyond the bound of its team in the queue or that
// of the zone.
func (t *Term) overBound(r *Request) *problem.Problem {
	waiting := t.backlog.of(r.Queue.Name, r.Team)
	if r.Queue.MaxWaiting > 0 && waiting >= r.Queue.MaxWaiting {
		return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d requests of the team wait in queue %q already", waiting, r.Queue.Name).WithRetryAfter(retryHint)
	}
	if t.backlog.requests >= t.deps.MaxWaiting() && !t.shed(r) {
		return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d requests wait in the zone already", t.backlog.requests).WithRetryAfter(retryHint)
	}
	return t.missesDeadline(r, waiting)
}

// missesDeadline refuses a request that would wait past its deadline at the pace at
// which its team is served in the queue.
func (t *Term) missesDeadline(r *Request, waiting int) *problem.Problem {
	p := t.rates[backlogKey{queue: r.Queue.Name, team: r.Team}]
	until := t.untilOf(r)
	if p == nil || until == 0 {
		return nil
	}
	now := t.now()
	wait, ok := p.wait(now, waiting)
	if !ok || now+wait+p.needed() <= until {
		return nil
	}
	return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff, or with a longer deadline", "%d requests of the team wait in queue %q, about %s", waiting, r.Queue.Name, wait.Round(time.Millisecond)).WithRetryAfter(wait)
}

// untilOf is the deadline of a request on the term's clock, 0 if it has none.
func (t *Term) untilOf(r *Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(r.Deadline.Sub(t.began), 1)
}

// rateOf returns the pace at which a request's team is served in its queue.
func (t *Term) rateOf(u *unit) *serviceRate {
	key := keyOfUnit(u)
	if t.rates[key] == nil {
		t.rates[key] = &serviceRate{}
	}
	return t.rates[key]
}

// observeRefusal tells the observer of a request that was never queued.
func (t *Term) observeRefusal(r *Request, p *problem.Problem) {
	if t.deps.Observer != nil {
		t.deps.Observer.Answered(r.Team, r.Queue.Name, p.Verdict, p.Code)
	}
}

// shed makes room for an urgent request by refusing the batch request that
// came last.
func (t *Term) shed(r *Request) bool {
	if r.Queue.Class != operator.ClassUrgent {
		return false
	}
	victim := t.backlog.newest()
	if victim == nil {
		return false
	}
	t.withdraw(victim)
	t.settle(victim, failed(problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "urgent work took its place in a full queue").WithRetryAfter(retryHint)))
	return true
}
