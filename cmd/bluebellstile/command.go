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

// command is one command. Its options are set up by flags and read by run.
type command struct {
	env      *environment
	path     string
	synopsis string
	// arguments follow the flags on the usage line.
	arguments string
	details   string
	examples  []string
	flags     func(*flag.FlagSet)
	run       func(ctx context.Context, args []string) error
	// json makes failures appear on stdout as JSON as well.
	json bool
}

// Name returns the last word of the command.
func (c *command) Name() string {
	words := strings.Fields(c.path)
	return words[len(words)-1]
}

// Synopsis returns what the command does, in a few words.
func (c *command) Synopsis() string {
	return c.synopsis
}

// Usage returns the help text above the list of flags.
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

// SetFlags adds the command's flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.stderr)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and reports its failure.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f.Args())
	code := exitCode(err)
	if err != nil {
		c.report(err, code)
	}
	return subcommands.ExitStatus(code)
}

// failure is a failed command as scripts see it.
type failure struct {
	ExitCode int            `json:"exit_code"`
	Message  string         `json:"message"`
	Kind     client.Kind    `json:"kind,omitempty"`
	Code     problem.Code   `json:"code,omitempty"`
	Verdict  client.Verdict `json:"verdict,omitempty"`
	Remedy   string         `json:"remedy,omitempty"`
	Ticket   string         `json:"ticket,omitempty"`
	// RequestID finds the request in the daemon's logs.
	RequestID string `json:"request_id,omitempty"`
}

func (c *command) report(err error, code int) {
	var coded *codeError
	if errors.As(err, &coded) && coded.cause == nil {
		return
	}
	c.env.note("bluebellstile %s: %v", c.path, err)
	if code == exitUsage {
		c.env.note("Run 'bluebellstile help %s' for flags and examples.", c.path)
	}
	e := client.AsError(err)
	if e != nil && e.Ticket != "" {
		c.env.note("ticket: %s", e.Ticket)
	}
	if e != nil && e.RequestID != "" {
		c.env.note("request id: %s", e.RequestID)
	}
	if c.json {
		_ = c.env.printJSON(map[string]failure{"error": describeFailure(err, e, code)})
	}
}

func describeFailure(err error, e *client.Error, code int) failure {
	out := failure{ExitCode: code, Message: err.Error()}
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

// jsonFlag adds the flag for output that scripts read.
func (c *command) jsonFlag(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the result, or the failure, as JSON")
}

// oneArgument returns the only argument, which usage calls name.
func oneArgument(args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", usageError("exactly one %s is needed, %d arguments were given", name, len(args))
	}
	return args[0], nil
}

// noArguments refuses arguments.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError("no argument is taken, %q was given; flags go before arguments", args[0])
	}
	return nil
}
