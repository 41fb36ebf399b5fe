package holder

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// mutant is a zone with one rule broken, and the check that has to notice.
type mutant struct {
	check string
	steps []step
	// prepare breaks the zone, lie the callers' word.
	prepare func(w *world)
	lie     func(events []history.Event)
}

// busy is a schedule that gives every check something to look at.
var busy = []step{
	{Kind: "job", Count: 3, Idempotent: true, Lasts: time.Second, Then: 100 * time.Millisecond},
	{Kind: "request", Count: 4, Lasts: time.Second, Then: time.Millisecond},
	{Kind: "request", Count: 4, Lasts: time.Second, Then: time.Millisecond},
	{Kind: "request", Count: 4, Lasts: time.Second, Then: time.Second},
	{Kind: "job", Count: 3, Idempotent: true, Lasts: time.Second, Then: 100 * time.Millisecond},
	{Kind: "request", Count: 4, Then: time.Second},
}

// alterAll changes commands and answers of every endpoint.
func alterAll(w *world, alter func(m *machine, path string, request, response any)) {
	for _, m := range w.machines {
		altered := func(path string, request, response any) { alter(m, path, request, response) }
		m.alter.Store(&altered)
	}
}

// startElsewhere starts every task of a worker on the other worker, too.
func startElsewhere(w *world) {
	others := map[string]string{"w1": "w2", "w2": "w1"}
	var sessions sync.Map
	alterAll(w, func(m *machine, path string, request, response any) {
		if r, ok := response.(*endpoint.AttachResponse); ok {
			sessions.Store(m.options.ID, r.Session)
		}
		start, ok := request.(*endpoint.StartRequest)
		session, attached := sessions.Load(others[m.options.ID])
		if !ok || response != nil || !attached {
			return
		}
		other := *start
		other.Session = session.(uint64)
		_, _ = call[endpoint.StartResponse](w.t.Context(), &machine{process: w.machines[others[m.options.ID]].process}, path, &other)
	})
}

// startTwice starts every task a second time under another id.
func startTwice(w *world) {
	alterAll(w, func(_ *machine, _ string, request, response any) {
		start, ok := request.(*endpoint.StartRequest)
		if !ok || response != nil {
			return
		}
		for _, spec := range start.Tasks {
			spec.ID += "x"
			start.Tasks = append(start.Tasks, spec)
		}
	})
}

// oversell makes endpoints claim and take more than they have.
func oversell(w *world) {
	for _, m := range w.machines {
		if err := m.process.Faults().Set("capacity_factor", 4.0); err != nil {
			w.t.Fatal(err)
		}
		if err := m.process.Faults().Set("overcommit", true); err != nil {
			w.t.Fatal(err)
		}
	}
}

// raiseLimit publishes a limit that nobody has set.
func raiseLimit(w *world) {
	c := testConfig()
	for i := range c.Teams {
		c.Teams[i].UpperLimit = 50
	}
	text, err := operator.Print(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.append("raised", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text, Expected: 1}})
}

// loseOutcomes keeps outcomes from the log.
func loseOutcomes(w *world) {
	w.log.setFate(func(e *record.Envelope) appendFate {
		if e.Kind == record.KindOutcomes {
			return fateRefused
		}
		return fateAnswered
	})
	w.keepFate = true
}

// swapParts mixes up the parts of answers.
func swapParts(w *world) {
	alterAll(w, func(_ *machine, _ string, _, response any) {
		r, ok := response.(*endpoint.EventsResponse)
		if !ok {
			return
		}
		for i := range r.Events {
			r.Events[i].Part = r.Events[i].Parts - 1 - r.Events[i].Part
		}
	})
}

// denyAnswers makes callers say that nothing of theirs has run.
func denyAnswers(events []history.Event) {
	for i := range events {
		if events[i].Kind == history.RequestAnswered {
			events[i].Verdict = history.VerdictNotRun
		}
	}
}

// claimAnswers makes callers say that all of theirs was done.
func claimAnswers(events []history.Event) {
	for i := range events {
		if events[i].Kind == history.RequestAnswered && events[i].Verdict == history.VerdictNotRun {
			events[i].Verdict, events[i].OutputSum = history.VerdictDone, ""
		}
	}
}

// TestChecksNoticeBrokenRules breaks one rule at a time: the schedule passes as
// it is, and the check of the rule notices each break.
func TestChecksNoticeBrokenRules(t *testing.T) {
	if err := judge(play(t, busy, nil)); err != nil {
		t.Fatalf("the unbroken zone: %v", err)
	}
	noRoom := append([]step{{Kind: "leaving", Machine: "r1", Lasts: time.Minute}, {Kind: "request", Count: 1}}, busy...)
	mutants := map[string]mutant{
		"task started in two places":      {check: history.PromiseOnePlace, steps: busy, prepare: startElsewhere},
		"task started twice":              {check: history.PromiseOnce, steps: busy[1:2], prepare: startTwice},
		"endpoints oversold":              {check: history.PromiseOvercommit, steps: busy, prepare: oversell},
		"limit raised by nobody":          {check: history.PromiseLimit, steps: busy, prepare: raiseLimit},
		"outcomes lost":                   {check: history.PromiseJobs, steps: busy, prepare: loseOutcomes},
		"answers in the wrong order":      {check: history.PromiseAnswer, steps: busy, prepare: swapParts},
		"run work answered not run":       {check: history.PromiseNotRun, steps: busy, lie: denyAnswers},
		"work that never ran called done": {check: "ticket", steps: noRoom, lie: claimAnswers},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			events := play(t, m.steps, m.prepare)
			if m.lie != nil {
				m.lie(events)
			}
			if found := complaints(events); !strings.Contains(found, m.check) {
				t.Errorf("the check %q did not notice; found: %s", m.check, found)
			}
		})
	}
}
