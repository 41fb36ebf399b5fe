package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/operator"
)

func newConfigHistory(env *environment) *command {
	conn := connection{env: env}
	c := &command{
		env:      env,
		path:     "config history",
		synopsis: "list the versions of the configuration",
		examples: []string{"bluebellstile config history"},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.adminFlags(f)
		c.jsonFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := noArguments(args); err != nil {
			return err
		}
		opened, err := conn.open()
		if err != nil {
			return err
		}
		entries, err := opened.History(ctx)
		if err != nil {
			return readError(err)
		}
		return c.printHistory(entries)
	}
	return c
}

func (c *command) printHistory(entries []client.HistoryEntry) error {
	if c.json {
		return c.env.printJSON(append([]client.HistoryEntry{}, entries...))
	}
	rows := make([][]string, len(entries))
	before := ""
	for i, e := range entries {
		rows[i] = []string{versionText(e.Version), dash(e.Author), changeSummary(before, e.Text)}
		before = e.Text
	}
	return c.env.printTable([]string{"VERSION", "AUTHOR", "CHANGES"}, rows)
}

// changeSummary names the first change between two texts and counts the
// others.
func changeSummary(before, after string) string {
	next, err := operator.Parse(after)
	if err != nil {
		return "(the text can't be read)"
	}
	old, err := operator.Parse(before)
	if err != nil {
		return "(the version before is not known)"
	}
	changes := operator.Diff(old, next)
	switch len(changes) {
	case 0:
		return "none"
	case 1:
		return changes[0].String()
	}
	return fmt.Sprintf("%s, and %d more", changes[0], len(changes)-1)
}

func newConfigRevert(env *environment) *command {
	o := &publishOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "config revert",
		synopsis:  "publish the text of an earlier version as a new version",
		arguments: "VERSION",
		details:   "Keys that were withdrawn since VERSION stay a reason to refuse it, unless -grant-again is given.",
		examples:  []string{"bluebellstile config revert 117"},
	}
	c.flags = func(f *flag.FlagSet) {
		o.flags(f)
		o.replaceFlags(f)
		c.jsonFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error { return c.revert(ctx, o, args) }
	return c
}

func (c *command) revert(ctx context.Context, o *publishOptions, args []string) error {
	text, err := oneArgument(args, "VERSION")
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || o.expected < notExpected {
		return usageError("a version is a whole number; 'bluebellstile config history' lists them")
	}
	opened, err := o.conn.open()
	if err != nil {
		return err
	}
	next, err := versionConfig(ctx, opened, version)
	if err != nil {
		return err
	}
	expected, err := c.announce(ctx, opened, next, o)
	if err != nil {
		return err
	}
	published, err := opened.Revert(ctx, version, expected)
	if err != nil {
		return err
	}
	return c.finishPublication(published, o.everywhere)
}

// versionConfig returns the configuration of a version in the history.
func versionConfig(ctx context.Context, opened *client.Client, version uint64) (*operator.Config, error) {
	entries, err := opened.History(ctx)
	if err != nil {
		return nil, readError(err)
	}
	for _, e := range entries {
		if e.Version == version {
			return operator.Parse(e.Text)
		}
	}
	return nil, usageError("version %d is not known any more; 'bluebellstile config history' lists those that are", version)
}
