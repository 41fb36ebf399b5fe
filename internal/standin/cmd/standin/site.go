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

	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// ticketValidity is the time for which the adviser's tickets are valid.
const ticketValidity = 2 * time.Second

// siteCommand runs a whole site of the users' platform: a store with a first
// configuration, an adviser and runners.
type siteCommand struct {
	store    string
	adviser  string
	runners  int
	workTime time.Duration
	maxBody  int
	// customers are added to those of the configuration.
	customers int
}

func (*siteCommand) Name() string     { return "site" }
func (*siteCommand) Synopsis() string { return "run the users' platform with its runners" }
func (*siteCommand) Usage() string {
	return "standin site -store 127.0.0.1:7500 -adviser 127.0.0.1:7501 -runners 4\n" +
		"When it ends, it prints the numbers of starts and done tasks, and the violations seen.\nIt fails if there are any.\n"
}

// SetFlags implements subcommands.Command.
func (c *siteCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.store, "store", "127.0.0.1:0", "address of the store")
	f.StringVar(&c.adviser, "adviser", "127.0.0.1:0", "address of the adviser")
	f.IntVar(&c.runners, "runners", 4, "runners of eight cores each")
	f.DurationVar(&c.workTime, "work", 200*time.Millisecond, "run time of each task")
	f.IntVar(&c.maxBody, "max-body", 0, "largest body that the configuration allows, in bytes; 0 leaves it")
	f.IntVar(&c.customers, "customers", 0, "further customers of the configuration")
}

// siteReady is the line that is printed once a site listens.
type siteReady struct {
	Kind    string `json:"kind"`
	Store   string `json:"store"`
	Adviser string `json:"adviser"`
	PID     int    `json:"pid"`
}

// siteSummary is the line that is printed at the end, about the tasks on all
// runners.
type siteSummary struct {
	Starts     int      `json:"starts"`
	Done       int      `json:"done"`
	Violations []string `json:"broken"`
}

// Execute implements subcommands.Command.
func (c *siteCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	watch := standin.NewSiteWatch()
	if err := c.run(ctx, watch); err != nil {
		return failure(err)
	}
	starts, done, violations := watch.Summary()
	if err := json.NewEncoder(os.Stdout).Encode(siteSummary{Starts: starts, Done: done, Violations: append([]string{}, violations...)}); err != nil {
		return failure(err)
	}
	if len(violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run runs the site until ctx is done.
func (c *siteCommand) run(ctx context.Context, watch *standin.SiteWatch) error {
	store := standin.NewSiteStore()
	values := standin.SiteConfig(1)
	if limits, ok := values["limits"].(map[string]any); ok && c.maxBody > 0 {
		limits["max_body_bytes"] = c.maxBody
	}
	standin.AddSiteCustomers(values, c.customers)
	config, err := json.Marshal(values)
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	store.Put(standin.SiteTopicOperator, "config", config)
	var servers []*standin.Server
	defer func() {
		for _, s := range servers {
			if err := s.Close(); err != nil {
				fmt.Fprintln(os.Stderr, "standin:", err)
			}
		}
	}()
	serve := func(s standin.Service, address string) (string, error) {
		server, err := standin.Serve(s, address, "")
		if err != nil {
			return "", err
		}
		servers = append(servers, server)
		return server.Addr(), nil
	}
	line := siteReady{Kind: "site", PID: os.Getpid()}
	if line.Store, err = serve(store.NewServer(), c.store); err != nil {
		return err
	}
	if line.Adviser, err = serve(standin.NewSiteAdviser(ticketValidity), c.adviser); err != nil {
		return err
	}
	for i := range c.runners {
		runner := standin.NewSiteRunner(standin.SiteRunnerOptions{
			ID: fmt.Sprintf("i-%02d", i), Service: standin.SiteService, Zone: "z1", Rack: fmt.Sprintf("r1-%d", i/2),
			MilliCores: 8000, MemoryMB: 8000, WorkTime: c.workTime, Store: store, Watch: watch,
		})
		address, err := serve(runner, "127.0.0.1:0")
		if err != nil {
			return err
		}
		runner.Start(address)
		defer runner.Close()
	}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return errors.Wrap(err, "print the addresses of the site")
	}
	<-ctx.Done()
	return nil
}
