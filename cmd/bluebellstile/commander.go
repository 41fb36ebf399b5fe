package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// family is a command that has commands of its own, such as config.
type family struct {
	env      *environment
	name     string
	synopsis string
	members  []*command
}

// Name returns the family's word.
func (f *family) Name() string { return f.name }

// Synopsis returns what the family is about.
func (f *family) Synopsis() string { return f.synopsis }

// SetFlags adds nothing; flags belong to the members.
func (f *family) SetFlags(*flag.FlagSet) {}

// Usage lists the members.
func (f *family) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: bluebellstile %s COMMAND [flags] [arguments]\n\n", f.name)
	for _, m := range f.members {
		fmt.Fprintf(&b, "  %-10s %s\n", m.Name(), m.synopsis)
	}
	fmt.Fprintf(&b, "\nRun 'bluebellstile %s help COMMAND' for flags and examples.\n", f.name)
	return b.String()
}

// Execute runs the member that the first argument names.
func (f *family) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	top := flag.NewFlagSet(f.name, flag.ContinueOnError)
	commander := newCommander(f.env, top, "bluebellstile "+f.name)
	commander.Explain = func(w io.Writer) { _, _ = fmt.Fprint(w, f.Usage()) }
	for _, m := range f.members {
		commander.Register(m, "")
	}
	if err := top.Parse(flags.Args()); err != nil {
		return exitUsage
	}
	return commander.Execute(ctx)
}

// newCommander returns a commander that writes to env and has a help command.
func newCommander(env *environment, top *flag.FlagSet, name string) *subcommands.Commander {
	top.SetOutput(env.stderr)
	commander := subcommands.NewCommander(top, name)
	commander.Output = env.stdout
	commander.Error = env.stderr
	commander.Register(commander.HelpCommand(), "")
	return commander
}

// Groups of the help text.
const (
	groupCallers   = "callers"
	groupOperators = "operators"
	groupFiles     = "files and shells"
)

// grouped is a command with its place in the help text.
type grouped struct {
	group   string
	command subcommands.Command
}

// commands returns every command of the program.
func commands(env *environment) []grouped {
	list := []grouped{
		{groupCallers, newSubmit(env)},
		{groupCallers, newRun(env)},
		{groupCallers, newStatus(env)},
		{groupCallers, newWatch(env)},
		{groupCallers, newCancel(env)},
		{groupCallers, newLoad(env)},
		{groupOperators, newConfigFamily(env)},
		{groupOperators, newKeyFamily(env)},
		{groupOperators, newZones(env)},
		{groupFiles, newDev(env)},
		{groupOperators, newReport(env)},
		{groupOperators, newExplain(env)},
		{groupFiles, newSettingsFamily(env)},
	}
	return append(list, grouped{groupFiles, newCompletion(env, list)})
}

// execute runs the program and returns its exit code.
func execute(ctx context.Context, args []string, env *environment) int {
	top := flag.NewFlagSet("bluebellstile", flag.ContinueOnError)
	commander := newCommander(env, top, "bluebellstile")
	for _, c := range commands(env) {
		commander.Register(c.command, c.group)
	}
	switch err := top.Parse(helpPath(args)); {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

// helpPath turns "help config diff" into "config help diff", since a
// commander explains its own commands only.
func helpPath(args []string) []string {
	if len(args) == 3 && args[0] == "help" {
		return []string{args[1], "help", args[2]}
	}
	return args
}
