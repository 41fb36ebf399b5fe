package main

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Exit codes. Scripts rely on them, and docs/OPERATIONS.md lists them.
const (
	exitOK       = 0
	exitError    = 1
	exitUsage    = 2
	exitNotRun   = 3
	exitUnknown  = 4
	exitFailed   = 5
	exitConflict = 6
	exitInvalid  = 7
	exitDiffers  = 8
)

// exitCodeError is an error that sets the exit code. Nothing is printed for it
// if it has no cause.
type exitCodeError struct {
	code  int
	cause error
}

func (e *exitCodeError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

func (e *exitCodeError) Unwrap() error {
	return e.cause
}

// usageError returns an error about the command line.
func usageError(format string, args ...any) error {
	return &exitCodeError{code: exitUsage, cause: errors.Errorf(format, args...)}
}

// readOnlyError wraps the error of a command that only reads, so that its exit
// code is exitError. The codes for verdicts are about work, of which such a
// command does none.
func readOnlyError(err error) error {
	if err == nil {
		return nil
	}
	return &exitCodeError{code: exitError, cause: err}
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var exitErr *exitCodeError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	if isInvalidFile(err) {
		return exitInvalid
	}
	if e := client.AsError(err); e != nil {
		return clientExitCode(e)
	}
	return exitError
}

// isInvalidFile reports whether err is about the contents of a configuration or
// settings file.
func isInvalidFile(err error) bool {
	var configErr *operator.Error
	var configErrs operator.Errors
	var settingsErrs settings.Errors
	return errors.As(err, &configErrs) || errors.As(err, &configErr) || errors.As(err, &settingsErrs)
}

// clientExitCode returns the exit code for an error of the client. A conflict
// whose verdict is unknown counts as unknown, since the publication may have
// taken effect.
func clientExitCode(e *client.Error) int {
	if e.Kind == client.KindConflict && e.Verdict != client.VerdictUnknown {
		return exitConflict
	}
	switch {
	case e.Kind == client.KindFailed:
		return exitFailed
	case e.Verdict == client.VerdictNotRun:
		return exitNotRun
	}
	return exitUnknown
}
