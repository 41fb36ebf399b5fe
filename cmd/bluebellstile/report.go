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
	conn := connection{env: env}
	var html string
	c := &command{
		env:      env,
		path:     "report",
		synopsis: "show the service-level burn of teams and queues",
		details:  "Prints the report as tables; with -json, as JSON; with -html, writes it as a page that needs no other file.",
		examples: []string{"bluebellstile report", "bluebellstile report -json", "bluebellstile report -html burn.html"},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.adminFlags(f)
		c.jsonFlag(f)
		f.StringVar(&html, "html", "", "write the report to this file as HTML")
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := noArguments(args); err != nil {
			return err
		}
		opened, err := conn.open()
		if err != nil {
			return err
		}
		return c.printReport(ctx, opened, html)
	}
	return c
}

func (c *command) printReport(ctx context.Context, opened *client.Client, html string) error {
	data, err := opened.Report(ctx, html != "")
	if err != nil {
		return readError(err)
	}
	if html != "" {
		return errors.WithStack(os.WriteFile(html, data, outputMode))
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

// printReportTables prints what part of the windows has data, then the burn.
func (c *command) printReportTables(view *report.View) error {
	if err := c.env.printTable(report.CoverageHeader, view.CoverageRows()); err != nil {
		return err
	}
	if err := c.env.print("\n"); err != nil {
		return err
	}
	return c.env.printTable(report.TableHeader, view.TableRows())
}
