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

// Request is a request that a front door sends to the holder.
type Request struct {
	Ticket     ticket.Ticket
	Team       string
	Queue      operator.Queue
	KeyID      string
	Idempotent bool
	Command    string
	Input      []byte
	Size       endpoint.Resources
	// Sole is set if only the sending front door can send the ticket.
	Sole bool
	// Deadline is the caller's deadline, zero if there is none. Run sets it from its context.
	Deadline time.Time
	// NotStartedEpoch is the epoch of a holder that has declared that the request
	// has not started up to and including its own term; 0 if none has.
	NotStartedEpoch uint64
}

// digest returns a digest of what the ticket is used for.
func (r *Request) digest() [sha256.Size]byte {
	return digestOf(r.Team, r.Queue.Name, r.Command, r.Input)
}

// digestOf returns a digest of a request's team, queue, command and input.
func digestOf(team, queue, command string, input []byte) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{team, queue, command} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(input)
	return [sha256.Size]byte(h.Sum(nil))
}

// requestState is the result of a request unit and the state of its waiters. The
// term's lock guards it until done is closed; result does not change after that.
type requestState struct {
	digest [sha256.Size]byte
	// digestKnown is set once digest holds the digest of the ticket's request.
	digestKnown bool
	// waiters counts the callers that wait for the result.
	waiters int
	// delivered is set once the result has been given to a waiter.
	delivered bool
	// sealed is set once a caller may have been told that the ticket has not run, declared
	// once a next holder may have been told so and may run it. Only one of them is set.
	sealed, declared bool
	// done is closed when result is set.
	done   chan struct{}
	result Result
	// queued is how long the request waited for its latest start.
	queued time.Duration
	// ack acknowledges the finished attempt to its endpoint; nil if there is nothing to do.
	ack func()
}

// newRequestState returns the state of a request whose digest is not known and which has no waiter.
func newRequestState() *requestState { return &requestState{done: make(chan struct{})} }

const (
	// expireGrace is how long a request that has passed its deadline waits for the
	// endpoint to report how it ended.
	expireGrace = 250 * time.Millisecond
	// proofTimeout bounds the wait for the proof that this daemon held the zone,
	// which an answer "not run" needs; see confirmNotRun. While nothing is appended, a
	// read of the log takes 500 ms, and only one that begins after the decision proves it.
	proofTimeout = 1200 * time.Millisecond
	// proofPollInterval is the interval at which the proof is looked for.
	proofPollInterval = 20 * time.Millisecond
	// retryHint is the retry delay suggested with refusals for lack of capacity.
	retryHint = 500 * time.Millisecond
)

// Run places a request and waits for its outcome until ctx ends. A request with the
// same ticket as an earlier one waits for the outcome of that one.
func (t *Term) Run(ctx context.Context, r *Request) Result {
	r.Deadline, _ = ctx.Deadline()
	u, p := t.admit(r)
	if p != nil {
		return t.confirmNotRun(ctx, r, problemResult(p))
	}
	select {
	case <-u.request.done:
	case <-ctx.Done():
		if !t.expireRequest(u, ctx.Err()) {
			return unfinished()
		}
	}
	return t.confirmNotRun(ctx, r, t.deliver(u))
}

// confirmNotRun changes verdict "not run" to "unknown" unless the log proves that
// this daemon still held the zone when the result was decided. Otherwise another
// holder may have run a repetition of the request with the same ticket. It waits for
// the next proof from the log. A request whose ticket only one front door
// can send needs no proof. A refusal as moved passes unchanged, since the holder
// declares with it the epoch up to which the request has not started.
func (t *Term) confirmNotRun(ctx context.Context, r *Request, result Result) Result {
	if result.verdict() != problem.NotRun || r.Sole || result.Problem.Code == problem.Moved {
		return result
	}
	if t.waitForProof(ctx, time.Now()) && t.sealRefusal(r.Ticket.String()) {
		return result
	}
	unknown := *result.Problem
	unknown.Verdict = problem.Unknown
	return Result{Problem: &unknown, Queued: result.Queued}
}

// waitForProof waits for proof from the log that this daemon held the zone at the
// instant. It returns false if none comes within proofTimeout or the term ends.
func (t *Term) waitForProof(ctx context.Context, instant time.Time) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proofTimeout)
	defer cancel()
	for !t.heldSince(instant) {
		select {
		case <-ctx.Done():
			return false
		case <-t.tomb.Dying():
			return false
		case <-time.After(proofPollInterval):
		}
	}
	return true
}

// deliver returns the unit's result to one waiter, or a problem if the unit has not
// ended.
func (t *Term) deliver(u *unit) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	u.request.waiters--
	if u.phase != phaseFinal {
		return unfinished()
	}
	u.request.delivered = true
	result := u.request.result
	result.Queued = u.request.queued
	return result
}

// unfinished is the result for a caller that stops waiting before the request has ended.
func unfinished() Result {
	return problemResult(problem.UnknownOutcome(problem.DeadlineRunning, "ask again with the same ticket", "the deadline passed while the work was running"))
}

// newRequestUnit returns the unit of a request. It does not register the unit.
func (t *Term) newRequestUnit(key string, r *Request) *unit {
	u := &unit{
		key:    key,
		workID: key,
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
		deadline: t.deadlineOf(r),
		request:  newRequestState(),
	}
	u.applyQueue(r.Queue)
	u.request.digest, u.request.digestKnown = r.digest(), true
	return u
}

// applyQueue sets the unit's policy from its queue.
func (u *unit) applyQueue(q operator.Queue) {
	u.class = placementClass(q.Class)
	u.priority = q.Priority
	u.preemptible = q.Preemptible
	if u.spec.Idempotent {
		u.retryBudget = q.RetryBudget
	}
}

// placementClass converts a configured class to that of the engine.
func placementClass(c operator.Class) placement.Class {
	switch c {
	case operator.ClassUrgent:
		return placement.ClassUrgent
	case operator.ClassService:
		return placement.ClassService
	}
	return placement.ClassBatch
}
