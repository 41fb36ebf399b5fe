package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/report"
)

func newReport(env *environment) *command {
	conn := clientFlags{env: env}
	var html string
	c := &command{
		env:      env,
		path:     "report",
		synopsis: "show the burn of the service-level error budgets of teams and queues",
		details:  "Prints the report as tables, or as JSON with -json. With -html it writes a self-contained page instead.",
		examples: []string{"bluebellstile report", "bluebellstile report -json", "bluebellstile report -html burn.html"},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.addForOperators(f)
		c.addJSONFlag(f)
		f.StringVar(&html, "html", "", "write the report to this file as HTML")
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := requireNoArguments(args); err != nil {
			return err
		}
		apiClient, err := conn.newClient()
		if err != nil {
			return err
		}
		return c.printReport(ctx, apiClient, html)
	}
	return c
}

func (c *command) printReport(ctx context.Context, apiClient *client.Client, html string) error {
	data, err := apiClient.Report(ctx, html != "")
	if err != nil {
		return readOnlyError(err)
	}
	if html != "" {
		return errors.WithStack(os.WriteFile(html, data, outputFileMode))
	}
	if c.json {
		return c.printReportJSON(data)
	}
	var view report.View
	if err := json.Unmarshal(data, &view); err != nil {
		return errors.Wrap(err, "the report is not JSON")
	}
	return c.printReportTables(&view)
}

func (c *command) printReportJSON(data []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(data), "", "  "); err != nil {
		return errors.Wrap(err, "the report is not JSON")
	}
	return c.env.print(indented.String() + "\n")
}

// printReportTables prints a table of how much of each time window has data,
// then one of the burn.
func (c *command) printReportTables(view *report.View) error {
	if err := c.env.printTable(report.CoverageHeader, view.CoverageRows()); err != nil {
		return err
	}
	if err := c.env.print("\n"); err != nil {
		return err
	}
	return c.env.printTable(report.TableHeader, view.TableRows())
}
