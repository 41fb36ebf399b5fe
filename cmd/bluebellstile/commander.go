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

// parentCommand implements subcommands.Command for a command that only has
// subcommands, such as config.
type parentCommand struct {
	env         *environment
	name        string
	synopsis    string
	subcommands []*command
}

// Name returns the command's name.
func (p *parentCommand) Name() string { return p.name }

// Synopsis returns a short description of the subcommands.
func (p *parentCommand) Synopsis() string { return p.synopsis }

// SetFlags does nothing, since only the subcommands have flags.
func (p *parentCommand) SetFlags(*flag.FlagSet) {}

// Usage returns the help text, which lists the subcommands.
func (p *parentCommand) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: bluebellstile %s COMMAND [flags] [arguments]\n\n", p.name)
	for _, sub := range p.subcommands {
		fmt.Fprintf(&b, "  %-10s %s\n", sub.Name(), sub.synopsis)
	}
	fmt.Fprintf(&b, "\nRun 'bluebellstile %s help COMMAND' for flags and examples.\n", p.name)
	return b.String()
}

// Execute runs the subcommand that the first argument names.
func (p *parentCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	top := flag.NewFlagSet(p.name, flag.ContinueOnError)
	commander := newCommander(p.env, top, "bluebellstile "+p.name)
	commander.Explain = func(w io.Writer) { _, _ = fmt.Fprint(w, p.Usage()) }
	for _, sub := range p.subcommands {
		commander.Register(sub, "")
	}
	if err := top.Parse(flags.Args()); err != nil {
		return exitUsage
	}
	return commander.Execute(ctx)
}

// newCommander returns a commander with a help command that writes to the
// streams of env.
func newCommander(env *environment, top *flag.FlagSet, name string) *subcommands.Commander {
	top.SetOutput(env.stderr)
	commander := subcommands.NewCommander(top, name)
	commander.Output = env.stdout
	commander.Error = env.stderr
	commander.Register(commander.HelpCommand(), "")
	return commander
}

// Groups of commands in the help text.
const (
	groupCallers   = "callers"
	groupOperators = "operators"
	groupFiles     = "files and shells"
)

// groupedCommand is a command and its group in the help text.
type groupedCommand struct {
	group   string
	command subcommands.Command
}

// commands returns every top-level command of the program.
func commands(env *environment) []groupedCommand {
	list := []groupedCommand{
		{groupCallers, newSubmit(env)},
		{groupCallers, newRun(env)},
		{groupCallers, newStatus(env)},
		{groupCallers, newWatch(env)},
		{groupCallers, newCancel(env)},
		{groupCallers, newLoad(env)},
		{groupOperators, newConfigCommand(env)},
		{groupOperators, newKeyCommand(env)},
		{groupOperators, newZones(env)},
		{groupFiles, newDev(env)},
		{groupOperators, newReport(env)},
		{groupOperators, newExplain(env)},
		{groupFiles, newSettingsCommand(env)},
	}
	return append(list, groupedCommand{groupFiles, newCompletion(env, list)})
}

// execute runs the program with its arguments and returns its exit code.
func execute(ctx context.Context, args []string, env *environment) int {
	top := flag.NewFlagSet("bluebellstile", flag.ContinueOnError)
	commander := newCommander(env, top, "bluebellstile")
	for _, c := range commands(env) {
		commander.Register(c.command, c.group)
	}
	switch err := top.Parse(rewriteHelpArgs(args)); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

// rewriteHelpArgs rewrites "help config diff" to "config help diff", since the
// help command of a commander knows only that commander's own commands.
func rewriteHelpArgs(args []string) []string {
	if len(args) == 3 && args[0] == "help" {
		return []string{args[1], "help", args[2]}
	}
	return args
}
