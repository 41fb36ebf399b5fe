package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bluebellstile/bluebellstile/operator"
)

// sampleConfig returns the text of a valid configuration.
func sampleConfig(t *testing.T, limit int64) string {
	t.Helper()
	text, err := operator.Print(&operator.Config{
		Zones: []operator.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Teams: []operator.Team{{Name: "press", Share: 1, UpperLimit: limit}},
		Keys: []operator.Key{
			{ID: "admin", SHA256: operator.HashSecret("secret"), Operator: true},
			{ID: "press-1", Team: "press", SHA256: operator.HashSecret("press")},
		},
		Queues: []operator.Queue{{Name: "labels"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// writeFile writes cell.ini into a new directory and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cell.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestConfigPrintCheckAndDiff(t *testing.T) {
	old, next := writeFile(t, sampleConfig(t, 40)), writeFile(t, sampleConfig(t, 60))
	bad := writeFile(t, strings.Replace(sampleConfig(t, 40), "upper_limit = 40", "upper_limit = -1", 1))

	if got := runCLI(t, nil, "", "config", "print", old).requireCode(t, exitOK); got.stdout != sampleConfig(t, 40) {
		t.Errorf("printed %s", got.stdout)
	}
	runCLI(t, nil, sampleConfig(t, 1), "config", "check", "-").requireCode(t, exitOK).requireText(t, "ok, 2 zones, 1 team, 2 keys, 1 queue")
	runCLI(t, nil, "", "config", "check", bad).requireCode(t, exitInvalid).requireText(t, `line `, `team "press": upper_limit`)
	runCLI(t, nil, "", "config", "check", bad+".missing").requireCode(t, exitError)
	runCLI(t, nil, "", "config", "check").requireCode(t, exitUsage)

	got := runCLI(t, nil, "", "config", "diff", old, next).requireCode(t, exitOK)
	if got.stdout != "team press: upper limit 40 to 60\n" {
		t.Errorf("printed %q", got.stdout)
	}
	runCLI(t, nil, "", "config", "diff", "-exit-code", old, next).requireCode(t, exitDiffers)
	runCLI(t, nil, "", "config", "diff", "-exit-code", old, old).requireCode(t, exitOK)
	runCLI(t, nil, "", "config", "diff", old, bad).requireCode(t, exitInvalid)
}

func TestPublishReportsEveryZone(t *testing.T) {
	d := newFakeDaemon(t)
	got := runCLI(t, d, "", "config", "publish", "-everywhere", writeFile(t, sampleConfig(t, 40))).requireCode(t, exitOK)
	got.requireText(t, "team press: added (share 1, upper limit 40)", "version 1")
	if strings.Count(got.stdout, "in force") != 2 {
		t.Errorf("printed %s", got.stdout)
	}
	runCLI(t, d, "", "config", "publish", writeFile(t, sampleConfig(t, 60))).requireCode(t, exitOK).
		requireText(t, "team press: upper limit 40 to 60", "version 2")
	runCLI(t, d, "", "config", "diff", "-exit-code", writeFile(t, sampleConfig(t, 60))).requireCode(t, exitOK)
	if printed := runCLI(t, d, "", "config", "print").requireCode(t, exitOK); printed.stdout != sampleConfig(t, 60) {
		t.Errorf("in force is %s", printed.stdout)
	}
	runCLI(t, d, "", "config", "revert", "1").requireCode(t, exitOK)
	if len(d.texts) != 3 || d.texts[2] != sampleConfig(t, 40) {
		t.Errorf("the versions are %q", d.texts)
	}
	runCLI(t, d, "", "config", "history").requireCode(t, exitOK).requireText(t, "operations", "team press: upper limit 40 to 60\n", "team press: upper limit 60 to 40\n")
	runCLI(t, d, "", "config", "revert", "one").requireCode(t, exitUsage)
}

func TestPublishRefusals(t *testing.T) {
	d := newFakeDaemon(t)
	d.texts = []string{sampleConfig(t, 40)}
	file := writeFile(t, sampleConfig(t, 60))
	runCLI(t, d, "", "config", "publish", "-expected", "0", file).requireCode(t, exitConflict)
	runCLI(t, d, "", "config", "publish", "-expected", "-2", file).requireCode(t, exitUsage)
	runCLI(t, d, "", "config", "publish", "-dry-run", file).requireCode(t, exitOK).requireText(t, "nothing was published")
	runCLI(t, d, "", "config", "publish", writeFile(t, "[zone]")).requireCode(t, exitInvalid)
	if len(d.texts) != 1 {
		t.Fatalf("published %d versions", len(d.texts)-1)
	}
	d.zoneBPending = true
	runCLI(t, d, "", "config", "publish", "-everywhere", file).requireCode(t, exitUnknown).requireText(t, "accepted", "1 zone", "pending")
	runCLI(t, d, "", "config", "publish", file).requireCode(t, exitOK).requireText(t, "pending")
}

func TestKeyCommandsPublishTheChange(t *testing.T) {
	d := newFakeDaemon(t)
	runCLI(t, d, "", "key", "withdraw", "press-1").requireCode(t, exitError).requireText(t, "no configuration is in force")
	d.texts = []string{sampleConfig(t, 40)}
	d.conflicts = 2
	got := runCLI(t, d, "", "key", "grant", "-json", "-id", "press-2", "-team", "press").requireCode(t, exitOK)
	var made keyOutput
	if err := json.Unmarshal([]byte(got.stdout), &made); err != nil {
		t.Fatal(err)
	}
	latest := d.texts[len(d.texts)-1]
	if made.SHA256 != operator.HashSecret(made.Secret) || !strings.Contains(latest, made.SHA256) || strings.Contains(latest, made.Secret) {
		t.Errorf("made %+v, published %s", made, latest)
	}
	runCLI(t, d, "", "key", "rotate", "press-2", "press-3").requireCode(t, exitOK).requireText(t, `[key "press-3"]`, "bbst_")
	runCLI(t, d, "", "key", "withdraw", "press-2").requireCode(t, exitOK)
	config, err := operator.Parse(d.texts[len(d.texts)-1])
	if err != nil {
		t.Fatal(err)
	}
	withdrawn := map[string]bool{}
	for _, k := range config.Keys {
		withdrawn[k.ID] = k.Withdrawn
	}
	if len(withdrawn) != 4 || !withdrawn["press-2"] || withdrawn["press-1"] || withdrawn["press-3"] {
		t.Errorf("withdrawn: %v", withdrawn)
	}
	runCLI(t, d, "", "key", "withdraw", "ghost").requireCode(t, exitInvalid)
	d.conflicts = 1000
	runCLI(t, d, "", "key", "withdraw", "press-1").requireCode(t, exitConflict)
}

func TestPublishRefusesToRegrantWithdrawnKeys(t *testing.T) {
	d := newFakeDaemon(t)
	d.texts = []string{sampleConfig(t, 40)}
	old := writeFile(t, sampleConfig(t, 60))
	runCLI(t, d, "", "key", "withdraw", "press-1").requireCode(t, exitOK)
	runCLI(t, d, "", "config", "publish", old).requireCode(t, exitInvalid).requireText(t, `key "press-1" is withdrawn`)
	runCLI(t, d, "", "config", "revert", "1").requireCode(t, exitInvalid)
	if len(d.texts) != 2 {
		t.Fatalf("%d versions", len(d.texts))
	}
	runCLI(t, d, "", "config", "publish", "-grant-again", old).requireCode(t, exitOK).requireText(t, "key press-1: granted again")
	runCLI(t, d, "", "config", "revert", "-grant-again", "1").requireCode(t, exitOK)
	runCLI(t, d, "", "config", "revert", "99").requireCode(t, exitUsage)
}

func TestKeyNewPublishesNothing(t *testing.T) {
	got := runCLI(t, nil, "", "key", "new", "-id", "x", "-operator").requireCode(t, exitOK)
	got.requireText(t, `[key "x"]`, "operator  = true", "bbst_")
	runCLI(t, nil, "", "key", "new", "-id", "x").requireCode(t, exitUsage)
	runCLI(t, nil, "", "key", "new", "-id", "X", "-team", "t").requireCode(t, exitInvalid)
}

func TestZonesAndReport(t *testing.T) {
	d := newFakeDaemon(t)
	runCLI(t, d, "", "zones").requireCode(t, exitOK).requireText(t, "HOLDER", "entry-1", "118", "33", "does not answer")
	runCLI(t, d, "", "report").requireCode(t, exitOK).requireText(t, "BUDGET LEFT", "25%", "press", "urgent", "-50%", "fast", "limit 41")
	runCLI(t, d, "", "report", "-json").requireCode(t, exitOK).requireText(t, `"config_version": 118`, `"cause": "limit"`)
	path := filepath.Join(t.TempDir(), "burn.html")
	runCLI(t, d, "", "report", "-html", path).requireCode(t, exitOK)
	if data, err := os.ReadFile(path); err != nil || string(data) != "<html></html>" {
		t.Errorf("wrote %q, %v", data, err)
	}
}

func TestSettingsSampleAndCheck(t *testing.T) {
	sample := runCLI(t, nil, "", "settings", "sample").requireCode(t, exitOK).stdout
	runCLI(t, nil, "", "settings", "check", writeFile(t, sample)).requireCode(t, exitOK).requireText(t, "ok")
	bad := writeFile(t, strings.Replace(sample, "lease = 30s", "lease = 30", 1))
	runCLI(t, nil, "", "settings", "check", bad).requireCode(t, exitInvalid).requireText(t, "cell.ini:", "[zone] lease")
	runCLI(t, nil, "", "settings", "check", bad+".missing").requireCode(t, exitInvalid)
}
