package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/bluebellstile/bluebellstile/internal/client"
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
	for i, e := range entries {
		rows[i] = []string{versionText(e.Version), clock(e.UnixMS), dash(e.Author), versionText(e.Base)}
	}
	return c.env.printTable([]string{"VERSION", "TIME", "AUTHOR", "TEXT OF"}, rows)
}

func newConfigRevert(env *environment) *command {
	o := &publishOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "config revert",
		synopsis:  "publish the text of an earlier version as a new version",
		arguments: "VERSION",
		details:   "Keys that were withdrawn since then are live again if they were live in VERSION; withdraw them anew.",
		examples:  []string{"bluebellstile config revert 117"},
	}
	c.flags = func(f *flag.FlagSet) {
		o.conn.adminFlags(f)
		c.jsonFlag(f)
		f.Int64Var(&o.expected, "expected", notExpected, "version that is replaced (default: the one in force now)")
		f.DurationVar(&o.wait, "wait", defaultSpreadWait, "longest wait until it is in force in every zone; 0 not to wait")
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
	expected := uint64(max(o.expected, 0))
	if o.expected == notExpected {
		if _, expected, err = inForce(ctx, opened); err != nil {
			return err
		}
	}
	published, err := opened.Revert(ctx, version, expected)
	if err != nil {
		return err
	}
	return c.finishPublication(ctx, opened, published, o.wait)
}
