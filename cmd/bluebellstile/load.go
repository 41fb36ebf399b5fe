package main

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/load"
)

// Defaults of load.
const (
	defaultRate        = 100
	defaultLoad        = 10 * time.Second
	defaultMaxInFlight = 10000
)

// loadOptions are the flags of load.
type loadOptions struct {
	conn       connection
	request    client.Request
	idempotent optionalBool
	run        load.Options
}

func newLoad(env *environment) *command {
	o := &loadOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "load",
		synopsis:  "send requests at a fixed rate and measure latency and verdicts",
		arguments: "[FILE]",
		details: "Every request carries FILE, or standard input, and is sent once. Latency counts from the moment a request was\n" +
			"due and holds the time for its ticket. Ends with exit code 0 whatever the verdicts are.",
		examples: []string{
			"bluebellstile load -queue colour-match -command match -rate 500 -duration 30s ink.json",
			"bluebellstile load -queue shade-preview -command preview -rate 2000 -json ink.json > result.json",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.conn.callerFlags(f)
		c.jsonFlag(f)
		o.flags(f)
	}
	c.run = func(ctx context.Context, args []string) error { return c.makeLoad(ctx, o, args) }
	return c
}

func (o *loadOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.request.Queue, "queue", "", "queue of the requests (needed)")
	f.StringVar(&o.request.Command, "command", "", "program that the endpoint runs on the input (needed)")
	f.Var(&o.idempotent, "idempotent", idempotentUsage)
	f.DurationVar(&o.request.Deadline, "deadline", 0, "longest wait for an answer (default: the queue's)")
	f.Float64Var(&o.run.Rate, "rate", defaultRate, "requests that fall due in a second")
	f.DurationVar(&o.run.Duration, "duration", defaultLoad, "how long requests fall due")
	f.IntVar(&o.run.MaxInFlight, "max-in-flight", defaultMaxInFlight, "requests due beyond this many in flight are skipped")
}

func (c *command) makeLoad(ctx context.Context, o *loadOptions, args []string) error {
	if o.request.Queue == "" || o.request.Command == "" {
		return usageError("-queue and -command are needed")
	}
	input, err := c.onlyInput(args)
	if err != nil {
		return err
	}
	// A request that is sent again would count once for several answers.
	o.conn.retries = 0
	opened, err := o.conn.open()
	if err != nil {
		return err
	}
	o.request.Input = input
	o.request.Idempotent = o.idempotent.value
	o.run.Send = func(ctx context.Context) error {
		_, err := opened.Submit(ctx, o.request)
		return err
	}
	o.run.ProgressPeriod = time.Second
	o.run.Progress = func(s load.Snapshot) {
		c.env.note("%s: %d due, %d in flight", s.Elapsed.Round(time.Second), s.Due, s.InFlight)
	}
	result, err := load.Run(ctx, o.run)
	if err != nil {
		return usageError("%v", err)
	}
	return c.printLoad(result)
}

func (c *command) printLoad(r *load.Result) error {
	if c.json {
		return c.env.printJSON(r)
	}
	c.env.note("%d due in %s, %d skipped, %.1f done a second",
		r.Due, time.Duration(r.DurationMS)*time.Millisecond, r.Skipped, r.DoneRate)
	for _, code := range sortedCodes(r.Codes) {
		c.env.note("%s: %d", code, r.Codes[code])
	}
	rows := make([][]string, len(r.Rows))
	for i, row := range r.Rows {
		l := row.Latency
		rows[i] = []string{
			string(row.Outcome), strconv.FormatInt(row.Count, 10), share(row.Count, r.Due),
			micros(l.P50), micros(l.P90), micros(l.P99), micros(l.P999), micros(l.Max),
		}
	}
	return c.env.printTable([]string{"OUTCOME", "COUNT", "SHARE", "P50", "P90", "P99", "P99.9", "MAX"}, rows)
}

// share writes part of whole as a percentage.
func share(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}

func sortedCodes(codes map[string]int64) []string {
	var out []string
	for code := range codes {
		out = append(out, code)
	}
	sort.Strings(out)
	return out
}
