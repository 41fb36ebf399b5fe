package server_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/report"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/operator"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// reportBound limits each wait of these tests.
const reportBound = 30 * time.Second

// requestsPerRound is the number of requests that send sends.
const requestsPerRound = 7

// reportCell is a cell of real daemon processes with clients for its admin and
// public interfaces. press has the key of the team of that name.
type reportCell struct {
	t     *testing.T
	cell  *harness.Cell
	admin *client.Client
	press *client.Client
}

func startReportCell(t *testing.T) *reportCell {
	options := harness.DefaultOptions()
	options.Zones, options.Dir = []string{"za"}, t.TempDir()
	c := &reportCell{t: t, cell: harness.Start(t, options)}
	var apis, admins []string
	for id := range c.cell.Daemons {
		s, err := settings.Load(filepath.Join(options.Dir, id+".ini"))
		if err != nil {
			t.Fatal(err)
		}
		apis = append(apis, c.cell.Entry(id).URL)
		admins = append(admins, "http://"+s.Listen.Admin)
	}
	budget := client.Budget{Tries: 1000, Elapsed: reportBound}
	var err error
	if c.admin, err = client.New(client.Options{URLs: admins, Key: "operators-secret", Budget: budget}); err != nil {
		t.Fatal(err)
	}
	if c.press, err = client.New(client.Options{URLs: apis, Key: "press-secret", Budget: budget}); err != nil {
		t.Fatal(err)
	}
	return c
}

// publish publishes a configuration with two zones and one queue.
func (c *reportCell) publish() {
	c.t.Helper()
	text, err := operator.Print(&operator.Config{
		Zones: []operator.Zone{{Name: "za", Region: "region-za"}, {Name: "zb", Region: "region-zb"}},
		Teams: []operator.Team{{Name: "press", Share: 1, UpperLimit: 10}},
		Keys: []operator.Key{
			{ID: "admin", SHA256: operator.HashSecret("operators-secret"), Operator: true},
			{ID: "press-1", Team: "press", SHA256: operator.HashSecret("press-secret")},
		},
		Queues: []operator.Queue{{Name: "labels", Class: operator.ClassUrgent, Runner: true, StartObjective: 10 * time.Second, StartTarget: 0.99}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.admin.Publish(c.t.Context(), client.PublishRequest{Text: text}); err != nil {
		c.t.Fatal(err)
	}
}

// send sends requestsPerRound requests, all of which have to succeed.
func (c *reportCell) send() {
	c.t.Helper()
	for range requestsPerRound {
		if _, err := c.press.Submit(c.t.Context(), client.Request{Queue: "labels", Command: "echo", Input: []byte("x")}); err != nil {
			c.t.Fatal(err)
		}
	}
}

// replaceAll stops every daemon gracefully, then starts new ones.
func (c *reportCell) replaceAll() {
	c.t.Helper()
	var restarts []func() error
	for id := range c.cell.Daemons {
		restarts = append(restarts, c.cell.StopDaemon(id))
	}
	for _, restart := range restarts {
		if err := restart(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// awaitTotals waits until the report shows the given number of starts and answers.
func (c *reportCell) awaitTotals(want uint64) *report.View {
	c.t.Helper()
	return c.awaitRow(func(row *report.Row) bool {
		return row.Indicators[0].Windows[4].Total == want && row.Indicators[1].Windows[4].Total == want
	})
}

// awaitRow waits until the report has exactly one row, which satisfies holds.
func (c *reportCell) awaitRow(holds func(*report.Row) bool) *report.View {
	c.t.Helper()
	var view report.View
	if !harness.Eventually(harness.WithTimeout(c.t.Context(), reportBound), func() bool {
		data, err := c.admin.Report(c.t.Context(), false)
		view = report.View{}
		return err == nil && json.Unmarshal(data, &view) == nil && len(view.Rows) == 1 && holds(&view.Rows[0])
	}) {
		c.t.Fatalf("the report is still %+v", view)
	}
	return &view
}

// TestReportSurvivesReplacementOfAllDaemons replaces all daemons twice and reads
// the report from new ones. It guards against measurements that are lost when the
// daemons that took them stop.
func TestReportSurvivesReplacementOfAllDaemons(t *testing.T) {
	c := startReportCell(t)
	c.publish()
	c.send()
	c.replaceAll()
	c.awaitTotals(requestsPerRound)
	c.send()
	c.replaceAll()
	view := c.awaitTotals(2 * requestsPerRound)
	row := view.Rows[0]
	if row.Team != "press" || row.Queue != "labels" || !row.Configured || row.Target != 0.99 || row.Waits != 2*requestsPerRound {
		t.Errorf("row %+v", row)
	}
	if row.Indicators[1].Windows[4].Bad != 0 || row.Indicators[0].Alert != report.NoAlert {
		t.Errorf("indicators %+v, want nothing bad", row.Indicators)
	}
	za, zb := view.Coverage[0], view.Coverage[1]
	if za.Zone != "za" || za.Windows[1].Covered <= 0 || za.Windows[1].Covered >= 1 || za.Windows[1].Missing < 2 {
		t.Errorf("coverage of the hour %+v, want some, with gaps before and between the daemons", za)
	}
	if zb.Zone != "zb" || zb.Windows[4].Covered != 0 {
		t.Errorf("coverage of a zone without daemons %+v, want none", zb)
	}
	page, err := c.admin.Report(t.Context(), true)
	if err != nil || !strings.Contains(string(page), "<svg") || !strings.Contains(string(page), "labels") {
		t.Errorf("page of %d bytes, %v", len(page), err)
	}
	c.requireOperatorKey()
}

// requireOperatorKey checks that the report can't be read with a team's key.
func (c *reportCell) requireOperatorKey() {
	c.t.Helper()
	for id := range c.cell.Daemons {
		s, err := settings.Load(filepath.Join(c.cell.Options.Dir, id+".ini"))
		if err != nil {
			c.t.Fatal(err)
		}
		teamClient, err := client.New(client.Options{URLs: []string{"http://" + s.Listen.Admin}, Key: "press-secret"})
		if err != nil {
			c.t.Fatal(err)
		}
		if data, err := teamClient.Report(c.t.Context(), true); err == nil {
			c.t.Errorf("a team's key reads the report: %d bytes", len(data))
		}
	}
}

// TestReportShowsRefusalsWithoutHolder kills the holder while the log is down, so
// that no successor can claim the zone. The requests that other daemons refuse in
// the meantime have to appear in the report with the cause "failover".
func TestReportShowsRefusalsWithoutHolder(t *testing.T) {
	c := startReportCell(t)
	c.publish()
	c.send()
	holder, err := c.cell.Holder(t.Context(), "za")
	if err != nil {
		t.Fatal(err)
	}
	heal, err := c.cell.InjectLogFault("down", true, false)
	if err != nil {
		t.Fatal(err)
	}
	restart := c.cell.KillDaemon(holder)
	var front *client.Client
	for id := range c.cell.Daemons {
		if id == holder {
			continue
		}
		front, err = client.New(client.Options{URLs: []string{c.cell.Entry(id).URL}, Key: "press-secret", Budget: client.Budget{Tries: 1}})
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := front.Submit(t.Context(), client.Request{Queue: "labels", Command: "echo", Input: []byte("x"), Deadline: 2 * time.Second}); err == nil {
		t.Fatal("a request was answered without a holder")
	}
	if err := errors.Join(heal(), restart()); err != nil {
		t.Fatal(err)
	}
	c.replaceAll()
	row := c.awaitRow(func(row *report.Row) bool { return row.Indicators[1].Windows[4].Bad > 0 }).Rows[0]
	if causes := row.Indicators[1].Causes; len(causes) != 1 || causes[0].Cause != "failover" {
		t.Errorf("causes %+v, want failover alone", causes)
	}
}
