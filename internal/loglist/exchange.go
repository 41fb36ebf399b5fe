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

// maxErrorBytes bounds how much of an error's body goes into its message.
const maxErrorBytes = 512

var (
	// errBreakerOpen makes a call fail fast.
	errBreakerOpen = errors.New("circuit breaker is open after repeated failures")
	// errResponseTooLarge means that a response exceeds MaxResponseBytes.
	errResponseTooLarge = errors.Errorf("response is over %d bytes", MaxResponseBytes)
)

// request is one HTTP exchange with the platform.
type request struct {
	op     string
	method string
	url    string
	body   []byte
	// wait is how long the platform may hold the request.
	wait time.Duration
	// tag, if set, makes the request conditional.
	tag *entityTag
}

// entityTag is the tag of a cached answer and what became of asking again.
type entityTag struct {
	known     string
	unchanged bool
}

// exchange makes one attempt, decodes the body into out and keeps the
// operation's breaker. Its error is an *attemptError.
func (c *Client) exchange(ctx context.Context, r request, out any) error {
	if err := ctx.Err(); err != nil {
		return &attemptError{kind: KindUnavailable, certainty: noEffect, permanent: true, cause: err}
	}
	b := c.breakers[r.op]
	if !b.allow() {
		return &attemptError{kind: KindUnavailable, certainty: noEffect, permanent: true, cause: errBreakerOpen}
	}
	started := time.Now()
	err := c.roundTrip(ctx, r, out)
	patient := time.Since(started) >= c.timeout/2+r.wait
	b.record(outcomeOf(err, ctx.Err() != nil && !patient))
	return err
}

// outcomeOf says what an attempt tells about the platform's health, which is
// nothing if its caller gave up early.
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
		return &attemptError{kind: KindBadRequest, certainty: noEffect, permanent: true, cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if r.tag != nil && r.tag.known != "" {
		req.Header.Set("If-None-Match", r.tag.known)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &attemptError{kind: KindUnavailable, certainty: sendCertainty(sent.Load()), cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	c.metrics.sent.Add(int64(len(r.body)))
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	c.metrics.received.Add(int64(len(body)))
	if err != nil {
		return &attemptError{kind: KindUnavailable, certainty: mayHaveEffect, cause: err}
	}
	if r.tag != nil && resp.StatusCode == http.StatusNotModified {
		r.tag.unchanged = true
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, body)
	}
	if r.tag != nil {
		r.tag.known = resp.Header.Get("ETag")
	}
	return decodeBody(body, out)
}

// decodeBody parses a successful response.
func decodeBody(body []byte, out any) error {
	if len(body) > MaxResponseBytes {
		return &attemptError{kind: KindUnavailable, certainty: mayHaveEffect, permanent: true, cause: errResponseTooLarge}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &attemptError{kind: KindUnavailable, certainty: mayHaveEffect, cause: errors.Wrap(err, "decode response")}
	}
	return nil
}

// sendCertainty tells a request that never had a connection, and so had no
// effect, from any later failure.
func sendCertainty(sent bool) certainty {
	if sent {
		return mayHaveEffect
	}
	return noEffect
}

// statusError classifies a response by its status. Any 5xx may come from a
// gateway that gave up on a request which the log still completes.
func statusError(status int, body []byte) *attemptError {
	e := &attemptError{kind: KindBadRequest, certainty: noEffect, permanent: true}
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
		e.kind, e.permanent, e.certainty = KindUnavailable, false, mayHaveEffect
	}
	return e
}

// trimmedFirst reads the lowest kept offset from the body of a trimmed read.
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
