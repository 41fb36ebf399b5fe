package holder

import (
	"context"
	"crypto/sha256"
	"github.com/pkg/errors"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Request is what a front door asks the holder to run.
type Request struct {
	Ticket     ticket.Ticket
	Team       string
	Queue      operator.Queue
	KeyID      string
	Idempotent bool
	Command    string
	Input      []byte
	Size       endpoint.Resources
	// Sole says that nobody else can send the ticket.
	Sole bool
	// Until is the caller's deadline; zero if there is none.
	Until time.Time
	// NotStartedEpoch is the epoch of a holder that declared that the request
	// has not started up to and including its own term; 0 if none did.
	NotStartedEpoch uint64
}

// digest identifies what the ticket was used for.
func (r *Request) digest() [sha256.Size]byte {
	return digestOf(r.Team, r.Queue.Name, r.Command, r.Input)
}

// digestOf identifies a request by what it asks for.
func digestOf(team, queue, command string, input []byte) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{team, queue, command} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(input)
	return [sha256.Size]byte(h.Sum(nil))
}

// request is the waiting side of a unit. The term's lock guards it until done
// is closed; result does not change after that.
type request struct {
	digest  [sha256.Size]byte
	known   bool
	waiters int
	// delivered is set once the result has been given to a waiter.
	delivered bool
	done      chan struct{}
	result    Result
	queued    time.Duration
	ack       func()
}

// newRequest returns a request whose caller is not known.
func newRequest() *request { return &request{done: make(chan struct{})} }

const (
	// expireGrace is how long an expiring request waits for the endpoint's
	// word on whether it ran.
	expireGrace = 250 * time.Millisecond
	// confirmTimeout bounds the wait for the proof that "not run" needs.
	confirmTimeout = 900 * time.Millisecond
	// confirmPoll is how often the proof is looked for.
	confirmPoll = 20 * time.Millisecond
	// retryHint is given with refusals for lack of room.
	retryHint = 500 * time.Millisecond
)

// Run places a request and waits for its outcome, until ctx ends. The same
// ticket joins the request that has it already.
func (t *Term) Run(ctx context.Context, r *Request) Result {
	r.Until, _ = ctx.Deadline()
	u, p := t.admit(r)
	if p != nil {
		return t.confirm(ctx, r, failed(p))
	}
	select {
	case <-u.request.done:
	case <-ctx.Done():
		t.expire(u, ctx.Err())
	}
	return t.confirm(ctx, r, t.deliver(u))
}

// confirm lets "not run" stand only if this daemon still held the zone when it
// was decided: another holder may have run a second sending of the ticket. It
// waits for the next proof from the log; without one the answer is a doubt. A
// refusal as moved says for itself how far it reaches.
func (t *Term) confirm(ctx context.Context, r *Request, result Result) Result {
	if result.verdict() != problem.NotRun || r.Sole || result.Problem.Code == problem.Moved {
		return result
	}
	if t.heldAt(ctx, time.Now()) {
		return result
	}
	doubt := *result.Problem
	doubt.Verdict = problem.Unknown
	return Result{Problem: &doubt, Queued: result.Queued}
}

// heldAt waits for proof from the log that this daemon held the zone at the
// instant; it reports false if none comes in time.
func (t *Term) heldAt(ctx context.Context, instant time.Time) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	for !t.provenSince(instant) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(confirmPoll):
		}
	}
	return true
}

// deliver hands the result to one waiter.
func (t *Term) deliver(u *unit) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	u.request.waiters--
	if u.phase != phaseFinal {
		return failed(problem.Doubt(problem.DeadlineRunning, "ask again with the same ticket", "the deadline passed while the work was running"))
	}
	u.request.delivered = true
	result := u.request.result
	result.Queued = u.request.queued
	return result
}

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
	if r.Ticket.Epoch > t.epoch || !t.tomb.Alive() || t.moving {
		return nil, problem.Refuse(problem.Moved, "the front door tries the next holder", "this daemon no longer holds the zone").After(retryHint)
	}
	if p := t.refuse(r); p != nil {
		p = t.truthful(r, p)
		t.observeRefusal(r, p)
		return nil, p
	}
	u = t.newRequestUnit(key, r)
	u.ran = !t.neverStarted(r)
	t.units[key] = u
	u.request.waiters++
	if t.neverStarted(r) {
		t.enqueue(u)
	} else if t.gate.passed() {
		t.resolveHeld(u)
	}
	return u, nil
}

// neverStarted reports whether the request can't have started under an earlier
// term: its ticket is of this term, or the previous term has declared so.
func (t *Term) neverStarted(r *Request) bool {
	return r.Ticket.Epoch == t.epoch || (t.previous != 0 && r.NotStartedEpoch == t.previous)
}

// Declares returns the epoch that a "moved" refusal of the request declares:
// it has not started up to and including this term. It is 0 if that is not
// known, as when the ticket may have been forgotten.
func (t *Term) Declares(r *Request) uint64 {
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
		return problem.Doubt(problem.TicketExpired, "check the effect of the request, then send it with a new ticket", "the ticket is too old for its outcome to be known")
	case r.Ticket.Generation > t.registry.generation(now):
		return problem.Refuse(problem.TicketInvalid, "get a ticket from POST /v1/tickets", "the ticket was not given out by this zone")
	}
	return nil
}

// truthful turns the refusal of a request that an earlier term may have run
// into a doubt.
func (t *Term) truthful(r *Request, p *problem.Problem) *problem.Problem {
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
		return nil, problem.Doubt(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a job, which may have run")
	}
	digest := r.digest()
	if u.request.known && u.request.digest != digest {
		return nil, problem.Doubt(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a different request, which may have run")
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
	if p := t.crowded(r); p != nil {
		return p
	}
	if !t.gate.passed() {
		return nil
	}
	verdict := t.engine.Check(t.newRequestUnit("check", r).engineWork())
	if !verdict.Possible {
		return problem.Refuse(problem.NeverRunnable, "ask for no more than the nearest size that fits", "%s; nearest size %+v", verdict.Reason, verdict.Nearest)
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

// crowded refuses a request beyond the bound of its team in the queue or that
// of the zone.
func (t *Term) crowded(r *Request) *problem.Problem {
	waiting := t.line.of(r.Queue.Name, r.Team)
	if r.Queue.MaxWaiting > 0 && waiting >= r.Queue.MaxWaiting {
		return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d requests of the team wait in queue %q already", waiting, r.Queue.Name).After(retryHint)
	}
	if t.line.requests >= t.deps.MaxWaiting() && !t.shed(r) {
		return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d requests wait in the zone already", t.line.requests).After(retryHint)
	}
	return t.hopeless(r, waiting)
}

// hopeless refuses a request that would wait past its deadline at the pace at
// which its team is served in the queue.
func (t *Term) hopeless(r *Request, waiting int) *problem.Problem {
	p := t.paces[lineKey{queue: r.Queue.Name, team: r.Team}]
	until := t.untilOf(r)
	if p == nil || until == 0 {
		return nil
	}
	now := t.now()
	wait, ok := p.wait(now, waiting)
	if !ok || now+wait+p.needed() <= until {
		return nil
	}
	return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff, or with a longer deadline", "%d requests of the team wait in queue %q, about %s", waiting, r.Queue.Name, wait.Round(time.Millisecond)).After(wait)
}

// untilOf is the deadline of a request on the term's clock, 0 if it has none.
func (t *Term) untilOf(r *Request) time.Duration {
	if r.Until.IsZero() {
		return 0
	}
	return max(r.Until.Sub(t.began), 1)
}

// paceOf returns the pace at which a request's team is served in its queue.
func (t *Term) paceOf(u *unit) *pace {
	key := keyOfUnit(u)
	if t.paces[key] == nil {
		t.paces[key] = &pace{}
	}
	return t.paces[key]
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
	victim := t.line.newest()
	if victim == nil {
		return false
	}
	t.withdraw(victim)
	t.settle(victim, failed(problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "urgent work took its place in a full queue").After(retryHint)))
	return true
}

// newRequestUnit makes the unit of a request.
func (t *Term) newRequestUnit(key string, r *Request) *unit {
	u := &unit{
		key:  key,
		work: key,
		spec: endpoint.TaskSpec{
			Ticket:     key,
			Team:       r.Team,
			Queue:      r.Queue.Name,
			Size:       r.Size,
			Idempotent: r.Idempotent,
			Command:    r.Command,
			Input:      r.Input,
		},
		keyID:    r.KeyID,
		enqueued: t.now(),
		until:    t.untilOf(r),
		request:  newRequest(),
	}
	u.applyQueue(r.Queue)
	u.request.digest, u.request.known = r.digest(), true
	return u
}

// applyQueue takes over the policy of the unit's queue.
func (u *unit) applyQueue(q operator.Queue) {
	u.class = classOf(q.Class)
	u.priority = q.Priority
	u.preemptible = q.Preemptible
	if u.spec.Idempotent {
		u.retryBudget = q.RetryBudget
	}
}

// classOf converts a configured class.
func classOf(c operator.Class) placement.Class {
	switch c {
	case operator.ClassUrgent:
		return placement.ClassUrgent
	case operator.ClassService:
		return placement.ClassService
	}
	return placement.ClassBatch
}

// withdraw takes a waiting unit out of the queue.
func (t *Term) withdraw(u *unit) {
	t.engine.Withdraw(u.work, u.key)
	t.line.remove(u)
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

// expired is the truthful refusal of work that waited too long.
func expired(cause error) *problem.Problem {
	if errors.Is(cause, context.DeadlineExceeded) {
		return problem.Refuse(problem.DeadlineQueued, "retry later or with a longer deadline", "the deadline passed before the work could start").After(retryHint)
	}
	return problem.Refuse(problem.Cancelled, "send the request again if it is still wanted", "the caller went away before the work started")
}

// cancelledWaiting is the outcome of work that was cancelled before it ran.
func cancelledWaiting() *problem.Problem {
	return problem.Refuse(problem.Cancelled, "send the request again if it is still wanted", "the work was cancelled before it started")
}

// cancelledRunning is the outcome of work that was cancelled while it ran.
func cancelledRunning() *problem.Problem {
	return problem.Doubt(problem.Cancelled, "check the effect of the work before sending it again", "the work was cancelled after it had started")
}

// CancelRequest cancels the request with the given ticket for its team.
func (t *Term) CancelRequest(key, team string) *problem.Problem {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.units[key]
	if u == nil || u.request == nil || u.spec.Team != team {
		return problem.Doubt(problem.TicketInvalid, "check the ticket and the key", "no request with this ticket is known here")
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
	result = u.truthful(result)
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

// truthful turns "not run" into "unknown" for a unit that may have run in an
// earlier attempt.
func (u *unit) truthful(result Result) Result {
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
