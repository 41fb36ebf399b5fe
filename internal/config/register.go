// Package config holds the configuration in force, which every reader of the
// platform's log derives from it alike. The types are not safe for concurrent
// use.
package config

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// HistoryLength is the number of versions that a Register keeps, the one in
// force included.
const HistoryLength = 16

// Version is a configuration that is or was in force.
type Version struct {
	// Version is the offset of its record.
	Version uint64
	// Expected is the version that it replaced.
	Expected uint64
	Author   string
	Text     string
}

// Register is the configuration in force, a register that is written by
// compare-and-set.
//
// A configuration is valid if its Expected is the version in force where it
// stands, or 0 if there is none, and if its text parses; its version is its
// own offset. Anything else is void, so that of operators who race the first
// in log order wins, and versions only grow. The version in force appended
// again (Base set) is valid if nothing differs, and changes nothing.
//
// A reader that starts behind the trim has no register until a snapshot gives
// it the version in force at an offset from which on it has read every
// record; see package cell. A stale snapshot therefore can't take it back:
// the configurations that stand behind the snapshot's offset are replayed.
type Register struct {
	current Version
	parsed  *operator.Config
	history []Version
}

// Apply applies the configuration at offset; an error is a *record.Void.
func (r *Register) Apply(offset uint64, c *record.Config) error {
	if c.Base != 0 {
		return r.repeat(c)
	}
	if c.Expected != r.current.Version {
		return record.NewVoid(record.VoidConflict, "the configuration expects version %d but %d by %q is in force; rebase on it and publish again",
			c.Expected, r.current.Version, r.current.Author)
	}
	text, err := r.textOf(c)
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

// textOf returns the text that a record publishes.
func (r *Register) textOf(c *record.Config) (string, error) {
	if c.Patch == nil {
		return c.Text, nil
	}
	return ApplyPatch(r.current.Text, c.Patch)
}

// repeat checks a version that was appended again.
func (r *Register) repeat(c *record.Config) error {
	if c.Base != r.current.Version {
		return record.NewVoid(record.VoidConflict, "version %d is appended again but %d is in force; nothing is to be done", c.Base, r.current.Version)
	}
	if c.Text != r.current.Text {
		return record.NewVoid(record.VoidInvalid, "version %d is appended again with another text; publish it as a new version", c.Base)
	}
	return nil
}

func (r *Register) set(v Version, parsed *operator.Config) {
	r.current = v
	r.parsed = parsed
	r.history = append(r.history, v)
	if len(r.history) > HistoryLength {
		r.history = slices.Clone(r.history[1:])
	}
}

// Restore returns the register that a snapshot gives.
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

// History returns the last versions that were in force, the oldest first.
func (r *Register) History() []Version {
	return slices.Clone(r.history)
}
