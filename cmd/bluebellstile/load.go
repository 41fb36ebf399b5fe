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

// Defaults of the flags of load.
const (
	defaultRate         = 100
	defaultLoadDuration = 10 * time.Second
	defaultMaxInFlight  = 10000
)

// loadOptions are the flags of load.
type loadOptions struct {
	conn       clientFlags
	request    client.Request
	idempotent optionalBool
	run        load.Options
}

func newLoad(env *environment) *command {
	o := &loadOptions{conn: clientFlags{env: env}}
	c := &command{
		env:       env,
		path:      "load",
		synopsis:  "send requests at a fixed rate and measure latency and verdicts",
		arguments: "[FILE]",
		details: "The input of every request is FILE or standard input. Each request is sent once. Its latency counts from the\n" +
			"moment it was due and includes the time to get its ticket. The exit code is 0 whatever the verdicts are.",
		examples: []string{
			"bluebellstile load -queue colour-match -command match -rate 500 -duration 30s ink.json",
			"bluebellstile load -queue shade-preview -command preview -rate 2000 -json ink.json > result.json",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.conn.addForCallers(f)
		c.addJSONFlag(f)
		o.addFlags(f)
	}
	c.run = func(ctx context.Context, args []string) error { return c.runLoad(ctx, o, args) }
	return c
}

func (o *loadOptions) addFlags(f *flag.FlagSet) {
	f.StringVar(&o.request.Queue, "queue", "", "queue of the requests (required)")
	f.StringVar(&o.request.Command, "command", "", "program that the endpoint runs on the input (required)")
	f.Var(&o.idempotent, "idempotent", idempotentUsage)
	f.DurationVar(&o.request.Deadline, "deadline", 0, "maximum wait for a result (default: the queue's)")
	f.Float64Var(&o.run.Rate, "rate", defaultRate, "requests per second")
	f.DurationVar(&o.run.Duration, "duration", defaultLoadDuration, "how long requests are sent")
	f.IntVar(&o.run.MaxInFlight, "max-in-flight", defaultMaxInFlight, "maximum number of requests in flight; requests that are due beyond it are skipped")
}

func (c *command) runLoad(ctx context.Context, o *loadOptions, args []string) error {
	if o.request.Queue == "" || o.request.Command == "" {
		return usageError("-queue and -command are required")
	}
	input, err := c.readSingleInput(args)
	if err != nil {
		return err
	}
	// A retry would count several attempts as one request.
	o.conn.retries = 0
	apiClient, err := o.conn.newClient()
	if err != nil {
		return err
	}
	o.request.Input = input
	o.request.Idempotent = o.idempotent.value
	o.run.Send = func(ctx context.Context) error {
		_, err := apiClient.Submit(ctx, o.request)
		return err
	}
	o.run.ProgressPeriod = time.Second
	o.run.Progress = func(s load.Snapshot) {
		c.env.messagef("%s: %d due, %d in flight", s.Elapsed.Round(time.Second), s.Due, s.InFlight)
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
	c.env.messagef("%d due in %s, %d skipped, %.1f done per second",
		r.Due, time.Duration(r.DurationMS)*time.Millisecond, r.Skipped, r.DoneRate)
	for _, code := range sortedCodes(r.Codes) {
		c.env.messagef("%s: %d", code, r.Codes[code])
	}
	rows := make([][]string, len(r.Rows))
	for i, row := range r.Rows {
		l := row.Latency
		rows[i] = []string{
			string(row.Outcome), strconv.FormatInt(row.Count, 10), percentage(row.Count, r.Due),
			formatMicros(l.P50), formatMicros(l.P90), formatMicros(l.P99), formatMicros(l.P999), formatMicros(l.Max),
		}
	}
	return c.env.printTable([]string{"OUTCOME", "COUNT", "SHARE", "P50", "P90", "P99", "P99.9", "MAX"}, rows)
}

// percentage formats part of whole as a percentage, with "-" if whole is 0.
func percentage(part, whole int64) string {
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
