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

// fakeDaemon is a daemon with scripted replies. Its maps have operations such
// as "GET /v1/jobs" as keys. Each request of an operation gets the operation's
// next reply; the last reply is repeated.
type fakeDaemon struct {
	*httptest.Server
	mu       sync.Mutex
	replies  map[string][]http.HandlerFunc
	requests map[string][]*http.Request
	bodies   map[string][]string
	// tickets is the number of tickets issued.
	tickets int
}

// newFakeDaemon starts a daemon that issues the tickets t1, t2 and so on.
func newFakeDaemon(t *testing.T) *fakeDaemon {
	d := &fakeDaemon{
		replies:  map[string][]http.HandlerFunc{},
		requests: map[string][]*http.Request{},
		bodies:   map[string][]string{},
	}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.Close)
	d.setReplies("POST /v1/tickets", d.issueTicket)
	return d
}

// setReplies sets the replies to the next requests of an operation.
func (d *fakeDaemon) setReplies(operation string, replies ...http.HandlerFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replies[operation] = replies
}

func (d *fakeDaemon) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	operation := r.Method + " " + r.URL.Path
	d.mu.Lock()
	d.requests[operation] = append(d.requests[operation], r)
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
func (d *fakeDaemon) count(operation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests[operation])
}

func (d *fakeDaemon) issueTicket(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	d.tickets++
	n := d.tickets
	d.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"ticket":"t%d"}`, n)
}

func replyDone(output string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderVerdict, "done")
		_, _ = io.WriteString(w, output)
	}
}

func replyJSON(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func replyProblem(p problemDocument) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problemType)
		w.WriteHeader(p.Status)
		_ = json.NewEncoder(w).Encode(p)
	}
}

// breakConnection closes the connection without a response.
func breakConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection with a TCP reset, which the client sees
// as a network error while it reads.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// truncateResponse closes the connection before it has sent the bytes announced
// in Content-Length.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderVerdict, "done")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

var queueFullProblem = problemDocument{Status: 503, Code: "queue_full", Detail: "the queue is full", Verdict: "not run", RetryAfterMS: 1}

// shortBudget keeps the pauses between attempts short.
var shortBudget = Budget{Tries: 4, InitialInterval: time.Millisecond}

func newClient(t *testing.T, urls ...string) *Client {
	t.Helper()
	c, err := New(Options{URLs: urls, Key: "secret", Budget: shortBudget})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// requireError requires that err is an *Error with a kind and verdict.
func requireError(t *testing.T, err error, kind Kind, verdict Verdict) {
	t.Helper()
	_ = findError(t, err, kind, verdict)
}

// findError requires that err is an *Error with a kind and verdict, and returns
// it.
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

func TestNewRejectsInvalidURLs(t *testing.T) {
	for _, urls := range [][]string{nil, {"127.0.0.1:7400"}, {"ftp://127.0.0.1"}, {"http://"}} {
		if _, err := New(Options{URLs: urls}); err == nil {
			t.Errorf("accepted %q", urls)
		}
	}
}

func TestRetryReturnsTheLastErrorWhenTheContextEnds(t *testing.T) {
	d := newFakeDaemon(t)
	waiting := queueFullProblem
	waiting.RetryAfterMS = time.Hour.Milliseconds()
	d.setReplies("DELETE /v1/jobs/j", replyProblem(waiting))
	ctx, cancel := context.WithCancel(t.Context())
	c := newClient(t, d.URL)
	c.budget = Budget{Elapsed: 2 * time.Hour, Notify: func(*Error, time.Duration) { cancel() }}
	requireError(t, c.CancelJob(ctx, "j"), KindRefused, VerdictNotRun)
}

func TestRetryWaitsLongerThanRetryAfter(t *testing.T) {
	d := newFakeDaemon(t)
	busy := queueFullProblem
	busy.RetryAfterMS = 20
	d.setReplies("DELETE /v1/jobs/j", replyProblem(busy), replyProblem(busy), replyJSON(200, nil))
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

func TestReadsAreRetriedAfterBrokenConnections(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies("GET /v1/jobs/j", breakConnection, replyJSON(502, "bad gateway"), replyJSON(200, Job{ID: "j", State: "running"}))
	job, err := newClient(t, d.URL).Job(t.Context(), "j")
	if err != nil || job.State != "running" {
		t.Fatalf("got %+v, %v", job, err)
	}
}

func TestReadsOfUnknownJobsAreNotRetried(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies("GET /v1/jobs/j", replyProblem(problemDocument{Status: 404, Code: "job_unknown", Detail: "no such job", Verdict: "not run"}))
	_, err := newClient(t, d.URL).Job(t.Context(), "j")
	requireError(t, err, KindNotFound, VerdictNotRun)
	if n := d.count("GET /v1/jobs/j"); n != 1 {
		t.Errorf("asked %d times", n)
	}
}
