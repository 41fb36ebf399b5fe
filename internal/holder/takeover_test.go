package holder

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

// withTestZone runs f in a synctest bubble, in a zone with one holder.
func withTestZone(t *testing.T, f func(t *testing.T, w *testZone)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestZone(t)
		defer w.close()
		w.takeOver()
		f(t, w)
	})
}

// waitStarted waits until an endpoint has started a task.
func (w *testZone) waitStarted() {
	w.waitUntil(func() bool { return w.startCount() > 0 })
}

// startCount returns the number of task starts that endpoints have reported.
func (w *testZone) startCount() int {
	n := 0
	for _, e := range w.events.all() {
		if e.Kind == "task_started" {
			n++
		}
	}
	return n
}

func TestRequestIsAnswered(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		result := w.frontDoor(t.Context(), *runnerRequest(w.newTicket(), "echo", "a long answer in several parts", false), 10*time.Second)
		if string(result.Output) != "a long answer in several parts" {
			t.Errorf("got %+v", result)
		}
	})
}

func TestAnswerSurvivesTakeover(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		r := runnerRequest(w.newTicket(), "sleep", "3s", false)
		done := make(chan Result, 1)
		go func() { done <- w.frontDoor(t.Context(), *r, 20*time.Second) }()
		w.waitStarted()
		first := w.current()
		w.takeOver()
		first.term.Stop(ErrSuperseded)
		if result := <-done; string(result.Output) != "slept 3s" || w.startCount() != 1 {
			t.Errorf("got %+v after %d starts", result, w.startCount())
		}
	})
}

// A ticket that has run and was forgotten must be answered "unknown", also by a term that is
// about to end: the next holder relies on its declaration.
func TestForgottenTicketIsNotDeclaredUnstarted(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		r := runnerRequest(w.newTicket(), "echo", "once", false)
		if result := w.frontDoor(t.Context(), *r, 10*time.Second); result.Problem != nil {
			t.Fatal(result.Problem)
		}
		time.Sleep((generationsKept + 4) * generationLength)
		old := w.current()
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		result := old.term.Run(t.Context(), r)
		if result.verdict() != problem.Unknown {
			t.Errorf("a ticket that has run is answered %v", result.Problem)
		}
		retry := *r
		if result.verdict() == problem.NotRun {
			retry.NotStartedEpoch = old.term.NotStartedThrough(r)
		}
		w.frontDoor(t.Context(), retry, 10*time.Second)
		if w.startCount() != 1 {
			t.Errorf("non-idempotent work was started %d times", w.startCount())
		}
	})
}

// A request of an earlier term may be running on an endpoint that this term has not attached
// to yet, so a refusal because the queue is full can't say "not run".
func TestRefusalOfEarlierTicketIsUnknown(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			withTestZone(t, func(t *testing.T, w *testZone) {
				r := runnerRequest(w.newTicket(), "sleep", "20s", idempotent)
				w.callers.Go(func() { w.frontDoor(t.Context(), *r, time.Second) })
				w.waitStarted()
				for _, e := range w.endpoints {
					e.setFaults(func(e *testEndpoint) { e.dropAll = true })
				}
				old := w.current()
				w.maxWaiting = 0
				w.takeOver()
				old.term.Stop(ErrSuperseded)
				result := w.frontDoor(t.Context(), *r, time.Second)
				if result.verdict() == problem.NotRun {
					t.Errorf("running work is answered %v", result.Problem)
				}
			})
		})
	}
}

// An idempotent request that ran under an earlier term and is queued again must not be
// answered "not run" when its deadline passes in the queue.
func TestRequeuedRequestOfEarlierTermIsUnknown(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		r := runnerRequest(w.newTicket(), "echo", "ran", true)
		if result := w.frontDoor(t.Context(), *r, 10*time.Second); result.Problem != nil {
			t.Fatal(result.Problem)
		}
		old := w.current()
		for _, e := range w.endpoints {
			e.restart()
		}
		w.endpoints["r1"].setFaults(func(e *testEndpoint) { e.process.SetLeaving(true) })
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		result := w.frontDoor(t.Context(), *r, 5*time.Second)
		if result.verdict() == problem.NotRun {
			t.Errorf("work that ran is answered %v", result.Problem)
		}
	})
}

// A request of an earlier term that is cancelled while it is held may have run, so it must not
// be answered "not run".
func TestCancelledHeldRequestIsUnknown(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		r := runnerRequest(w.newTicket(), "echo", "ran", false)
		if result := w.frontDoor(t.Context(), *r, 10*time.Second); result.Problem != nil {
			t.Fatal(result.Problem)
		}
		old := w.current()
		for _, e := range w.endpoints {
			e.setFaults(func(e *testEndpoint) { e.dropAll = true })
		}
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		done := make(chan Result, 1)
		go func() { done <- w.frontDoor(t.Context(), *r, 30*time.Second) }()
		time.Sleep(time.Second)
		if p := w.current().term.CancelRequest(r.Ticket.String(), redTeam); p != nil {
			t.Fatal(p)
		}
		for _, e := range w.endpoints {
			e.restart()
			e.setFaults(func(e *testEndpoint) { e.dropAll = false })
		}
		if result := <-done; result.verdict() == problem.NotRun {
			t.Errorf("work that ran is answered %v", result.Problem)
		}
	})
}

// The ticket of one request must not return its answer to a different request or to another
// team, also after a change of holder.
func TestTicketIsBoundToItsRequestAfterTakeover(t *testing.T) {
	body := func(r *Request) { r.Input = []byte("other") }
	caller := func(r *Request) { r.Team = blueTeam }
	for name, change := range map[string]func(*Request){"body": body, "team": caller} {
		t.Run(name, func(t *testing.T) {
			withTestZone(t, func(t *testing.T, w *testZone) {
				r := runnerRequest(w.newTicket(), "echo", "mine", false)
				w.frontDoor(t.Context(), *r, 10*time.Second)
				old := w.current()
				next := w.takeOver()
				old.term.Stop(ErrSuperseded)
				w.waitUntil(func() bool { return next.term.hasUnit(r.Ticket.String()) })
				other := *r
				change(&other)
				result := w.frontDoor(t.Context(), other, 10*time.Second)
				if result.Problem == nil || result.Problem.Code != problem.TicketConflict {
					t.Errorf("another %s got %q, %v", name, result.Output, result.Problem)
				}
			})
		})
	}
}

// hasUnit reports whether the term has a unit with the key.
func (t *Term) hasUnit(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.units[key] != nil
}

// A cancelled start that did not reach its endpoint must not be sent again, also when a delayed
// attach of this term has ended the session in the meantime.
func TestCancelDuringStartPreventsResend(t *testing.T) {
	for name, delayedAttach := range map[string]bool{"lapse": false, "session ended": true} {
		t.Run(name, func(t *testing.T) {
			withTestZone(t, func(t *testing.T, w *testZone) {
				w.waitUntil(func() bool { return w.usable("r1") })
				e := w.endpoints["r1"]
				e.setFaults(func(e *testEndpoint) { e.dropAll, e.dropPath = !delayedAttach, endpoint.PathStart })
				r := runnerRequest(w.newTicket(), "sleep", "1s", true)
				done := make(chan Result, 1)
				go func() { done <- w.frontDoor(t.Context(), *r, time.Minute) }()
				w.waitUntil(func() bool { return w.current().term.startsInFlight() })
				if p := w.current().term.CancelRequest(r.Ticket.String(), redTeam); p != nil {
					t.Fatal(p)
				}
				if delayedAttach {
					if _, err := e.Attach(t.Context(), &endpoint.AttachRequest{AvailabilityZone: zoneName, Epoch: w.current().term.epoch, LeaseMS: testLease.Milliseconds()}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * testLease)
				e.setFaults(func(e *testEndpoint) { e.dropAll, e.dropPath = false, "" })
				result := <-done
				time.Sleep(5 * time.Second)
				if result.Problem == nil || result.Problem.Code != problem.Cancelled || w.startCount() != 0 {
					t.Errorf("cancelled work ended as %+v after %d starts", result, w.startCount())
				}
			})
		})
	}
}

// usable reports whether the current term may place tasks on an endpoint.
func (w *testZone) usable(id string) bool {
	t := w.current().term
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	return s != nil && s.rosterID != "" && s.usable
}

// A request must not start after the deadlines of all its callers have passed.
func TestRequestEndsWithItsLastWaiter(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		w.endpoints["r1"].process.SetLeaving(true)
		r := runnerRequest(w.newTicket(), "echo", "x", false)
		for range 2 {
			w.callers.Go(func() { w.frontDoor(t.Context(), *r, time.Second) })
		}
		w.callers.Wait()
		w.endpoints["r1"].process.SetLeaving(false)
		time.Sleep(5 * time.Second)
		if w.startCount() != 0 {
			t.Errorf("work was started %d times after the deadline of all its callers", w.startCount())
		}
	})
}

// Callers of one ticket that expire at one instant stop waiting one after the other, and are
// told what has become of the request later, in any order. The last one withdraws it.
func TestWaitersThatExpireTogetherWithdrawTheRequest(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		w.endpoints["r1"].process.SetLeaving(true)
		r := runnerRequest(w.newTicket(), "echo", "x", false)
		term := w.current().term
		var u *unit
		for range 3 {
			r.Deadline = time.Now().Add(time.Second)
			joined, p := term.admit(r)
			if p != nil {
				t.Fatalf("the request is refused: %v", p)
			}
			u = joined
		}
		for range 3 {
			term.expireRequest(u, context.DeadlineExceeded)
		}
		term.mu.Lock()
		phase := u.phase
		term.mu.Unlock()
		if phase != phaseFinal {
			t.Errorf("the request is in phase %v after the deadline of all its callers", phase)
		}
	})
}

// A ticket of a generation that the holder has not reached was never issued. Its outcome would
// be forgotten before the ticket expires, so that it could run again.
func TestTicketOfALaterGenerationRunsOnce(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		forged := ticket.New(zoneName, w.current().term.Epoch(), 1<<40)
		r := runnerRequest(forged, "echo", "x", false)
		w.frontDoor(t.Context(), *r, 5*time.Second)
		time.Sleep((generationsKept + 4) * generationLength)
		w.endpoints["r1"].restart()
		time.Sleep(2 * testLease)
		w.frontDoor(t.Context(), *r, 5*time.Second)
		if w.startCount() > 1 {
			t.Errorf("a non-idempotent ticket was started %d times", w.startCount())
		}
	})
}
