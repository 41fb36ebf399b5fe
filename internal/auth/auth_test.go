package auth

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/operator"
)

const (
	bound = 5 * time.Second
	grace = time.Minute
)

// fakeConfiguration is a configuration that can be replaced.
type fakeConfiguration struct {
	config  *operator.Config
	version uint64
}

// Config implements Configuration.
func (c *fakeConfiguration) Config() (*operator.Config, uint64) { return c.config, c.version }

// newKey returns a key whose secret is its id followed by "-secret".
func newKey(id, team string, change func(*operator.Key)) operator.Key {
	k := operator.Key{ID: id, Team: team, SHA256: operator.HashSecret(id + "-secret")}
	if change != nil {
		change(&k)
	}
	return k
}

// configuration returns a configuration with four queues and, for three teams,
// valid, withdrawn and operators' keys.
func configuration() *operator.Config {
	return &operator.Config{
		Keys: []operator.Key{
			newKey("ink", "ink", nil),
			newKey("linen", "linen", nil),
			newKey("old", "ink", func(k *operator.Key) { k.Withdrawn = true }),
			newKey("ops", "ops", func(k *operator.Key) { k.Operator = true }),
			newKey("oldops", "ops", func(k *operator.Key) { k.Operator, k.Withdrawn = true, true }),
		},
		Queues: []operator.Queue{
			{Name: "labels", Teams: []string{"ink"}},
			{Name: "patient", Teams: []string{"ink"}, KeyGrace: grace},
			{Name: "any"},
			{Name: "open", Open: true, OpenTeam: "public"},
		},
	}
}

// guard returns a guard with the configuration and a staleness that can be set.
func guard() (*Guard, *fakeConfiguration, *time.Duration) {
	c, staleness := &fakeConfiguration{config: configuration(), version: 1}, new(time.Duration)
	return NewGuard(c, func() time.Duration { return *staleness }, bound), c, staleness
}

// codeOf is the code of a refusal, "" if there is none.
func codeOf(p *problem.Problem) problem.Code {
	if p == nil {
		return ""
	}
	return p.Code
}

func TestAdmit(t *testing.T) {
	for _, test := range []struct {
		name, secret, queue string
		staleness           time.Duration
		code                problem.Code
		team, keyID         string
	}{
		{name: "own queue", secret: "ink-secret", queue: "labels", team: "ink", keyID: "ink"},
		{name: "queue of every team", secret: "linen-secret", queue: "any", team: "linen", keyID: "linen"},
		{name: "other team", secret: "linen-secret", queue: "labels", code: problem.TeamNotAllowed},
		{name: "withdrawn", secret: "old-secret", queue: "labels", code: problem.KeyRefused},
		{name: "withdrawn within the grace period", secret: "old-secret", queue: "patient", staleness: grace, code: problem.KeyRefused},
		{name: "unknown key", secret: "nosuch", queue: "labels", code: problem.KeyRefused},
		{name: "hash instead of the secret", secret: operator.HashSecret("ink-secret"), queue: "labels", code: problem.KeyRefused},
		{name: "no key", queue: "labels", code: problem.KeyMissing},
		{name: "unknown queue", secret: "ink-secret", queue: "nosuch", code: problem.UnknownQueue},
		{name: "unknown queue without a key", queue: "nosuch", code: problem.UnknownQueue},
		{name: "open queue", queue: "open", team: "public"},
		{name: "open queue with a stale configuration", queue: "open", staleness: time.Hour, team: "public"},
		{name: "open queue with a key", secret: "ink-secret", queue: "open", team: "ink", keyID: "ink"},
		{name: "open queue with a withdrawn key", secret: "old-secret", queue: "open", code: problem.KeyRefused},
		{name: "at the bound", secret: "ink-secret", queue: "labels", staleness: bound, team: "ink", keyID: "ink"},
		{name: "past the bound", secret: "ink-secret", queue: "labels", staleness: bound + 1, code: problem.ConfigNotFresh},
		{name: "within the grace period", secret: "ink-secret", queue: "patient", staleness: grace, team: "ink", keyID: "ink"},
		{name: "past the grace period", secret: "ink-secret", queue: "patient", staleness: grace + 1, code: problem.ConfigNotFresh},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, _, staleness := guard()
			*staleness = test.staleness
			grant, p := g.Admit(test.secret, test.queue)
			if codeOf(p) != test.code || grant.Team != test.team || grant.KeyID != test.keyID {
				t.Errorf("granted %+v, %v", grant, p)
			}
			if p != nil && (p.Verdict != problem.NotRun || p.Remedy == "") {
				t.Errorf("the refusal is %+v", p)
			}
		})
	}
}

// TestRecheckAgreesWithAdmit requires that waiting work is started only where
// its key would still admit it.
func TestRecheckAgreesWithAdmit(t *testing.T) {
	for _, k := range configuration().Keys {
		for _, queue := range []string{"labels", "patient", "any", "open", "nosuch"} {
			for _, d := range []time.Duration{0, bound, bound + 1, grace, grace + 1} {
				g, _, staleness := guard()
				*staleness = d
				_, admitted := g.Admit(k.ID+"-secret", queue)
				rechecked := g.Recheck(k.ID, k.Team, queue)
				if codeOf(admitted) != codeOf(rechecked) {
					t.Errorf("key %s, queue %s, staleness %s: admitted %v, rechecked %v", k.ID, queue, d, admitted, rechecked)
				}
			}
		}
	}
}

// TestRecheckFollowsTheConfiguration replaces the configuration while work is
// waiting.
func TestRecheckFollowsTheConfiguration(t *testing.T) {
	changes := map[string]struct {
		change func(c *operator.Config)
		code   problem.Code
	}{
		"withdrawn":     {func(c *operator.Config) { c.Keys[0].Withdrawn = true }, problem.KeyRefused},
		"removed":       {func(c *operator.Config) { c.Keys = c.Keys[1:] }, problem.KeyRefused},
		"moved":         {func(c *operator.Config) { c.Keys[0].Team = "linen" }, problem.KeyRefused},
		"queue closed":  {func(c *operator.Config) { c.Queues[0].Teams = []string{"linen"} }, problem.TeamNotAllowed},
		"queue removed": {func(c *operator.Config) { c.Queues = c.Queues[1:] }, problem.UnknownQueue},
		"nothing":       {func(*operator.Config) {}, ""},
	}
	for name, test := range changes {
		t.Run(name, func(t *testing.T) {
			g, current, _ := guard()
			if _, refused := g.Admit("ink-secret", "labels"); refused != nil {
				t.Fatal(refused)
			}
			next := configuration()
			test.change(next)
			current.config, current.version = next, 2
			if got := codeOf(g.Recheck("ink", "ink", "labels")); got != test.code {
				t.Errorf("rechecked %q, want %q", got, test.code)
			}
		})
	}
}

func TestBeforeAnyConfiguration(t *testing.T) {
	g := NewGuard(&fakeConfiguration{}, func() time.Duration { return 0 }, bound)
	if _, p := g.Admit("", "open"); codeOf(p) != problem.ConfigNotFresh || p.RetryAfter <= 0 {
		t.Errorf("admitted: %v", p)
	}
	if p := g.Recheck("ink", "ink", "labels"); p == nil {
		t.Error("rechecked")
	}
	if _, p := g.Operator("ops-secret"); p == nil || !g.Unconfigured() {
		t.Error("an operator was admitted")
	}
}

func TestOperatorsAndTeams(t *testing.T) {
	g, _, staleness := guard()
	*staleness = time.Hour
	for secret, want := range map[string]string{"ops-secret": "ops", "oldops-secret": "", "ink-secret": "", "": "", "nosuch": ""} {
		if id, p := g.Operator(secret); id != want || (p == nil) != (want != "") {
			t.Errorf("operator %q: %q, %v", secret, id, p)
		}
	}
	for secret, want := range map[string]string{"ops-secret": "ops", "ink-secret": "ink", "old-secret": "", "": "", "nosuch": ""} {
		if team, _, p := g.Team(secret); team != want || (p == nil) != (want != "") {
			t.Errorf("team of %q: %q, %v", secret, team, p)
		}
	}
	if !g.Stale() {
		t.Error("Stale is false beyond the staleness bound")
	}
}
