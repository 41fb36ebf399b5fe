package main

import (
	"context"
	"flag"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

// optionalBool is a flag that may be left out, which means the queue's
// default.
type optionalBool struct {
	value *bool
}

// String returns the value, empty when there is none.
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
		return errors.New("write true or false")
	}
	o.value = &value
	return nil
}

// IsBoolFlag lets the flag stand without a value for true.
func (o *optionalBool) IsBoolFlag() bool {
	return true
}

const idempotentUsage = "true: may be run again after a failure; false: runs at most once (default: the queue's)"

// submitted is the result of submit for scripts.
type submitted struct {
	Verdict client.Verdict `json:"verdict"`
	Ticket  string         `json:"ticket"`
	Output  []byte         `json:"output"`
}

// submitOptions are the flags of submit.
type submitOptions struct {
	conn       connection
	request    client.Request
	idempotent optionalBool
	out        string
}

func newSubmit(env *environment) *command {
	o := &submitOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "submit",
		synopsis:  "send a request and print its whole answer",
		arguments: "[FILE]",
		details: "The input is FILE or standard input. Exit codes: 0 answered, 3 certainly not run, 4 unknown, 5 ran and failed.\n" +
			"After 4, run it again with the -ticket that was printed; it never runs twice.",
		examples: []string{
			"bluebellstile submit -queue colour-match -command match -key-file armor.key ink.json",
			"bluebellstile submit -queue label-check -command check -idempotent=false -deadline 10s < label.json",
			"bluebellstile submit -queue label-check -command check -ticket TICKET < label.json",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.conn.callerFlags(f)
		c.jsonFlag(f)
		f.StringVar(&o.request.Queue, "queue", "", "queue of the request (needed)")
		f.StringVar(&o.request.Command, "command", "", "program that the endpoint runs on the input (needed)")
		f.Var(&o.idempotent, "idempotent", idempotentUsage)
		f.DurationVar(&o.request.Deadline, "deadline", 0, "longest wait for the answer (default: the queue's)")
		f.StringVar(&o.request.Ticket, "ticket", "", "ask again for the outcome of an earlier sending")
		f.StringVar(&o.out, "out", "", "write the answer to this file")
	}
	c.run = func(ctx context.Context, args []string) error { return c.submit(ctx, o, args) }
	return c
}

func (c *command) submit(ctx context.Context, o *submitOptions, args []string) error {
	if o.request.Queue == "" || o.request.Command == "" {
		return usageError("-queue and -command are needed")
	}
	input, err := c.onlyInput(args)
	if err != nil {
		return err
	}
	opened, err := o.conn.open()
	if err != nil {
		return err
	}
	o.request.Input = input
	o.request.Idempotent = o.idempotent.value
	stop := noteWaiting(c.env, "the answer")
	answer, err := opened.Submit(ctx, o.request)
	stop()
	if err != nil {
		return err
	}
	return c.printAnswer(answer, o.out)
}

// onlyInput reads the one input that args name.
func (c *command) onlyInput(args []string) ([]byte, error) {
	if len(args) > 1 {
		return nil, usageError("one input is sent, %d files were given; flags go before arguments", len(args))
	}
	return c.env.readInput(append(args, "")[0])
}

// outputMode lets only the owner read outputs, which may be confidential.
const outputMode = 0o600

func (c *command) printAnswer(answer *client.Answer, out string) error {
	if out != "" {
		if err := os.WriteFile(out, answer.Output, outputMode); err != nil {
			return errors.WithStack(err)
		}
	}
	if c.json {
		return c.env.printJSON(submitted{Verdict: client.VerdictDone, Ticket: answer.Ticket, Output: answer.Output})
	}
	if out != "" {
		return nil
	}
	return c.env.print(string(answer.Output))
}
