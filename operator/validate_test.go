package operator

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

// sampleConfig returns a valid configuration that tests modify.
func sampleConfig() *Config {
	return &Config{
		Zones: []Zone{{Name: "quimper-1", Region: "finistere"}},
		Teams: []Team{{Name: "press", Share: 3, UpperLimit: 40}, {Name: "sales", Share: 1, UpperLimit: 10}},
		Keys: []Key{
			{ID: "press-1", Team: "press", SHA256: HashSecret("one")},
			{ID: "admin", SHA256: HashSecret("two"), Operator: true},
		},
		Queues: []Queue{
			{Name: "labels", Class: ClassUrgent, Teams: []string{"press"}},
			{Name: "preview", Open: true, OpenTeam: "sales"},
		},
	}
}

func TestValidateErrorsNameSectionKeyRuleAndRemedy(t *testing.T) {
	tests := map[string]struct {
		breakRule func(*Config)
		kind      ErrorKind
		section   string
		key       string
	}{
		"no zone":                {func(c *Config) { c.Zones = nil }, KindMissing, "", ""},
		"zone name":              {func(c *Config) { c.Zones[0].Name = "Quimper 1" }, KindBadName, `zone "Quimper 1"`, ""},
		"zone twice":             {func(c *Config) { c.Zones = append(c.Zones, c.Zones[0]) }, KindDuplicate, `zone "quimper-1"`, ""},
		"no region":              {func(c *Config) { c.Zones[0].Region = "" }, KindBadName, `zone "quimper-1"`, "region"},
		"team twice":             {func(c *Config) { c.Teams = append(c.Teams, c.Teams[0]) }, KindDuplicate, `team "press"`, ""},
		"no share":               {func(c *Config) { c.Teams[0].Share = 0 }, KindRange, `team "press"`, "share"},
		"negative share":         {func(c *Config) { c.Teams[0].Share = -1 }, KindRange, `team "press"`, "share"},
		"share too large":        {func(c *Config) { c.Teams[0].Share = MaxShare + 1 }, KindRange, `team "press"`, "share"},
		"negative limit":         {func(c *Config) { c.Teams[0].UpperLimit = -1 }, KindRange, `team "press"`, "upper_limit"},
		"key without team":       {func(c *Config) { c.Keys[0].Team = "" }, KindUnknownRef, `key "press-1"`, "team"},
		"key with unknown team":  {func(c *Config) { c.Keys[1].Team = "ghost" }, KindUnknownRef, `key "admin"`, "team"},
		"secret instead of hash": {func(c *Config) { c.Keys[0].SHA256 = "one" }, KindBadValue, `key "press-1"`, "sha256"},
		"hash in capitals":       {func(c *Config) { c.Keys[0].SHA256 = strings.ToUpper(c.Keys[0].SHA256) }, KindBadValue, `key "press-1"`, "sha256"},
		"one secret, two keys":   {func(c *Config) { c.Keys[0].SHA256 = c.Keys[1].SHA256 }, KindConflict, `key "press-1"`, "sha256"},
		"key id twice":           {func(c *Config) { c.Keys[1].ID = "press-1" }, KindDuplicate, `key "press-1"`, ""},
		"unknown class":          {func(c *Config) { c.Queues[0].Class = "soon" }, KindBadValue, `queue "labels"`, "class"},
		"unknown spill":          {func(c *Config) { c.Queues[0].Spill = "far" }, KindBadValue, `queue "labels"`, "spill"},
		"unknown queue team":     {func(c *Config) { c.Queues[0].Teams = []string{"ghost"} }, KindUnknownRef, `queue "labels"`, "teams"},
		"queue team twice":       {func(c *Config) { c.Queues[0].Teams = []string{"press", "press"} }, KindDuplicate, `queue "labels"`, "teams"},
		"open without a team":    {func(c *Config) { c.Queues[1].OpenTeam = "" }, KindMissing, `queue "preview"`, "open_team"},
		"open to unknown team":   {func(c *Config) { c.Queues[1].OpenTeam = "ghost" }, KindUnknownRef, `queue "preview"`, "open_team"},
		"closed with open team":  {func(c *Config) { c.Queues[1].Open = false }, KindConflict, `queue "preview"`, "open_team"},
		"priority":               {func(c *Config) { c.Queues[0].Priority = MaxPriority + 1 }, KindRange, `queue "labels"`, "priority"},
		"negative deadline":      {func(c *Config) { c.Queues[0].Deadline = -time.Second }, KindRange, `queue "labels"`, "deadline"},
		"deadline too long":      {func(c *Config) { c.Queues[0].Deadline = 48 * time.Hour }, KindRange, `queue "labels"`, "deadline"},
		"negative retries":       {func(c *Config) { c.Queues[0].RetryBudget = -1 }, KindRange, `queue "labels"`, "retry_budget"},
		"negative waiting":       {func(c *Config) { c.Queues[0].MaxWaiting = -1 }, KindRange, `queue "labels"`, "max_waiting"},
		"negative grace":         {func(c *Config) { c.Queues[0].KeyGrace = -1 }, KindRange, `queue "labels"`, "key_grace"},
		"objective":              {func(c *Config) { c.Queues[0].StartObjective = time.Microsecond }, KindRange, `queue "labels"`, "start_objective"},
		"target of one":          {func(c *Config) { c.Queues[0].StartTarget = 1 }, KindRange, `queue "labels"`, "start_target"},
		"target not a number":    {func(c *Config) { c.Queues[0].StartTarget = math.NaN() }, KindRange, `queue "labels"`, "start_target"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := sampleConfig()
			test.breakRule(c)
			requireOneError(t, Validate(c), test.kind, test.section, test.key)
			if _, err := Print(c); err == nil {
				t.Error("Print accepted what Validate refuses")
			}
		})
	}
}

// requireOneError requires that err holds exactly one error, with the given
// kind, section and key.
func requireOneError(t *testing.T, err error, kind ErrorKind, section, key string) {
	t.Helper()
	var errs Errors
	if !errors.As(err, &errs) || len(errs) != 1 {
		t.Fatalf("got %v, want one error", err)
	}
	e := errs[0]
	if e.Kind != kind || e.Section != section || e.Key != key {
		t.Errorf("got %s at %s %s, want %s at %s %s", e.Kind, e.Section, e.Key, kind, section, key)
	}
	if e.Rule == "" || e.Remedy == "" {
		t.Errorf("%v lacks a rule or a remedy", e)
	}
}

func TestValidateAcceptsTheSample(t *testing.T) {
	if err := Validate(sampleConfig()); err != nil {
		t.Fatal(err)
	}
}

func TestValidateReportsEveryError(t *testing.T) {
	c := sampleConfig()
	c.Teams[0].Share = 0
	c.Teams[1].UpperLimit = -1
	c.Queues[0].Class = "soon"
	var errs Errors
	if !errors.As(Validate(c), &errs) || len(errs) != 3 {
		t.Fatalf("got %v, want three errors", errs)
	}
}

func TestWarnings(t *testing.T) {
	c := sampleConfig()
	if got := Warnings(c); len(got) != 0 {
		t.Fatalf("unexpected warnings %q", got)
	}
	c.Keys[1].Withdrawn = true
	c.Zones[0].Drain = true
	c.Queues[0].StartObjective = time.Hour
	if got := Warnings(c); len(got) != 3 {
		t.Fatalf("got %q, want three warnings", got)
	}
}
