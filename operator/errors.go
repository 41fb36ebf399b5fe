package operator

import (
	"fmt"
	"strings"
)

// ErrorKind classifies what is wrong with a configuration.
type ErrorKind string

// Error kinds. The first group comes from Parse alone, the second from
// Validate and so from Parse and Print too.
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

// Error is one fault of a configuration.
type Error struct {
	Kind ErrorKind
	// Section names the faulty aggregate as its section header does, for
	// example `team "press"`; empty for the whole configuration.
	Section string
	// Key is the faulty key of the section, if there is one.
	Key string
	// Line counts from 1; 0 when it isn't known.
	Line int
	// Rule says what is wrong.
	Rule string
	// Remedy says what to do about it.
	Remedy string
}

// Error returns the place, the rule and the remedy in one line.
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

// Errors is every fault found, in the order of the canonical text.
type Errors []*Error

// Error returns one line per fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find single faults.
func (e Errors) Unwrap() []error {
	out := make([]error, len(e))
	for i, one := range e {
		out[i] = one
	}
	return out
}

// orNil returns e as an error, nil when it is empty.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
