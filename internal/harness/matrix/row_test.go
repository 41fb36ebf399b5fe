package matrix

import (
	"strings"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// TestCheckPromisesReportsNotRunWithoutEvents guards against counting a promise as
// passed when the history contains nothing that could break it.
func TestCheckPromisesReportsNotRunWithoutEvents(t *testing.T) {
	events := []history.Event{
		{UnixNano: 1, Kind: history.EndpointUp, Endpoint: "w", Slots: 1},
		{UnixNano: 2, Kind: history.TaskStarted, Endpoint: "w", Work: "t", Task: "t.1", Slots: 2},
	}
	rows, found := checkPromises(Row{Fault: Kill, Step: Started}, events, history.Options{})
	got := map[string]Verdict{}
	for _, r := range rows {
		got[r.Promise] = r.Verdict
	}
	if len(found) != 1 || got[history.PromiseOvercommit] != Failed {
		t.Errorf("overcommitted endpoint: %d violations, verdict %q", len(found), got[history.PromiseOvercommit])
	}
	if got[history.PromiseSingleAttempt] != Passed || got[history.PromiseLeaving] != NotRun {
		t.Errorf("verdicts %v, want one place passed and leaving endpoint not run", got)
	}
	for _, c := range history.Checkers() {
		if exercised[c.Promise] == nil {
			t.Errorf("promise %q has no entry in exercised", c.Promise)
		}
	}
}

func TestPrintEndsWithTheCountLine(t *testing.T) {
	rows := []Row{
		{Fault: Kill, Step: Started, Promise: "keys", Verdict: Passed},
		{Fault: Kill, Step: Queued, Promise: "keys", Verdict: Failed},
		{Fault: Kill, Step: Sent, Promise: "keys", Verdict: NotRun},
	}
	var b strings.Builder
	if err := Print(&b, rows); err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(b.String(), "\n1 not run\n1 passed, 1 failed\n") {
		t.Errorf("printed %q", b.String())
	}
}

func TestReportShowsFailures(t *testing.T) {
	rows := []Row{
		{Fault: Kill, Step: Started, Promise: history.PromiseKeys, Verdict: Passed},
		{Fault: Kill, Step: Queued, Promise: history.PromiseKeys, Verdict: Failed, Detail: "evidence", Commit: "1a2b"},
	}
	var b strings.Builder
	if err := WriteReport(&b, rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| keys | kill | failed | started | queued | none |", "- kill, queued, keys (seed 0, commit 1a2b): evidence", "| keys | pause | not run |"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("report lacks %q", want)
		}
	}
}

func TestMergeRowsKeepsTheLaterRun(t *testing.T) {
	earlier := []Row{
		{Fault: Kill, Step: Sent, Promise: history.PromiseKeys, Verdict: Failed},
		{Fault: None, Step: Sent, Promise: history.PromiseKeys, Verdict: Passed},
	}
	later := []Row{{Fault: Kill, Step: Sent, Promise: history.PromiseKeys, Verdict: Passed, Commit: "1a2b"}}
	got := mergeRows(earlier, later)
	if len(got) != 2 || got[0].Fault != None || got[1].Verdict != Passed || got[1].Commit != "1a2b" {
		t.Fatalf("merged rows %+v", got)
	}
}
