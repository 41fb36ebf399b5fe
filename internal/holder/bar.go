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

// Bar reports whether a ticket has certainly not run, and makes sure that it
// never will. A front door that refuses a request with a ticket asks for it
// before it answers "not run": another sending may be on its way.
func (t *Term) Bar(ctx context.Context, tk ticket.Ticket) bool {
	return t.bar(tk) && t.heldAt(ctx, time.Now())
}

// bar is Bar as far as this term knows.
func (t *Term) bar(tk ticket.Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := tk.String()
	if u := t.units[key]; u != nil {
		return u.request != nil && u.phase == phaseFinal && u.request.result.verdict() == problem.NotRun && u.close()
	}
	r := &Request{Ticket: tk}
	if !t.neverStarted(r) || t.outOfDate(r) != nil || t.barred >= maxBarred || !t.tomb.Alive() {
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
