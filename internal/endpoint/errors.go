package endpoint

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind classifies a failed command by what the holder can do about it.
type ErrorKind string

// Error kinds.
const (
	// KindFenced means that a higher epoch has attached to the endpoint.
	KindFenced ErrorKind = "fenced"
	// KindNotAttached means that the endpoint, or this incarnation of it,
	// doesn't know the epoch.
	KindNotAttached ErrorKind = "not_attached"
	// KindUnreachable means that no response arrived, or a server error. See
	// Error.MaybeDelivered.
	KindUnreachable ErrorKind = "unreachable"
	// KindRefused means that the command was rejected and not executed.
	KindRefused ErrorKind = "refused"
	// KindMalformed means that the response is invalid.
	KindMalformed ErrorKind = "malformed"
)

// remedies gives the remedy for each kind of failure.
var remedies = map[ErrorKind]string{
	KindFenced:      "stop using this epoch; another holder has taken over",
	KindNotAttached: "attach to the endpoint again before other commands",
	KindUnreachable: "repeat the command; all commands are idempotent",
	KindRefused:     "correct the command; repeating it can't help",
	KindMalformed:   "attach again to learn the endpoint's state, and check its version",
}

// Error is a failed command.
type Error struct {
	Kind ErrorKind
	// Op is the path of the command.
	Op string
	// Address is the endpoint's address.
	Address string
	// Epoch is the highest attached epoch; it is set for KindFenced only.
	Epoch uint64
	// MaybeDelivered is set if the endpoint may have executed the command or
	// may still execute it.
	MaybeDelivered bool
	cause          error
}

// Error implements error. The message includes the remedy.
func (e *Error) Error() string {
	effect := "not delivered"
	if e.MaybeDelivered {
		effect = "may have been delivered"
	}
	return fmt.Sprintf("endpoint %s %s: %s (%s): %v; %s", e.Address, e.Op, e.Kind, effect, e.cause, remedies[e.Kind])
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

// FencedBy returns the higher epoch that fenced the command, if one did.
func FencedBy(err error) (epoch uint64, ok bool) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindFenced {
		return e.Epoch, true
	}
	return 0, false
}

// MaybeDelivered reports whether the endpoint may have executed the command
// that failed with err. It is true for errors that aren't an Error.
func MaybeDelivered(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.MaybeDelivered
	}
	return err != nil
}
