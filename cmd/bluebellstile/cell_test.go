package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/operator"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// cellConfig returns the text of the configuration of the cell under test.
func cellConfig(t *testing.T) string {
	t.Helper()
	text, err := operator.Print(&operator.Config{
		Zones: []operator.Zone{{Name: "za", Region: "region-za"}},
		Teams: []operator.Team{{Name: "press", Share: 1, UpperLimit: 10}},
		Keys: []operator.Key{
			{ID: "admin", SHA256: operator.HashSecret("operators-secret"), Operator: true},
			{ID: "press-1", Team: "press", SHA256: operator.HashSecret("press-secret")},
		},
		Queues: []operator.Queue{
			{Name: "labels", Class: operator.ClassUrgent, Runner: true},
			{Name: "costing"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// processCell is a cell of one zone whose daemon, endpoints and stand-ins for the
// platform run as processes.
type processCell struct {
	t         *testing.T
	api       string
	admin     string
	adminKey  string
	callerKey string
}

func startCell(t *testing.T) *processCell {
	t.Helper()
	options := harness.DefaultOptions()
	options.Zones = []string{"za"}
	options.DaemonsPerZone = 1
	options.Dir = t.TempDir()
	cell := harness.Start(t, options)
	daemon, err := settings.Load(filepath.Join(options.Dir, "za-d1.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return &processCell{
		t:         t,
		api:       cell.Entry("za-d1").URL,
		admin:     "http://" + daemon.Listen.Admin,
		adminKey:  writeFile(t, "operators-secret\n"),
		callerKey: writeFile(t, "press-secret\n"),
	}
}

// runOperator runs a command with an operator's key. The command may have two
// words, such as "config print".
func (c *processCell) runOperator(command string, args ...string) cliResult {
	c.t.Helper()
	all := append(strings.Fields(command), "-admin", c.admin, "-key-file", c.adminKey)
	return runCLI(c.t, nil, "", append(all, args...)...)
}

// runCaller runs a command with a caller's key.
func (c *processCell) runCaller(stdin, command string, args ...string) cliResult {
	c.t.Helper()
	all := []string{command, "-api", c.api, "-key-file", c.callerKey, "-retry-for", "20s", "-retries", "1000"}
	return runCLI(c.t, nil, stdin, append(all, args...)...)
}

// keyWithdrawalBound is the time within which a withdrawn key must be refused.
const keyWithdrawalBound = 5 * time.Second

func TestCommandsAgainstRealProcesses(t *testing.T) {
	cell := startCell(t)
	cell.runOperator("config publish", "-everywhere", writeFile(t, cellConfig(t))).requireCode(t, exitOK).requireText(t, "za", "in force")
	if got := cell.runOperator("config print").requireCode(t, exitOK); got.stdout != cellConfig(t) {
		t.Errorf("in force is %s", got.stdout)
	}

	if got := cell.runCaller("label", "submit", "-queue", "labels", "-command", "echo").requireCode(t, exitOK); got.stdout != "label" {
		t.Errorf("the output is %q", got.stdout)
	}
	cell.runOperator("zones").requireCode(t, exitOK).requireText(t, "za-d1")
	cell.runCaller("x", "submit", "-queue", "labels", "-command", "fail").requireCode(t, exitFailed)
	cell.runCaller("x", "submit", "-queue", "ghost", "-command", "echo").requireCode(t, exitNotRun)
	cell.requireJob()
	cell.requireLoad()
	cell.requireWithdrawal()
}

// requireJob requires that a job runs to its end and that another one can be
// cancelled.
func (c *processCell) requireJob() {
	c.t.Helper()
	dir := filepath.Join(c.t.TempDir(), "answers")
	c.runCaller("one\ntwo\n", "run", "-queue", "costing", "-command", "echo", "-gang", "-lines", "-out", dir).requireCode(c.t, exitOK)
	if data, err := os.ReadFile(filepath.Join(dir, "1")); err != nil || string(data) != "two" {
		c.t.Errorf("the output of task 1 is %q, %v", data, err)
	}
	got := c.runCaller("1h", "run", "-queue", "costing", "-command", "sleep", "-detach").requireCode(c.t, exitOK)
	id := strings.TrimSpace(got.stdout)
	c.runCaller("", "status", id).requireCode(c.t, exitOK)
	c.runCaller("", "cancel", id).requireCode(c.t, exitOK)
	c.runCaller("", "watch", id).requireCode(c.t, exitFailed).requireText(c.t, "cancelled")
}

// requireLoad requires that the load generator counts every request once.
func (c *processCell) requireLoad() {
	c.t.Helper()
	got := c.runCaller("x", "load", "-queue", "labels", "-command", "echo", "-rate", "50", "-duration", "1s", "-json").requireCode(c.t, exitOK)
	var result struct {
		Due      int64
		Outcomes []struct {
			Outcome string
			Count   int64
		}
	}
	if err := json.Unmarshal([]byte(got.stdout), &result); err != nil {
		c.t.Fatal(err)
	}
	total := int64(0)
	for _, row := range result.Outcomes {
		total += row.Count
	}
	if result.Due != 50 || total != 50 || result.Outcomes[0].Count == 0 {
		c.t.Errorf("got %+v", result)
	}
}

// requireWithdrawal requires that a withdrawn key is refused within
// keyWithdrawalBound and that the key which replaces it works.
func (c *processCell) requireWithdrawal() {
	c.t.Helper()
	got := c.runOperator("key rotate", "-json", "-everywhere", "press-1", "press-2").requireCode(c.t, exitOK)
	var made keyOutput
	if err := json.Unmarshal([]byte(got.stdout), &made); err != nil {
		c.t.Fatal(err)
	}
	c.runOperator("key withdraw", "press-1").requireCode(c.t, exitOK)
	withdrawn := time.Now()
	for c.runCaller("x", "submit", "-queue", "labels", "-command", "echo").code == exitOK {
		if time.Since(withdrawn) > keyWithdrawalBound {
			c.t.Fatalf("the withdrawn key works after %s", time.Since(withdrawn))
		}
	}
	refused := c.runCaller("x", "submit", "-json", "-queue", "labels", "-command", "echo").requireCode(c.t, exitNotRun)
	refused.requireText(c.t, string(client.KindUnauthorized))
	c.callerKey = writeFile(c.t, made.Secret)
	c.runCaller("x", "submit", "-queue", "labels", "-command", "echo").requireCode(c.t, exitOK)
}
