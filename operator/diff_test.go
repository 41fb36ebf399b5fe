package operator

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDiffComparesCanonicalForms(t *testing.T) {
	tests := map[string]struct {
		change func(*Config)
		want   []string
	}{
		"nothing":           {func(*Config) {}, nil},
		"order":             {func(c *Config) { c.Teams[0], c.Teams[1] = c.Teams[1], c.Teams[0] }, nil},
		"default written":   {func(c *Config) { c.Queues[0].Deadline = DefaultDeadline }, nil},
		"limit":             {func(c *Config) { c.Teams[0].UpperLimit = 60 }, []string{"team press: upper limit 40 to 60"}},
		"drain":             {func(c *Config) { c.Zones[0].Drain = true }, []string{"zone quimper-1: drain false to true"}},
		"withdrawn":         {func(c *Config) { c.Keys[0].Withdrawn = true }, []string{"key press-1: withdrawn"}},
		"open to all":       {func(c *Config) { c.Queues[0].Teams = nil }, []string{"queue labels: teams press to every team"}},
		"team added":        {func(c *Config) { c.Teams = append(c.Teams, Team{"lab", 2, 5}) }, []string{"team lab: added (share 2, upper limit 5)"}},
		"zone removed":      {func(c *Config) { c.Zones = nil }, []string{"zone quimper-1: removed (region finistere)"}},
		"several, in order": {applySeveralChanges, []string{"team press: share 3 to 4", "queue labels: deadline 30s to 1m0s", "queue labels: retry budget 0 to 2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			next := sampleConfig()
			test.change(next)
			var got []string
			for _, change := range Diff(sampleConfig(), next) {
				got = append(got, change.String())
			}
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func applySeveralChanges(c *Config) {
	c.Queues[0].RetryBudget = 2
	c.Queues[0].Deadline = time.Minute
	c.Teams[0].Share = 4
}

func TestDiffIsEmptyOnlyForEqualConfigs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfig(t), drawConfig(t)
		if len(Diff(a, a)) != 0 {
			t.Fatal("a configuration differs from itself")
		}
		equal := reflect.DeepEqual(a.Canonical(), b.Canonical())
		if (len(Diff(a, b)) == 0) != equal {
			t.Fatalf("equal is %v, the difference is %v", equal, Diff(a, b))
		}
	})
}

func TestGrantsAgain(t *testing.T) {
	live, withdrawn := sampleConfig(), sampleConfig()
	withdrawn.Keys[0].Withdrawn = true
	if again := Diff(withdrawn, live); len(again) != 1 || !again[0].GrantsAgain() {
		t.Errorf("got %v, want a key that works again", again)
	}
	if forth := Diff(live, withdrawn); len(forth) != 1 || forth[0].GrantsAgain() {
		t.Errorf("got %v, want a withdrawal", forth)
	}
}

func TestDiffShortensHashes(t *testing.T) {
	next := sampleConfig()
	next.Keys[0].SHA256 = strings.Repeat("ab", 32)
	changes := Diff(sampleConfig(), next)
	if len(changes) != 1 || !strings.HasSuffix(changes[0].String(), " to abababababab...") {
		t.Errorf("got %v", changes)
	}
}
