package main

import (
	"context"
	"flag"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/operator"
)

// notExpected marks an -expected that wasn't given.
const notExpected = -1

// publishOptions are the flags of config publish.
type publishOptions struct {
	conn       connection
	expected   int64
	dryRun     bool
	everywhere bool
	grantAgain bool
}

// flags adds the flags that every publication has.
func (o *publishOptions) flags(f *flag.FlagSet) {
	o.conn.adminFlags(f)
	f.BoolVar(&o.everywhere, "everywhere", false, "end with exit code 4 unless it is known in force in every zone")
}

// replaceFlags adds the flags of publications that replace the whole text.
func (o *publishOptions) replaceFlags(f *flag.FlagSet) {
	f.BoolVar(&o.grantAgain, "grant-again", false, "let withdrawn keys that the text has as live work again")
	f.Int64Var(&o.expected, "expected", notExpected, "version that is replaced (default: the one in force now)")
}

func newConfigPublish(env *environment) *command {
	o := &publishOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "config publish",
		synopsis:  "put a configuration in force in place of an expected version",
		arguments: "FILE",
		details: "Prints the changes, waits up to 8 s for the zones and prints for each whether the new version is in force,\n" +
			"pending or unknown. Exit codes: 0 accepted; 3 not published; 4 unknown, or with -everywhere not known in force\n" +
			"in every zone; 6 another change came first; 7 the file is refused.",
		examples: []string{
			"bluebellstile config publish -dry-run cell.ini",
			"bluebellstile config publish -expected 118 cell.ini",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.flags(f)
		o.replaceFlags(f)
		c.jsonFlag(f)
		f.BoolVar(&o.dryRun, "dry-run", false, "check everything and publish nothing")
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
	expected, err := c.announce(ctx, opened, next, o)
	if err != nil {
		return err
	}
	text, err := operator.Print(next)
	if err != nil {
		return err
	}
	stop := noteWaiting(c.env, "the zones")
	published, err := opened.Publish(ctx, client.PublishRequest{Text: text, Expected: expected, DryRun: o.dryRun})
	stop()
	if err != nil {
		return err
	}
	if o.dryRun {
		c.env.note("dry run: version %d would be replaced, nothing was published", expected)
		return c.printPublished(published)
	}
	return c.finishPublication(published, o.everywhere)
}

// announce notes warnings and changes, refuses those that nobody may want,
// and returns the version to replace.
func (c *command) announce(ctx context.Context, opened *client.Client, next *operator.Config, o *publishOptions) (uint64, error) {
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
	if err := checkGrants(changes, o.grantAgain); err != nil {
		return 0, err
	}
	if o.expected == notExpected {
		return version, nil
	}
	return uint64(o.expected), nil
}

// checkGrants refuses changes that let a withdrawn key work again, which a
// text from before an emergency's withdrawal would do silently.
func checkGrants(changes []operator.Change, allowed bool) error {
	for _, change := range changes {
		if allowed || !change.GrantsAgain() {
			continue
		}
		return &codeError{code: exitInvalid, cause: errors.Errorf(
			"key %q is withdrawn and would work again; mark it as withdrawn in the text, or give -grant-again", change.Name)}
	}
	return nil
}

// finishPublication prints where an accepted version is in force.
func (c *command) finishPublication(p *client.Published, everywhere bool) error {
	if err := c.printPublished(p); err != nil {
		return err
	}
	return spreadError(p, everywhere)
}

// spreadError is an accepted version that should be in force everywhere and
// isn't known to be.
func spreadError(p *client.Published, everywhere bool) error {
	left := behind(p.Zones)
	if !everywhere || (left == 0 && len(p.Zones) > 0) {
		return nil
	}
	where := plural(left, "zone")
	if len(p.Zones) == 0 {
		where = "any zone"
	}
	return &codeError{code: exitUnknown, cause: errors.Errorf(
		"version %d is accepted and not known in force in %s; see 'bluebellstile zones'", p.Version, where)}
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
