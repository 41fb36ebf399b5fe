package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/dev"
)

// devOptions are the flags of dev, which runs a cell: the availability zones
// under one log and one configuration.
type devOptions struct {
	zones   string
	cell    dev.Options
	verbose bool
}

func newDev(env *environment) *command {
	o := &devOptions{}
	c := &command{
		env:      env,
		path:     "dev",
		synopsis: "run a whole cell in this process, with stand-ins for the platform",
		details:  "Runs until it is interrupted. All state is lost at the end.",
		examples: []string{"bluebellstile dev", "bluebellstile dev -zones a,b,c -daemons 2 -port 7600"},
	}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&o.zones, "zones", "quimper-1,brest-1", "names of the availability zones, separated by commas")
		f.IntVar(&o.cell.Daemons, "daemons", 2, "daemons in each zone")
		f.IntVar(&o.cell.Workers, "workers", 2, "workers in each zone")
		f.IntVar(&o.cell.Runners, "runners", 2, "service runners in each zone")
		f.IntVar(&o.cell.Port, "port", 7400, "first daemon's port for callers; each further daemon's is ten higher, and each uses three ports")
		f.BoolVar(&o.verbose, "verbose", false, "log what the daemons do")
		c.addJSONFlag(f)
	}
	c.run = func(ctx context.Context, _ []string) error { return c.runDev(ctx, o) }
	return c
}

// devOutput is the JSON output of dev: the URLs on which the daemons listen.
type devOutput struct {
	API   []string `json:"api"`
	Admin []string `json:"admin"`
}

// runDev runs a cell until ctx ends.
func (c *command) runDev(ctx context.Context, o *devOptions) error {
	o.cell.Zones = strings.Split(o.zones, ",")
	o.cell.Level = new(slog.LevelVar)
	o.cell.Level.Set(slog.LevelWarn)
	if o.verbose {
		o.cell.Level.Set(slog.LevelInfo)
	}
	o.cell.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: o.cell.Level}))
	cell, err := dev.Start(o.cell)
	if err != nil {
		return err
	}
	defer cell.Stop(context.WithoutCancel(ctx))
	if c.json {
		if err := c.env.printJSON(devOutput{API: cell.APIs, Admin: cell.Admins}); err != nil {
			return err
		}
	} else {
		c.env.messagef("callers:   %s", strings.Join(cell.APIs, ","))
		c.env.messagef("operators: %s", strings.Join(cell.Admins, ","))
		c.env.messagef("Publish a configuration, for example: go run ./operator/example/demo > cell.ini")
	}
	<-ctx.Done()
	return nil
}
