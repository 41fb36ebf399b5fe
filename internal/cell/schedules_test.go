package cell

import (
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/bluebellstile/bluebellstile/operator"
)

// TestScheduleUnknownEndpoint lets a replaced holder, which has not read the
// claim that replaced it, meet an endpoint that joins behind that claim.
func TestScheduleUnknownEndpoint(t *testing.T) {
	run := func(rules adoptionRules) int {
		w := &adoptionWorld{rules: rules}
		oldHolder := &adopter{name: "h1", state: New(), attached: map[string]bool{}, known: map[string]bool{}}
		newHolder := &adopter{name: "h2", state: New(), attached: map[string]bool{}, known: map[string]bool{}}
		joined := &fencedEndpoint{id: "e2", tasks: map[string]bool{}}
		first := &fencedEndpoint{id: "e1", tasks: map[string]bool{}}
		stand := func(a *adopter, env *record.Envelope) {
			data, err := a.state.Encode(env)
			if err != nil {
				t.Fatal(err)
			}
			w.log = append(w.log, logged{data: data})
		}
		read := func(a *adopter, through int) {
			for int(a.state.Applied()) < through {
				w.choices = nil
				w.read(a)
			}
		}
		stand(oldHolder, claimOf("a", "h1", 0))
		read(oldHolder, 1)
		stand(oldHolder, &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 1, Endpoints: []string{"e1"}}})
		read(oldHolder, 2)
		w.attach(oldHolder, first)
		read(newHolder, 2)
		stand(newHolder, claimOf("a", "h2", 1))
		read(newHolder, 3)
		stand(oldHolder, &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 1, Endpoints: []string{"e2"}}})
		w.attach(oldHolder, joined)
		w.start(oldHolder, joined, "t")
		read(oldHolder, 4)
		w.attach(oldHolder, joined)
		w.start(oldHolder, joined, "t")
		w.attach(newHolder, first)
		w.start(newHolder, first, "t")
		return len(first.tasks) + len(joined.tasks)
	}
	if places := run(adoptionRules{}); places != 1 {
		t.Errorf("the task runs in %d places", places)
	}
	if places := run(adoptionRules{usesUnrecorded: true}); places != 2 {
		t.Errorf("the mutant runs the task in %d places", places)
	}
}

// highestNamed is the rule that a reader behind the trim takes the highest
// epoch that a claim, renewal or snapshot names, when it knows none.
type highestNamed struct {
	epoch  uint64
	holder string
}

func (h *highestNamed) apply(offset uint64, env *record.Envelope) {
	if s := env.Snapshot; s != nil && s.Epoch > h.epoch {
		h.epoch = s.Epoch
		h.holder = s.Claims[0].Holder
	}
	if c := env.Claim; c != nil && (h.epoch == 0 || c.Previous == h.epoch) {
		h.epoch = offset
		h.holder = c.Holder
	}
}

// TestScheduleEpochAfterRetention lets a reader start behind the trim where a
// void claim stands, which a stale snapshot seems to support.
func TestScheduleEpochAfterRetention(t *testing.T) {
	full, stale := New(), New()
	records := []*record.Envelope{claimOf("a", "h1", 0)}
	apply(t, stale, "1", records[0])
	roster := &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 1, Endpoints: []string{"e1"}}}
	records = append(records, roster, claimOf("a", "h2", 1))
	// The stale writer has read offset 1 only.
	records = append(records, &record.Envelope{Kind: record.KindSnapshot, Snapshot: stale.SnapshotZone("a")[0]}, claimOf("a", "h3", 1))
	for _, env := range records {
		apply(t, full, "", env)
	}
	records = append(records, &record.Envelope{Kind: record.KindSnapshot, Snapshot: full.SnapshotZone("a")[0]})
	apply(t, full, "", records[5])
	for first := uint64(2); first <= 6; first++ {
		late, mutant := New(), &highestNamed{}
		for offset := first; offset <= 5; offset++ {
			late.Apply(offset, "", encode(t, records[offset-1]))
			mutant.apply(offset, records[offset-1])
		}
		claim, known := late.Epoch("a")
		if known && claim.Holder != "h2" {
			t.Errorf("a reader from %d takes %s for the holder", first, claim.Holder)
		}
		if (first == 4 || first == 5) && mutant.holder != "h3" {
			t.Errorf("from %d the mutant takes %q for the holder, want the void claim's", first, mutant.holder)
		}
		late.Apply(6, "", encode(t, records[5]))
		if claim, known := late.Epoch("a"); first < 6 && (!known || claim.Epoch != 3) {
			t.Errorf("a reader from %d has epoch %d after the snapshot, known %v", first, claim.Epoch, known)
		}
	}
}

// TestScheduleTransferAcrossRetention lets a giver die between the two halves
// of a transfer whose retried append stands twice, with a reader that starts
// behind the trim.
func TestScheduleTransferAcrossRetention(t *testing.T) {
	run := func(mutate mutation) (right bool) {
		w := newLimitWorld(t, nil, giverRules{}, mutate)
		full := New()
		stand := func(id string, env *record.Envelope) {
			data, err := full.Encode(env)
			if err != nil {
				t.Fatal(err)
			}
			w.log = append(w.log, logged{id: id, data: data})
			w.apply(full, uint64(len(w.log)), mutate)
		}
		w.log = w.log[:1]
		w.apply(full, 1, mutate)
		stand("claim 1", claimOf("a", "h1", 0))
		transfer := &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{ID: "x", Team: "red", From: "a", To: "b", Amount: 1, Epoch: 2}}
		stand("gift", transfer)
		snapshots := full.SnapshotShared()
		stand("gift", transfer)
		stand("claim 2", claimOf("a", "h2", 2))
		late := &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{ID: "y", Team: "red", From: "a", To: "b", Amount: 1, Epoch: 2}}
		stand("old gift", late)
		for _, part := range snapshots {
			stand("snapshot", &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
		}
		reader := New()
		for offset := uint64(4); offset <= uint64(len(w.log)); offset++ {
			w.apply(reader, offset, mutate)
		}
		for _, s := range []*State{full, reader} {
			a, b := s.Allotment("red", "a"), s.Allotment("red", "b")
			t.Logf("balances %d and %d", a, b)
			right = a == 2 && b == 4 && (right || s == full)
		}
		return right
	}
	if !run(nil) {
		t.Error("a reader doesn't have balances 2 and 4")
	}
	for name, mutate := range map[string]mutation{"retry": retryCountsTwice, "old epoch": oldTransferCounts, "ids": snapshotForgetsIDs} {
		if run(mutate) {
			t.Errorf("with mutant %q every reader has the right balances", name)
		}
	}
}

// TestScheduleLoweredLimit lowers a limit that is wholly in use.
func TestScheduleLoweredLimit(t *testing.T) {
	zones := []operator.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}}
	s := New()
	apply(t, s, "1", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: testConfig(t, zones, map[string]int64{"red": 10})}})
	before := s.Allotments("red")
	apply(t, s, "2", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: testConfig(t, zones, map[string]int64{"red": 4}), Expected: 1}})
	shed := func(balance func(zone string) int64) (left int64) {
		for zoneName, running := range before {
			ledger := team.NewLedger(func(string) int64 { return balance(zoneName) })
			left += running - ledger.Excess("red", running)
		}
		return left
	}
	if left := shed(func(name string) int64 { return s.Allotment("red", name) }); left != 4 {
		t.Errorf("%d tasks are left, want 4", left)
	}
	if left := shed(func(name string) int64 { return before[name] }); left <= 4 {
		t.Errorf("a mutant that lowers nothing leaves %d tasks", left)
	}
	if left := shed(func(name string) int64 { return (before[name]*4 + 9) / 10 }); left <= 4 {
		t.Errorf("a mutant that rounds up leaves %d tasks", left)
	}
}
