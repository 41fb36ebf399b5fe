// Package router forwards requests to the holder of an availability zone and
// returns their outcome. It retries across changes of holder and lost
// connections.
package router

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"
	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/holder"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/bluebellstile/bluebellstile/internal/zone"
	"github.com/bluebellstile/bluebellstile/operator"
)

const (
	// holderSilenceLimit is the time without a heartbeat from a zone's holder
	// after which the holder is probed before a new ticket is made for the zone.
	// It is also the retry hint if no holder is reached.
	holderSilenceLimit = 3 * time.Second
	// holderWait bounds how long new work waits until its zone has a holder.
	holderWait = 5 * time.Second
	// retryPause is the delay between two attempts to reach a holder.
	retryPause = 50 * time.Millisecond
	// responseGrace is how much longer the router waits for a response than the
	// deadline it gives to the holder.
	responseGrace = time.Second
	// handoverGrace is how long a call to a holder continues after a later claim
	// was read, so that the old holder can declare what it has not started.
	handoverGrace = 300 * time.Millisecond
	// previousHolderTimeout bounds the call to the previous holder of a zone.
	previousHolderTimeout = 300 * time.Millisecond
	// barTimeout bounds Bar.
	barTimeout = 2500 * time.Millisecond
	// probeTimeout bounds a heartbeat that queries the ticket generation.
	probeTimeout = time.Second
)

// Router routes requests to the holders of availability zones. The holder of a
// zone is the daemon that currently schedules its work. A Router is safe for
// concurrent use.
type Router struct {
	self        peer.Identity
	state       *cell.State
	directory   *membership.Directory
	table       *membership.Table
	clients     *peer.Clients
	heartbeater *peer.Heartbeater
	term        peer.CurrentTerm
	log         *slog.Logger
	claims      claimTracker
	// closing is done once Close has been called.
	closing context.Context
	// Close ends all waiting: requests in flight are answered at once with what
	// is known of them.
	Close context.CancelFunc
}

// New returns a router for the daemon with identity self.
func New(self peer.Identity, state *cell.State, directory *membership.Directory, table *membership.Table, clients *peer.Clients, heartbeater *peer.Heartbeater, term peer.CurrentTerm, logger *slog.Logger) *Router {
	closing, end := context.WithCancel(context.Background())
	return &Router{self: self, state: state, directory: directory, table: table, clients: clients, heartbeater: heartbeater, term: term, log: logger, closing: closing, Close: end}
}

// Call is a synchronous request that has been admitted.
type Call struct {
	// Ticket is the ticket that the caller provided, or nil if the router is to
	// create one.
	Ticket     *ticket.Ticket
	Team       string
	KeyID      string
	Queue      operator.Queue
	Idempotent bool
	Command    string
	Input      []byte
	Size       endpoint.Resources
	Deadline   time.Duration
}

// Answer is the outcome of a call. Problem is nil if the call succeeded.
type Answer struct {
	Ticket    ticket.Ticket
	Output    []byte
	Problem   *problem.Problem
	QueueTime time.Duration
	// HolderUnreachable is set if Problem was determined here because no holder
	// answered.
	HolderUnreachable bool
}

// noHolder returns the problem for a zone whose holder was not reached.
func noHolder(zone string) *problem.Problem {
	return problem.Refuse(problem.NoHolder, "retry after the hint", "no daemon that holds zone %q can be reached", zone).WithRetryAfter(holderSilenceLimit)
}

// NewTicket creates a ticket for the daemon's own zone. It waits up to holderWait
// for the zone's holder.
func (r *Router) NewTicket(ctx context.Context) (ticket.Ticket, *problem.Problem) {
	return r.newTicketFor(ctx, r.self.AvailabilityZone)
}

// newTicketFor creates a ticket for a zone. It waits up to holderWait for the
// zone's holder.
func (r *Router) newTicketFor(ctx context.Context, zone string) (ticket.Ticket, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, holderWait)
	defer cancel()
	for {
		if t, ok := r.tryNewTicket(ctx, zone); ok {
			return t, nil
		}
		if !pause(ctx) {
			return ticket.Ticket{}, noHolder(zone)
		}
	}
}

// tryNewTicket creates a ticket if the zone's holder has sent a heartbeat within
// holderSilenceLimit or answers a probe.
func (r *Router) tryNewTicket(ctx context.Context, zone string) (ticket.Ticket, bool) {
	if term := r.localTerm(zone); term != nil {
		return ticket.New(zone, term.Epoch(), term.Generation()), true
	}
	claim, ok := r.state.Claim(zone)
	if !ok {
		return ticket.Ticket{}, false
	}
	if heard, generation, ok := r.table.Holder(zone, claim.Epoch); ok && time.Since(heard) < holderSilenceLimit && generation > 0 {
		return ticket.New(zone, claim.Epoch, generation), true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := r.heartbeater.Exchange(ctx, r.holderAddress(claim)); err != nil {
		return ticket.Ticket{}, false
	}
	_, generation, ok := r.table.Holder(zone, claim.Epoch)
	return ticket.New(zone, claim.Epoch, generation), ok && generation > 0
}

// Run executes a call and returns its outcome within its deadline. If the queue
// allows it, a request without a ticket is tried in other zones if it has not run
// in the nearest. ctx ends when the caller disconnects.
func (r *Router) Run(ctx context.Context, c *Call) Answer {
	deadline := time.Now().Add(c.Deadline)
	if c.Ticket != nil {
		return r.runTicket(ctx, c, *c.Ticket, deadline)
	}
	last := Answer{Problem: noHolder(r.self.AvailabilityZone), HolderUnreachable: true}
	for _, zone := range r.candidateZones(c.Queue.Spill) {
		t, p := r.newTicketBefore(ctx, zone, deadline)
		if p != nil {
			last = Answer{Problem: p, HolderUnreachable: ctx.Err() == nil}
			continue
		}
		last = r.runTicket(ctx, c, t, deadline)
		if last.Problem == nil || !mayRunInOtherZone(last.Problem) {
			return last
		}
	}
	return last
}

// newTicketBefore is newTicketFor with a deadline.
func (r *Router) newTicketBefore(ctx context.Context, zone string, deadline time.Time) (ticket.Ticket, *problem.Problem) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return r.newTicketFor(ctx, zone)
}

// mayRunInOtherZone reports whether a request that was refused with p may be
// accepted in another zone.
func mayRunInOtherZone(p *problem.Problem) bool {
	if p.Verdict != problem.NotRun {
		return false
	}
	switch p.Code {
	case problem.QueueFull, problem.NoHolder, problem.ZoneDraining, problem.Moved, problem.NeverRunnable:
		return true
	}
	return false
}

// candidateZones returns the zones in which a request may run, the nearest first.
// spill limits them to the daemon's own zone, to its region, or not at all. Other
// zones are left out while they are drained.
func (r *Router) candidateZones(spill operator.Spill) []string {
	out := []string{r.self.AvailabilityZone}
	cfg, _ := r.state.Config()
	if cfg == nil || spill == operator.SpillStay || spill == "" {
		return out
	}
	var remote []string
	for _, z := range cfg.Zones {
		switch {
		case z.Name == r.self.AvailabilityZone || z.Drain:
		case z.Region == r.self.Region:
			out = append(out, z.Name)
		default:
			remote = append(remote, z.Name)
		}
	}
	if spill == operator.SpillAny {
		out = append(out, remote...)
	}
	return out
}

// callResult is the result of one call to a holder.
type callResult struct {
	response *peerv1.RunResponse
	// sent is false if the request certainly did not reach the holder.
	sent bool
}

// runTicket runs the request with a ticket at the current holder of the ticket's
// zone, across changes of holder, until there is an outcome or the deadline
// passes. A ticket that the caller provided may have been sent before, and another
// transmission may still be in flight, so it is barred before the answer is
// "not run".
func (r *Router) runTicket(ctx context.Context, c *Call, t ticket.Ticket, deadline time.Time) Answer {
	request := r.newRunRequest(c, t)
	fromCaller := c.Ticket != nil && *c.Ticket == t
	sent, reached := fromCaller, false
	if answer, answered := r.askPreviousHolder(ctx, t, request); answered {
		return answer
	}
	for {
		result := r.callHolder(ctx, request, deadline)
		sent, reached = sent || result.sent, reached || result.response != nil
		if result.response != nil {
			answer := answerFromResponse(t, result.response)
			if answer.Problem == nil || answer.Problem.Code != problem.Moved {
				return answer
			}
			if result.response.NotStartedEpoch > 0 {
				request.NotStartedEpoch, sent = result.response.NotStartedEpoch, false
			}
		}
		if time.Now().After(deadline) || !r.waitRetry(ctx) {
			sent = sent || fromCaller && !r.Bar(context.WithoutCancel(ctx), t)
			return Answer{Ticket: t, Problem: deadlineProblem(t, sent, reached), HolderUnreachable: !reached && ctx.Err() == nil}
		}
	}
}

// askPreviousHolder asks the previous holder of the zone about a ticket of its
// term. It may have the answer or declare that the request has not started.
func (r *Router) askPreviousHolder(ctx context.Context, t ticket.Ticket, request *peerv1.RunRequest) (answer Answer, answered bool) {
	claim, ok := r.claims.previous(t.AvailabilityZone, t.Epoch)
	if !ok {
		return Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, previousHolderTimeout)
	defer cancel()
	request.DeadlineMs = previousHolderTimeout.Milliseconds()
	response, err := r.clients.To(r.holderAddress(claim)).Run(ctx, connect.NewRequest(request))
	if err != nil {
		return Answer{}, false
	}
	answer = answerFromResponse(t, response.Msg)
	if answer.Problem == nil {
		return answer, true
	}
	request.NotStartedEpoch = response.Msg.NotStartedEpoch
	return Answer{}, false
}

// answerFromResponse converts a holder's response to an Answer.
func answerFromResponse(t ticket.Ticket, m *peerv1.RunResponse) Answer {
	return Answer{
		Ticket:    t,
		Output:    m.Output,
		Problem:   peer.ProblemFromWire(m.Verdict, m.Problem),
		QueueTime: time.Duration(m.QueuedMs) * time.Millisecond,
	}
}

// deadlineProblem returns the problem to report when the deadline passes in the
// router. sent means that a holder may have received the request, reached that a
// holder has responded.
func deadlineProblem(t ticket.Ticket, sent, reached bool) *problem.Problem {
	switch {
	case sent && reached:
		return problem.UnknownOutcome(problem.DeadlineRunning, "ask again with the same ticket", "the deadline passed while the outcome was not known")
	case sent:
		return problem.UnknownOutcome(problem.OutcomeLost, "ask again with the same ticket", "the holder of zone %q did not answer before the deadline", t.AvailabilityZone)
	case reached:
		return problem.Refuse(problem.DeadlineQueued, "retry later or with a longer deadline", "the deadline passed before the work could start").WithRetryAfter(retryPause)
	}
	return noHolder(t.AvailabilityZone)
}

// newRunRequest returns the wire message for a call.
func (r *Router) newRunRequest(c *Call, t ticket.Ticket) *peerv1.RunRequest {
	_, version := r.state.Config()
	return &peerv1.RunRequest{
		Ticket:           t.String(),
		Epoch:            t.Epoch,
		AvailabilityZone: t.AvailabilityZone,
		Team:             c.Team,
		Queue:            c.Queue.Name,
		KeyId:            c.KeyID,
		Idempotent:       c.Idempotent,
		Command:          c.Command,
		Input:            c.Input,
		Size:             peer.SizeToWire(c.Size),
		ConfigVersion:    version,
		Sole:             c.Ticket == nil,
	}
}

// callHolder makes one call to the zone's current holder.
func (r *Router) callHolder(ctx context.Context, request *peerv1.RunRequest, deadline time.Time) callResult {
	claim, ok := r.state.Claim(request.AvailabilityZone)
	if !ok {
		return callResult{}
	}
	request.DeadlineMs = max(time.Until(deadline).Milliseconds(), 1)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	defer context.AfterFunc(r.closing, cancel)()
	defer context.AfterFunc(r.claims.contextFor(claim), func() { time.AfterFunc(handoverGrace, cancel) })()
	response, err := r.clients.To(r.holderAddress(claim)).Run(ctx, connect.NewRequest(request))
	if err != nil {
		metrics.PeerFailures.Add(1)
		r.log.Debug("call to a holder failed", "zone", request.AvailabilityZone, "address", claim.Address, "error", err)
		return callResult{sent: !peer.NotSent(err)}
	}
	return callResult{response: response.Msg, sent: true}
}

// holderAddress returns the address at which the holder of a claim is reached.
func (r *Router) holderAddress(claim zone.Claim) string {
	return r.directory.Resolve(claim.Holder, claim.Address)
}

// localTerm returns the term that runs in this daemon for a zone, or nil.
func (r *Router) localTerm(zone string) *holder.Term {
	if zone != r.self.AvailabilityZone {
		return nil
	}
	return r.term()
}

// waitRetry waits retryPause between two attempts. It returns false if ctx ends or
// the router is closed first.
func (r *Router) waitRetry(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.closing, cancel)()
	return pause(ctx)
}

// pause waits retryPause between two attempts. It returns false if ctx ends first.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
