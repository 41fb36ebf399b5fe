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

// fakeDaemon is a small daemon with a configuration, requests and one job.
type fakeDaemon struct {
	*httptest.Server
	mu sync.Mutex
	// texts holds the configuration versions from 1.
	texts []string
	// late makes zone b lag behind.
	late bool
	// beaten makes the next publications lose to another operator.
	beaten int
	// answers is what the next requests get; none stands for the input in
	// capitals.
	answers []http.HandlerFunc
	job     client.Job
	jobs    []client.JobRequest
	deleted []string
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	d := &fakeDaemon{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/version", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, 200, client.ConfigVersion{Version: uint64(len(d.texts))})
	})
	mux.HandleFunc("GET /admin/v1/config", d.config)
	mux.HandleFunc("POST /admin/v1/config", d.publish)
	mux.HandleFunc("POST /admin/v1/config/revert", d.revert)
	mux.HandleFunc("GET /admin/v1/config/history", d.history)
	mux.HandleFunc("GET /admin/v1/zones", d.zones)
	mux.HandleFunc("GET /admin/v1/report", d.report)
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, map[string]string{"ticket": "t1"}) })
	mux.HandleFunc("POST /v1/queues/{queue}/requests", d.request)
	mux.HandleFunc("POST /v1/queues/{queue}/jobs", d.accept)
	mux.HandleFunc("GET /v1/jobs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, []client.Job{d.job}) })
	mux.HandleFunc("GET /v1/jobs/{id}", d.readJob)
	mux.HandleFunc("GET /v1/jobs/{id}/watch", d.readJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", d.remove)
	mux.HandleFunc("DELETE /v1/requests/{id}", d.remove)
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

func problemAnswer(status int, verdict string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, status, "test_refusal", verdict) }
}

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

func (d *fakeDaemon) config(w http.ResponseWriter, _ *http.Request) {
	if len(d.texts) == 0 {
		writeProblem(w, 403, "key_refused", "not run")
		return
	}
	writeJSON(w, 200, client.ConfigVersion{Version: uint64(len(d.texts)), Text: d.texts[len(d.texts)-1]})
}

func (d *fakeDaemon) publish(w http.ResponseWriter, r *http.Request) {
	var p client.PublishRequest
	_ = json.NewDecoder(r.Body).Decode(&p)
	d.put(w, p.Text, p.Expected, p.DryRun)
}

func (d *fakeDaemon) put(w http.ResponseWriter, text string, expected uint64, dryRun bool) {
	if d.beaten > 0 {
		d.beaten--
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
	zones := []client.ZoneSpread{{Zone: "a", State: client.SpreadInForce}, {Zone: "b", State: client.SpreadInForce}}
	if d.late {
		zones[1].State = client.SpreadPending
	}
	writeJSON(w, 200, client.Published{Version: version, Zones: zones})
}

func (d *fakeDaemon) revert(w http.ResponseWriter, r *http.Request) {
	var body struct{ Version, Expected uint64 }
	_ = json.NewDecoder(r.Body).Decode(&body)
	d.put(w, d.texts[body.Version-1], body.Expected, false)
}

func (d *fakeDaemon) history(w http.ResponseWriter, _ *http.Request) {
	var entries []client.HistoryEntry
	for i := range d.texts {
		entries = append(entries, client.HistoryEntry{Version: uint64(i + 1), Author: "operations", Text: d.texts[i]})
	}
	writeJSON(w, 200, entries)
}

func (d *fakeDaemon) zones(w http.ResponseWriter, _ *http.Request) {
	teams := []client.TeamStatus{{Team: "press", Running: 30, Waiting: 4}, {Team: "sales", Running: 3}}
	writeJSON(w, 200, []client.ZoneStatus{
		{Zone: "a", Holder: "entry-1", Epoch: 7, ConfigVersion: 118, Teams: teams},
		{Zone: "b", Problem: "the zone's holder does not answer"},
	})
}

func (d *fakeDaemon) report(w http.ResponseWriter, r *http.Request) {
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

func (d *fakeDaemon) request(w http.ResponseWriter, r *http.Request) {
	input, _ := io.ReadAll(r.Body)
	if len(d.answers) > 0 {
		answer := d.answers[0]
		d.answers = d.answers[1:]
		answer(w, r)
		return
	}
	w.Header().Set(client.HeaderVerdict, "done")
	_, _ = w.Write(bytes.ToUpper(input))
}

func (d *fakeDaemon) accept(w http.ResponseWriter, r *http.Request) {
	var job client.JobRequest
	_ = json.NewDecoder(r.Body).Decode(&job)
	d.jobs = append(d.jobs, job)
	writeJSON(w, 202, map[string]string{"job": "j1"})
}

func (d *fakeDaemon) readJob(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("id") != "j1" {
		writeProblem(w, 404, "unknown_job", "not run")
		return
	}
	writeJSON(w, 200, d.job)
}

func (d *fakeDaemon) remove(w http.ResponseWriter, r *http.Request) {
	d.deleted = append(d.deleted, r.PathValue("id"))
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

// outcome is what a run of the program left.
type outcome struct {
	code   int
	stdout string
	stderr string
}

// runCLI runs the program against d, which may be nil.
func runCLI(t *testing.T, d *fakeDaemon, stdin string, args ...string) outcome {
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
	return outcome{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// requireCode requires an exit code and returns the outcome.
func (o outcome) requireCode(t *testing.T, code int) outcome {
	t.Helper()
	if o.code != code {
		t.Fatalf("exit code %d, want %d\nstdout: %s\nstderr: %s", o.code, code, o.stdout, o.stderr)
	}
	return o
}

// requireText requires texts in the outcome.
func (o outcome) requireText(t *testing.T, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if !strings.Contains(o.stdout+o.stderr, text) {
			t.Errorf("%q is missing in\nstdout: %s\nstderr: %s", text, o.stdout, o.stderr)
		}
	}
}
