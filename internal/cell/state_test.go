package cell

import (
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// testConfig returns the text of a configuration with the given limits.
func testConfig(t testing.TB, zones []operator.Zone, limits map[string]int64) string {
	t.Helper()
	c := &operator.Config{Zones: zones}
	for name, limit := range limits {
		c.Teams = append(c.Teams, operator.Team{Name: name, Share: 1, UpperLimit: limit})
	}
	text, err := operator.Print(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func encode(t testing.TB, env *record.Envelope) []byte {
	t.Helper()
	data, err := record.Encode(env)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func apply(t testing.TB, s *State, id string, env *record.Envelope) Effect {
	t.Helper()
	if env.Kind != record.KindSnapshot && env.Seen == 0 {
		env.Seen = s.Applied()
	}
	return s.Apply(s.Applied()+1, id, encode(t, env))
}

func claimRecord(zoneName, holder string, previous uint64) *record.Envelope {
	return &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: zoneName, Holder: holder, Address: holder + ":1", Previous: previous}}
}

func TestStateAppliesEachRecord(t *testing.T) {
	s := New()
	zones := []operator.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	text := testConfig(t, zones, map[string]int64{"red": 9})
	steps := []struct {
		name  string
		env   *record.Envelope
		valid bool
		void  record.VoidKind
	}{
		{"config", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text}}, true, ""},
		{"config race", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text}}, false, record.VoidConflict},
		{"config broken", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: "x", Expected: 1}}, false, record.VoidInvalid},
		{"claim a", claimRecord("a", "h1", 0), true, ""},
		{"claim a race", claimRecord("a", "h2", 0), false, record.VoidClaim},
		{"roster", &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 4, Endpoints: []string{"e1"}}}, true, ""},
		{"roster unclaimed", &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "b", Epoch: 4}}, false, record.VoidEpoch},
		{"jobs", &record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{Zone: "a", Epoch: 4, Jobs: []record.Job{
			{ID: "j1", Team: "red", Ticket: "t1", Inputs: [][]byte{{1}, {2}}},
			{ID: "j2", Team: "red", Ticket: "t1", Inputs: [][]byte{{1}}},
		}}}, true, ""},
		{"outcome", &record.Envelope{Kind: record.KindOutcomes, Outcomes: &record.Outcomes{Zone: "a", Epoch: 4, Outcomes: []record.Outcome{
			{Job: "j1", Index: 1, State: "done"}, {Job: "j1", Index: 1, State: "failed"},
		}}}, true, ""},
		{"transfer", &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{ID: "t1", Team: "red", From: "a", To: "b", Amount: 3, Epoch: 4}}, true, ""},
		{"transfer again", &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{ID: "t1", Team: "red", From: "a", To: "b", Amount: 1, Epoch: 4}}, false, record.VoidDuplicate},
		{"transfer too much", &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{ID: "t2", Team: "red", From: "a", To: "b", Amount: 3, Epoch: 4}}, false, record.VoidBalance},
		{"claim a next", claimRecord("a", "h2", 4), true, ""},
		{"roster of the old epoch", &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 4, Endpoints: []string{"e2"}}}, false, record.VoidEpoch},
	}
	for _, step := range steps {
		effect := apply(t, s, step.name, step.env)
		if effect.Valid != step.valid || effect.Void != step.void {
			t.Fatalf("%s: valid %v, reason %q", step.name, effect.Valid, effect.Reason)
		}
	}
	if claim, ok := s.Claim("a"); !ok || claim.Epoch != 13 || claim.Holder != "h2" {
		t.Errorf("claim %+v", claim)
	}
	if roster := s.Roster("a"); len(roster) != 1 || roster[0] != "e1" {
		t.Errorf("roster %v", roster)
	}
	j, ok := s.JobByTicket("red", "t1")
	if !ok || j.Spec.ID != "j1" || j.Unfinished != 1 {
		t.Errorf("job %+v", j)
	}
	if o, ok := j.Outcome(1); !ok || o.State != "done" {
		t.Errorf("outcome %+v", o)
	}
	if sum := s.Allotment("red", "a") + s.Allotment("red", "b"); sum != 9 {
		t.Errorf("balances add up to %d", sum)
	}
}
