package holder

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// sending is one caller's use of the ticket.
type sending struct {
	After    time.Duration
	Deadline time.Duration
}

// trial is a non-idempotent request whose ticket several callers send at once
// while faults strike the only runner and the holder.
type trial struct {
	Sendings []sending
	Work     time.Duration
	Faults   []step
}

// ticketFaults strike the runner or the holder.
var ticketFaults = []string{"restart", "lose answers", "repeat late", "cut", "takeover", "cancel request", "log down"}

// drawTrial draws a trial.
func drawTrial(t *rapid.T) trial {
	spread := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * 10 * time.Millisecond
	}
	out := trial{Work: spread("work", 150)}
	for range rapid.IntRange(2, 8).Draw(t, "callers") {
		out.Sendings = append(out.Sendings, sending{After: spread("after", 300), Deadline: spread("deadline", 600) + time.Millisecond})
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		out.Faults = append(out.Faults, step{
			Kind:    rapid.SampledFrom(ticketFaults).Draw(t, "fault"),
			Machine: "r1",
			Again:   1,
			Count:   rapid.IntRange(1, 3).Draw(t, "count"),
			Lasts:   spread("lasts", 300),
			Then:    spread("then", 100),
		})
	}
	return out
}

// playTrial carries out a trial and returns what was seen.
func playTrial(t *testing.T, tr trial, prepare func(*world)) []history.Event {
	var seen []history.Event
	synctest.Test(t, func(t *testing.T) {
		d := &driver{world: newWorld(t)}
		defer d.close()
		if prepare != nil {
			prepare(d.world)
		}
		d.takeOver()
		r := runnerRequest(d.mint(), "sleep", tr.Work.String(), false)
		d.requests = append(d.requests, r)
		for i, s := range tr.Sendings {
			d.callers.Go(func() {
				time.Sleep(s.After)
				d.send(t.Context(), fmt.Sprintf("q%d", i), r, s.Deadline)
			})
		}
		d.run(t, tr.Faults)
		seen = d.seen.all()
	})
	return seen
}

// TestTicketIsLinearizable requires that all that callers of one ticket are
// told, and what endpoints did, fits one order of events: run at most once,
// "done" only after that, "not run" only before.
func TestTicketIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := judge(playTrial(t, drawTrial(rt), nil)); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestTicketModelNotices runs the ticket's work twice, and lets a caller deny
// what has run.
func TestTicketModelNotices(t *testing.T) {
	tr := trial{Sendings: []sending{{Deadline: 5 * time.Second}, {After: 2 * time.Second, Deadline: 5 * time.Second}}, Work: time.Second}
	if err := judge(playTrial(t, tr, nil)); err != nil {
		t.Fatalf("the unbroken ticket: %v", err)
	}
	if found := complaints(playTrial(t, tr, startTwice)); !strings.Contains(found, "ticket:") {
		t.Errorf("work that ran twice: %q", found)
	}
	events := playTrial(t, tr, nil)
	for i := range events {
		if events[i].Kind == history.RequestAnswered && events[i].Request == "q1" {
			events[i].Verdict = history.VerdictNotRun
		}
	}
	if found := complaints(events); !strings.Contains(found, "ticket:") {
		t.Errorf("work that ran and was denied: %q", found)
	}
}
