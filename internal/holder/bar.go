package holder

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

// ticketClosing is the reason for which a ticket was closed before any request with it
// was queued. A closed ticket has not run and never will.
type ticketClosing int

const (
	notClosed ticketClosing = iota
	// closedByFrontDoor is the closing of a barred ticket; callers without a key can cause it.
	closedByFrontDoor
	// closedByRefusal is the closing of a ticket whose request was refused at admission.
	closedByRefusal
)

// maxClosedTickets bounds the closed tickets that are remembered, by reason.
var maxClosedTickets = map[ticketClosing]int{closedByFrontDoor: 10_000, closedByRefusal: 20_000}

// BarTicket bars a ticket: it reports whether the ticket has certainly not run, and
// ensures that it never will. A front door that refuses a request with a ticket
// calls it before it answers "not run", since another request with the same ticket
// may be in flight.
//
// notStarted is the epoch of the previous holder if that holder has declared that
// the request has not started, as Request.NotStartedEpoch; otherwise 0.
func (t *Term) BarTicket(ctx context.Context, tk ticket.Ticket, notStarted uint64) bool {
	return t.barLocally(&Request{Ticket: tk, NotStartedEpoch: notStarted}) && t.waitForProof(ctx, time.Now()) && t.sealRefusal(tk.String())
}

// TicketNotStartedThrough returns the epoch up to and including which a ticket has
// not started, as NotStartedThrough does, for a term that has ended. It returns 0
// if the ticket may have run.
func (t *Term) TicketNotStartedThrough(tk ticket.Ticket) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Request{Ticket: tk}
	u := t.units[tk.String()]
	if u == nil {
		return t.NotStartedThrough(r)
	}
	if u.request == nil || u.phase != phaseFinal || u.mayHaveRun || u.request.result.verdict() != problem.NotRun || u.request.sealed {
		return 0
	}
	u.request.declared = true
	return t.NotStartedThrough(r)
}

// sealRefusal excludes that the next holder runs a ticket that a caller is told has not run.
// It returns false if the ticket has been declared to the next holder already.
func (t *Term) sealRefusal(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.units[key]
	if u == nil || u.request == nil {
		return true
	}
	u.request.sealed = !u.request.declared
	return u.request.sealed
}

// barLocally does the work of BarTicket as far as this term's own state goes. It
// does not prove that this daemon still holds the zone.
func (t *Term) barLocally(r *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := r.Ticket.String()
	if u := t.units[key]; u != nil {
		return u.request != nil && u.phase == phaseFinal && u.request.result.verdict() == problem.NotRun && u.close()
	}
	if !t.neverStarted(r) || t.checkGeneration(r) != nil || t.handingOver || !t.tomb.Alive() {
		return false
	}
	return t.closeTicket(key, closedByFrontDoor, problem.Refuse(problem.Cancelled, "get a new ticket", "a request with this ticket was refused before"))
}

// closeTicket makes every later sending of a ticket that has not run get the refusal. It
// returns false if too many closed tickets are remembered. The caller holds the term's lock.
func (t *Term) closeTicket(key string, reason ticketClosing, refusal *problem.Problem) bool {
	if t.closedTickets[reason] >= maxClosedTickets[reason] {
		return false
	}
	t.closedTickets[reason]++
	u := &unit{key: key, workID: key, class: placement.ClassBatch, phase: phaseFinal, request: newRequestState(), closing: reason}
	u.request.result = problemResult(refusal)
	u.request.delivered = true
	close(u.request.done)
	t.units[key] = u
	t.registry.recordEnded(key, t.now())
	return true
}

// close ensures that a unit that has not run is not started for a later
// request with its ticket. It always returns true, so that it can end
// a condition.
func (u *unit) close() bool {
	u.request.delivered = true
	return true
}
