package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/report"
)

// fakeDaemon is a daemon that keeps the published configurations in memory,
// answers requests with scripted replies and has one job.
type fakeDaemon struct {
	*httptest.Server
	mu sync.Mutex
	// texts holds the texts of the configuration versions from 1 on.
	texts []string
	// zoneBPending makes zone b report that a publication is pending.
	zoneBPending bool
	// conflicts is the number of next publications that fail with a version
	// conflict, as if another operator had published first.
	conflicts int
	// replies has the replies to the next requests. Without any the reply is
	// the input in upper case.
	replies []http.HandlerFunc
	// job is the job with the id j1.
	job           client.Job
	submittedJobs []client.JobRequest
	deletedIDs    []string
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	d := &fakeDaemon{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/version", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, 200, client.ConfigVersion{Version: uint64(len(d.texts))})
	})
	mux.HandleFunc("GET /admin/v1/config", d.handleConfig)
	mux.HandleFunc("POST /admin/v1/config", d.handlePublish)
	mux.HandleFunc("POST /admin/v1/config/revert", d.handleRevert)
	mux.HandleFunc("GET /admin/v1/config/history", d.handleHistory)
	mux.HandleFunc("GET /admin/v1/zones", d.handleZones)
	mux.HandleFunc("GET /admin/v1/report", d.handleReport)
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, map[string]string{"ticket": "t1"}) })
	mux.HandleFunc("POST /v1/queues/{queue}/requests", d.handleSubmit)
	mux.HandleFunc("POST /v1/queues/{queue}/jobs", d.handleSubmitJob)
	mux.HandleFunc("GET /v1/jobs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, []client.Job{d.job}) })
	mux.HandleFunc("GET /v1/jobs/{id}", d.handleReadJob)
	mux.HandleFunc("GET /v1/jobs/{id}/watch", d.handleReadJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", d.handleDelete)
	mux.HandleFunc("DELETE /v1/requests/{id}", d.handleDelete)
	d.Server = httptest.NewServer(d.checkKey(mux))
	t.Cleanup(d.Close)
	return d
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, status int, code, verdict string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"status": status, "code": code, "detail": "refused", "remedy": "wait", "verdict": verdict,
	})
}

func replyProblem(status int, verdict string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, status, "test_refusal", verdict) }
}

// checkKey refuses requests without the key. It holds d.mu while next serves the
// others.
func (d *fakeDaemon) checkKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			writeProblem(w, 401, "key_missing", "not run")
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

func (d *fakeDaemon) handleConfig(w http.ResponseWriter, _ *http.Request) {
	if len(d.texts) == 0 {
		writeProblem(w, 403, "key_refused", "not run")
		return
	}
	writeJSON(w, 200, client.ConfigVersion{Version: uint64(len(d.texts)), Text: d.texts[len(d.texts)-1]})
}

func (d *fakeDaemon) handlePublish(w http.ResponseWriter, r *http.Request) {
	var p client.PublishRequest
	_ = json.NewDecoder(r.Body).Decode(&p)
	d.publishText(w, p.Text, p.Expected, p.DryRun)
}

// publishText publishes a configuration text if the expected version is in force.
func (d *fakeDaemon) publishText(w http.ResponseWriter, text string, expected uint64, dryRun bool) {
	if d.conflicts > 0 {
		d.conflicts--
		d.texts = append(d.texts, d.texts[len(d.texts)-1])
	}
	version := uint64(len(d.texts))
	if expected != version {
		writeProblem(w, 409, "version_conflict", "not run")
		return
	}
	if !dryRun {
		d.texts = append(d.texts, text)
		version++
	}
	zones := []client.ZoneRollout{{Zone: "a", State: client.RolloutInForce}, {Zone: "b", State: client.RolloutInForce}}
	if d.zoneBPending {
		zones[1].State = client.RolloutPending
	}
	writeJSON(w, 200, client.PublishResult{Version: version, Zones: zones})
}

func (d *fakeDaemon) handleRevert(w http.ResponseWriter, r *http.Request) {
	var body struct{ Version, Expected uint64 }
	_ = json.NewDecoder(r.Body).Decode(&body)
	d.publishText(w, d.texts[body.Version-1], body.Expected, false)
}

func (d *fakeDaemon) handleHistory(w http.ResponseWriter, _ *http.Request) {
	var entries []client.HistoryEntry
	for i := range d.texts {
		entries = append(entries, client.HistoryEntry{Version: uint64(i + 1), Author: "operations", Text: d.texts[i]})
	}
	writeJSON(w, 200, entries)
}

func (d *fakeDaemon) handleZones(w http.ResponseWriter, _ *http.Request) {
	teams := []client.TeamStatus{{Team: "press", Running: 30, Waiting: 4}, {Team: "sales", Running: 3}}
	writeJSON(w, 200, []client.ZoneStatus{
		{Zone: "a", Holder: "entry-1", Epoch: 7, ConfigVersion: 118, Teams: teams},
		{Zone: "b", Problem: "the zone's holder does not answer"},
	})
}

func (d *fakeDaemon) handleReport(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Accept") == "text/html" {
		_, _ = io.WriteString(w, "<html></html>")
		return
	}
	writeJSON(w, 200, report.View{
		ConfigVersion: 118,
		Coverage:      []report.ZoneCoverage{{Zone: "b", Windows: []report.WindowCoverage{{Window: "5m", Covered: 0.25}}}},
		Rows: []report.Row{{Team: "press", Queue: "urgent", Configured: true, Indicators: []report.Indicator{
			{Name: report.IndicatorStart, BudgetLeft: -0.5, Alert: report.AlertFastBurn, Causes: []report.CauseCount{{Cause: "limit", Bad: 41}}},
		}}},
	})
}

func (d *fakeDaemon) handleSubmit(w http.ResponseWriter, r *http.Request) {
	input, _ := io.ReadAll(r.Body)
	if len(d.replies) > 0 {
		reply := d.replies[0]
		d.replies = d.replies[1:]
		reply(w, r)
		return
	}
	w.Header().Set(client.HeaderVerdict, "done")
	_, _ = w.Write(bytes.ToUpper(input))
}

func (d *fakeDaemon) handleSubmitJob(w http.ResponseWriter, r *http.Request) {
	var job client.JobRequest
	_ = json.NewDecoder(r.Body).Decode(&job)
	d.submittedJobs = append(d.submittedJobs, job)
	writeJSON(w, 202, map[string]string{"job": "j1"})
}

func (d *fakeDaemon) handleReadJob(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("id") != "j1" {
		writeProblem(w, 404, "unknown_job", "not run")
		return
	}
	writeJSON(w, 200, d.job)
}

func (d *fakeDaemon) handleDelete(w http.ResponseWriter, r *http.Request) {
	d.deletedIDs = append(d.deletedIDs, r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// finishedJob returns a job whose tasks have the given states.
func finishedJob(states ...client.State) client.Job {
	job := client.Job{ID: "j1", Team: "press", Queue: "costing", State: states[0]}
	for i, state := range states {
		job.Tasks = append(job.Tasks, client.Task{Index: i, State: state, Output: []byte("out " + strconv.Itoa(i))})
	}
	return job
}

// cliResult is the exit code and the output of a run of the program.
type cliResult struct {
	code   int
	stdout string
	stderr string
}

// runCLI runs the program with d as its daemon, which may be nil.
func runCLI(t *testing.T, d *fakeDaemon, stdin string, args ...string) cliResult {
	t.Helper()
	variables := map[string]string{envKey: "secret"}
	if d != nil {
		variables[envAPI], variables[envAdmin] = d.URL, d.URL
	}
	var stdout, stderr bytes.Buffer
	env := &environment{
		stdin:  strings.NewReader(stdin),
		stdout: &stdout,
		stderr: &stderr,
		getenv: func(name string) string { return variables[name] },
	}
	code := execute(t.Context(), args, env)
	return cliResult{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// requireCode requires an exit code and returns the result.
func (r cliResult) requireCode(t *testing.T, code int) cliResult {
	t.Helper()
	if r.code != code {
		t.Fatalf("exit code %d, want %d\nstdout: %s\nstderr: %s", r.code, code, r.stdout, r.stderr)
	}
	return r
}

// requireText requires that stdout or stderr contains each of the texts.
func (r cliResult) requireText(t *testing.T, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Errorf("%q is missing in\nstdout: %s\nstderr: %s", text, r.stdout, r.stderr)
		}
	}
}
