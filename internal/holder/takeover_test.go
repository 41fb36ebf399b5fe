package holder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

// inBubble runs f in a zone of its own time with one holder.
func inBubble(t *testing.T, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		w.takeOver()
		f(t, w)
	})
}

// running waits until an endpoint has started the work.
func (w *world) running() {
	w.until(func() bool { return w.started() > 0 })
}

// started counts the starts that endpoints report.
func (w *world) started() int {
	n := 0
	for _, e := range w.seen.all() {
		if e.Kind == "task_started" {
			n++
		}
	}
	return n
}

func TestRequestIsAnswered(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		result := w.frontDoor(t.Context(), *runnerRequest(w.mint(), "echo", "a long answer in several parts", false), 10*time.Second)
		if string(result.Output) != "a long answer in several parts" {
			t.Errorf("got %+v", result)
		}
	})
}

func TestAnswerOutlivesItsHolder(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		r := runnerRequest(w.mint(), "sleep", "3s", false)
		done := make(chan Result, 1)
		go func() { done <- w.frontDoor(t.Context(), *r, 20*time.Second) }()
		w.running()
		first := w.current()
		w.takeOver()
		first.term.Stop(ErrSuperseded)
		if result := <-done; string(result.Output) != "slept 3s" || w.started() != 1 {
			t.Errorf("got %+v after %d starts", result, w.started())
		}
	})
}

// A ticket that has run and was forgotten is of unknown outcome, also where
// its holder is about to end: the next holder believes the declaration.
func TestForgottenTicketIsNotDeclaredUnstarted(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		r := runnerRequest(w.mint(), "echo", "once", false)
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
		if w.started() != 1 {
			t.Errorf("non-idempotent work was started %d times", w.started())
		}
	})
}

// A request of an earlier term may be running where this term has not looked
// yet, so a refusal for lack of room can't say "not run".
func TestRefusalOfAnEarlierTicketIsInDoubt(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				r := runnerRequest(w.mint(), "sleep", "20s", idempotent)
				w.callers.Go(func() { w.frontDoor(t.Context(), *r, time.Second) })
				w.running()
				for _, m := range w.machines {
					m.set(func(m *machine) { m.cut = true })
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

// Idempotent work of an earlier term that ran there and is queued again has
// not "not run" when its deadline passes in the queue.
func TestRequeuedWorkOfAnEarlierTermIsInDoubt(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		r := runnerRequest(w.mint(), "echo", "ran", true)
		if result := w.frontDoor(t.Context(), *r, 10*time.Second); result.Problem != nil {
			t.Fatal(result.Problem)
		}
		old := w.current()
		for _, m := range w.machines {
			m.restart()
		}
		w.machines["r1"].set(func(m *machine) { m.process.SetLeaving(true) })
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		result := w.frontDoor(t.Context(), *r, 5*time.Second)
		if result.verdict() == problem.NotRun {
			t.Errorf("work that ran is answered %v", result.Problem)
		}
	})
}

// Work of an earlier term that is cancelled while its fate is open may have
// run.
func TestCancelledHeldWorkIsInDoubt(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		r := runnerRequest(w.mint(), "echo", "ran", false)
		if result := w.frontDoor(t.Context(), *r, 10*time.Second); result.Problem != nil {
			t.Fatal(result.Problem)
		}
		old := w.current()
		for _, m := range w.machines {
			m.set(func(m *machine) { m.cut = true })
		}
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		done := make(chan Result, 1)
		go func() { done <- w.frontDoor(t.Context(), *r, 30*time.Second) }()
		time.Sleep(time.Second)
		if p := w.current().term.CancelRequest(r.Ticket.String(), redTeam); p != nil {
			t.Fatal(p)
		}
		for _, m := range w.machines {
			m.restart()
			m.set(func(m *machine) { m.cut = false })
		}
		if result := <-done; result.verdict() == problem.NotRun {
			t.Errorf("work that ran is answered %v", result.Problem)
		}
	})
}

// The ticket of one request gives no answer to another one, nor to another
// team, also after a change of holder.
func TestTicketIsBoundToItsRequestAfterTakeover(t *testing.T) {
	body := func(r *Request) { r.Input = []byte("other") }
	caller := func(r *Request) { r.Team = blueTeam }
	for name, change := range map[string]func(*Request){"body": body, "team": caller} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				r := runnerRequest(w.mint(), "echo", "mine", false)
				w.frontDoor(t.Context(), *r, 10*time.Second)
				old := w.current()
				next := w.takeOver()
				old.term.Stop(ErrSuperseded)
				w.until(func() bool { return next.term.knows(r.Ticket.String()) })
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

// knows reports whether the term has a unit of the key.
func (t *Term) knows(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.units[key] != nil
}

// A cancelled start that did not reach its endpoint must not be sent again,
// also when a delayed attach of this term has ended the session meanwhile.
func TestCancelOfAStartUnderWayHolds(t *testing.T) {
	for name, delayedAttach := range map[string]bool{"lapse": false, "session ended": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				w.until(func() bool { return w.usable("r1") })
				m := w.machines["r1"]
				m.set(func(m *machine) { m.cut, m.cutPath = !delayedAttach, endpoint.PathStart })
				r := runnerRequest(w.mint(), "sleep", "1s", true)
				done := make(chan Result, 1)
				go func() { done <- w.frontDoor(t.Context(), *r, time.Minute) }()
				w.until(func() bool { return w.current().term.starting() })
				if p := w.current().term.CancelRequest(r.Ticket.String(), redTeam); p != nil {
					t.Fatal(p)
				}
				if delayedAttach {
					if _, err := m.Attach(t.Context(), &endpoint.AttachRequest{AvailabilityZone: zoneName, Epoch: w.current().term.epoch, LeaseMS: testLease.Milliseconds()}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * testLease)
				m.set(func(m *machine) { m.cut, m.cutPath = false, "" })
				result := <-done
				time.Sleep(5 * time.Second)
				if result.Problem == nil || result.Problem.Code != problem.Cancelled || w.started() != 0 {
					t.Errorf("cancelled work ended as %+v after %d starts", result, w.started())
				}
			})
		})
	}
}

// usable reports whether the current term may use an endpoint.
func (w *world) usable(id string) bool {
	t := w.current().term
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	return s != nil && s.rosterID != "" && s.usable
}

// Nobody waits any more for work whose callers have all passed their deadline,
// so it must not start later.
func TestWorkEndsWithItsLastWaiter(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.machines["r1"].process.SetLeaving(true)
		r := runnerRequest(w.mint(), "echo", "x", false)
		for range 2 {
			w.callers.Go(func() { w.frontDoor(t.Context(), *r, time.Second) })
		}
		w.callers.Wait()
		w.machines["r1"].process.SetLeaving(false)
		time.Sleep(5 * time.Second)
		if w.started() != 0 {
			t.Errorf("work was started %d times after the deadline of all its callers", w.started())
		}
	})
}

// A generation that the holder has not reached was never given out. A ticket
// that names one would outlive the memory of its outcome.
func TestTicketOfALaterGenerationRunsOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		forged := ticket.New(zoneName, w.current().term.Epoch(), 1<<40)
		r := runnerRequest(forged, "echo", "x", false)
		w.frontDoor(t.Context(), *r, 5*time.Second)
		time.Sleep((generationsKept + 4) * generationLength)
		w.machines["r1"].restart()
		time.Sleep(2 * testLease)
		w.frontDoor(t.Context(), *r, 5*time.Second)
		if w.started() > 1 {
			t.Errorf("a non-idempotent ticket was started %d times", w.started())
		}
	})
}
