package client

import (
	"bytes"
	"net/http"
	"testing"
	"time"
)

const submitOperation = "POST /v1/queues/labels/requests"

func TestSubmitSendsEveryFieldAndReturnsTheOutput(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(submitOperation, replyDone("the answer"))
	no := false
	a, err := newClient(t, d.URL+"/").Submit(t.Context(), Request{
		Queue:      "labels",
		Command:    "check",
		Input:      []byte{0, 1, 255},
		Idempotent: &no,
		Deadline:   1500 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if string(a.Output) != "the answer" || a.Ticket != "t1" {
		t.Errorf("got %+v", a)
	}
	sent := d.requests[submitOperation][0].Header
	want := map[string]string{
		"Authorization":  "Bearer secret",
		HeaderTicket:     "t1",
		HeaderIdempotent: "false",
		HeaderDeadline:   "1.5s",
		HeaderCommand:    "check",
	}
	for name, value := range want {
		if sent.Get(name) != value {
			t.Errorf("%s is %q, want %q", name, sent.Get(name), value)
		}
	}
	if body := d.bodies[submitOperation][0]; !bytes.Equal([]byte(body), []byte{0, 1, 255}) {
		t.Errorf("the body is %q", body)
	}
}

func TestSubmitOutcomes(t *testing.T) {
	tests := map[string]struct {
		replies []http.HandlerFunc
		kind    Kind
		verdict Verdict
		sent    int
	}{
		"busy, then done":      {[]http.HandlerFunc{replyProblem(queueFullProblem), replyProblem(queueFullProblem), replyDone("x")}, "", VerdictDone, 3},
		"always busy":          {[]http.HandlerFunc{replyProblem(queueFullProblem)}, KindRefused, VerdictNotRun, 4},
		"wrong key":            {[]http.HandlerFunc{replyProblem(problemDocument{Status: 401, Verdict: "not run"})}, KindUnauthorized, VerdictNotRun, 1},
		"unknown queue":        {[]http.HandlerFunc{replyProblem(problemDocument{Status: 404, Verdict: "not run"})}, KindNotFound, VerdictNotRun, 1},
		"unknown, retry after": {[]http.HandlerFunc{replyProblem(problemDocument{Status: 503, Verdict: "unknown", RetryAfterMS: 1})}, KindRefused, VerdictUnknown, 1},
		"no verdict":           {[]http.HandlerFunc{replyProblem(problemDocument{Status: 503, RetryAfterMS: 1})}, KindRefused, VerdictUnknown, 1},
		"ran and failed":       {[]http.HandlerFunc{replyProblem(problemDocument{Status: 422, Verdict: "done"})}, KindFailed, VerdictDone, 1},
		"task failed":          {[]http.HandlerFunc{replyProblem(problemDocument{Status: 502, Code: "task_failed", Verdict: "unknown"})}, KindFailed, VerdictUnknown, 1},
		"connection broken":    {[]http.HandlerFunc{breakConnection}, KindBroken, VerdictUnknown, 1},
		"connection reset":     {[]http.HandlerFunc{resetConnection}, KindBroken, VerdictUnknown, 1},
		"response truncated":   {[]http.HandlerFunc{truncateResponse}, KindBroken, VerdictUnknown, 1},
		"load balancer page":   {[]http.HandlerFunc{replyJSON(503, "<html>")}, KindProtocol, VerdictUnknown, 1},
		"not a daemon":         {[]http.HandlerFunc{replyJSON(200, "hello")}, KindProtocol, VerdictUnknown, 1},
		"redirect":             {[]http.HandlerFunc{redirect}, KindProtocol, VerdictUnknown, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFakeDaemon(t)
			d.setReplies(submitOperation, test.replies...)
			_, err := newClient(t, d.URL).Submit(t.Context(), Request{Queue: "labels"})
			if sent := d.count(submitOperation); sent != test.sent {
				t.Errorf("sent %d times, want %d", sent, test.sent)
			}
			if test.kind == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if e := findError(t, err, test.kind, test.verdict); e.Ticket == "" {
				t.Error("the error names no ticket")
			}
		})
	}
}

func TestErrorsHaveTheRequestID(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(submitOperation, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, "r1")
		replyProblem(problemDocument{Status: 500, Code: "internal", Verdict: "unknown"})(w, r)
	})
	_, err := newClient(t, d.URL).Submit(t.Context(), Request{Queue: "labels"})
	if e := findError(t, err, KindRefused, VerdictUnknown); e.RequestID != "r1" || e.Code != "internal" {
		t.Errorf("got %+v", e)
	}
}

func redirect(w http.ResponseWriter, r *http.Request) {
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

func TestSubmitRequestsANewTicketAfterNotRun(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(submitOperation, replyProblem(queueFullProblem), replyDone("x"))
	a, err := newClient(t, d.URL).Submit(t.Context(), Request{Queue: "labels"})
	if err != nil || a.Ticket != "t2" {
		t.Fatalf("got %+v, %v, want ticket t2", a, err)
	}
	if sent := d.requests[submitOperation][0].Header.Get(HeaderTicket); sent != "t1" {
		t.Errorf("the first ticket was %q", sent)
	}
}

func TestSubmitKeepsTheCallersTicket(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(submitOperation, replyProblem(queueFullProblem), replyDone("x"))
	a, err := newClient(t, d.URL).Submit(t.Context(), Request{Queue: "labels", Ticket: "mine"})
	if err != nil || a.Ticket != "mine" || d.count("POST /v1/tickets") != 0 {
		t.Fatalf("got %+v, %v, want ticket mine", a, err)
	}
}

func TestFailedTicketRequestMeansNotRun(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"connection broken":  breakConnection,
		"not a daemon":       replyJSON(200, "hello"),
		"load balancer page": replyJSON(502, "<html>"),
	}
	for name, reply := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFakeDaemon(t)
			d.setReplies("POST /v1/tickets", reply)
			_, err := newClient(t, d.URL).Submit(t.Context(), Request{Queue: "labels"})
			if e := AsError(err); e == nil || e.Verdict != VerdictNotRun {
				t.Errorf("got %v, want not run", err)
			}
			if d.count(submitOperation) != 0 {
				t.Error("the request was sent without a ticket")
			}
		})
	}
}

func TestSubmitRetriesAtTheNextInstance(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(submitOperation, replyDone("x"))
	dead := unusedURL(t)
	if _, err := newClient(t, dead, d.URL, d.URL).Submit(t.Context(), Request{Queue: "labels"}); err != nil {
		t.Error(err)
	}
	_, err := newClient(t, dead).Submit(t.Context(), Request{Queue: "labels"})
	requireError(t, err, KindUnreachable, VerdictNotRun)
}

func TestCancelRequest(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies("DELETE /v1/requests/t 1", replyJSON(200, nil))
	if err := newClient(t, d.URL).CancelRequest(t.Context(), "t 1"); err != nil {
		t.Error(err)
	}
}
