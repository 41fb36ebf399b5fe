package loglist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxErrorBytes bounds the part of an error response's body that the error
// message quotes.
const maxErrorBytes = 512

var (
	// errBreakerOpen makes a call fail fast.
	errBreakerOpen = errors.New("circuit breaker is open after repeated failures")
	// errResponseTooLarge means that a response exceeds MaxResponseBytes.
	errResponseTooLarge = errors.Errorf("response exceeds %d bytes", MaxResponseBytes)
)

// request is one HTTP exchange with the platform.
type request struct {
	op     string
	method string
	url    string
	body   []byte
	// wait is how long the platform may hold the request.
	wait time.Duration
	// etag, if set, makes the request conditional.
	etag *entityTag
}

// entityTag is the entity tag of a cached response and the result of asking for
// it again.
type entityTag struct {
	value       string
	notModified bool
}

// exchange makes one attempt, decodes the body into out and reports the outcome
// to the operation's breaker. Its error is an *attemptError.
func (c *Client) exchange(ctx context.Context, r request, out any) error {
	if err := ctx.Err(); err != nil {
		return &attemptError{kind: KindUnavailable, effect: noEffect, permanent: true, cause: err}
	}
	b := c.breakers[r.op]
	if !b.allow() {
		return &attemptError{kind: KindUnavailable, effect: noEffect, permanent: true, cause: errBreakerOpen}
	}
	started := time.Now()
	err := c.roundTrip(ctx, r, out)
	waitedLong := time.Since(started) >= c.timeout/2+r.wait
	b.record(outcomeOf(err, ctx.Err() != nil && !waitedLong))
	return err
}

// outcomeOf returns the outcome of an attempt for the breaker. An attempt whose
// caller gave up early says nothing about the platform's health.
func outcomeOf(err error, gaveUp bool) outcome {
	var attempt *attemptError
	switch {
	case err == nil:
		return succeeded
	case gaveUp:
		return abandoned
	case errors.As(err, &attempt) && attempt.kind != KindUnavailable:
		return succeeded
	}
	return failed
}

// roundTrip sends the request and reads the response.
func (c *Client) roundTrip(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.wait)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, bytes.NewReader(r.body))
	if err != nil {
		return &attemptError{kind: KindBadRequest, effect: noEffect, permanent: true, cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if r.etag != nil && r.etag.value != "" {
		req.Header.Set("If-None-Match", r.etag.value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &attemptError{kind: KindUnavailable, effect: effectOfSend(sent.Load()), cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	c.metrics.sent.Add(int64(len(r.body)))
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	c.metrics.received.Add(int64(len(body)))
	if err != nil {
		return &attemptError{kind: KindUnavailable, effect: mayHaveEffect, cause: err}
	}
	if r.etag != nil && resp.StatusCode == http.StatusNotModified {
		r.etag.notModified = true
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, body)
	}
	if r.etag != nil {
		r.etag.value = resp.Header.Get("ETag")
	}
	return decodeBody(body, out)
}

// decodeBody parses a successful response.
func decodeBody(body []byte, out any) error {
	if len(body) > MaxResponseBytes {
		return &attemptError{kind: KindUnavailable, effect: mayHaveEffect, permanent: true, cause: errResponseTooLarge}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &attemptError{kind: KindUnavailable, effect: mayHaveEffect, cause: errors.Wrap(err, "decode response")}
	}
	return nil
}

// effectOfSend returns noEffect for a request that failed before it got a
// connection, and mayHaveEffect for any later failure.
func effectOfSend(sent bool) effect {
	if sent {
		return mayHaveEffect
	}
	return noEffect
}

// statusError classifies a response by its status. A 5xx may come from a
// gateway that abandoned a request that the log still completes.
func statusError(status int, body []byte) *attemptError {
	e := &attemptError{kind: KindBadRequest, effect: noEffect, permanent: true}
	e.cause = errors.Errorf("status %d: %s", status, summary(body))
	switch {
	case status == http.StatusRequestEntityTooLarge:
		e.kind = KindTooLarge
	case status == StatusTrimmed:
		e.kind = KindTrimmed
		e.first = trimmedFirst(body)
	case status == http.StatusTooManyRequests:
		e.kind, e.permanent = KindUnavailable, false
	case status >= http.StatusInternalServerError:
		e.kind, e.permanent, e.effect = KindUnavailable, false, mayHaveEffect
	}
	return e
}

// trimmedFirst reads the lowest retained offset from the body of a trimmed read.
func trimmedFirst(body []byte) uint64 {
	var page ReadResponse
	if err := json.Unmarshal(body, &page); err != nil {
		return 0
	}
	return page.First
}

// summary returns the start of a body as one line of text.
func summary(body []byte) string {
	if len(body) > maxErrorBytes {
		body = body[:maxErrorBytes]
	}
	return strings.Join(strings.Fields(string(body)), " ")
}
