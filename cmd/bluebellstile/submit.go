package main

import (
	"context"
	"flag"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

// optionalBool is the value of a boolean flag whose default is the queue's. The
// value is nil if the flag isn't given.
type optionalBool struct {
	value *bool
}

// String returns the value, or an empty string if there is none.
func (o *optionalBool) String() string {
	if o == nil || o.value == nil {
		return ""
	}
	return strconv.FormatBool(*o.value)
}

// Set parses true or false.
func (o *optionalBool) Set(text string) error {
	value, err := strconv.ParseBool(text)
	if err != nil {
		return errors.New("the value must be true or false")
	}
	o.value = &value
	return nil
}

// IsBoolFlag tells package flag that the flag without a value means true.
func (o *optionalBool) IsBoolFlag() bool {
	return true
}

const idempotentUsage = "true: may run again after a failure; false: runs at most once (default: the queue's)"

// submitOutput is the JSON output of submit.
type submitOutput struct {
	Verdict client.Verdict `json:"verdict"`
	Ticket  string         `json:"ticket"`
	Output  []byte         `json:"output"`
}

// submitOptions are the flags of submit.
type submitOptions struct {
	conn       clientFlags
	request    client.Request
	idempotent optionalBool
	out        string
}

func newSubmit(env *environment) *command {
	o := &submitOptions{conn: clientFlags{env: env}}
	c := &command{
		env:       env,
		path:      "submit",
		synopsis:  "send a request, wait for its result and print it",
		arguments: "[FILE]",
		details: "The input is FILE or standard input. Exit codes: 0 done, 3 certainly not run, 4 unknown, 5 ran and failed.\n" +
			"After 4, submit the request again with the -ticket that was printed; it never runs twice.",
		examples: []string{
			"bluebellstile submit -queue colour-match -command match -key-file armor.key ink.json",
			"bluebellstile submit -queue label-check -command check -idempotent=false -deadline 10s < label.json",
			"bluebellstile submit -queue label-check -command check -ticket TICKET < label.json",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.conn.addForCallers(f)
		c.addJSONFlag(f)
		f.StringVar(&o.request.Queue, "queue", "", "queue of the request (required)")
		f.StringVar(&o.request.Command, "command", "", "program that the endpoint runs on the input (required)")
		f.Var(&o.idempotent, "idempotent", idempotentUsage)
		f.DurationVar(&o.request.Deadline, "deadline", 0, "maximum wait for the result (default: the queue's)")
		f.StringVar(&o.request.Ticket, "ticket", "", "ticket of an earlier attempt, to get its outcome")
		f.StringVar(&o.out, "out", "", "write the result to this file")
	}
	c.run = func(ctx context.Context, args []string) error { return c.submit(ctx, o, args) }
	return c
}

func (c *command) submit(ctx context.Context, o *submitOptions, args []string) error {
	if o.request.Queue == "" || o.request.Command == "" {
		return usageError("-queue and -command are required")
	}
	input, err := c.readSingleInput(args)
	if err != nil {
		return err
	}
	apiClient, err := o.conn.newClient()
	if err != nil {
		return err
	}
	o.request.Input = input
	o.request.Idempotent = o.idempotent.value
	stop := startWaitMessages(c.env, "the result")
	response, err := apiClient.Submit(ctx, o.request)
	stop()
	if err != nil {
		return err
	}
	return c.printResponse(response, o.out)
}

// readSingleInput reads the file that args name, or stdin if args are empty. It
// fails if there are several arguments.
func (c *command) readSingleInput(args []string) ([]byte, error) {
	if len(args) > 1 {
		return nil, usageError("only one input is allowed, %d files were given; flags go before arguments", len(args))
	}
	return c.env.readInput(append(args, "")[0])
}

// outputFileMode lets only the owner read output files, which may be
// confidential.
const outputFileMode = 0o600

func (c *command) printResponse(response *client.Response, out string) error {
	if out != "" {
		if err := os.WriteFile(out, response.Output, outputFileMode); err != nil {
			return errors.WithStack(err)
		}
	}
	if c.json {
		return c.env.printJSON(submitOutput{Verdict: client.VerdictDone, Ticket: response.Ticket, Output: response.Output})
	}
	if out != "" {
		return nil
	}
	return c.env.print(string(response.Output))
}
