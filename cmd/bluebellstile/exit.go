package main

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Exit codes. Scripts rely on them; docs/OPERATIONS.md lists them.
const (
	exitDone     = 0
	exitError    = 1
	exitUsage    = 2
	exitNotRun   = 3
	exitUnknown  = 4
	exitFailed   = 5
	exitConflict = 6
	exitInvalid  = 7
	exitDiffers  = 8
)

// codeError ends the command with a code. Without a cause nothing is printed.
type codeError struct {
	code  int
	cause error
}

func (e *codeError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

func (e *codeError) Unwrap() error {
	return e.cause
}

// usageError is a mistake in the arguments.
func usageError(format string, args ...any) error {
	return &codeError{code: exitUsage, cause: errors.Errorf(format, args...)}
}

// readError is the failure of a command that only reads. Its verdict says
// nothing about any work, so that the code is the one for plain errors.
func readError(err error) error {
	if err == nil {
		return nil
	}
	return &codeError{code: exitError, cause: err}
}

// exitCode returns the code that err stands for.
func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	var coded *codeError
	if errors.As(err, &coded) {
		return coded.code
	}
	if isInvalid(err) {
		return exitInvalid
	}
	if e := client.AsError(err); e != nil {
		return clientCode(e)
	}
	return exitError
}

// isInvalid reports whether err is about the text of a file.
func isInvalid(err error) bool {
	var configFault *operator.Error
	var configFaults operator.Errors
	var settingsFaults settings.Errors
	return errors.As(err, &configFaults) || errors.As(err, &configFault) || errors.As(err, &settingsFaults)
}

func clientCode(e *client.Error) int {
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
