package main

import (
	"context"
	"flag"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/operator"
)

// defaultSpreadWait is how long a publication is followed; an accepted
// configuration is in force everywhere within 8 seconds.
const defaultSpreadWait = 8 * time.Second

// notExpected marks an -expected that wasn't given.
const notExpected = -1

// publishOptions are the flags of config publish.
type publishOptions struct {
	conn     connection
	expected int64
	dryRun   bool
	wait     time.Duration
}

func newConfigPublish(env *environment) *command {
	o := &publishOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "config publish",
		synopsis:  "put a configuration in force in place of an expected version",
		arguments: "FILE",
		details: "Prints the changes, then per zone whether the new version is in force, pending or unknown.\n" +
			"Exit codes: 0 accepted and, with -wait, in force in every zone; 3 not published; 4 unknown, or not known in\n" +
			"force everywhere; 6 another change came first; 7 the file is refused.",
		examples: []string{
			"bluebellstile config publish -dry-run cell.ini",
			"bluebellstile config publish -expected 118 cell.ini",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.conn.adminFlags(f)
		c.jsonFlag(f)
		f.Int64Var(&o.expected, "expected", notExpected, "version that is replaced (default: the one in force now)")
		f.BoolVar(&o.dryRun, "dry-run", false, "check everything and publish nothing")
		f.DurationVar(&o.wait, "wait", defaultSpreadWait, "longest wait until it is in force in every zone; 0 not to wait")
	}
	c.run = func(ctx context.Context, args []string) error { return c.publishFile(ctx, o, args) }
	return c
}

func (c *command) publishFile(ctx context.Context, o *publishOptions, args []string) error {
	name, err := oneArgument(args, "FILE")
	if err != nil {
		return err
	}
	if o.expected < notExpected {
		return usageError("-expected is a version from 0")
	}
	next, err := loadConfig(c.env, name)
	if err != nil {
		return err
	}
	opened, err := o.conn.open()
	if err != nil {
		return err
	}
	expected, err := c.announce(ctx, opened, next, o.expected)
	if err != nil {
		return err
	}
	text, err := operator.Print(next)
	if err != nil {
		return err
	}
	request := client.PublishRequest{Text: text, Expected: expected, DryRun: o.dryRun}
	published, err := opened.Publish(ctx, request)
	if err != nil {
		return err
	}
	if o.dryRun {
		c.env.note("dry run: version %d would be replaced, nothing was published", expected)
		return c.printPublished(published)
	}
	return c.finishPublication(ctx, opened, published, o.wait)
}

// announce notes warnings and changes, and returns the version to replace.
func (c *command) announce(ctx context.Context, opened *client.Client, next *operator.Config, wanted int64) (uint64, error) {
	current, version, err := inForce(ctx, opened)
	if err != nil {
		return 0, err
	}
	warn(c.env, operator.Warnings(next))
	changes := operator.Diff(current, next)
	for _, change := range changes {
		c.env.note("%s", change)
	}
	if len(changes) == 0 {
		c.env.note("nothing differs from version %d", version)
	}
	if wanted == notExpected {
		return version, nil
	}
	return uint64(wanted), nil
}

// finishPublication waits for the spread and prints it.
func (c *command) finishPublication(ctx context.Context, opened *client.Client, p *client.Published, wait time.Duration) error {
	c.awaitSpread(ctx, opened, p, wait)
	if err := c.printPublished(p); err != nil {
		return err
	}
	return spreadError(p, wait)
}

// spreadError is an accepted version that isn't known in force everywhere
// after the wait.
func spreadError(p *client.Published, wait time.Duration) error {
	left := behind(p.Zones)
	if wait <= 0 || (left == 0 && len(p.Zones) > 0) {
		return nil
	}
	where := plural(left, "zone")
	if len(p.Zones) == 0 {
		where = "any zone"
	}
	return &codeError{code: exitUnknown, cause: errors.Errorf(
		"version %d is accepted and not known in force in %s; see 'bluebellstile zones'", p.Version, where)}
}

// spreadPeriod is the time between two looks at the zones.
const spreadPeriod = 250 * time.Millisecond

// awaitSpread updates the zones of p until all have the version in force or
// the wait is over.
func (c *command) awaitSpread(ctx context.Context, opened *client.Client, p *client.Published, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(spreadPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil && (behind(p.Zones) > 0 || len(p.Zones) == 0) {
		zones, err := opened.Zones(ctx)
		if err == nil {
			p.Zones = updateSpread(p.Zones, zones, p.Version)
			if behind(p.Zones) == 0 {
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// behind counts zones that aren't known to have the version in force.
func behind(zones []client.ZoneSpread) int {
	n := 0
	for _, z := range zones {
		if z.State != client.SpreadInForce {
			n++
		}
	}
	return n
}

// updateSpread takes over what daemons now know. A zone once seen with the
// version keeps it, since an accepted configuration never reverts.
func updateSpread(spread []client.ZoneSpread, zones []client.ZoneStatus, version uint64) []client.ZoneSpread {
	known := map[string]client.Spread{}
	for _, z := range zones {
		switch {
		case z.ConfigVersion >= version:
			known[z.Zone] = client.SpreadInForce
		case z.ConfigVersion > 0:
			known[z.Zone] = client.SpreadPending
		}
	}
	if len(spread) == 0 {
		for _, z := range zones {
			spread = append(spread, client.ZoneSpread{Zone: z.Zone, State: client.SpreadUnknown})
		}
	}
	for i := range spread {
		if state, ok := known[spread[i].Zone]; ok && spread[i].State != client.SpreadInForce {
			spread[i].State = state
		}
	}
	return spread
}

func (c *command) printPublished(p *client.Published) error {
	if c.json {
		return c.env.printJSON(p)
	}
	c.env.note("version %d", p.Version)
	rows := make([][]string, len(p.Zones))
	for i, z := range p.Zones {
		rows[i] = []string{z.Zone, string(z.State)}
	}
	return c.env.printTable([]string{"ZONE", "STATE"}, rows)
}
