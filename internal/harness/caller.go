package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// Headers of the daemon's HTTP interface for callers.
const (
	headerTicket     = "Bluebellstile-Ticket"
	headerIdempotent = "Bluebellstile-Idempotent"
	headerDeadline   = "Bluebellstile-Deadline"
	headerCommand    = "Bluebellstile-Command"
	headerVerdict    = "Bluebellstile-Verdict"
)

// Entry is the address at which callers reach a daemon.
type Entry struct {
	Daemon string
	URL    string
}

// Request is a synchronous request.
type Request struct {
	Queue   string
	Command string
	Input   []byte
	// Want is the expected output, or nil if the output is not checked.
	Want       []byte
	Idempotent bool
	// Deadline is relative to the time of sending; 0 sends no deadline.
	Deadline time.Duration
	// Ticket identifies the request across attempts; see Caller.Ticket.
	Ticket string
}

// Answer is the outcome of one attempt to send a request. Code and Detail are
// set for refusals and failed connections.
type Answer struct {
	Verdict    string
	Code       string
	Detail     string
	Output     []byte
	RetryAfter time.Duration
}

// Caller sends requests and jobs to the daemons and records what it sends and
// receives.
type Caller struct {
	Name string
	// Key is the secret sent with every request; empty sends none.
	Key string
	// KeyID identifies the key in the recorded history.
	KeyID string

	rec    *Recorder
	client *http.Client
	count  atomic.Int64
}

// problem is the JSON body of an error response.
type problem struct {
	Code         string `json:"code"`
	Detail       string `json:"detail"`
	Remedy       string `json:"remedy"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Ticket       string `json:"ticket"`
}

// NewCaller returns a caller that records into rec. Every request uses a new
// connection, so that a connection failure affects only one request.
func NewCaller(name, keyID, key string, rec *Recorder) *Caller {
	return &Caller{
		Name: name, Key: key, KeyID: keyID, rec: rec,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Ticket requests a ticket for a queue.
func (c *Caller) Ticket(ctx context.Context, entry Entry, queue string) (string, error) {
	var body struct {
		Ticket string `json:"ticket"`
	}
	err := c.call(ctx, http.MethodPost, entry.URL+"/v1/tickets", map[string]string{"queue": queue}, &body)
	return body.Ticket, err
}

// Send sends a request once and records that it was sent and how it was
// answered.
func (c *Caller) Send(ctx context.Context, entry Entry, r Request) Answer {
	e := history.Event{Queue: r.Queue, Ticket: r.Ticket, Idempotent: r.Idempotent, InputSum: history.Checksum(r.Input), DeadlineMS: r.Deadline.Milliseconds()}
	if r.Want != nil {
		e.ExpectSum = history.Checksum(r.Want)
	}
	id := c.recordSent(entry, e)
	a := c.send(ctx, entry, r)
	c.rec.Add(history.Event{
		Kind: history.RequestAnswered, Source: c.Name, Request: id, Ticket: r.Ticket,
		Verdict: a.Verdict, Code: a.Code, OutputSum: history.Checksum(a.Output), Daemon: entry.Daemon,
	})
	return a
}

// recordSent completes and records the event of one attempt and returns the id
// of the attempt.
func (c *Caller) recordSent(entry Entry, e history.Event) string {
	e.Kind = history.RequestSent
	e.Source = c.Name
	e.Request = fmt.Sprintf("%s.%d", c.Name, c.count.Add(1))
	e.Key = c.KeyID
	e.Daemon = entry.Daemon
	c.rec.Add(e)
	return e.Request
}

func (c *Caller) send(ctx context.Context, entry Entry, r Request) Answer {
	url := entry.URL + "/v1/queues/" + r.Queue + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Input))
	if err != nil {
		return Answer{Verdict: history.VerdictUnknown, Code: history.CodeConnectionRefused, Detail: err.Error()}
	}
	c.authorize(req)
	req.Header.Set(headerTicket, r.Ticket)
	req.Header.Set(headerIdempotent, strconv.FormatBool(r.Idempotent))
	req.Header.Set(headerCommand, r.Command)
	if r.Deadline > 0 {
		req.Header.Set(headerDeadline, r.Deadline.String())
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return connectionErrorAnswer(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionErrorAnswer(ctx, err)
	}
	if resp.StatusCode == http.StatusOK {
		return Answer{Verdict: resp.Header.Get(headerVerdict), Output: body}
	}
	return problemAnswer(resp.StatusCode, body)
}

// problemAnswer decodes the body of an error response. If the body is not a
// problem document, the outcome of the request is unknown.
func problemAnswer(status int, body []byte) Answer {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Verdict == "" {
		return Answer{Verdict: history.VerdictUnknown, Code: "http_" + strconv.Itoa(status), Detail: string(body)}
	}
	return Answer{
		Verdict: p.Verdict, Code: p.Code, Detail: p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

// connectionErrorAnswer classifies a transport error: connection refused, caller
// timeout or connection lost. The outcome of the request is unknown.
func connectionErrorAnswer(ctx context.Context, err error) Answer {
	a := Answer{Verdict: history.VerdictUnknown, Code: history.CodeConnectionLost, Detail: err.Error()}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		a.Code = history.CodeConnectionRefused
	case ctx.Err() != nil:
		a.Code = history.CodeTimeout
	}
	return a
}

// Run sends a request to the entries in turn until it is done, at most
// attempts times or until ctx ends. If the outcome of an attempt is unknown, the
// next attempt uses the same ticket; if it was refused as "not run", the next
// attempt requests a new ticket.
func (c *Caller) Run(ctx context.Context, entries []Entry, r Request, attempts int) Answer {
	last := Answer{Verdict: history.VerdictUnknown, Code: history.CodeTimeout}
	for i := 0; i < attempts && ctx.Err() == nil; i++ {
		entry := entries[i%len(entries)]
		if r.Ticket == "" {
			ticket, err := c.Ticket(ctx, entry, r.Queue)
			if err != nil {
				last = Answer{Verdict: history.VerdictNotRun, Code: "no_ticket", Detail: err.Error()}
				Sleep(ctx, minRetryDelay)
				continue
			}
			r.Ticket = ticket
		}
		last = c.sendWithTimeout(ctx, entry, r)
		switch last.Verdict {
		case history.VerdictDone:
			return last
		case history.VerdictNotRun:
			r.Ticket = ""
		}
		Sleep(ctx, max(last.RetryAfter, minRetryDelay))
	}
	return last
}

// sendWithTimeout sends a request once and waits for the answer until
// answerMargin after the request's deadline.
func (c *Caller) sendWithTimeout(ctx context.Context, entry Entry, r Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+answerMargin)
	defer cancel()
	return c.Send(ctx, entry, r)
}

// answerMargin is how long after the request's deadline an answer may arrive.
const answerMargin = 3 * time.Second

// minRetryDelay is the minimum delay between two attempts.
const minRetryDelay = 100 * time.Millisecond

// Sleep returns after d or when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *Caller) authorize(req *http.Request) {
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
}

// call sends a JSON request and decodes a JSON response with a status below 300
// into out. Other statuses yield a *refusalError.
func (c *Caller) call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	c.authorize(req)
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &refusalError{problemAnswer(resp.StatusCode, data)}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}

// refusalError is an error response to a JSON call.
type refusalError struct{ answer Answer }

func (r *refusalError) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.answer.Verdict, r.answer.Code, r.answer.Detail)
}
