package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

func TestSubmitExitCodes(t *testing.T) {
	tests := map[string]struct {
		replies []http.HandlerFunc
		args    []string
		code    int
	}{
		"done":             {nil, []string{"-queue", "labels", "-command", "c"}, exitOK},
		"not run":          {[]http.HandlerFunc{replyProblem(429, "not run")}, []string{"-queue", "labels", "-command", "c", "-retries", "0"}, exitNotRun},
		"retried":          {[]http.HandlerFunc{replyProblem(429, "not run")}, []string{"-queue", "labels", "-command", "c"}, exitOK},
		"unknown":          {[]http.HandlerFunc{replyProblem(503, "unknown")}, []string{"-queue", "labels", "-command", "c"}, exitUnknown},
		"ran and failed":   {[]http.HandlerFunc{replyProblem(422, "done")}, []string{"-queue", "labels", "-command", "c"}, exitFailed},
		"no queue":         {nil, []string{"-command", "c"}, exitUsage},
		"no command":       {nil, []string{"-queue", "labels"}, exitUsage},
		"unknown flag":     {nil, []string{"-kueue", "labels", "-command", "c"}, exitUsage},
		"two inputs":       {nil, []string{"-queue", "labels", "-command", "c", "a", "b"}, exitUsage},
		"missing input":    {nil, []string{"-queue", "labels", "-command", "c", "/nonexistent/input"}, exitError},
		"bad address":      {nil, []string{"-queue", "labels", "-command", "c", "-api", "localhost"}, exitUsage},
		"missing key file": {nil, []string{"-queue", "labels", "-command", "c", "-key-file", "/nonexistent/key"}, exitError},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFakeDaemon(t)
			d.replies = test.replies
			runCLI(t, d, "input", append([]string{"submit"}, test.args...)...).requireCode(t, test.code)
		})
	}
}

func TestSubmitPrintsExactlyTheOutput(t *testing.T) {
	d := newFakeDaemon(t)
	got := runCLI(t, d, "label\x00", "submit", "-queue", "labels", "-command", "c").requireCode(t, exitOK)
	if got.stdout != "LABEL\x00" {
		t.Errorf("printed %q", got.stdout)
	}
	path := filepath.Join(t.TempDir(), "answer")
	runCLI(t, d, "label", "submit", "-queue", "labels", "-command", "c", "-out", path).requireCode(t, exitOK)
	if data, err := os.ReadFile(path); err != nil || string(data) != "LABEL" {
		t.Errorf("wrote %q, %v", data, err)
	}
}

func TestFailuresAreJSONForScripts(t *testing.T) {
	d := newFakeDaemon(t)
	d.replies = []http.HandlerFunc{replyProblem(503, "unknown")}
	got := runCLI(t, d, "x", "submit", "-json", "-queue", "labels", "-command", "c").requireCode(t, exitUnknown)
	var body struct{ Error failureOutput }
	if err := json.Unmarshal([]byte(got.stdout), &body); err != nil {
		t.Fatalf("%v in %q", err, got.stdout)
	}
	want := failureOutput{ExitCode: exitUnknown, Message: body.Error.Message, Kind: client.KindRefused, Code: "test_refusal",
		Verdict: client.VerdictUnknown, Remedy: "wait", Ticket: "t1"}
	if body.Error != want {
		t.Errorf("got %+v, want %+v", body.Error, want)
	}
	got.requireText(t, "ticket: t1")
}

func TestRunExitCodesFollowTheTasks(t *testing.T) {
	tests := map[string]struct {
		states []client.State
		code   int
	}{
		"done":                 {[]client.State{client.StateDone, client.StateDone}, exitOK},
		"one failed":           {[]client.State{client.StateDone, client.StateFailed}, exitFailed},
		"one cancelled":        {[]client.State{client.StateDone, client.StateCancelled}, exitFailed},
		"one not run":          {[]client.State{client.StateDone, client.StateNotRun}, exitNotRun},
		"unknown outweighs":    {[]client.State{client.StateFailed, client.StateUnknown}, exitUnknown},
		"failed over not run":  {[]client.State{client.StateNotRun, client.StateFailed}, exitFailed},
		"unknown over not run": {[]client.State{client.StateNotRun, client.StateUnknown}, exitUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFakeDaemon(t)
			d.job = finishedJob(test.states...)
			runCLI(t, d, "x", "run", "-queue", "costing", "-command", "cost").requireCode(t, test.code)
			runCLI(t, d, "", "watch", "j1").requireCode(t, test.code)
		})
	}
}

func TestRunMakesATaskOfEachLine(t *testing.T) {
	d := newFakeDaemon(t)
	d.job = finishedJob(client.StateDone, client.StateDone)
	dir := filepath.Join(t.TempDir(), "answers")
	got := runCLI(t, d, "one\n\r\ntwo\r\n", "run", "-queue", "costing", "-command", "cost", "-lines", "-gang",
		"-idempotent=false", "-cores", "0.25", "-memory-mb", "64", "-run-time", "2s", "-out", dir).requireCode(t, exitOK)
	got.requireText(t, "job j1 accepted with 2 tasks", "out 1")
	job := d.submittedJobs[0]
	if len(job.Inputs) != 2 || string(job.Inputs[1]) != "two" {
		t.Errorf("inputs %q", job.Inputs)
	}
	if job.Idempotent == nil || *job.Idempotent || !job.Gang || job.Size.MilliCores != 250 || job.Size.MemoryMB != 64 || job.RunTimeMS != 2000 {
		t.Errorf("sent %+v", job)
	}
	if data, err := os.ReadFile(filepath.Join(dir, "1")); err != nil || string(data) != "out 1" {
		t.Errorf("wrote %q, %v", data, err)
	}
}

func TestRunRefusesBadArguments(t *testing.T) {
	d := newFakeDaemon(t)
	for _, args := range [][]string{
		{"run", "-command", "c"},
		{"run", "-queue", "q"},
		{"run", "-queue", "q", "-command", "c", "-cores", "-1"},
		{"run", "-queue", "q", "-command", "c", "-cores", "NaN"},
		{"run", "-queue", "q", "-command", "c", "-cores", "1e300"},
		{"run", "-queue", "q", "-command", "c", "-memory-mb", "-1"},
		{"run", "-queue", "q", "-command", "c", "-lines"},
	} {
		runCLI(t, d, "", args...).requireCode(t, exitUsage)
	}
	if len(d.submittedJobs) != 0 {
		t.Errorf("submitted %+v", d.submittedJobs)
	}
}

func TestJobCommands(t *testing.T) {
	d := newFakeDaemon(t)
	d.job = finishedJob(client.StateDone)
	got := runCLI(t, d, "x", "run", "-queue", "q", "-command", "c", "-detach").requireCode(t, exitOK)
	if got.stdout != "j1\n" {
		t.Errorf("printed %q", got.stdout)
	}
	runCLI(t, d, "", "status", "j1").requireCode(t, exitOK).requireText(t, "TASK", "done", "out 0")
	runCLI(t, d, "", "status").requireCode(t, exitOK).requireText(t, "press", "costing")
	runCLI(t, d, "", "status", "ghost").requireCode(t, exitError)
	runCLI(t, d, "", "watch", "ghost").requireCode(t, exitError)
	runCLI(t, d, "", "cancel", "j1", "j2").requireCode(t, exitOK).requireText(t, "j1 cancelled", "j2 cancelled")
	runCLI(t, d, "", "cancel", "-ticket", "t9").requireCode(t, exitOK)
	runCLI(t, d, "", "cancel").requireCode(t, exitUsage)
	if len(d.deletedIDs) != 3 || d.deletedIDs[2] != "t9" {
		t.Errorf("deleted %q", d.deletedIDs)
	}
}

func TestLoadReportsVerdicts(t *testing.T) {
	d := newFakeDaemon(t)
	d.replies = []http.HandlerFunc{replyProblem(429, "not run"), replyProblem(503, "unknown"), replyProblem(422, "done")}
	got := runCLI(t, d, "x", "load", "-queue", "q", "-command", "c", "-rate", "200", "-duration", "50ms", "-json").requireCode(t, exitOK)
	var result struct {
		Due      int64
		Outcomes []struct {
			Outcome string
			Count   int64
		}
	}
	if err := json.Unmarshal([]byte(got.stdout), &result); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int64{}
	for _, row := range result.Outcomes {
		counts[row.Outcome] = row.Count
	}
	if result.Due != 10 || counts["done"] != 7 || counts["not run"] != 1 || counts["unknown"] != 1 || counts["failed"] != 1 {
		t.Errorf("due %d, counts %v", result.Due, counts)
	}
	runCLI(t, d, "x", "load", "-queue", "q", "-command", "c", "-rate", "200", "-duration", "50ms").requireCode(t, exitOK).requireText(t, "P99.9", "100.00%")
	runCLI(t, d, "x", "load", "-queue", "q", "-command", "c", "-rate", "0").requireCode(t, exitUsage)
}

func TestUnreachableDaemonMeansNotRun(t *testing.T) {
	d := newFakeDaemon(t)
	d.Close()
	runCLI(t, d, "x", "submit", "-queue", "q", "-command", "c", "-retries", "0").requireCode(t, exitNotRun)
	runCLI(t, d, "", "status", "-retries", "0").requireCode(t, exitError)
}
