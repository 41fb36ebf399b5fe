package holder

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// A request that is refused for lack of room waits for a proof before it is answered.
// Another sending of its ticket must not start meanwhile.
func TestRefusedTicketDoesNotStartWhileTheRefusalIsProven(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		withTestZone(t, func(t *testing.T, w *testZone) {
			w.waitUntil(func() bool { return w.usable("r1") })
			r := runnerRequest(w.newTicket(), "echo", "once", idempotent)
			w.setFull(true)
			refused := make(chan Result, 1)
			go func() { refused <- w.frontDoor(t.Context(), *r, 4*time.Second) }()
			time.Sleep(time.Millisecond)
			w.setFull(false)
			second := make(chan Result, 1)
			go func() { second <- w.frontDoor(t.Context(), *r, 4*time.Second) }()
			first, other := <-refused, <-second
			if first.verdict() != problem.NotRun || w.startCount() > 0 {
				t.Errorf("answered %q and %q, %d starts", first.verdict(), other.verdict(), w.startCount())
			}
		})
	}
}

// A sending of a refused ticket that arrives after the refusal must not start, under this
// term or the next.
func TestRefusedTicketStaysRefused(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		w.waitUntil(func() bool { return w.usable("r1") })
		r := runnerRequest(w.newTicket(), "echo", "once", false)
		w.setFull(true)
		if result := w.frontDoor(t.Context(), *r, 4*time.Second); result.verdict() != problem.NotRun || result.Problem.Code != problem.QueueFull {
			t.Fatalf("got %+v", result.Problem)
		}
		w.setFull(false)
		if result := w.frontDoor(t.Context(), *r, 4*time.Second); result.verdict() == problem.Done || w.startCount() > 0 {
			t.Errorf("the late sending got %+v", result)
		}
		first := w.current()
		w.takeOver()
		first.term.Stop(ErrSuperseded)
		late := *r
		late.NotStartedEpoch = first.term.TicketNotStartedThrough(r.Ticket)
		if result := w.frontDoor(t.Context(), late, 4*time.Second); result.verdict() == problem.Done || w.startCount() > 0 {
			t.Errorf("the next holder answered %+v after %d starts", result, w.startCount())
		}
	})
}

// Refusals of tickets that can't be closed any more are not said to be certain.
func TestRefusalBeyondTheClosedTicketsIsUnknown(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		w.waitUntil(func() bool { return w.usable("r1") })
		w.setFull(true)
		term := w.current().term
		term.mu.Lock()
		term.closedTickets[closedByRefusal] = maxClosedTickets[closedByRefusal]
		term.mu.Unlock()
		r := runnerRequest(w.newTicket(), "echo", "once", false)
		if result := w.frontDoor(t.Context(), *r, 4*time.Second); result.verdict() != problem.Unknown {
			t.Errorf("got %+v", result.Problem)
		}
		r.Sole = true
		if result := w.frontDoor(t.Context(), *r, 4*time.Second); result.verdict() != problem.NotRun {
			t.Errorf("a sole ticket got %+v", result.Problem)
		}
	})
}

// A bar that could not be proven is declared to the next holder, which can bar the ticket;
// one that was proven is not, since the next holder would run another sending of it.
func TestOnlyUnprovenBarsAreDeclared(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		first := w.current()
		proven, unproven := w.newTicket(), w.newTicket()
		if !first.term.BarTicket(t.Context(), proven, 0) {
			t.Fatal("the ticket was not barred")
		}
		w.takeOver()
		first.term.Stop(ErrSuperseded)
		if first.term.BarTicket(t.Context(), unproven, 0) {
			t.Error("an ended term barred a ticket")
		}
		if first.term.TicketNotStartedThrough(proven) != 0 || first.term.TicketNotStartedThrough(unproven) != first.term.Epoch() {
			t.Error("the proven bar was declared, or the other one was not")
		}
	})
}
