package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// command implements subcommands.Command. flags registers the command's flags
// with variables that run reads.
type command struct {
	env *environment
	// path is the name with that of the parent command, such as "config diff".
	path     string
	synopsis string
	// arguments describes the arguments after the flags on the usage line.
	arguments string
	// details follows the synopsis in the help text.
	details  string
	examples []string
	// flags may be nil.
	flags func(*flag.FlagSet)
	run   func(ctx context.Context, args []string) error
	// json makes the command print its result, or its failure, as JSON on
	// stdout.
	json bool
}

// Name returns the command's name without that of its parent command.
func (c *command) Name() string {
	words := strings.Fields(c.path)
	return words[len(words)-1]
}

// Synopsis returns a short description of what the command does.
func (c *command) Synopsis() string {
	return c.synopsis
}

// Usage returns the help text that precedes the list of flags.
func (c *command) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: bluebellstile %s [flags] %s\n\n%s\n", c.path, c.arguments, capitalized(c.synopsis)+".")
	if c.details != "" {
		b.WriteString(c.details + "\n")
	}
	if len(c.examples) > 0 {
		b.WriteString("\nExamples:\n")
	}
	for _, example := range c.examples {
		b.WriteString("  " + example + "\n")
	}
	b.WriteString("\nFlags:\n")
	return b.String()
}

func capitalized(text string) string {
	return strings.ToUpper(text[:1]) + text[1:]
}

// SetFlags registers the command's flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.stderr)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command, reports its failure and returns its exit code.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f.Args())
	code := exitCode(err)
	if err != nil {
		c.reportFailure(err, code)
	}
	return subcommands.ExitStatus(code)
}

// failureOutput is the JSON output of a failed command.
type failureOutput struct {
	ExitCode int            `json:"exit_code"`
	Message  string         `json:"message"`
	Kind     client.Kind    `json:"kind,omitempty"`
	Code     problem.Code   `json:"code,omitempty"`
	Verdict  client.Verdict `json:"verdict,omitempty"`
	Remedy   string         `json:"remedy,omitempty"`
	Ticket   string         `json:"ticket,omitempty"`
	// RequestID identifies the HTTP request in the daemon's logs.
	RequestID string `json:"request_id,omitempty"`
}

// reportFailure prints an error to stderr, and with -json also to stdout. An
// exitCodeError without a cause prints nothing.
func (c *command) reportFailure(err error, code int) {
	var exitErr *exitCodeError
	if errors.As(err, &exitErr) && exitErr.cause == nil {
		return
	}
	c.env.messagef("bluebellstile %s: %v", c.path, err)
	if code == exitUsage {
		c.env.messagef("Run 'bluebellstile help %s' for flags and examples.", c.path)
	}
	e := client.AsError(err)
	if e != nil && e.Ticket != "" {
		c.env.messagef("ticket: %s", e.Ticket)
	}
	if e != nil && e.RequestID != "" {
		c.env.messagef("request id: %s", e.RequestID)
	}
	if c.json {
		_ = c.env.printJSON(map[string]failureOutput{"error": newFailureOutput(err, e, code)})
	}
}

// newFailureOutput returns the JSON output for err. e is the *client.Error in
// its chain, or nil.
func newFailureOutput(err error, e *client.Error, code int) failureOutput {
	out := failureOutput{ExitCode: code, Message: err.Error()}
	if e == nil {
		return out
	}
	out.Kind = e.Kind
	out.Code = e.Code
	out.Verdict = e.Verdict
	out.Remedy = e.Remedy
	out.Ticket = e.Ticket
	out.RequestID = e.RequestID
	return out
}

// addJSONFlag registers the flag -json.
func (c *command) addJSONFlag(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the result, or the failure, as JSON")
}

// singleArgument returns the only argument. name is what the usage line calls
// it.
func singleArgument(args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", usageError("exactly one %s is required, %d arguments were given", name, len(args))
	}
	return args[0], nil
}

// requireNoArguments returns a usage error if there are arguments.
func requireNoArguments(args []string) error {
	if len(args) > 0 {
		return usageError("no arguments are allowed, %q was given; flags go before arguments", args[0])
	}
	return nil
}
