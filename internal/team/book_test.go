package team

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

var teamNames = []string{"red", "blue", "green"}

func drawConfig(t *rapid.T) *operator.Config {
	c := &operator.Config{}
	for i := range 5 {
		switch rapid.IntRange(0, 3).Draw(t, "zone") {
		case 0, 1:
			c.Zones = append(c.Zones, operator.Zone{Name: fmt.Sprint("z", i)})
		case 2:
			c.Zones = append(c.Zones, operator.Zone{Name: fmt.Sprint("z", i), Drain: true})
		}
	}
	for _, name := range teamNames {
		if rapid.IntRange(0, 5).Draw(t, "team") > 0 {
			limit := rapid.OneOf(rapid.Int64Range(0, 12), rapid.Int64Range(0, operator.MaxUpperLimit)).Draw(t, "limit")
			c.Teams = append(c.Teams, operator.Team{Name: name, UpperLimit: limit})
		}
	}
	return c
}

// balancesAndSum returns the balances of a team by zone, and their sum.
func balancesAndSum(b *Allotments, team string) (balances map[string]int64, sum int64) {
	balances = b.Balances(team)
	for _, balance := range balances {
		sum += balance
	}
	return balances, sum
}

// removesDrainedZone reports whether c removes a zone that was draining in
// before.
func removesDrainedZone(before, c *operator.Config) bool {
	left := map[string]bool{}
	for _, z := range c.Zones {
		left[z.Name] = true
	}
	for _, z := range before.Zones {
		if z.Drain && !left[z.Name] {
			return true
		}
	}
	return false
}

func TestBalancesAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewAllotments()
		current := &operator.Config{}
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(t *rapid.T) {
				next := drawConfig(t)
				before := map[string]map[string]int64{}
				limits := map[string]int64{}
				for _, name := range teamNames {
					before[name] = b.Balances(name)
					limits[name], _ = b.Limit(name)
				}
				b.Configure(next)
				if !removesDrainedZone(current, next) {
					checkRaiseAndLowering(t, b, before, limits)
				}
				current = next
			},
			"transfer": func(t *rapid.T) {
				tr := &record.Transfer{
					Team:   rapid.SampledFrom(teamNames).Draw(t, "team"),
					From:   fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "from")),
					To:     fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "to")),
					Amount: rapid.Int64Range(-1, 8).Draw(t, "amount"),
				}
				before := b.Balances(tr.Team)
				valid := b.Transfer(tr) == nil
				if valid {
					before[tr.From] -= tr.Amount
					before[tr.To] += tr.Amount
				}
				after := b.Balances(tr.Team)
				for i := range 5 {
					if name := fmt.Sprint("z", i); before[name] != after[name] {
						t.Fatalf("transfer %+v valid %v: %v became %v", tr, valid, before, after)
					}
				}
			},
			"restore": func(t *rapid.T) {
				restored, err := RestoreAllotments(b.Snapshot(), current)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(b.Snapshot(), restored.Snapshot()); diff != "" {
					t.Fatal(diff)
				}
				b = restored
			},
			"": func(t *rapid.T) { checkSums(t, b, current) },
		})
	})
}

// checkSums checks that no balance is negative and that the balances and the
// unallotted part of each team add up to its limit.
func checkSums(t *rapid.T, b *Allotments, c *operator.Config) {
	for _, team := range c.Teams {
		balances, sum := balancesAndSum(b, team.Name)
		limit, unallotted := b.Limit(team.Name)
		if limit != team.UpperLimit || sum+unallotted != limit {
			t.Fatalf("team %s: %v and %d unallotted, limit %d, configured %d", team.Name, balances, unallotted, limit, team.UpperLimit)
		}
		for name, balance := range balances {
			if balance < 0 {
				t.Fatalf("team %s: balance %d in %s", team.Name, balance, name)
			}
		}
	}
}

// checkRaiseAndLowering checks that a raised limit decreases no balance and a
// lowered limit increases none.
func checkRaiseAndLowering(t *rapid.T, b *Allotments, before map[string]map[string]int64, limits map[string]int64) {
	for _, team := range teamNames {
		limit, _ := b.Limit(team)
		for i := range 5 {
			name := fmt.Sprint("z", i)
			was, is := before[team][name], b.Balance(team, name)
			if limit >= limits[team] && is < was {
				t.Fatalf("limit %d to %d: balance in %s fell from %d to %d", limits[team], limit, name, was, is)
			}
			// A lowered limit may distribute what was unallotted before.
			_, sum := balancesAndSum(b, team)
			if limit < limits[team] && is > was && sumOf(before[team]) == limits[team] {
				t.Fatalf("limit %d to %d: balance in %s grew from %d to %d of %d", limits[team], limit, name, was, is, sum)
			}
		}
	}
}

func sumOf(balances map[string]int64) (sum int64) {
	for _, balance := range balances {
		sum += balance
	}
	return sum
}

func TestSplitSpreadsSmallLimits(t *testing.T) {
	zones := make([]string, 19)
	for i := range zones {
		zones[i] = fmt.Sprintf("z%02d", i)
	}
	first := map[string]int{}
	for i := range 220 {
		for zone, share := range split(fmt.Sprint("team", i), 1, zones) {
			if share == 1 {
				first[zone]++
			}
		}
	}
	for _, zone := range zones {
		if first[zone] == 0 || first[zone] > 30 {
			t.Errorf("zone %s got %d of 220 limits of 1", zone, first[zone])
		}
	}
}

func TestRemovedZones(t *testing.T) {
	two := []operator.Zone{{Name: "a"}, {Name: "b"}}
	draining := []operator.Zone{{Name: "a"}, {Name: "b", Drain: true}}
	one := []operator.Zone{{Name: "a"}}
	configured := func(zones ...[]operator.Zone) *Allotments {
		b := NewAllotments()
		for _, z := range zones {
			b.Configure(&operator.Config{Zones: z, Teams: []operator.Team{{Name: "red", UpperLimit: 8}}})
		}
		return b
	}
	tests := []struct {
		name  string
		zones [][]operator.Zone
		a, b  int64
	}{
		{"removed without draining keeps its balance", [][]operator.Zone{two, one}, 4, 4},
		{"draining keeps its balance", [][]operator.Zone{two, draining}, 4, 4},
		{"removed after draining frees its balance", [][]operator.Zone{two, draining, one}, 8, 0},
		{"added again, drained and removed", [][]operator.Zone{two, one, draining, one}, 8, 0},
		{"added later starts at 0", [][]operator.Zone{one, two}, 8, 0},
	}
	for _, test := range tests {
		b := configured(test.zones...)
		if gotA, gotB := b.Balance("red", "a"), b.Balance("red", "b"); gotA != test.a || gotB != test.b {
			t.Errorf("%s: a has %d, b has %d", test.name, gotA, gotB)
		}
	}
	b := configured(two, one)
	if b.Transfer(&record.Transfer{Team: "red", From: "a", To: "b", Amount: 1}) == nil {
		t.Error("a removed zone received a transfer")
	}
	if err := b.Transfer(&record.Transfer{Team: "red", From: "b", To: "a", Amount: 4}); err != nil {
		t.Errorf("a removed zone can't transfer its balance away: %v", err)
	}
}
