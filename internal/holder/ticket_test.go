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

// caller is one caller that sends the ticket.
type caller struct {
	Delay   time.Duration
	Timeout time.Duration
}

// ticketTrial is a non-idempotent request whose ticket several callers send at once during
// faults of the only runner and of the holder.
type ticketTrial struct {
	Callers []caller
	// Duration is how long the work sleeps.
	Duration time.Duration
	Faults   []step
}

// ticketFaults are the faults of the runner and the holder.
var ticketFaults = []string{"restart", "lose answers", "repeat late", "cut", "takeover", "cancel request", "log down"}

// drawTrial draws a trial.
func drawTrial(t *rapid.T) ticketTrial {
	drawDuration := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * 10 * time.Millisecond
	}
	out := ticketTrial{Duration: drawDuration("work", 150)}
	for range rapid.IntRange(2, 8).Draw(t, "callers") {
		out.Callers = append(out.Callers, caller{Delay: drawDuration("delay", 300), Timeout: drawDuration("timeout", 600) + time.Millisecond})
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		out.Faults = append(out.Faults, step{
			Kind:     rapid.SampledFrom(ticketFaults).Draw(t, "fault"),
			Endpoint: "r1",
			Earlier:  1,
			Count:    rapid.IntRange(1, 3).Draw(t, "count"),
			Duration: drawDuration("duration", 300),
			Pause:    drawDuration("pause", 100),
		})
	}
	return out
}

// runTrial runs a trial and returns the events of callers and endpoints.
func runTrial(t *testing.T, tr ticketTrial, prepare func(*testZone)) []history.Event {
	var events []history.Event
	synctest.Test(t, func(t *testing.T) {
		d := &driver{testZone: newTestZone(t)}
		defer d.close()
		if prepare != nil {
			prepare(d.testZone)
		}
		d.takeOver()
		r := runnerRequest(d.newTicket(), "sleep", tr.Duration.String(), false)
		d.requests = append(d.requests, r)
		for i, c := range tr.Callers {
			d.callers.Go(func() {
				time.Sleep(c.Delay)
				d.sendAndRecord(t.Context(), fmt.Sprintf("q%d", i), r, c.Timeout)
			})
		}
		d.run(t, tr.Faults)
		events = d.events.all()
	})
	return events
}

// TestTicketIsLinearizable requires that the answers to all callers of one ticket and the
// actions of the endpoints fit one order of events: run at most once, "done" only after
// that, "not run" only before.
func TestTicketIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := checkHistory(runTrial(t, drawTrial(rt), nil)); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestTicketModelDetectsViolations runs the ticket's work twice, and then makes a caller report
// "not run" for work that has run.
func TestTicketModelDetectsViolations(t *testing.T) {
	tr := ticketTrial{Callers: []caller{{Timeout: 5 * time.Second}, {Delay: 2 * time.Second, Timeout: 5 * time.Second}}, Duration: time.Second}
	if err := checkHistory(runTrial(t, tr, nil)); err != nil {
		t.Fatalf("with no rule broken: %v", err)
	}
	if found := violations(runTrial(t, tr, startTwice)); !strings.Contains(found, "ticket:") {
		t.Errorf("work that ran twice: %q", found)
	}
	events := runTrial(t, tr, nil)
	for i := range events {
		if events[i].Kind == history.RequestAnswered && events[i].Request == "q1" {
			events[i].Verdict = history.VerdictNotRun
		}
	}
	if found := violations(events); !strings.Contains(found, "ticket:") {
		t.Errorf("work that ran and was answered \"not run\": %q", found)
	}
}
