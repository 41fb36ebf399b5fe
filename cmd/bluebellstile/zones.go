package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

func newZones(env *environment) *command {
	conn := connection{env: env}
	c := &command{
		env:      env,
		path:     "zones",
		synopsis: "show who holds each availability zone and what is in force there",
		examples: []string{"bluebellstile zones", "bluebellstile zones -json"},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.adminFlags(f)
		c.jsonFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := noArguments(args); err != nil {
			return err
		}
		opened, err := conn.open()
		if err != nil {
			return err
		}
		zones, err := opened.Zones(ctx)
		if err != nil {
			return readError(err)
		}
		return c.printZones(zones)
	}
	return c
}

func (c *command) printZones(zones []client.ZoneStatus) error {
	if c.json {
		return c.env.printJSON(append([]client.ZoneStatus{}, zones...))
	}
	rows := make([][]string, len(zones))
	for i, z := range zones {
		running, waiting := workOf(z.Teams)
		rows[i] = []string{
			z.Zone, dash(z.Holder), versionText(z.Epoch), versionText(z.ConfigVersion), strconv.Itoa(len(z.Endpoints)),
			strconv.FormatInt(running, 10), strconv.FormatInt(waiting, 10), dash(z.Problem),
		}
	}
	header := []string{"ZONE", "HOLDER", "EPOCH", "CONFIG", "ENDPOINTS", "RUNNING", "WAITING", "PROBLEM"}
	return c.env.printTable(header, rows)
}

// workOf adds up what the teams of a zone have running and waiting.
func workOf(teams []client.TeamStatus) (running, waiting int64) {
	for _, t := range teams {
		running += t.Running
		waiting += t.Waiting
	}
	return running, waiting
}
