package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// daemon is a scripted daemon: each request to a path takes the next reply of
// that path, and the last one again and again.
type daemon struct {
	*httptest.Server
	mu      sync.Mutex
	replies map[string][]http.HandlerFunc
	seen    map[string][]*http.Request
	bodies  map[string][]string
	tickets int
}

// newDaemon returns a daemon that gives tickets t1, t2 and so on.
func newDaemon(t *testing.T) *daemon {
	d := &daemon{
		replies: map[string][]http.HandlerFunc{},
		seen:    map[string][]*http.Request{},
		bodies:  map[string][]string{},
	}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.Close)
	d.on("POST /v1/tickets", d.giveTicket)
	return d
}

func (d *daemon) on(operation string, replies ...http.HandlerFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replies[operation] = replies
}

func (d *daemon) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	operation := r.Method + " " + r.URL.Path
	d.mu.Lock()
	d.seen[operation] = append(d.seen[operation], r)
	d.bodies[operation] = append(d.bodies[operation], string(body))
	replies := d.replies[operation]
	if len(replies) > 1 {
		d.replies[operation] = replies[1:]
	}
	d.mu.Unlock()
	if len(replies) == 0 {
		http.Error(w, "no reply for "+operation, http.StatusTeapot)
		return
	}
	replies[0](w, r)
}

// count returns the number of requests for an operation.
func (d *daemon) count(operation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.seen[operation])
}

func (d *daemon) giveTicket(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	d.tickets++
	n := d.tickets
	d.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"ticket":"t%d"}`, n)
}

func answerDone(output string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderVerdict, "done")
		_, _ = io.WriteString(w, output)
	}
}

func answerJSON(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func answerProblem(p document) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problemType)
		w.WriteHeader(p.Status)
		_ = json.NewEncoder(w).Encode(p)
	}
}

// breakConnection ends the connection without an answer.
func breakConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// resetConnection ends the connection with a reset, which the client sees as a
// network error of the read.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// cutAnswer announces more bytes than it sends.
func cutAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderVerdict, "done")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

var busy = document{Status: 503, Code: "queue_full", Detail: "the queue is full", Verdict: "not run", RetryAfterMS: 1}

// quickBudget keeps pauses short.
var quickBudget = Budget{Tries: 4, Initial: time.Millisecond}

func newClient(t *testing.T, urls ...string) *Client {
	t.Helper()
	c, err := New(Options{URLs: urls, Key: "secret", Budget: quickBudget})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// requireError requires kind and verdict of a failure.
func requireError(t *testing.T, err error, kind Kind, verdict Verdict) {
	t.Helper()
	_ = findError(t, err, kind, verdict)
}

// findError requires kind and verdict of a failure and returns it.
func findError(t *testing.T, err error, kind Kind, verdict Verdict) *Error {
	t.Helper()
	e := AsError(err)
	if e == nil {
		t.Fatalf("got %v, want an *Error", err)
	}
	if e.Kind != kind || e.Verdict != verdict {
		t.Fatalf("got %s, %s: %v; want %s, %s", e.Kind, e.Verdict, e, kind, verdict)
	}
	return e
}

// unusedURL returns the URL of a port on which nothing listens.
func unusedURL(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return "http://" + listener.Addr().String()
}

func TestNewRefusesBadAddresses(t *testing.T) {
	for _, urls := range [][]string{nil, {"127.0.0.1:7400"}, {"ftp://127.0.0.1"}, {"http://"}} {
		if _, err := New(Options{URLs: urls}); err == nil {
			t.Errorf("accepted %q", urls)
		}
	}
}

func TestRetryStopsWithTheContextAndKeepsTheVerdict(t *testing.T) {
	d := newDaemon(t)
	waiting := busy
	waiting.RetryAfterMS = time.Hour.Milliseconds()
	d.on("DELETE /v1/jobs/j", answerProblem(waiting))
	ctx, cancel := context.WithCancel(t.Context())
	c := newClient(t, d.URL)
	c.budget = Budget{Elapsed: 2 * time.Hour, Notify: func(*Error, time.Duration) { cancel() }}
	requireError(t, c.CancelJob(ctx, "j"), KindRefused, VerdictNotRun)
}

func TestRetryWaitsAtLeastAsLongAsTheDaemonHints(t *testing.T) {
	d := newDaemon(t)
	hinted := busy
	hinted.RetryAfterMS = 20
	d.on("DELETE /v1/jobs/j", answerProblem(hinted), answerProblem(hinted), answerJSON(200, nil))
	c := newClient(t, d.URL)
	var pauses []time.Duration
	c.budget.Notify = func(_ *Error, pause time.Duration) { pauses = append(pauses, pause) }
	if err := c.CancelJob(t.Context(), "j"); err != nil {
		t.Fatal(err)
	}
	if len(pauses) != 2 || pauses[0] <= 20*time.Millisecond || pauses[1] <= 20*time.Millisecond {
		t.Errorf("paused %v, want two pauses above 20ms", pauses)
	}
}

func TestReadsSurviveBrokenConnections(t *testing.T) {
	d := newDaemon(t)
	d.on("GET /v1/jobs/j", breakConnection, answerJSON(502, "bad gateway"), answerJSON(200, Job{ID: "j", State: "running"}))
	job, err := newClient(t, d.URL).Job(t.Context(), "j")
	if err != nil || job.State != "running" {
		t.Fatalf("got %+v, %v", job, err)
	}
}

func TestReadsOfMissingThingsAreNotRepeated(t *testing.T) {
	d := newDaemon(t)
	d.on("GET /v1/jobs/j", answerProblem(document{Status: 404, Code: "job_unknown", Detail: "no such job", Verdict: "not run"}))
	_, err := newClient(t, d.URL).Job(t.Context(), "j")
	requireError(t, err, KindNotFound, VerdictNotRun)
	if n := d.count("GET /v1/jobs/j"); n != 1 {
		t.Errorf("asked %d times", n)
	}
}
