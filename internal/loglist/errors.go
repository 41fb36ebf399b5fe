package loglist

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind classifies a failed call by what the caller can do about it.
type ErrorKind string

// Error kinds.
const (
	// KindUnavailable means that the platform did not serve the call. An
	// append that fails with it has certainly not been made.
	KindUnavailable ErrorKind = "unavailable"
	// KindAppendUnknown means that an append may have been made, or may still
	// be made by a delayed request.
	KindAppendUnknown ErrorKind = "append_unknown"
	// KindTrimmed means that retention has dropped the requested offset.
	KindTrimmed ErrorKind = "trimmed"
	// KindTooLarge means that the record exceeds the log's size limit.
	KindTooLarge ErrorKind = "too_large"
	// KindBadRequest means that the call is invalid. A retry fails as well.
	KindBadRequest ErrorKind = "bad_request"
)

// remedies gives the remedy for each kind of failure.
var remedies = map[ErrorKind]string{
	KindUnavailable:   "nothing was changed; retry later and check that the platform can be reached",
	KindAppendUnknown: "the record may have been appended; search the log for the record id before appending again",
	KindTrimmed:       "start again from the first retained offset and rebuild from snapshots",
	KindTooLarge:      "split the record",
	KindBadRequest:    "correct the call; retrying it can't help",
}

// Error is a failed call of the platform.
type Error struct {
	Kind ErrorKind
	// Op is the operation: "append", "read" or "list".
	Op string
	// First is the lowest retained offset; it is set for KindTrimmed only.
	First uint64
	cause error
}

// Error implements error. The message includes the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s: %s: %v; %s", e.Op, e.Kind, e.cause, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of err, or "" if err is not an Error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// effect says what is known about the effect of a failed attempt.
type effect int

const (
	// noEffect means that the platform certainly did not act on the attempt.
	noEffect effect = iota
	// mayHaveEffect means that the platform may have acted on the attempt or
	// may still do so.
	mayHaveEffect
)

// attemptError is the failure of one HTTP exchange.
type attemptError struct {
	kind      ErrorKind
	effect    effect
	permanent bool
	first     uint64
	cause     error
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }

// MayBeAppended reports whether a record whose append failed with err may be in
// the log, or may still be appended by a delayed request.
func MayBeAppended(err error) bool {
	kind := KindOf(err)
	return kind == KindAppendUnknown || kind == ""
}

// TrimmedTo returns the first retained offset if err means that retention has
// dropped the requested one.
func TrimmedTo(err error) (first uint64, ok bool) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindTrimmed {
		return e.First, true
	}
	return 0, false
}
