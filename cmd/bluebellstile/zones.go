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
		rows[i] = []string{
			z.Zone, dash(z.Region), dash(z.State), dash(z.Holder), versionText(z.Epoch), versionText(z.ConfigVersion),
			strconv.Itoa(z.Endpoints), strconv.Itoa(z.Running), strconv.Itoa(z.Waiting),
		}
	}
	header := []string{"ZONE", "REGION", "STATE", "HOLDER", "EPOCH", "CONFIG", "ENDPOINTS", "RUNNING", "WAITING"}
	return c.env.printTable(header, rows)
}
