package main

import (
	"context"
	"flag"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/operator"
)

// newConfigCommand returns the command config, whose subcommands read, compare
// and publish the configuration.
func newConfigCommand(env *environment) *parentCommand {
	return &parentCommand{
		env:      env,
		name:     "config",
		synopsis: "print, check, compare and publish the configuration",
		subcommands: []*command{
			newConfigPrint(env),
			newConfigCheck(env),
			newConfigDiff(env),
			newConfigPublish(env),
			newConfigHistory(env),
			newConfigRevert(env),
		},
	}
}

// loadConfig parses the configuration in a file, or on stdin if name is "-".
func loadConfig(env *environment, name string) (*operator.Config, error) {
	data, err := env.readInput(name)
	if err != nil {
		return nil, err
	}
	return operator.Parse(string(data))
}

// currentConfig returns the configuration in force and its version. Before the
// first publication it returns an empty configuration and version 0 without
// reading the configuration, since no key is valid yet.
func currentConfig(ctx context.Context, c *client.Client) (*operator.Config, uint64, error) {
	version, err := c.Version(ctx)
	if err != nil {
		return nil, 0, readOnlyError(err)
	}
	if version == 0 {
		return &operator.Config{}, 0, nil
	}
	v, err := c.Config(ctx)
	if err != nil {
		return nil, 0, readOnlyError(err)
	}
	config, err := operator.Parse(v.Text)
	return config, v.Version, err
}

func newConfigPrint(env *environment) *command {
	conn := clientFlags{env: env}
	c := &command{
		env:       env,
		path:      "config print",
		synopsis:  "print a configuration in canonical form",
		arguments: "[FILE]",
		details:   "Without FILE it prints the configuration that is in force.",
		examples: []string{
			"bluebellstile config print cell.ini",
			"bluebellstile config print -admin http://192.0.2.1:7402 > in-force.ini",
		},
		flags: conn.addForOperators,
	}
	c.run = func(ctx context.Context, args []string) error {
		config, err := loadOrFetchConfig(ctx, env, &conn, args)
		if err != nil {
			return err
		}
		text, err := operator.Print(config)
		if err != nil {
			return err
		}
		return env.print(text)
	}
	return c
}

// loadOrFetchConfig loads the configuration from the file that args name, or
// fetches the one in force if args are empty.
func loadOrFetchConfig(ctx context.Context, env *environment, conn *clientFlags, args []string) (*operator.Config, error) {
	if len(args) > 0 {
		name, err := singleArgument(args, "FILE")
		if err != nil {
			return nil, err
		}
		return loadConfig(env, name)
	}
	apiClient, err := conn.newClient()
	if err != nil {
		return nil, err
	}
	config, _, err := currentConfig(ctx, apiClient)
	return config, err
}

// configSummary is the JSON output of config check.
type configSummary struct {
	Zones    int      `json:"zones"`
	Teams    int      `json:"teams"`
	Keys     int      `json:"keys"`
	Queues   int      `json:"queues"`
	Warnings []string `json:"warnings"`
}

func newConfigCheck(env *environment) *command {
	c := &command{
		env:       env,
		path:      "config check",
		synopsis:  "check a configuration file",
		arguments: "FILE",
		details:   "Every error is listed with its line, rule and remedy.",
		examples:  []string{"bluebellstile config check cell.ini", "go run ./cell | bluebellstile config check -"},
	}
	c.flags = c.addJSONFlag
	c.run = func(_ context.Context, args []string) error {
		name, err := singleArgument(args, "FILE")
		if err != nil {
			return err
		}
		config, err := loadConfig(env, name)
		if err != nil {
			return err
		}
		return c.printSummary(name, config)
	}
	return c
}

func (c *command) printSummary(name string, config *operator.Config) error {
	s := configSummary{
		Zones:    len(config.Zones),
		Teams:    len(config.Teams),
		Keys:     len(config.Keys),
		Queues:   len(config.Queues),
		Warnings: operator.Warnings(config),
	}
	if c.json {
		return c.env.printJSON(s)
	}
	printWarnings(c.env, s.Warnings)
	return c.env.print(name + ": ok, " + strings.Join([]string{
		plural(s.Zones, "zone"), plural(s.Teams, "team"), plural(s.Keys, "key"), plural(s.Queues, "queue"),
	}, ", ") + "\n")
}

// printWarnings prints warnings to stderr.
func printWarnings(env *environment, warnings []string) {
	for _, w := range warnings {
		env.messagef("warning: %s", w)
	}
}

func newConfigDiff(env *environment) *command {
	conn := clientFlags{env: env}
	var useExitCode bool
	c := &command{
		env:       env,
		path:      "config diff",
		synopsis:  "compare the meaning of two configurations",
		arguments: "[OLD] NEW",
		details:   "Without OLD, NEW is compared with the configuration that is in force.",
		examples: []string{
			"bluebellstile config diff old.ini new.ini",
			"bluebellstile config diff -exit-code cell.ini || echo 'there is something to publish'",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.addForOperators(f)
		c.addJSONFlag(f)
		f.BoolVar(&useExitCode, "exit-code", false, "end with exit code 8 if the two differ")
	}
	c.run = func(ctx context.Context, args []string) error {
		changes, err := diffArguments(ctx, env, &conn, args)
		if err != nil {
			return err
		}
		if err := c.printChanges(changes); err != nil {
			return err
		}
		if useExitCode && len(changes) > 0 {
			return &exitCodeError{code: exitDiffers}
		}
		return nil
	}
	return c
}

// diffArguments compares the configurations in the two files that args name, or
// the configuration in force with that in the only file.
func diffArguments(ctx context.Context, env *environment, conn *clientFlags, args []string) ([]operator.Change, error) {
	if len(args) != 1 && len(args) != 2 {
		return nil, usageError("one or two files are required, %d arguments were given", len(args))
	}
	next, err := loadConfig(env, args[len(args)-1])
	if err != nil {
		return nil, err
	}
	old, err := loadOrFetchConfig(ctx, env, conn, args[:len(args)-1])
	if err != nil {
		return nil, err
	}
	return operator.Diff(old, next), nil
}

func (c *command) printChanges(changes []operator.Change) error {
	if c.json {
		return c.env.printJSON(append([]operator.Change{}, changes...))
	}
	var b strings.Builder
	for _, change := range changes {
		b.WriteString(change.String() + "\n")
	}
	return c.env.print(b.String())
}
