package settings

import (
	"fmt"
	"strings"
)

// ErrorKind classifies the errors of a settings file.
type ErrorKind string

// Error kinds.
const (
	KindUnreadable       ErrorKind = "unreadable"
	KindSyntax           ErrorKind = "syntax"
	KindTruncated        ErrorKind = "truncated"
	KindUnknownSection   ErrorKind = "unknown section"
	KindUnknownKey       ErrorKind = "unknown key"
	KindDuplicateSection ErrorKind = "duplicate section"
	KindDuplicateKey     ErrorKind = "duplicate key"
	KindMissingKey       ErrorKind = "missing key"
	KindBadValue         ErrorKind = "bad value"
	KindRange            ErrorKind = "out of range"
	KindConflict         ErrorKind = "conflict"
)

// Error is one error in a settings file.
type Error struct {
	Kind ErrorKind
	File string
	// Line is the line number, from 1; 0 if it isn't known.
	Line    int
	Section string
	Key     string
	// Rule says what is wrong, Remedy how to correct it.
	Rule   string
	Remedy string
}

// Error returns file, line, key, rule and remedy in one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File + ":")
	}
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:", e.Line)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if e.Section != "" {
		fmt.Fprintf(&b, "[%s] ", e.Section)
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Rule + "; " + e.Remedy)
	return b.String()
}

// Errors lists every error found in a settings file.
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
