package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// filePollInterval is the time between two checks of the list's file for a
// change.
const filePollInterval = 200 * time.Millisecond

// logCommand runs the log.
type logCommand struct {
	addresses
	opts standin.LogOptions
}

func (*logCommand) Name() string     { return "log" }
func (*logCommand) Synopsis() string { return "run the append-only log" }
func (*logCommand) Usage() string {
	return "standin log -listen 127.0.0.1:7100 -admin 127.0.0.1:7101 -retention 10000\n"
}

// SetFlags implements subcommands.Command.
func (c *logCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.IntVar(&c.opts.MaxRecords, "retention", 0, "records to keep; 0 keeps all")
	f.IntVar(&c.opts.MaxBytes, "retention-bytes", 0, "bytes of data to keep; 0 keeps all")
	f.Float64Var(&c.opts.AppendsPerSecond, "rate", 0, "cap of appends per second; 0 for none")
}

// Execute implements subcommands.Command.
func (c *logCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, ready{Kind: "log"}, standin.NewLog(c.opts), nil)
}

// listCommand runs the list of instances.
type listCommand struct {
	addresses
	file string
	lag  time.Duration
}

func (*listCommand) Name() string     { return "list" }
func (*listCommand) Synopsis() string { return "run the lagging list of instances" }
func (*listCommand) Usage() string {
	return "standin list -listen 127.0.0.1:7110 -file instances.json -lag 1s\n"
}

// SetFlags implements subcommands.Command.
func (c *listCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.file, "file", "", "JSON list of instances, read again when it changes; empty for none")
	f.DurationVar(&c.lag, "lag", time.Second, "age of the answers")
}

// Execute implements subcommands.Command.
func (c *listCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file := &instanceFile{path: c.file}
	instances, err := file.read()
	if err != nil {
		return failure(err)
	}
	list := standin.NewList(instances, c.lag)
	watcher, _ := tomb.WithContext(ctx)
	watcher.Go(func() error {
		file.watch(watcher.Dying(), list)
		return nil
	})
	status := c.serve(ctx, ready{Kind: "list"}, list, nil)
	watcher.Kill(nil)
	_ = watcher.Wait()
	return status
}

// instanceFile is a JSON list of instances in a file.
type instanceFile struct {
	path string
	// modTime and size are those of the file when it was last read.
	modTime time.Time
	size    int64
}

// read returns the instances in the file, or none if no file is set.
func (f *instanceFile) read() ([]loglist.Instance, error) {
	if f.path == "" {
		return nil, nil
	}
	info, err := os.Stat(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "check -file")
	}
	data, err := os.ReadFile(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "check -file")
	}
	var instances []loglist.Instance
	if err := json.Unmarshal(data, &instances); err != nil {
		return nil, errors.Wrapf(err, "%s is not a JSON list of instances", f.path)
	}
	f.modTime, f.size = info.ModTime(), info.Size()
	return instances, nil
}

// changed reports whether the file has changed since it was last read.
func (f *instanceFile) changed() bool {
	info, err := os.Stat(f.path)
	return err == nil && (!info.ModTime().Equal(f.modTime) || info.Size() != f.size)
}

// watch updates the list whenever the file changes, until done is closed. If the
// file can't be read, it prints the error and the list stays as it is.
func (f *instanceFile) watch(done <-chan struct{}, list *standin.List) {
	if f.path == "" {
		return
	}
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if !f.changed() {
			continue
		}
		instances, err := f.read()
		if err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			continue
		}
		list.Set(instances)
	}
}
