package main

import (
	"context"
	"flag"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/operator"
)

// expectedUnset is the value of -expected if the flag isn't given.
const expectedUnset = -1

// publishOptions are the flags of commands that publish a configuration.
type publishOptions struct {
	conn clientFlags
	// expected is the version to replace, or expectedUnset for the one in
	// force.
	expected int64
	dryRun   bool
	// everywhere makes the command fail unless the version is known to be in
	// force in every zone.
	everywhere bool
	// grantAgain allows changes that make a withdrawn key valid again.
	grantAgain bool
}

// addFlags registers the flags of every command that publishes.
func (o *publishOptions) addFlags(f *flag.FlagSet) {
	o.conn.addForOperators(f)
	f.BoolVar(&o.everywhere, "everywhere", false, "end with exit code 4 unless the version is known to be in force in every zone")
}

// addReplaceFlags registers the flags of commands that replace the whole text.
func (o *publishOptions) addReplaceFlags(f *flag.FlagSet) {
	f.BoolVar(&o.grantAgain, "grant-again", false, "allow withdrawn keys that the text doesn't mark as withdrawn to work again")
	f.Int64Var(&o.expected, "expected", expectedUnset, "version to replace (default: the one in force)")
}

func newConfigPublish(env *environment) *command {
	o := &publishOptions{conn: clientFlags{env: env}}
	c := &command{
		env:       env,
		path:      "config publish",
		synopsis:  "publish a configuration in place of an expected version",
		arguments: "FILE",
		details: "Prints the changes, waits up to 8 s for the zones and prints for each whether the new version is in force,\n" +
			"pending or unknown. Exit codes: 0 accepted; 3 not published; 4 unknown, or with -everywhere not known to be in\n" +
			"force in every zone; 6 another change was published first; 7 the file is invalid.",
		examples: []string{
			"bluebellstile config publish -dry-run cell.ini",
			"bluebellstile config publish -expected 118 cell.ini",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.addFlags(f)
		o.addReplaceFlags(f)
		c.addJSONFlag(f)
		f.BoolVar(&o.dryRun, "dry-run", false, "check everything and publish nothing")
	}
	c.run = func(ctx context.Context, args []string) error { return c.publishFile(ctx, o, args) }
	return c
}

func (c *command) publishFile(ctx context.Context, o *publishOptions, args []string) error {
	name, err := singleArgument(args, "FILE")
	if err != nil {
		return err
	}
	if o.expected < expectedUnset {
		return usageError("-expected must not be negative")
	}
	next, err := loadConfig(c.env, name)
	if err != nil {
		return err
	}
	apiClient, err := o.conn.newClient()
	if err != nil {
		return err
	}
	expected, err := c.reviewChanges(ctx, apiClient, next, o)
	if err != nil {
		return err
	}
	text, err := operator.Print(next)
	if err != nil {
		return err
	}
	stop := startWaitMessages(c.env, "the zones")
	published, err := apiClient.Publish(ctx, client.PublishRequest{Text: text, Expected: expected, DryRun: o.dryRun})
	stop()
	if err != nil {
		return err
	}
	if o.dryRun {
		c.env.messagef("dry run: version %d would be replaced, nothing was published", expected)
		return c.printPublished(published)
	}
	return c.reportPublication(published, o.everywhere)
}

// reviewChanges prints the warnings and changes of a configuration to stderr,
// and returns the version that it should replace. It fails if a withdrawn key
// would work again and that isn't allowed.
func (c *command) reviewChanges(ctx context.Context, apiClient *client.Client, next *operator.Config, o *publishOptions) (uint64, error) {
	current, version, err := currentConfig(ctx, apiClient)
	if err != nil {
		return 0, err
	}
	printWarnings(c.env, operator.Warnings(next))
	changes := operator.Diff(current, next)
	for _, change := range changes {
		c.env.messagef("%s", change)
	}
	if len(changes) == 0 {
		c.env.messagef("nothing differs from version %d", version)
	}
	if err := checkRegrantedKeys(changes, o.grantAgain); err != nil {
		return 0, err
	}
	if o.expected == expectedUnset {
		return version, nil
	}
	return uint64(o.expected), nil
}

// checkRegrantedKeys refuses changes that make a withdrawn key work again,
// unless allowed. Otherwise a text from before a key was withdrawn in an
// emergency would silently make the key valid again.
func checkRegrantedKeys(changes []operator.Change, allowed bool) error {
	for _, change := range changes {
		if allowed || !change.GrantsAgain() {
			continue
		}
		return &exitCodeError{code: exitInvalid, cause: errors.Errorf(
			"key %q is withdrawn and would work again; mark it as withdrawn in the text, or give -grant-again", change.Name)}
	}
	return nil
}

// reportPublication prints in which zones an accepted version is in force, and
// returns rolloutError.
func (c *command) reportPublication(p *client.PublishResult, everywhere bool) error {
	if err := c.printPublished(p); err != nil {
		return err
	}
	return rolloutError(p, everywhere)
}

// rolloutError returns an error if a version should be in force everywhere and
// isn't known to be, and nil otherwise.
func rolloutError(p *client.PublishResult, everywhere bool) error {
	remaining := countNotInForce(p.Zones)
	if !everywhere || (remaining == 0 && len(p.Zones) > 0) {
		return nil
	}
	where := plural(remaining, "zone")
	if len(p.Zones) == 0 {
		where = "any zone"
	}
	return &exitCodeError{code: exitUnknown, cause: errors.Errorf(
		"version %d is accepted but not known to be in force in %s; see 'bluebellstile zones'", p.Version, where)}
}

// countNotInForce counts the zones in which the version isn't known to be in
// force.
func countNotInForce(zones []client.ZoneRollout) int {
	n := 0
	for _, z := range zones {
		if z.State != client.RolloutInForce {
			n++
		}
	}
	return n
}

func (c *command) printPublished(p *client.PublishResult) error {
	if c.json {
		return c.env.printJSON(p)
	}
	c.env.messagef("version %d", p.Version)
	rows := make([][]string, len(p.Zones))
	for i, z := range p.Zones {
		rows[i] = []string{z.Zone, string(z.State)}
	}
	return c.env.printTable([]string{"ZONE", "STATE"}, rows)
}
