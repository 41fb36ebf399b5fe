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

// A holder may end after it has lost an incarnation and before the log holds the outcomes
// of that incarnation's tasks. If the incarnation left the roster first, the next holder
// would run the tasks again; so it would if it resolved a gang without looking at the roster.
func TestLostIncarnationStaysOnRosterUntilOutcomesAreLogged(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %t", gang), func(t *testing.T) {
			withTestZone(t, func(t *testing.T, w *testZone) { loseIncarnationBeforeOutcomes(t, w, gang) })
		})
	}
}

// loseIncarnationBeforeOutcomes restarts the endpoint of a job's task while the log takes no
// outcome, and changes the holder.
func loseIncarnationBeforeOutcomes(t *testing.T, w *testZone, gang bool) {
	w.changeHolderWithoutOutcomes(t, w.newJob(1, gang, false, "30s"), func() {
		for _, id := range []string{"w1", "w2"} {
			w.endpoints[id].restart()
		}
		time.Sleep(5 * time.Second)
	})
}

// changeHolderWithoutOutcomes submits a job of one task, waits for its start, and changes the
// holder after end, while the log takes no outcome. The task must have started once.
func (w *testZone) changeHolderWithoutOutcomes(t *testing.T, j record.Job, end func()) {
	w.waitUntil(func() bool { return w.usable("w1") && w.usable("w2") })
	if p := w.submit(t.Context(), j); p != nil {
		t.Fatal(p)
	}
	w.waitStarted()
	w.log.setAppendRule(func(e *record.Envelope) appendResult {
		if e.Kind == record.KindOutcomes {
			return appendRefused
		}
		return appendAnswered
	})
	end()
	old := w.current()
	w.takeOver()
	old.term.Stop(ErrSuperseded)
	w.log.setAppendRule(nil)
	time.Sleep(10 * time.Second)
	if w.startCount() != 1 {
		t.Errorf("a non-idempotent task was started %d times", w.startCount())
	}
}

// A task of a non-idempotent job ends before the log holds its outcome, and the next holder
// must not start it again: its endpoint keeps the end until the outcome is in the log.
func TestEndedTaskIsKeptUntilItsOutcomeIsLogged(t *testing.T) {
	tests := map[string]func(w *testZone, id string){
		"cancelled": func(w *testZone, id string) { _ = w.current().term.CancelJob(id, blueTeam) },
		"lapsed while cut off": func(w *testZone, _ string) {
			for _, on := range []bool{true, false} {
				for _, e := range w.endpoints {
					e.setFaults(func(e *testEndpoint) { e.dropAll = on })
				}
				time.Sleep(3 * testLease)
			}
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			withTestZone(t, func(t *testing.T, w *testZone) {
				j := w.newJob(1, false, false, "30s")
				w.changeHolderWithoutOutcomes(t, j, func() {
					end(w, j.ID)
					time.Sleep(testLease)
				})
				if open := w.recordOutcomes(); open > 0 {
					t.Errorf("%d tasks have no outcome", open)
				}
			})
		})
	}
}

// A job's ticket that is sent with another job must be refused.
func TestJobTicketIsBoundToItsJob(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		j := w.newJob(1, false, true, "1s")
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

// A job without a size, which no endpoint can run, must be refused or end.
func TestJobWithoutSizeEndsOrIsRefused(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		w.waitUntil(func() bool { return w.usable("w1") && w.usable("w2") && w.usable("r1") })
		j := w.newJob(1, false, true, "1s")
		j.MilliCores, j.MemoryMB = 0, 0
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if p := w.submit(ctx, j); p != nil {
			return
		}
		time.Sleep(time.Minute)
		if open := w.recordOutcomes(); open != 0 {
			t.Errorf("%d tasks of an accepted job are open after a minute and were started %d times", open, w.startCount())
		}
	})
}

// A gang that waited under one holder must start under the next one, even if its team sends
// nothing else.
func TestInheritedGangStarts(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			withTestZone(t, func(t *testing.T, w *testZone) {
				w.waitUntil(func() bool { return w.usable("w1") && w.usable("w2") })
				for _, e := range w.endpoints {
					e.setFaults(func(e *testEndpoint) { e.dropPath = endpoint.PathStart })
				}
				if p := w.submit(t.Context(), w.newJob(2, gang, true, "1s")); p != nil {
					t.Fatal(p)
				}
				old := w.current()
				w.takeOver()
				old.term.Stop(ErrSuperseded)
				for _, e := range w.endpoints {
					e.setFaults(func(e *testEndpoint) { e.dropPath = "" })
				}
				time.Sleep(time.Minute)
				if open := w.recordOutcomes(); open != 0 {
					t.Errorf("%d tasks are open a minute after the takeover", open)
				}
			})
		})
	}
}

// An endpoint may restart before the roster in the log holds the incarnation that was
// adopted. The tasks that ran on it are lost then, and must not be queued again.
func TestRestartBeforeRosterRecordLosesTasks(t *testing.T) {
	withTestZone(t, func(t *testing.T, w *testZone) {
		w.waitUntil(func() bool { return w.usable("w1") && w.usable("w2") })
		if p := w.submit(t.Context(), w.newJob(1, false, false, "30s")); p != nil {
			t.Fatal(p)
		}
		w.waitStarted()
		alterMessages(w, func(_ *testEndpoint, _ string, _, response any) {
			if r, ok := response.(*endpoint.AttachResponse); ok {
				r.Capacity.Slots += maxWorkerTasks + 1
			}
		})
		w.log.setAppendRule(func(e *record.Envelope) appendResult {
			if e.Kind == record.KindRoster {
				return appendRefused
			}
			return appendAnswered
		})
		old := w.current()
		w.takeOver()
		old.term.Stop(ErrSuperseded)
		time.Sleep(2 * time.Second)
		for _, id := range []string{"w1", "w2"} {
			w.endpoints[id].restart()
		}
		time.Sleep(2 * time.Second)
		w.log.setAppendRule(nil)
		time.Sleep(10 * time.Second)
		if w.startCount() != 1 {
			t.Errorf("a non-idempotent task was started %d times", w.startCount())
		}
	})
}
