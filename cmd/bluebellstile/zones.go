package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

func newZones(env *environment) *command {
	conn := clientFlags{env: env}
	c := &command{
		env:      env,
		path:     "zones",
		synopsis: "show the holder, configuration version and work of each availability zone",
		examples: []string{"bluebellstile zones", "bluebellstile zones -json"},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.addForOperators(f)
		c.addJSONFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := requireNoArguments(args); err != nil {
			return err
		}
		apiClient, err := conn.newClient()
		if err != nil {
			return err
		}
		zones, err := apiClient.Zones(ctx)
		if err != nil {
			return readOnlyError(err)
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
		running, waiting := totalWork(z.Teams)
		rows[i] = []string{
			z.Zone, orDash(z.Holder), formatVersion(z.Epoch), formatVersion(z.ConfigVersion), strconv.Itoa(len(z.Endpoints)),
			strconv.FormatInt(running, 10), strconv.FormatInt(waiting, 10), orDash(z.Problem),
		}
	}
	header := []string{"ZONE", "HOLDER", "EPOCH", "CONFIG", "ENDPOINTS", "RUNNING", "WAITING", "PROBLEM"}
	return c.env.printTable(header, rows)
}

// totalWork returns the sums of running and waiting work over the teams of a
// zone.
func totalWork(teams []client.TeamStatus) (running, waiting int64) {
	for _, t := range teams {
		running += t.Running
		waiting += t.Waiting
	}
	return running, waiting
}
