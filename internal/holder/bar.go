package holder

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

// maxBarred bounds the tickets that are barred and not yet forgotten, since
// callers without a key can ask for it.
const maxBarred = 10_000

// BarTicket reports whether a ticket has certainly not run, and makes sure that it
// never will. A front door that refuses a request with a ticket asks for it
// before it answers "not run": another sending may be on its way.
//
// notStarted is the epoch of the previous holder if that has declared that the
// request has not started, as in Request.
func (t *Term) BarTicket(ctx context.Context, tk ticket.Ticket, notStarted uint64) bool {
	return t.bar(&Request{Ticket: tk, NotStartedEpoch: notStarted}) && t.heldAt(ctx, time.Now())
}

// TicketNotStartedThrough returns the epoch that an ended term declares for a ticket, as
// Declares does; 0 if the ticket may have run.
func (t *Term) TicketNotStartedThrough(tk ticket.Ticket) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Request{Ticket: tk}
	u := t.units[tk.String()]
	if u != nil && (u.request == nil || u.phase != phaseFinal || u.ran || u.request.result.verdict() != problem.NotRun) {
		return 0
	}
	return t.NotStartedThrough(r)
}

// bar is Bar as far as this term knows.
func (t *Term) bar(r *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := r.Ticket.String()
	if u := t.units[key]; u != nil {
		return u.request != nil && u.phase == phaseFinal && u.request.result.verdict() == problem.NotRun && u.close()
	}
	if !t.neverStarted(r) || t.outOfDate(r) != nil || t.handingOver || t.barred >= maxBarred || !t.tomb.Alive() {
		return false
	}
	t.barred++
	u := &unit{key: key, work: key, class: placement.ClassBatch, phase: phaseFinal, request: newRequest()}
	u.request.result = failed(problem.Refuse(problem.Cancelled, "get a new ticket", "a request with this ticket was refused before"))
	u.request.delivered, u.barred = true, true
	close(u.request.done)
	t.units[key] = u
	t.registry.settled(key, t.now())
	return true
}

// close keeps a unit that has not run from being started for a later sending.
func (u *unit) close() bool {
	u.request.delivered = true
	return true
}
