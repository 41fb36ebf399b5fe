package client

import (
	"context"
	"encoding/json"
	"fmt"
	"mime"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// Kind classifies the errors of operations.
type Kind string

// Error kinds.
const (
	// KindRefused means that a daemon refused the operation for a reason that
	// no other kind covers, or that the request could not be encoded.
	KindRefused Kind = "refused"
	// KindUnauthorized means that a daemon refused the operation because of
	// the key.
	KindUnauthorized Kind = "unauthorized"
	// KindNotFound means that the job, queue or version doesn't exist.
	KindNotFound Kind = "not found"
	// KindConflict means that the expected version of the configuration was
	// replaced by another change first.
	KindConflict Kind = "conflict"
	// KindFailed means that the work ran and failed. The verdict may be
	// unknown, since it is not known what a failed task did before it failed.
	KindFailed Kind = "failed"
	// KindUnreachable means that no connection could be made.
	KindUnreachable Kind = "unreachable"
	// KindBroken means that the whole response could not be read: the
	// connection broke, the context ended or the response is too large.
	KindBroken Kind = "broken"
	// KindProtocol means that the response is not one that a daemon sends.
	KindProtocol Kind = "protocol"
)

// Verdict tells whether the work of an operation was done.
type Verdict = problem.Verdict

// Verdicts. VerdictNotRun means that the work has certainly not run, and
// VerdictUnknown that it may have run.
const (
	VerdictDone    = problem.Done
	VerdictNotRun  = problem.NotRun
	VerdictUnknown = problem.Unknown
)

// Error is the failure of one operation.
type Error struct {
	Kind Kind
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// Code is the daemon's code for the reason of the refusal. Codes are
	// stable, so that programs can rely on them.
	Code problem.Code
	// Detail describes what failed.
	Detail string
	// Remedy suggests what the caller can do; it may be empty.
	Remedy  string
	Verdict Verdict
	// RetryAfter is how long the daemon asks to wait before a retry; 0 if it
	// didn't say.
	RetryAfter time.Duration
	// Ticket identifies the request or job whose outcome the error describes.
	Ticket string
	// RequestID identifies the HTTP request in the daemon's logs.
	RequestID string

	cause error
}

// Error returns the verdict, detail, code and remedy in one line.
func (e *Error) Error() string {
	text := string(e.Verdict) + ": " + e.Detail
	if e.Code != "" {
		text += " (" + string(e.Code) + ")"
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the underlying error, nil if a daemon reported the failure.
func (e *Error) Unwrap() error {
	return e.cause
}

// Temporary reports whether the same operation may succeed later without a
// change.
func (e *Error) Temporary() bool {
	switch {
	case e.Kind == KindUnreachable, e.RetryAfter > 0:
		return true
	case e.Status == http.StatusTooManyRequests, e.Status == http.StatusServiceUnavailable:
		return true
	}
	return false
}

// AsError returns the *Error in err's chain, nil if there is none.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// transportError classifies an error of the HTTP transport. If dialing failed,
// the request was not sent; after any other error it may have been.
func transportError(ctx context.Context, err error) *Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{
			Kind:    KindUnreachable,
			Detail:  err.Error(),
			Remedy:  "check the address and that the daemon is running, or use another instance",
			Verdict: VerdictNotRun,
			cause:   err,
		}
	}
	detail := err.Error()
	if ctx.Err() != nil {
		detail = "no response in time: " + detail
	}
	return brokenError(detail, err)
}

// brokenError returns the error of an operation whose response was lost in
// part or in whole.
func brokenError(detail string, cause error) *Error {
	return &Error{
		Kind:    KindBroken,
		Detail:  detail,
		Remedy:  "ask again with the same ticket; it never runs twice",
		Verdict: VerdictUnknown,
		cause:   cause,
	}
}

// responseError converts a response that isn't a success into an error. A
// problem document without a valid verdict counts as unknown.
func responseError(resp *bufferedResponse) *Error {
	var p problemDocument
	mediaType, _, err := mime.ParseMediaType(resp.header.Get("Content-Type"))
	if err != nil || mediaType != problemType || json.Unmarshal(resp.body, &p) != nil {
		return protocolError(resp, "it has no problem document")
	}
	verdict := Verdict(p.Verdict)
	switch verdict {
	case VerdictDone, VerdictNotRun, VerdictUnknown:
	default:
		verdict = VerdictUnknown
	}
	detail := p.Detail
	if detail == "" {
		detail = p.Title
	}
	return &Error{
		Kind:       problemKind(resp.status, p.Code, verdict),
		Status:     resp.status,
		Code:       p.Code,
		Detail:     detail,
		Remedy:     p.Remedy,
		Verdict:    verdict,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
		Ticket:     p.Ticket,
		RequestID:  resp.header.Get(HeaderRequestID),
	}
}

// problemKind returns the kind of a problem document.
func problemKind(status int, code problem.Code, verdict Verdict) Kind {
	switch {
	case code == problem.TaskFailed, verdict == VerdictDone:
		return KindFailed
	case status == http.StatusUnauthorized, status == http.StatusForbidden:
		return KindUnauthorized
	case status == http.StatusNotFound:
		return KindNotFound
	case code == problem.VersionConflict:
		return KindConflict
	}
	return KindRefused
}

// protocolError returns the error for a response that no daemon sends. It may
// come from a load balancer, which can't know what became of the request, so
// the verdict is unknown.
func protocolError(resp *bufferedResponse, why string) *Error {
	return &Error{
		Kind:    KindProtocol,
		Status:  resp.status,
		Detail:  fmt.Sprintf("the response with status %d is not one that a daemon sends: %s", resp.status, why),
		Remedy:  "check that the address is one of bluebellstiled",
		Verdict: VerdictUnknown,
	}
}
