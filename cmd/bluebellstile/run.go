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

// milliCoresPerCore converts cores to millicores.
const milliCoresPerCore = 1000

// runOptions are the flags of run.
type runOptions struct {
	conn       clientFlags
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
	o := &runOptions{conn: clientFlags{env: env}}
	c := &command{
		env:       env,
		path:      "run",
		synopsis:  "submit a durable job and watch it until it ends",
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
		o.conn.addForCallers(f)
		c.addJSONFlag(f)
		o.addJobFlags(f)
		f.BoolVar(&o.lines, "lines", false, "make each line of the input a task of its own")
		f.BoolVar(&o.detach, "detach", false, "print the id of the accepted job and don't wait for its end")
		f.StringVar(&o.out, "out", "", "write the output of each task to DIR/INDEX")
	}
	c.run = func(ctx context.Context, args []string) error { return c.runJob(ctx, o, args) }
	return c
}

func (o *runOptions) addJobFlags(f *flag.FlagSet) {
	f.StringVar(&o.queue, "queue", "", "queue of the job (required)")
	f.StringVar(&o.job.Command, "command", "", "program that endpoints run on each input (required)")
	f.StringVar(&o.job.Ticket, "ticket", "", "ticket of a job to submit again because its acceptance is unknown")
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
	apiClient, err := o.conn.newClient()
	if err != nil {
		return err
	}
	id, err := apiClient.SubmitJob(ctx, o.queue, o.job)
	if err != nil {
		return err
	}
	if o.detach {
		return c.printJobID(id)
	}
	c.env.messagef("job %s accepted with %s", id, plural(len(o.job.Inputs), "task"))
	return c.watchJob(ctx, apiClient, id, o.out)
}

// printJobID prints the id of a job that is not watched.
func (c *command) printJobID(id string) error {
	if c.json {
		return c.env.printJSON(map[string]string{"job": id})
	}
	return c.env.print(id + "\n")
}

// prepare checks the flags, reads the inputs and completes the job request.
func (o *runOptions) prepare(env *environment, args []string) error {
	if o.queue == "" || o.job.Command == "" {
		return usageError("-queue and -command are required")
	}
	milli := math.Round(o.cores * milliCoresPerCore)
	if !(milli >= 0 && milli <= math.MaxInt32) || o.job.Size.MemoryMB < 0 || o.job.Size.Accelerators < 0 {
		return usageError("-cores must be a number from 0 to 2147483.647, and -memory-mb and -accelerators must not be negative")
	}
	o.job.Idempotent = o.idempotent.value
	o.job.Size.MilliCores = int64(milli)
	o.job.RunTimeMS = o.runTime.Milliseconds()
	inputs, err := readInputs(env, args, o.lines)
	if err != nil {
		return err
	}
	if len(inputs) == 0 {
		return usageError("there is no input, so the job would have no tasks")
	}
	o.job.Inputs = inputs
	return nil
}

// readInputs reads one input per file, or one per line that isn't empty if lines
// is true. Without names it reads stdin.
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

// watchJob watches a job until it ends, writes its outputs to the directory out
// and prints its tasks. It returns an exitCodeError unless every task is done.
func (c *command) watchJob(ctx context.Context, apiClient *client.Client, id, out string) error {
	var last string
	job, err := apiClient.Watch(ctx, id, func(j *client.Job) {
		if text := jobProgress(j); text != last {
			last = text
			c.env.messagef("%s", text)
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
	if code := jobExitCode(job); code != exitOK {
		return &exitCodeError{code: code}
	}
	return nil
}

// watchError returns the error for a job that couldn't be watched to its end.
// Its outcome is unknown, unless the daemon refused to show the job.
func watchError(err error, id string) error {
	e := client.AsError(err)
	if e != nil && (e.Kind == client.KindNotFound || e.Kind == client.KindUnauthorized) {
		return readOnlyError(err)
	}
	return &exitCodeError{
		code:  exitUnknown,
		cause: errors.Wrapf(err, "job %s continues unwatched; watch it with 'bluebellstile watch %s'", id, id),
	}
}

// writeOutputs writes the output of each finished task to a file in dir that is
// named by the task's index. It does nothing if dir is empty.
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
		if err := os.WriteFile(name, t.Output, outputFileMode); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// jobProgress returns the state of a job in one line.
func jobProgress(j *client.Job) string {
	counts := map[client.State]int{}
	for _, t := range j.Tasks {
		counts[t.State]++
	}
	return fmt.Sprintf("job %s: %s, %d of %d tasks done", j.ID, j.State, counts[client.StateDone], len(j.Tasks))
}

// jobExitCode returns the exit code of a finished job: that of the worst task.
// Unknown is worse than failed or cancelled, which is worse than not run.
func jobExitCode(j *client.Job) int {
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
	return exitOK
}
