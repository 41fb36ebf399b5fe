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

// Headers of the callers' interface.
const (
	headerTicket     = "Bluebellstile-Ticket"
	headerIdempotent = "Bluebellstile-Idempotent"
	headerDeadline   = "Bluebellstile-Deadline"
	headerCommand    = "Bluebellstile-Command"
	headerVerdict    = "Bluebellstile-Verdict"
)

// Entry is a daemon as callers reach it.
type Entry struct {
	Daemon string
	URL    string
}

// Request is a synchronous request.
type Request struct {
	Queue      string
	Command    string
	Input      []byte
	Want       []byte
	Idempotent bool
	Deadline   time.Duration
	Ticket     string
}

// Answer is what became of one sending of a request.
type Answer struct {
	Verdict    string
	Code       string
	Detail     string
	Output     []byte
	RetryAfter time.Duration
}

// Caller sends requests and jobs and records them.
type Caller struct {
	Name string
	Key  string
	// KeyID names the key in the history.
	KeyID string

	rec    *Recorder
	client *http.Client
	count  atomic.Int64
}

// problem is the body of a refusal.
type problem struct {
	Code         string `json:"code"`
	Detail       string `json:"detail"`
	Remedy       string `json:"remedy"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Ticket       string `json:"ticket"`
}

// NewCaller returns a caller that records into rec. Every request has a
// connection of its own, so that a broken one concerns only that request.
func NewCaller(name, keyID, key string, rec *Recorder) *Caller {
	return &Caller{
		Name: name, Key: key, KeyID: keyID, rec: rec,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Ticket asks an entry for a ticket.
func (c *Caller) Ticket(ctx context.Context, at Entry, queue string) (string, error) {
	var body struct {
		Ticket string `json:"ticket"`
	}
	err := c.call(ctx, http.MethodPost, at.URL+"/v1/tickets", map[string]string{"queue": queue}, &body)
	return body.Ticket, err
}

// Send sends a request once and records both ends of it.
func (c *Caller) Send(ctx context.Context, at Entry, r Request) Answer {
	e := history.Event{Queue: r.Queue, Ticket: r.Ticket, Idempotent: r.Idempotent, InputSum: history.Sum(r.Input), DeadlineMS: r.Deadline.Milliseconds()}
	if r.Want != nil {
		e.ExpectSum = history.Sum(r.Want)
	}
	id := c.recordSent(at, e)
	a := c.send(ctx, at, r)
	c.rec.Add(history.Event{
		Kind: history.RequestAnswered, Source: c.Name, Request: id, Ticket: r.Ticket,
		Verdict: a.Verdict, Code: a.Code, OutputSum: history.Sum(a.Output), Daemon: at.Daemon,
	})
	return a
}

// recordSent completes and records the event of one sending and returns its
// id.
func (c *Caller) recordSent(at Entry, e history.Event) string {
	e.Kind = history.RequestSent
	e.Source = c.Name
	e.Request = fmt.Sprintf("%s.%d", c.Name, c.count.Add(1))
	e.Key = c.KeyID
	e.Daemon = at.Daemon
	c.rec.Add(e)
	return e.Request
}

func (c *Caller) send(ctx context.Context, at Entry, r Request) Answer {
	url := at.URL + "/v1/queues/" + r.Queue + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Input))
	if err != nil {
		return Answer{Verdict: history.VerdictUnknown, Code: history.CodeRefused, Detail: err.Error()}
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
		return brokenAnswer(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return brokenAnswer(ctx, err)
	}
	if resp.StatusCode == http.StatusOK {
		return Answer{Verdict: resp.Header.Get(headerVerdict), Output: body}
	}
	return refusedAnswer(resp.StatusCode, body)
}

// refusedAnswer reads a problem. A body that isn't one leaves the outcome
// unknown.
func refusedAnswer(status int, body []byte) Answer {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Verdict == "" {
		return Answer{Verdict: history.VerdictUnknown, Code: "http_" + strconv.Itoa(status), Detail: string(body)}
	}
	return Answer{
		Verdict: p.Verdict, Code: p.Code, Detail: p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

// brokenAnswer says how a connection failed.
func brokenAnswer(ctx context.Context, err error) Answer {
	a := Answer{Verdict: history.VerdictUnknown, Code: history.CodeLost, Detail: err.Error()}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		a.Code = history.CodeRefused
	case ctx.Err() != nil:
		a.Code = history.CodeTimeout
	}
	return a
}

// Run sends a request through the entries in turn until it is done, at most
// attempts times or until ctx ends. A request whose outcome is unknown keeps
// its ticket; one that was refused as "not run" takes a new one.
func (c *Caller) Run(ctx context.Context, entries []Entry, r Request, attempts int) Answer {
	last := Answer{Verdict: history.VerdictUnknown, Code: history.CodeTimeout}
	for i := 0; i < attempts && ctx.Err() == nil; i++ {
		at := entries[i%len(entries)]
		if r.Ticket == "" {
			ticket, err := c.Ticket(ctx, at, r.Queue)
			if err != nil {
				last = Answer{Verdict: history.VerdictNotRun, Code: "no_ticket", Detail: err.Error()}
				Pause(ctx, retryPause)
				continue
			}
			r.Ticket = ticket
		}
		last = c.sendWithin(ctx, at, r)
		switch last.Verdict {
		case history.VerdictDone:
			return last
		case history.VerdictNotRun:
			r.Ticket = ""
		}
		Pause(ctx, max(last.RetryAfter, retryPause))
	}
	return last
}

// sendWithin sends a request once and waits no longer than attemptTimeout
// beyond its deadline.
func (c *Caller) sendWithin(ctx context.Context, at Entry, r Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+attemptTimeout)
	defer cancel()
	return c.Send(ctx, at, r)
}

// attemptTimeout is how long an answer may take beyond the request's deadline.
const attemptTimeout = 3 * time.Second

// retryPause is the least time between two attempts.
const retryPause = 100 * time.Millisecond

// Pause waits for d or the end of ctx.
func Pause(ctx context.Context, d time.Duration) {
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

// call sends a JSON request and decodes a JSON answer of a status below 300.
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
		return errors.Wrap(err, "make request")
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
		return &refusal{refusedAnswer(resp.StatusCode, data)}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}

// refusal is an answer other than success to a JSON call.
type refusal struct{ answer Answer }

func (r *refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.answer.Verdict, r.answer.Code, r.answer.Detail)
}
