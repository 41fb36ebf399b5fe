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

// Kind classifies errors.
type Kind string

// Error kinds.
const (
	// KindRefused is a refusal by a daemon.
	KindRefused Kind = "refused"
	// KindUnauthorized is a refusal because of the key.
	KindUnauthorized Kind = "unauthorized"
	// KindNotFound means that the job, queue or version doesn't exist.
	KindNotFound Kind = "not found"
	// KindConflict means that another change of the configuration came first.
	KindConflict Kind = "conflict"
	// KindFailed means that the work ran and failed. Its verdict may be
	// unknown, since what a failed task has done is not known.
	KindFailed Kind = "failed"
	// KindUnreachable means that no connection could be made.
	KindUnreachable Kind = "unreachable"
	// KindBroken means that the connection broke before the whole answer
	// had come.
	KindBroken Kind = "broken"
	// KindProtocol is an answer that isn't one of a daemon.
	KindProtocol Kind = "protocol"
)

// Verdict says what became of the work.
type Verdict = problem.Verdict

// Verdicts. VerdictUnknown means that the work may have run.
const (
	VerdictDone    = problem.Done
	VerdictNotRun  = problem.NotRun
	VerdictUnknown = problem.Unknown
)

// Error is the failure of one operation.
type Error struct {
	Kind Kind
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	// Code is the daemon's stable code of the refusal.
	Code    problem.Code
	Detail  string
	Remedy  string
	Verdict Verdict
	// RetryAfter is the daemon's hint when to try again; 0 if it gave none.
	RetryAfter time.Duration
	// Ticket names the request whose outcome is meant.
	Ticket string
	// RequestID finds the request in the daemon's logs.
	RequestID string

	cause error
}

// Error returns verdict, cause and remedy in one line.
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

// Unwrap returns the failure of the transport, if that was the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Temporary reports whether the same operation may succeed later.
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

// transportError classifies a failure to get an answer. A connection that was
// never made has carried no request; anything else may have.
func transportError(ctx context.Context, err error) *Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{
			Kind:    KindUnreachable,
			Detail:  err.Error(),
			Remedy:  "check the address and that the daemon runs, or name another instance",
			Verdict: VerdictNotRun,
			cause:   err,
		}
	}
	detail := err.Error()
	if ctx.Err() != nil {
		detail = "no answer came in time: " + detail
	}
	return brokenError(detail, err)
}

// brokenError is an answer that was lost in part or whole.
func brokenError(detail string, cause error) *Error {
	return &Error{
		Kind:    KindBroken,
		Detail:  detail,
		Remedy:  "ask again with the same ticket; it never runs twice",
		Verdict: VerdictUnknown,
		cause:   cause,
	}
}

// answerError turns an answer that isn't a success into an error.
func answerError(a *answer) *Error {
	var p document
	mediaType, _, err := mime.ParseMediaType(a.header.Get("Content-Type"))
	if err != nil || mediaType != problemType || json.Unmarshal(a.body, &p) != nil {
		return protocolError(a, "no problem document came with it")
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
		Kind:       problemKind(a.status, p.Code, verdict),
		Status:     a.status,
		Code:       p.Code,
		Detail:     detail,
		Remedy:     p.Remedy,
		Verdict:    verdict,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
		Ticket:     p.Ticket,
		RequestID:  a.header.Get(HeaderRequestID),
	}
}

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

// protocolError is an answer that no daemon gives, perhaps from a balancer in
// between, which can't know what became of the request.
func protocolError(a *answer, why string) *Error {
	return &Error{
		Kind:    KindProtocol,
		Status:  a.status,
		Detail:  fmt.Sprintf("the answer with status %d is not one of a daemon: %s", a.status, why),
		Remedy:  "check that the address is one of bluebellstiled",
		Verdict: VerdictUnknown,
	}
}
