// Package router brings a caller's request to the holder of a zone and its
// outcome back, through changes of holder and lost connections.
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
	// heardWithin is the silence after which a zone counts as without a holder
	// for new work.
	heardWithin = 3 * time.Second
	// holderWait bounds how long new work waits for its zone to get a holder.
	holderWait = 5 * time.Second
	// retryPause is the pause between two attempts to reach a holder.
	retryPause = 50 * time.Millisecond
	// answerGrace is how much longer the front door waits than the holder.
	answerGrace = time.Second
	// movedGrace is how long a call goes on after another claim was read, for
	// the old holder to declare what it has not started.
	movedGrace = 300 * time.Millisecond
	// previousTimeout bounds the question to the previous holder of a zone.
	previousTimeout = 300 * time.Millisecond
	// barTimeout bounds the barring of a ticket.
	barTimeout = 2500 * time.Millisecond
	// probeTimeout bounds a heartbeat that asks for the ticket generation.
	probeTimeout = time.Second
)

// Router routes requests. It is safe for concurrent use.
type Router struct {
	self        peer.Identity
	state       *cell.State
	directory   *membership.Directory
	table       *membership.Table
	clients     *peer.Clients
	heartbeater *peer.Heartbeater
	term        peer.CurrentTerm
	log         *slog.Logger
	claims      claimWatch
	// closing ends when requests in flight have to be answered with what is
	// known of them; Close ends it.
	closing context.Context
	Close   context.CancelFunc
}

// New returns a router for the daemon self.
func New(self peer.Identity, state *cell.State, directory *membership.Directory, table *membership.Table, clients *peer.Clients, heartbeater *peer.Heartbeater, term peer.CurrentTerm, logger *slog.Logger) *Router {
	closing, end := context.WithCancel(context.Background())
	return &Router{self: self, state: state, directory: directory, table: table, clients: clients, heartbeater: heartbeater, term: term, log: logger, closing: closing, Close: end}
}

// Call is a synchronous request that has been admitted.
type Call struct {
	// Ticket is the caller's; nil lets the router make one.
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

// Answer is the outcome of a call. Problem is nil if Output is the whole answer.
type Answer struct {
	Ticket    ticket.Ticket
	Output    []byte
	Problem   *problem.Problem
	QueueTime time.Duration
	// HolderUnreachable is set if the problem was found here, since no holder gave
	// an answer.
	HolderUnreachable bool
}

// noHolder is the refusal when no holder was reached.
func noHolder(zone string) *problem.Problem {
	return problem.Refuse(problem.NoHolder, "retry after the hint", "no daemon that holds zone %q can be reached", zone).WithRetryAfter(heardWithin)
}

// NewTicket makes a ticket for the daemon's own zone.
func (r *Router) NewTicket(ctx context.Context) (ticket.Ticket, *problem.Problem) {
	return r.mint(ctx, r.self.AvailabilityZone)
}

// mint makes a ticket for a zone, waiting a while for the zone's holder.
func (r *Router) mint(ctx context.Context, zone string) (ticket.Ticket, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, holderWait)
	defer cancel()
	for {
		if t, ok := r.tryMint(ctx, zone); ok {
			return t, nil
		}
		if !pause(ctx) {
			return ticket.Ticket{}, noHolder(zone)
		}
	}
}

// tryMint makes a ticket if the zone's holder has been heard of late.
func (r *Router) tryMint(ctx context.Context, zone string) (ticket.Ticket, bool) {
	if term := r.localTerm(zone); term != nil {
		return ticket.New(zone, term.Epoch(), term.Generation()), true
	}
	claim, ok := r.state.Epoch(zone)
	if !ok {
		return ticket.Ticket{}, false
	}
	if heard, generation, ok := r.table.Holder(zone, claim.Epoch); ok && time.Since(heard) < heardWithin && generation > 0 {
		return ticket.New(zone, claim.Epoch, generation), true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := r.heartbeater.Exchange(ctx, r.address(claim)); err != nil {
		return ticket.Ticket{}, false
	}
	_, generation, ok := r.table.Holder(zone, claim.Epoch)
	return ticket.New(zone, claim.Epoch, generation), ok && generation > 0
}

// Run brings a call to its outcome within its deadline. ctx ends when the
// caller goes away.
func (r *Router) Run(ctx context.Context, c *Call) Answer {
	until := time.Now().Add(c.Deadline)
	if c.Ticket != nil {
		return r.runTicket(ctx, c, *c.Ticket, until)
	}
	last := Answer{Problem: noHolder(r.self.AvailabilityZone), HolderUnreachable: true}
	for _, zone := range r.zones(c.Queue.Spill) {
		t, p := r.mintUntil(ctx, zone, until)
		if p != nil {
			last = Answer{Problem: p, HolderUnreachable: ctx.Err() == nil}
			continue
		}
		last = r.runTicket(ctx, c, t, until)
		if last.Problem == nil || !spills(last.Problem) {
			return last
		}
	}
	return last
}

// mintUntil makes a ticket before the deadline.
func (r *Router) mintUntil(ctx context.Context, zone string, until time.Time) (ticket.Ticket, *problem.Problem) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return r.mint(ctx, zone)
}

// spills reports whether a refusal may be different in another zone.
func spills(p *problem.Problem) bool {
	if p.Verdict != problem.NotRun {
		return false
	}
	switch p.Code {
	case problem.QueueFull, problem.NoHolder, problem.ZoneDraining, problem.Moved, problem.NeverRunnable:
		return true
	}
	return false
}

// zones lists where a request may run, the nearest first.
func (r *Router) zones(spill operator.Spill) []string {
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

// attempt is what one call of a holder led to.
type attempt struct {
	response *peerv1.RunResponse
	// sent is false if the request certainly did not reach the holder.
	sent bool
}

// runTicket brings a ticket to its outcome at whoever holds its zone. A ticket
// that the caller brought may have been sent before, and another sending may be
// on its way: it is barred before "not run" is said of it.
func (r *Router) runTicket(ctx context.Context, c *Call, t ticket.Ticket, until time.Time) Answer {
	request := r.request(c, t)
	callers := c.Ticket != nil && *c.Ticket == t
	sent, reached := callers, false
	if answer, answered := r.askPrevious(ctx, t, request); answered {
		return answer
	}
	for {
		a := r.attempt(ctx, request, until)
		sent, reached = sent || a.sent, reached || a.response != nil
		if a.response != nil {
			answer := answerOf(t, a.response)
			if answer.Problem == nil || answer.Problem.Code != problem.Moved {
				return answer
			}
			if a.response.NotStartedEpoch > 0 {
				request.NotStartedEpoch, sent = a.response.NotStartedEpoch, false
			}
		}
		if time.Now().After(until) || !r.pause(ctx) {
			sent = sent || callers && !r.Bar(context.WithoutCancel(ctx), t)
			return Answer{Ticket: t, Problem: outOfTime(t, sent, reached), HolderUnreachable: !reached && ctx.Err() == nil}
		}
	}
}

// askPrevious asks the previous holder of the zone about a ticket of its term:
// it may have the answer, or declare that the request has not started.
func (r *Router) askPrevious(ctx context.Context, t ticket.Ticket, request *peerv1.RunRequest) (answer Answer, answered bool) {
	claim, ok := r.claims.previous(t.AvailabilityZone, t.Epoch)
	if !ok {
		return Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, previousTimeout)
	defer cancel()
	request.DeadlineMs = previousTimeout.Milliseconds()
	response, err := r.clients.To(r.address(claim)).Run(ctx, connect.NewRequest(request))
	if err != nil {
		return Answer{}, false
	}
	answer = answerOf(t, response.Msg)
	if answer.Problem == nil {
		return answer, true
	}
	request.NotStartedEpoch = response.Msg.NotStartedEpoch
	return Answer{}, false
}

// answerOf converts a holder's response.
func answerOf(t ticket.Ticket, m *peerv1.RunResponse) Answer {
	return Answer{
		Ticket:    t,
		Output:    m.Output,
		Problem:   peer.ProblemFromWire(m.Verdict, m.Problem),
		QueueTime: time.Duration(m.QueuedMs) * time.Millisecond,
	}
}

// outOfTime is the truthful answer when the deadline passes here.
func outOfTime(t ticket.Ticket, sent, reached bool) *problem.Problem {
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

// request converts a call for the wire.
func (r *Router) request(c *Call, t ticket.Ticket) *peerv1.RunRequest {
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

// attempt makes one call of the zone's current holder.
func (r *Router) attempt(ctx context.Context, request *peerv1.RunRequest, until time.Time) attempt {
	claim, ok := r.state.Epoch(request.AvailabilityZone)
	if !ok {
		return attempt{}
	}
	request.DeadlineMs = max(time.Until(until).Milliseconds(), 1)
	ctx, cancel := context.WithDeadline(ctx, until.Add(answerGrace))
	defer cancel()
	defer context.AfterFunc(r.closing, cancel)()
	defer context.AfterFunc(r.claims.until(claim), func() { time.AfterFunc(movedGrace, cancel) })()
	response, err := r.clients.To(r.address(claim)).Run(ctx, connect.NewRequest(request))
	if err != nil {
		metrics.PeerFailures.Add(1)
		r.log.Debug("call of a holder failed", "zone", request.AvailabilityZone, "address", claim.Address, "error", err)
		return attempt{sent: !peer.NeverSent(err)}
	}
	return attempt{response: response.Msg, sent: true}
}

// address is where a zone's holder is reached.
func (r *Router) address(claim zone.Claim) string {
	return r.directory.Resolve(claim.Holder, claim.Address)
}

// localTerm returns the term that runs in this daemon for a zone, or nil.
func (r *Router) localTerm(zone string) *holder.Term {
	if zone != r.self.AvailabilityZone {
		return nil
	}
	return r.term()
}

// pause waits between two attempts; it reports false if ctx or the router ends
// first.
func (r *Router) pause(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.closing, cancel)()
	return pause(ctx)
}

// pause waits between two attempts; it reports false if ctx ends first.
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
