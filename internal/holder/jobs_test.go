package holder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// A holder that ends between taking a lost incarnation off the roster and
// recording the outcomes of its tasks must not make the next one run them.
func TestLostIncarnationStaysKnownUntilItsOutcomes(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.until(func() bool { return w.usable("w1") && w.usable("w2") })
		if p := w.submit(t.Context(), w.job(1, false, false, "30s")); p != nil {
			t.Fatal(p)
		}
		w.running()
		w.log.setFate(func(e *record.Envelope) appendFate {
			if e.Kind == record.KindOutcomes {
				return fateRefused
			}
			return fateAnswered
		})
		for _, id := range []string{"w1", "w2"} {
			w.machines[id].restart()
		}
		time.Sleep(5 * time.Second)
		old := w.current()
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		w.log.setFate(nil)
		time.Sleep(10 * time.Second)
		if w.started() != 1 {
			t.Errorf("a non-idempotent task was started %d times", w.started())
		}
	})
}

// A job's ticket that comes with another job is refused.
func TestJobTicketIsBoundToItsJob(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		j := w.job(1, false, true, "1s")
		if _, p := w.current().term.SubmitJob(t.Context(), j, testQueue()); p != nil {
			t.Fatal(p)
		}
		other := j
		other.Inputs = [][]byte{[]byte("2s")}
		id, p := w.current().term.SubmitJob(t.Context(), other, testQueue())
		if p == nil || p.Code != problem.TicketConflict {
			t.Errorf("another job under the same ticket was accepted as %s, %v", id, p)
		}
	})
}

// An accepted job whose size no endpoint can take ends or is refused.
func TestJobOfNoSizeIsNotAcceptedForEver(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.until(func() bool { return w.usable("w1") && w.usable("w2") && w.usable("r1") })
		j := w.job(1, false, true, "1s")
		j.MilliCores, j.MemoryMB = 0, 0
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if p := w.submit(ctx, j); p != nil {
			return
		}
		time.Sleep(time.Minute)
		if open := w.outcomes(); open != 0 {
			t.Errorf("%d tasks of an accepted job are open after a minute and were started %d times", open, w.started())
		}
	})
}

// A gang that waited under one holder starts under the next one, also if its
// team sends nothing else.
func TestInheritedGangStarts(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				w.until(func() bool { return w.usable("w1") && w.usable("w2") })
				for _, m := range w.machines {
					m.set(func(m *machine) { m.cutPath = endpoint.PathStart })
				}
				if p := w.submit(t.Context(), w.job(2, gang, true, "1s")); p != nil {
					t.Fatal(p)
				}
				old := w.current()
				w.takeOver()
				old.term.Stop(ErrSuperseded)
				for _, m := range w.machines {
					m.set(func(m *machine) { m.cutPath = "" })
				}
				time.Sleep(time.Minute)
				if open := w.outcomes(); open != 0 {
					t.Errorf("%d tasks are open a minute after the takeover", open)
				}
			})
		})
	}
}

// An endpoint may restart before the incarnation that was taken in stands in
// the roster; what ran on it is lost all the same and not queued again.
func TestRestartBeforeTheRosterLosesWork(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.until(func() bool { return w.usable("w1") && w.usable("w2") })
		if p := w.submit(t.Context(), w.job(1, false, false, "30s")); p != nil {
			t.Fatal(p)
		}
		w.running()
		alterAll(w, func(_ *machine, _ string, _, response any) {
			if r, ok := response.(*endpoint.AttachResponse); ok {
				r.Capacity.Slots += workerSlots + 1
			}
		})
		w.log.setFate(func(e *record.Envelope) appendFate {
			if e.Kind == record.KindRoster {
				return fateRefused
			}
			return fateAnswered
		})
		old := w.current()
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		time.Sleep(2 * time.Second)
		for _, id := range []string{"w1", "w2"} {
			w.machines[id].restart()
		}
		time.Sleep(2 * time.Second)
		w.log.setFate(nil)
		time.Sleep(10 * time.Second)
		if w.started() != 1 {
			t.Errorf("a non-idempotent task was started %d times", w.started())
		}
	})
}
