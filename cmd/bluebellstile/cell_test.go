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

// cellConfig returns the configuration of the cell under test.
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

// realCell is a cell of one zone with processes of their own.
type realCell struct {
	t         *testing.T
	api       string
	admin     string
	adminKey  string
	callerKey string
}

func startCell(t *testing.T) *realCell {
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
	return &realCell{
		t:         t,
		api:       cell.Entry("za-d1").URL,
		admin:     "http://" + daemon.Listen.Admin,
		adminKey:  writeFile(t, "operators-secret\n"),
		callerKey: writeFile(t, "press-secret\n"),
	}
}

// operate runs a command of operators, whose name may have two words.
func (c *realCell) operate(command string, args ...string) outcome {
	c.t.Helper()
	all := append(strings.Fields(command), "-admin", c.admin, "-key-file", c.adminKey)
	return runCLI(c.t, nil, "", append(all, args...)...)
}

// call runs a command of callers.
func (c *realCell) call(stdin, command string, args ...string) outcome {
	c.t.Helper()
	all := []string{command, "-api", c.api, "-key-file", c.callerKey, "-retry-for", "20s", "-retries", "1000"}
	return runCLI(c.t, nil, stdin, append(all, args...)...)
}

// keyBound is within what time a withdrawn key must be refused.
const keyBound = 5 * time.Second

func TestCommandsAgainstRealProcesses(t *testing.T) {
	cell := startCell(t)
	cell.operate("config publish", "-everywhere", writeFile(t, cellConfig(t))).requireCode(t, exitDone).requireText(t, "za", "in force")
	if got := cell.operate("config print").requireCode(t, exitDone); got.stdout != cellConfig(t) {
		t.Errorf("in force is %s", got.stdout)
	}

	if got := cell.call("label", "submit", "-queue", "labels", "-command", "echo").requireCode(t, exitDone); got.stdout != "label" {
		t.Errorf("the answer is %q", got.stdout)
	}
	cell.operate("zones").requireCode(t, exitDone).requireText(t, "za-d1")
	cell.call("x", "submit", "-queue", "labels", "-command", "fail").requireCode(t, exitFailed)
	cell.call("x", "submit", "-queue", "ghost", "-command", "echo").requireCode(t, exitNotRun)
	cell.requireJob()
	cell.requireLoad()
	cell.requireWithdrawal()
}

func (c *realCell) requireJob() {
	c.t.Helper()
	dir := filepath.Join(c.t.TempDir(), "answers")
	c.call("one\ntwo\n", "run", "-queue", "costing", "-command", "echo", "-gang", "-lines", "-out", dir).requireCode(c.t, exitDone)
	if data, err := os.ReadFile(filepath.Join(dir, "1")); err != nil || string(data) != "two" {
		c.t.Errorf("task 1 answered %q, %v", data, err)
	}
	got := c.call("1h", "run", "-queue", "costing", "-command", "sleep", "-detach").requireCode(c.t, exitDone)
	id := strings.TrimSpace(got.stdout)
	c.call("", "status", id).requireCode(c.t, exitDone)
	c.call("", "cancel", id).requireCode(c.t, exitDone)
	c.call("", "watch", id).requireCode(c.t, exitFailed).requireText(c.t, "cancelled")
}

func (c *realCell) requireLoad() {
	c.t.Helper()
	got := c.call("x", "load", "-queue", "labels", "-command", "echo", "-rate", "50", "-duration", "1s", "-json").requireCode(c.t, exitDone)
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

// requireWithdrawal requires that a withdrawn key is refused within its bound
// and that the key which succeeds it works.
func (c *realCell) requireWithdrawal() {
	c.t.Helper()
	got := c.operate("key rotate", "-json", "-everywhere", "press-1", "press-2").requireCode(c.t, exitDone)
	var made madeKey
	if err := json.Unmarshal([]byte(got.stdout), &made); err != nil {
		c.t.Fatal(err)
	}
	c.operate("key withdraw", "press-1").requireCode(c.t, exitDone)
	withdrawn := time.Now()
	for c.call("x", "submit", "-queue", "labels", "-command", "echo").code == exitDone {
		if time.Since(withdrawn) > keyBound {
			c.t.Fatalf("the withdrawn key works after %s", time.Since(withdrawn))
		}
	}
	refused := c.call("x", "submit", "-json", "-queue", "labels", "-command", "echo").requireCode(c.t, exitNotRun)
	refused.requireText(c.t, string(client.KindUnauthorized))
	c.callerKey = writeFile(c.t, made.Secret)
	c.call("x", "submit", "-queue", "labels", "-command", "echo").requireCode(c.t, exitDone)
}
