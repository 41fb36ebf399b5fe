package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

// milliPerCore converts cores.
const milliPerCore = 1000

// runOptions are the flags of run.
type runOptions struct {
	conn       connection
	queue      string
	job        client.JobRequest
	idempotent optionalBool
	cores      float64
	runTime    time.Duration
	lines      bool
	detach     bool
	out        string
}

func newRun(env *environment) *command {
	o := &runOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "run",
		synopsis:  "run a durable job and follow it to its end",
		arguments: "[FILE...]",
		details: "Each FILE, or each line of all input with -lines, is the input of one task; without FILE, standard input is read.\n" +
			"Exit codes: 0 every task done, 3 certainly not run, 4 unknown, 5 a task failed or was cancelled.",
		examples: []string{
			"bluebellstile run -queue batch-costing -command cost -cores 0.5 -memory-mb 256 prices/*.csv",
			"bluebellstile run -queue lot-sorting -command sort -gang -lines -out answers lots.txt",
			"bluebellstile run -queue invoice -command bill -detach day.json",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.conn.callerFlags(f)
		c.jsonFlag(f)
		o.jobFlags(f)
		f.BoolVar(&o.lines, "lines", false, "make each line of the input a task of its own")
		f.BoolVar(&o.detach, "detach", false, "print the id of the accepted job and don't wait")
		f.StringVar(&o.out, "out", "", "write the output of each task to DIR/INDEX")
	}
	c.run = func(ctx context.Context, args []string) error { return c.runJob(ctx, o, args) }
	return c
}

func (o *runOptions) jobFlags(f *flag.FlagSet) {
	f.StringVar(&o.queue, "queue", "", "queue of the job (needed)")
	f.StringVar(&o.job.Command, "command", "", "program that endpoints run on each input (needed)")
	f.StringVar(&o.job.Ticket, "ticket", "", "submit a job again whose acceptance is unknown")
	f.BoolVar(&o.job.Gang, "gang", false, "start all tasks at once or none")
	f.Var(&o.idempotent, "idempotent", idempotentUsage)
	f.Float64Var(&o.cores, "cores", 1, "cores that each task needs")
	f.Int64Var(&o.job.Size.MemoryMB, "memory-mb", 256, "memory that each task needs, in MB")
	f.Int64Var(&o.job.Size.Accelerators, "accelerators", 0, "accelerators that each task needs")
	f.DurationVar(&o.runTime, "run-time", 0, "expected run time of a task")
}

func (c *command) runJob(ctx context.Context, o *runOptions, args []string) error {
	if err := o.prepare(c.env, args); err != nil {
		return err
	}
	opened, err := o.conn.open()
	if err != nil {
		return err
	}
	id, err := opened.SubmitJob(ctx, o.queue, o.job)
	if err != nil {
		return err
	}
	if o.detach {
		return c.printJobID(id)
	}
	c.env.note("job %s accepted with %s", id, plural(len(o.job.Inputs), "task"))
	return c.follow(ctx, opened, id, o.out)
}

func (c *command) printJobID(id string) error {
	if c.json {
		return c.env.printJSON(map[string]string{"job": id})
	}
	return c.env.print(id + "\n")
}

// prepare checks the flags and reads the inputs.
func (o *runOptions) prepare(env *environment, args []string) error {
	if o.queue == "" || o.job.Command == "" {
		return usageError("-queue and -command are needed")
	}
	milli := math.Round(o.cores * milliPerCore)
	if !(milli >= 0 && milli <= math.MaxInt32) || o.job.Size.MemoryMB < 0 || o.job.Size.Accelerators < 0 {
		return usageError("sizes must not be negative or absurd")
	}
	o.job.Idempotent = o.idempotent.value
	o.job.Size.MilliCores = int64(milli)
	o.job.RunTimeMS = o.runTime.Milliseconds()
	inputs, err := readInputs(env, args, o.lines)
	if err != nil {
		return err
	}
	if len(inputs) == 0 {
		return usageError("there is no input, so that the job would have no task")
	}
	o.job.Inputs = inputs
	return nil
}

// readInputs reads one input per file, or per line with lines.
func readInputs(env *environment, names []string, lines bool) ([][]byte, error) {
	if len(names) == 0 {
		names = []string{"-"}
	}
	var inputs [][]byte
	for _, name := range names {
		data, err := env.readInput(name)
		if err != nil {
			return nil, err
		}
		if !lines {
			inputs = append(inputs, data)
			continue
		}
		for line := range bytes.Lines(data) {
			if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 {
				inputs = append(inputs, line)
			}
		}
	}
	return inputs, nil
}

// follow watches a job to its end, prints its tasks and returns what became
// of it as an exit code.
func (c *command) follow(ctx context.Context, opened *client.Client, id, out string) error {
	var shown string
	job, err := opened.Watch(ctx, id, func(j *client.Job) {
		if text := jobProgress(j); text != shown {
			shown = text
			c.env.note("%s", text)
		}
	})
	if err != nil {
		return watchError(err, id)
	}
	if err := writeOutputs(job, out); err != nil {
		return err
	}
	if err := c.printJob(job); err != nil {
		return err
	}
	if code := jobCode(job); code != exitDone {
		return &codeError{code: code}
	}
	return nil
}

// watchError is a job that couldn't be followed to its end. Unless the daemon
// refused to show it, what becomes of it is unknown.
func watchError(err error, id string) error {
	e := client.AsError(err)
	if e != nil && (e.Kind == client.KindNotFound || e.Kind == client.KindUnauthorized) {
		return readError(err)
	}
	return &codeError{
		code:  exitUnknown,
		cause: errors.Wrapf(err, "job %s goes on unwatched; follow it with 'bluebellstile watch %s'", id, id),
	}
}

// writeOutputs writes the output of each task to its own file.
func writeOutputs(job *client.Job, dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.WithStack(err)
	}
	for _, t := range job.Tasks {
		if t.State != client.StateDone {
			continue
		}
		name := filepath.Join(dir, strconv.Itoa(t.Index))
		if err := os.WriteFile(name, t.Output, outputMode); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// jobProgress sums up a job in one line.
func jobProgress(j *client.Job) string {
	counts := map[client.State]int{}
	for _, t := range j.Tasks {
		counts[t.State]++
	}
	return fmt.Sprintf("job %s: %s, %d of %d tasks done", j.ID, j.State, counts[client.StateDone], len(j.Tasks))
}

// jobCode returns the exit code of a finished job. An unknown task outweighs
// a failed one, and that one that was not run.
func jobCode(j *client.Job) int {
	states := map[client.State]bool{j.State: len(j.Tasks) == 0}
	for _, t := range j.Tasks {
		states[t.State] = true
	}
	switch {
	case states[client.StateUnknown]:
		return exitUnknown
	case states[client.StateFailed], states[client.StateCancelled]:
		return exitFailed
	case states[client.StateNotRun]:
		return exitNotRun
	}
	return exitDone
}
