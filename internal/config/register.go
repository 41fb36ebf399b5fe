// Package config maintains the configuration in force, which every reader
// derives identically from the platform's log. The types are not safe for
// concurrent use.
package config

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// HistoryLength is the number of versions that a Register keeps, including the
// one in force.
const HistoryLength = 16

// Version is a configuration that is or was in force.
type Version struct {
	// Version is the log offset of its record.
	Version uint64
	// Expected is the version that it replaced.
	Expected uint64
	Author   string
	Text     string
}

// Register holds the configuration in force. It is written by compare-and-set
// on the version.
//
// A configuration record is valid if its text parses and its Expected is the
// version in force at its offset, or 0 if there is none; its version is its own
// offset. Any other record is void, so that the first of several concurrent
// publications in log order wins and versions only grow. A record with Base set
// appends the version in force again; it is valid if nothing differs, and
// changes nothing.
//
// A reader that starts after the trimmed part of the log has no register until
// a snapshot gives it the version in force at an offset from which on it has
// read every record; see package cell. A stale snapshot therefore can't revert
// the register: the configurations after the snapshot's offset are replayed.
type Register struct {
	current Version
	parsed  *operator.Config
	history []Version
}

// Apply applies the configuration record at offset. Its error is a
// *record.Void.
func (r *Register) Apply(offset uint64, c *record.Config) error {
	if c.Base != 0 {
		return r.checkRenewal(c)
	}
	if c.Expected != r.current.Version {
		return record.NewVoid(record.VoidConflict, "the configuration expects version %d but %d by %q is in force; rebase on it and publish again",
			c.Expected, r.current.Version, r.current.Author)
	}
	text, err := r.resolveText(c)
	if err != nil {
		return err
	}
	parsed, err := operator.Parse(text)
	if err != nil {
		return record.NewVoid(record.VoidInvalid, "the configuration is invalid and version %d stays in force: %v", r.current.Version, err)
	}
	r.set(Version{Version: offset, Expected: c.Expected, Author: c.Author, Text: text}, parsed)
	return nil
}

// resolveText returns the text that a record publishes.
func (r *Register) resolveText(c *record.Config) (string, error) {
	if c.Patch == nil {
		return c.Text, nil
	}
	return ApplyPatch(r.current.Text, c.Patch)
}

// checkRenewal checks a version that was appended again.
func (r *Register) checkRenewal(c *record.Config) error {
	if c.Base != r.current.Version {
		return record.NewVoid(record.VoidConflict, "version %d is appended again but %d is in force; nothing is to be done", c.Base, r.current.Version)
	}
	if c.Text != r.current.Text {
		return record.NewVoid(record.VoidInvalid, "version %d is appended again with another text; publish it as a new version", c.Base)
	}
	return nil
}

// set puts v in force and adds it to the history.
func (r *Register) set(v Version, parsed *operator.Config) {
	r.current = v
	r.parsed = parsed
	r.history = append(r.history, v)
	if len(r.history) > HistoryLength {
		r.history = slices.Clone(r.history[1:])
	}
}

// Restore returns the register of a snapshot, an empty one if c is nil. Its
// error is a *record.Void.
func Restore(c *record.Config) (*Register, error) {
	r := &Register{}
	if c == nil {
		return r, nil
	}
	parsed, err := operator.Parse(c.Text)
	if err != nil {
		return nil, record.NewVoid(record.VoidInvalid, "the configuration in a snapshot is invalid: %v", err)
	}
	r.set(Version{Version: c.Base, Expected: c.Expected, Author: c.Author, Text: c.Text}, parsed)
	return r, nil
}

// Snapshot returns the version in force in the form that Restore takes, or
// nil if there is none.
func (r *Register) Snapshot() *record.Config {
	if r.current.Version == 0 {
		return nil
	}
	return &record.Config{
		Text:     r.current.Text,
		Expected: r.current.Expected,
		Author:   r.current.Author,
		Base:     r.current.Version,
	}
}

// Current returns the version in force; its Version is 0 if there is none.
func (r *Register) Current() Version {
	return r.current
}

// Parsed returns the configuration in force, nil if there is none. Callers
// must not change it.
func (r *Register) Parsed() *operator.Config {
	return r.parsed
}

// History returns the newest versions that are or were in force, the oldest
// first.
func (r *Register) History() []Version {
	return slices.Clone(r.history)
}
