package operator

import (
	"fmt"
	"strings"
)

// ErrorKind classifies the errors of a configuration.
type ErrorKind string

// Error kinds. Those of the first group come from reading or printing the
// text, those of the second group from Validate, which Parse and Print call.
// KindBadValue comes from both.
const (
	KindTooLarge         ErrorKind = "too large"
	KindSyntax           ErrorKind = "syntax"
	KindTruncated        ErrorKind = "truncated"
	KindUnknownSection   ErrorKind = "unknown section"
	KindUnknownKey       ErrorKind = "unknown key"
	KindDuplicateSection ErrorKind = "duplicate section"
	KindDuplicateKey     ErrorKind = "duplicate key"
	KindMissingKey       ErrorKind = "missing key"
	KindBadValue         ErrorKind = "bad value"

	KindBadName    ErrorKind = "bad name"
	KindDuplicate  ErrorKind = "duplicate"
	KindMissing    ErrorKind = "missing"
	KindUnknownRef ErrorKind = "unknown reference"
	KindRange      ErrorKind = "out of range"
	KindConflict   ErrorKind = "conflict"
)

// Error is one error in a configuration.
type Error struct {
	Kind ErrorKind
	// Section is the header of the invalid section without brackets, for
	// example `team "press"`. It is empty if the error concerns the whole
	// configuration.
	Section string
	// Key is the invalid key of the section, or empty.
	Key string
	// Line is the line number, from 1; 0 if it isn't known.
	Line int
	// Rule says what is wrong.
	Rule string
	// Remedy says how to correct it.
	Remedy string
}

// Error returns the line number, the section, the key, the rule and the remedy
// in one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", e.Line)
	}
	if e.Section != "" {
		b.WriteString(e.Section + ": ")
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Rule)
	if e.Remedy != "" {
		b.WriteString("; " + e.Remedy)
	}
	return b.String()
}

// Errors lists every error found. Errors in a text are in the order of its
// sections, those of Validate in the order of the sections of the canonical text.
type Errors []*Error

// Error returns one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, so that errors.As finds single ones.
func (e Errors) Unwrap() []error {
	out := make([]error, len(e))
	for i, err := range e {
		out[i] = err
	}
	return out
}

// orNil returns e as an error, or nil if e is empty.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
