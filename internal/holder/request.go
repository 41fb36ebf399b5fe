package holder

import (
	"context"
	"crypto/sha256"
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
	// Deadline is the caller's deadline; zero if there is none.
	Deadline time.Time
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
	r.Deadline, _ = ctx.Deadline()
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
		case <-t.tomb.Dying():
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
		return failed(problem.UnknownOutcome(problem.DeadlineRunning, "ask again with the same ticket", "the deadline passed while the work was running"))
	}
	u.request.delivered = true
	result := u.request.result
	result.Queued = u.request.queued
	return result
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
