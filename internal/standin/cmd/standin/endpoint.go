package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// milliCoresPerCore converts cores to milli-cores.
const milliCoresPerCore = 1000

// endpointCommand runs a worker or a service runner.
type endpointCommand struct {
	addresses
	opts    standin.EndpointOptions
	kind    string
	cores   float64
	history string
	drain   time.Duration
}

func (*endpointCommand) Name() string     { return "endpoint" }
func (*endpointCommand) Synopsis() string { return "run a worker or a service runner" }
func (*endpointCommand) Usage() string {
	return "standin endpoint -id w1 -kind worker -zone bre-1 -rack r1 -cores 64 -memory 262144\n" +
		"standin endpoint -id r1 -kind runner -zone bre-1 -slots 8\n"
}

// SetFlags implements subcommands.Command.
func (c *endpointCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.opts.ID, "id", "", "id of the endpoint")
	f.StringVar(&c.kind, "kind", string(endpoint.KindWorker), "worker or runner")
	f.StringVar(&c.opts.AvailabilityZone, "zone", "", "availability zone")
	f.StringVar(&c.opts.Rack, "rack", "", "rack")
	f.Float64Var(&c.cores, "cores", 0, "cores of a worker")
	f.Int64Var(&c.opts.Capacity.MemoryMB, "memory", 0, "memory of a worker in MB")
	f.Int64Var(&c.opts.Capacity.Accelerators, "accelerators", 0, "accelerators of a worker")
	f.Int64Var(&c.opts.Capacity.Slots, "slots", 0, "concurrent requests of a runner")
	f.StringVar(&c.history, "history", "", "file to append the history to; empty for none")
	f.IntVar(&c.opts.PartBytes, "part-bytes", standin.DefaultPartBytes, "size of the parts of an output")
	f.DurationVar(&c.opts.ServiceTime, "service-time", 0, "time added to the run time of each task")
	f.DurationVar(&c.opts.UsageLag, "usage-lag", 0, "age of the reported usage")
	f.IntVar(&c.opts.MaxConnections, "max-connections", standin.DefaultMaxConnections, "connections served at a time; more wait")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "seed of the order of shuffled parts")
	f.DurationVar(&c.drain, "drain", 0, "time for tasks to end and be acknowledged after SIGTERM")
}

// Execute implements subcommands.Command.
func (c *endpointCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.check(); err != nil {
		return failure(err)
	}
	if c.history != "" {
		writer, err := history.OpenWriter(c.history)
		if err != nil {
			return failure(err)
		}
		defer func() { _ = writer.Close() }()
		c.opts.History = writer
	}
	e := standin.NewEndpoint(c.opts)
	status := c.serve(ctx, ready{Kind: c.kind, ID: c.opts.ID}, e, func() { c.drainTasks(e) })
	if err := e.Close(); err != nil {
		return failure(err)
	}
	return status
}

// check converts the flags to options and returns an error if they are invalid.
func (c *endpointCommand) check() error {
	c.opts.Kind = endpoint.Kind(c.kind)
	if c.opts.Kind != endpoint.KindWorker && c.opts.Kind != endpoint.KindRunner {
		return errors.Errorf("-kind %q is neither worker nor runner", c.kind)
	}
	if c.opts.ID == "" || c.opts.AvailabilityZone == "" {
		return errors.New("set -id and -zone")
	}
	c.opts.Capacity.MilliCores = int64(c.cores * milliCoresPerCore)
	if c.opts.Capacity == (endpoint.Resources{}) {
		return errors.New("set -cores and -memory for a worker, or -slots for a runner")
	}
	return nil
}

// drainTasks makes the endpoint refuse new tasks and waits until its tasks have
// ended and been acknowledged, at most for the time in the flag -drain. It does
// nothing if that is 0.
func (c *endpointCommand) drainTasks(e *standin.Endpoint) {
	if c.drain <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.drain)
	defer cancel()
	e.Drain(ctx)
}
