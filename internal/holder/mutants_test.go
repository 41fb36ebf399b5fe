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

// mutant is a zone with one rule broken, and the check that must detect it.
type mutant struct {
	check string
	steps []step
	// prepare breaks a rule in the zone, falsify in the events of callers.
	prepare func(w *testZone)
	falsify func(events []history.Event)
}

// busySchedule is a schedule that exercises every check.
var busySchedule = []step{
	{Kind: "job", Count: 3, Idempotent: true, Duration: time.Second, Pause: 100 * time.Millisecond},
	{Kind: "request", Count: 4, Duration: time.Second, Pause: time.Millisecond},
	{Kind: "request", Count: 4, Duration: time.Second, Pause: time.Millisecond},
	{Kind: "request", Count: 4, Duration: time.Second, Pause: time.Second},
	{Kind: "job", Count: 3, Idempotent: true, Duration: time.Second, Pause: 100 * time.Millisecond},
	{Kind: "request", Count: 4, Pause: time.Second},
}

// alterMessages changes commands and answers of every endpoint.
func alterMessages(w *testZone, alter func(e *testEndpoint, path string, request, response any)) {
	for _, e := range w.endpoints {
		altered := func(path string, request, response any) { alter(e, path, request, response) }
		e.alter.Store(&altered)
	}
}

// startOnBothWorkers also starts every task of a worker on the other worker.
func startOnBothWorkers(w *testZone) {
	others := map[string]string{"w1": "w2", "w2": "w1"}
	var sessions sync.Map
	alterMessages(w, func(e *testEndpoint, path string, request, response any) {
		if r, ok := response.(*endpoint.AttachResponse); ok {
			sessions.Store(e.options.ID, r.Session)
		}
		start, ok := request.(*endpoint.StartRequest)
		session, attached := sessions.Load(others[e.options.ID])
		if !ok || response != nil || !attached {
			return
		}
		other := *start
		other.Session = session.(uint64)
		_, _ = call[endpoint.StartResponse](w.t.Context(), &testEndpoint{process: w.endpoints[others[e.options.ID]].process}, path, &other)
	})
}

// startTwice also starts every task under a second attempt id.
func startTwice(w *testZone) {
	alterMessages(w, func(_ *testEndpoint, _ string, request, response any) {
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

// overstateCapacity makes endpoints report and accept more than their capacity.
func overstateCapacity(w *testZone) {
	for _, e := range w.endpoints {
		if err := e.process.Faults().Set("capacity_factor", 4.0); err != nil {
			w.t.Fatal(err)
		}
		if err := e.process.Faults().Set("overcommit", true); err != nil {
			w.t.Fatal(err)
		}
	}
}

// raiseLimit publishes higher limits that the history does not show as set.
func raiseLimit(w *testZone) {
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

// loseOutcomes makes the log refuse all outcomes.
func loseOutcomes(w *testZone) {
	w.log.setAppendRule(func(e *record.Envelope) appendResult {
		if e.Kind == record.KindOutcomes {
			return appendRefused
		}
		return appendAnswered
	})
	w.keepAppendRule = true
}

// swapParts reverses the order of the parts of answers.
func swapParts(w *testZone) {
	alterMessages(w, func(_ *testEndpoint, _ string, _, response any) {
		r, ok := response.(*endpoint.EventsResponse)
		if !ok {
			return
		}
		for i := range r.Events {
			r.Events[i].Part = r.Events[i].Parts - 1 - r.Events[i].Part
		}
	})
}

// claimNotRun makes callers report "not run" for all requests.
func claimNotRun(events []history.Event) {
	for i := range events {
		if events[i].Kind == history.RequestAnswered {
			events[i].Verdict = history.VerdictNotRun
		}
	}
}

// claimDone makes callers report "done" for the requests answered "not run".
func claimDone(events []history.Event) {
	for i := range events {
		if events[i].Kind == history.RequestAnswered && events[i].Verdict == history.VerdictNotRun {
			events[i].Verdict, events[i].OutputSum = history.VerdictDone, ""
		}
	}
}

// TestCheckersDetectViolations breaks one rule at a time. The schedule passes with no rule
// broken, and the check of a rule must detect each break.
func TestCheckersDetectViolations(t *testing.T) {
	if err := checkHistory(runSchedule(t, busySchedule, nil)); err != nil {
		t.Fatalf("with no rule broken: %v", err)
	}
	noRunner := append([]step{{Kind: "leaving", Endpoint: "r1", Duration: time.Minute}, {Kind: "request", Count: 1}}, busySchedule...)
	mutants := map[string]mutant{
		"task started in two places":      {check: history.PromiseSingleAttempt, steps: busySchedule, prepare: startOnBothWorkers},
		"task started twice":              {check: history.PromiseAtMostOnce, steps: busySchedule[1:2], prepare: startTwice},
		"endpoint capacity overstated":    {check: history.PromiseOvercommit, steps: busySchedule, prepare: overstateCapacity},
		"limit raised unannounced":        {check: history.PromiseLimit, steps: busySchedule, prepare: raiseLimit},
		"outcomes lost":                   {check: history.PromiseJobs, steps: busySchedule, prepare: loseOutcomes},
		"answers in the wrong order":      {check: history.PromiseAnswer, steps: busySchedule, prepare: swapParts},
		"work that ran answered not run":  {check: history.PromiseNotRunTrue, steps: busySchedule, falsify: claimNotRun},
		"work that never ran called done": {check: "ticket", steps: noRunner, falsify: claimDone},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			events := runSchedule(t, m.steps, m.prepare)
			if m.falsify != nil {
				m.falsify(events)
			}
			if found := violations(events); !strings.Contains(found, m.check) {
				t.Errorf("the check %q did not detect the violation; found: %s", m.check, found)
			}
		})
	}
}
