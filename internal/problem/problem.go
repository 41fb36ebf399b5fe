// Package problem defines the errors that callers and operators get. Each has a
// stable code, a remedy and a verdict, which tells whether the requested work
// ran.
package problem

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Verdict tells whether the work that a caller asked for has run.
type Verdict string

// Verdicts. Done means that the work has run; NotRun that no part of it has run
// or will run; Unknown that it may have run.
const (
	Done    Verdict = "done"
	NotRun  Verdict = "not run"
	Unknown Verdict = "unknown"
)

// Code identifies a kind of problem. Codes are stable.
type Code string

// Codes of refusals and failures.
const (
	BadRequest        Code = "bad_request"
	BodyTooLarge      Code = "body_too_large"
	HeaderTooLarge    Code = "header_too_large"
	TruncatedBody     Code = "truncated_body"
	BodyLate          Code = "body_late"
	Overloaded        Code = "overloaded"
	UnknownQueue      Code = "unknown_queue"
	KeyMissing        Code = "key_missing"
	KeyRefused        Code = "key_refused"
	TeamNotAllowed    Code = "team_not_allowed"
	ConfigNotFresh    Code = "config_not_fresh"
	QueueFull         Code = "queue_full"
	NoHolder          Code = "no_holder"
	ZoneDraining      Code = "zone_draining"
	NeverRunnable     Code = "never_runnable"
	DeadlineQueued    Code = "deadline_while_queued"
	DeadlineRunning   Code = "deadline_while_running"
	Cancelled         Code = "cancelled"
	TicketConflict    Code = "ticket_conflict"
	TicketInvalid     Code = "ticket_invalid"
	TicketExpired     Code = "ticket_expired"
	OutcomeLost       Code = "outcome_lost"
	Moved             Code = "moved"
	TaskFailed        Code = "task_failed"
	LogUnavailable    Code = "log_unavailable"
	LogOutcomeUnknown Code = "log_outcome_unknown"
	UnknownJob        Code = "unknown_job"
	VersionConflict   Code = "version_conflict"
	InvalidConfig     Code = "invalid_config"
	ShuttingDown      Code = "shutting_down"
	Internal          Code = "internal"
)

// httpStatus maps codes to HTTP status codes. All others have status 500.
var httpStatus = map[Code]int{
	BadRequest:        http.StatusBadRequest,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	TruncatedBody:     http.StatusBadRequest,
	BodyLate:          http.StatusServiceUnavailable,
	Overloaded:        http.StatusServiceUnavailable,
	UnknownQueue:      http.StatusNotFound,
	KeyMissing:        http.StatusUnauthorized,
	KeyRefused:        http.StatusForbidden,
	TeamNotAllowed:    http.StatusForbidden,
	ConfigNotFresh:    http.StatusServiceUnavailable,
	QueueFull:         http.StatusTooManyRequests,
	NoHolder:          http.StatusServiceUnavailable,
	ZoneDraining:      http.StatusServiceUnavailable,
	NeverRunnable:     http.StatusUnprocessableEntity,
	DeadlineQueued:    http.StatusGatewayTimeout,
	DeadlineRunning:   http.StatusGatewayTimeout,
	Cancelled:         http.StatusConflict,
	TicketConflict:    http.StatusConflict,
	TicketInvalid:     http.StatusBadRequest,
	TicketExpired:     http.StatusGone,
	OutcomeLost:       http.StatusBadGateway,
	Moved:             http.StatusServiceUnavailable,
	TaskFailed:        http.StatusBadGateway,
	LogUnavailable:    http.StatusServiceUnavailable,
	LogOutcomeUnknown: http.StatusBadGateway,
	UnknownJob:        http.StatusNotFound,
	VersionConflict:   http.StatusConflict,
	InvalidConfig:     http.StatusUnprocessableEntity,
	ShuttingDown:      http.StatusServiceUnavailable,
}

// Problem is a refusal or failure with its remedy. It implements error.
type Problem struct {
	Code    Code
	Verdict Verdict
	Detail  string
	Remedy  string
	// RetryAfter is the delay after which the same request may succeed; 0 means
	// that it is unknown.
	RetryAfter time.Duration
}

// Error returns the code, verdict, detail and remedy.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", p.Code, p.Verdict, p.Detail, p.Remedy)
}

// Status returns the HTTP status code of p's code.
func (p *Problem) Status() int {
	if s, ok := httpStatus[p.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Refuse returns a problem whose verdict is NotRun.
func Refuse(code Code, remedy, format string, args ...any) *Problem {
	return &Problem{Code: code, Verdict: NotRun, Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

// UnknownOutcome returns a problem whose verdict is Unknown.
func UnknownOutcome(code Code, remedy, format string, args ...any) *Problem {
	return &Problem{Code: code, Verdict: Unknown, Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

// WithRetryAfter sets RetryAfter and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// From returns the problem in err's chain, or else a problem with the code
// Internal and the given verdict.
func From(err error, verdict Verdict) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{
		Code:    Internal,
		Verdict: verdict,
		Detail:  err.Error(),
		Remedy:  "report the request id to the operators",
	}
}
