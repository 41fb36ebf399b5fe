package loglist

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind classifies a failure of the platform by what the caller can do.
type ErrorKind string

// Error kinds.
const (
	// KindUnavailable means that the platform did not serve the call. An
	// append that fails with it has certainly not been made.
	KindUnavailable ErrorKind = "unavailable"
	// KindAppendUnknown means that an append may have been made, or may still
	// be made by a delayed request.
	KindAppendUnknown ErrorKind = "append_unknown"
	// KindTrimmed means that retention has dropped the offset asked for.
	KindTrimmed ErrorKind = "trimmed"
	// KindTooLarge means that the record exceeds what the log takes.
	KindTooLarge ErrorKind = "too_large"
	// KindBadRequest means that the platform rejects the call for good.
	KindBadRequest ErrorKind = "bad_request"
)

// remedies tells, by kind, what to do about a failure.
var remedies = map[ErrorKind]string{
	KindUnavailable:   "nothing was changed; retry later and check that the platform can be reached",
	KindAppendUnknown: "it may have been appended; read the log for the record id before appending again",
	KindTrimmed:       "start again from the first kept offset and rebuild from snapshots",
	KindTooLarge:      "split the record",
	KindBadRequest:    "correct the call; retrying it can't help",
}

// Error is a failed call of the platform.
type Error struct {
	Kind ErrorKind
	// Op is the operation: "append", "read" or "list".
	Op string
	// First is the lowest kept offset; it is set for KindTrimmed only.
	First uint64
	cause error
}

// Error implements error. The message names the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s: %s: %v; %s", e.Op, e.Kind, e.cause, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of err, or "" if err is no Error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// certainty says what is known about the effect of a failed attempt.
type certainty int

const (
	// noEffect: the platform certainly did not act.
	noEffect certainty = iota
	// mayHaveEffect: the platform may have acted, or may act yet.
	mayHaveEffect
)

// attemptError is the failure of one HTTP exchange.
type attemptError struct {
	kind      ErrorKind
	certainty certainty
	permanent bool
	first     uint64
	cause     error
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }

// MayBeAppended reports whether a record whose append failed with err may
// stand in the log, or may come to stand there.
func MayBeAppended(err error) bool {
	kind := KindOf(err)
	return kind == KindAppendUnknown || kind == ""
}

// TrimmedTo returns the first kept offset if err says that retention has
// dropped the one asked for.
func TrimmedTo(err error) (first uint64, ok bool) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindTrimmed {
		return e.First, true
	}
	return 0, false
}
