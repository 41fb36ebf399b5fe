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
	conn := clientFlags{env: env}
	c := &command{
		env:      env,
		path:     "config history",
		synopsis: "list the versions of the configuration",
		examples: []string{"bluebellstile config history"},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.addForOperators(f)
		c.addJSONFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := requireNoArguments(args); err != nil {
			return err
		}
		apiClient, err := conn.newClient()
		if err != nil {
			return err
		}
		entries, err := apiClient.History(ctx)
		if err != nil {
			return readOnlyError(err)
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
		rows[i] = []string{formatVersion(e.Version), orDash(e.Author), changeSummary(before, e.Text)}
		before = e.Text
	}
	return c.env.printTable([]string{"VERSION", "AUTHOR", "CHANGES"}, rows)
}

// changeSummary returns the first change between two configuration texts and
// the number of the others.
func changeSummary(before, after string) string {
	next, err := operator.Parse(after)
	if err != nil {
		return "(the text can't be read)"
	}
	old, err := operator.Parse(before)
	if err != nil {
		return "(the previous version is not known)"
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
	o := &publishOptions{conn: clientFlags{env: env}}
	c := &command{
		env:       env,
		path:      "config revert",
		synopsis:  "publish the text of an earlier version as a new version",
		arguments: "VERSION",
		details:   "Refused if keys of VERSION have been withdrawn since, unless -grant-again is given.",
		examples:  []string{"bluebellstile config revert 117"},
	}
	c.flags = func(f *flag.FlagSet) {
		o.addFlags(f)
		o.addReplaceFlags(f)
		c.addJSONFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error { return c.revert(ctx, o, args) }
	return c
}

func (c *command) revert(ctx context.Context, o *publishOptions, args []string) error {
	text, err := singleArgument(args, "VERSION")
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || o.expected < expectedUnset {
		return usageError("a version is a whole number; 'bluebellstile config history' lists them")
	}
	apiClient, err := o.conn.newClient()
	if err != nil {
		return err
	}
	next, err := fetchConfigVersion(ctx, apiClient, version)
	if err != nil {
		return err
	}
	expected, err := c.reviewChanges(ctx, apiClient, next, o)
	if err != nil {
		return err
	}
	published, err := apiClient.Revert(ctx, version, expected)
	if err != nil {
		return err
	}
	return c.reportPublication(published, o.everywhere)
}

// fetchConfigVersion returns the configuration of a version that is still in the
// history.
func fetchConfigVersion(ctx context.Context, apiClient *client.Client, version uint64) (*operator.Config, error) {
	entries, err := apiClient.History(ctx)
	if err != nil {
		return nil, readOnlyError(err)
	}
	for _, e := range entries {
		if e.Version == version {
			return operator.Parse(e.Text)
		}
	}
	return nil, usageError("version %d is not in the history; 'bluebellstile config history' lists the versions that are", version)
}
