package holder

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

// maxBarredTickets bounds the barred tickets that are remembered, since callers
// without a key can cause a ticket to be barred.
const maxBarredTickets = 10_000

// BarTicket bars a ticket: it reports whether the ticket has certainly not run, and
// ensures that it never will. A front door that refuses a request with a ticket
// calls it before it answers "not run", since another request with the same ticket
// may be in flight.
//
// notStarted is the epoch of the previous holder if that holder has declared that
// the request has not started, as Request.NotStartedEpoch; otherwise 0.
func (t *Term) BarTicket(ctx context.Context, tk ticket.Ticket, notStarted uint64) bool {
	return t.barLocally(&Request{Ticket: tk, NotStartedEpoch: notStarted}) && t.waitForProof(ctx, time.Now())
}

// TicketNotStartedThrough returns the epoch up to and including which a ticket has
// not started, as NotStartedThrough does, for a term that has ended. It returns 0
// if the ticket may have run.
func (t *Term) TicketNotStartedThrough(tk ticket.Ticket) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Request{Ticket: tk}
	u := t.units[tk.String()]
	if u != nil && (u.request == nil || u.phase != phaseFinal || u.mayHaveRun || u.request.result.verdict() != problem.NotRun) {
		return 0
	}
	return t.NotStartedThrough(r)
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
	if !t.neverStarted(r) || t.checkGeneration(r) != nil || t.handingOver || t.barredTickets >= maxBarredTickets || !t.tomb.Alive() {
		return false
	}
	t.barredTickets++
	u := &unit{key: key, workID: key, class: placement.ClassBatch, phase: phaseFinal, request: newRequestState()}
	u.request.result = problemResult(problem.Refuse(problem.Cancelled, "get a new ticket", "a request with this ticket was refused before"))
	u.request.delivered, u.barred = true, true
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
