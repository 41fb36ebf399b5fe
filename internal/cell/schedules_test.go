package cell

import (
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/bluebellstile/bluebellstile/operator"
)

// TestScheduleUnknownEndpoint covers a replaced holder that has not read the
// claim that replaced it, and tries to use an endpoint that joins after that
// claim.
func TestScheduleUnknownEndpoint(t *testing.T) {
	run := func(faults adoptionFaults) int {
		m := &adoptionModel{faults: faults}
		oldHolder := &candidateHolder{name: "h1", state: New(), attached: map[string]bool{}, knownTasks: map[string]bool{}}
		newHolder := &candidateHolder{name: "h2", state: New(), attached: map[string]bool{}, knownTasks: map[string]bool{}}
		joined := &fencedEndpoint{id: "e2", tasks: map[string]bool{}}
		first := &fencedEndpoint{id: "e1", tasks: map[string]bool{}}
		appendRecord := func(h *candidateHolder, env *record.Envelope) {
			data, err := h.state.Encode(env)
			if err != nil {
				t.Fatal(err)
			}
			m.log = append(m.log, appendedRecord{data: data})
		}
		read := func(h *candidateHolder, through int) {
			for int(h.state.Applied()) < through {
				m.choices = nil
				m.read(h)
			}
		}
		appendRecord(oldHolder, claimRecord("a", "h1", 0))
		read(oldHolder, 1)
		appendRecord(oldHolder, &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 1, Endpoints: []string{"e1"}}})
		read(oldHolder, 2)
		m.attach(oldHolder, first)
		read(newHolder, 2)
		appendRecord(newHolder, claimRecord("a", "h2", 1))
		read(newHolder, 3)
		appendRecord(oldHolder, &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 1, Endpoints: []string{"e2"}}})
		m.attach(oldHolder, joined)
		m.start(oldHolder, joined, "t")
		read(oldHolder, 4)
		m.attach(oldHolder, joined)
		m.start(oldHolder, joined, "t")
		m.attach(newHolder, first)
		m.start(newHolder, first, "t")
		return len(first.tasks) + len(joined.tasks)
	}
	if places := run(adoptionFaults{}); places != 1 {
		t.Errorf("the task runs in %d places", places)
	}
	if places := run(adoptionFaults{usesUnrecorded: true}); places != 2 {
		t.Errorf("the mutant runs the task in %d places", places)
	}
}

// highestSeenEpoch is an unsafe rule for a reader after a trim: it starts
// from the highest epoch in a claim, renewal or snapshot.
type highestSeenEpoch struct {
	epoch  uint64
	holder string
}

func (h *highestSeenEpoch) apply(offset uint64, env *record.Envelope) {
	if s := env.Snapshot; s != nil && s.Epoch > h.epoch {
		h.epoch = s.Epoch
		h.holder = s.Claims[0].Holder
	}
	if c := env.Claim; c != nil && (h.epoch == 0 || c.Previous == h.epoch) {
		h.epoch = offset
		h.holder = c.Holder
	}
}

// TestScheduleEpochAfterRetention starts readers after a trim in a log with a
// void claim, which appears valid after a stale snapshot.
func TestScheduleEpochAfterRetention(t *testing.T) {
	full, stale := New(), New()
	records := []*record.Envelope{claimRecord("a", "h1", 0)}
	apply(t, stale, "1", records[0])
	roster := &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 1, Endpoints: []string{"e1"}}}
	records = append(records, roster, claimRecord("a", "h2", 1))
	// The stale writer has read offset 1 only.
	records = append(records, &record.Envelope{Kind: record.KindSnapshot, Snapshot: stale.SnapshotZone("a")[0]}, claimRecord("a", "h3", 1))
	for _, env := range records {
		apply(t, full, "", env)
	}
	records = append(records, &record.Envelope{Kind: record.KindSnapshot, Snapshot: full.SnapshotZone("a")[0]})
	apply(t, full, "", records[5])
	for first := uint64(2); first <= 6; first++ {
		reader, mutant := New(), &highestSeenEpoch{}
		for offset := first; offset <= 5; offset++ {
			reader.Apply(offset, "", encode(t, records[offset-1]))
			mutant.apply(offset, records[offset-1])
		}
		claim, known := reader.Claim("a")
		if known && claim.Holder != "h2" {
			t.Errorf("a reader from %d reads %s as the holder", first, claim.Holder)
		}
		if (first == 4 || first == 5) && mutant.holder != "h3" {
			t.Errorf("from %d the mutant reads %q as the holder, want that of the void claim", first, mutant.holder)
		}
		reader.Apply(6, "", encode(t, records[5]))
		if claim, known := reader.Claim("a"); first < 6 && (!known || claim.Epoch != 3) {
			t.Errorf("a reader from %d has epoch %d after the snapshot, known %v", first, claim.Epoch, known)
		}
	}
}

// TestScheduleTransferAcrossRetention covers a transfer that a retry appended
// twice, another one that its sender wrote before it was replaced, and a
// reader that starts after a trim. The balances must not change twice or by
// the old epoch.
func TestScheduleTransferAcrossRetention(t *testing.T) {
	run := func(mutate mutation) (right bool) {
		m := newLimitModel(t, nil, senderFaults{}, mutate)
		full := New()
		appendRecord := func(id string, env *record.Envelope) {
			data, err := full.Encode(env)
			if err != nil {
				t.Fatal(err)
			}
			m.log = append(m.log, appendedRecord{id: id, data: data})
			m.apply(full, uint64(len(m.log)), mutate)
		}
		m.log = m.log[:1]
		m.apply(full, 1, mutate)
		appendRecord("claim 1", claimRecord("a", "h1", 0))
		transfer := &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{ID: "x", Team: "red", From: "a", To: "b", Amount: 1, Epoch: 2}}
		appendRecord("transfer 1", transfer)
		snapshots := full.SnapshotShared()
		appendRecord("transfer 1", transfer)
		appendRecord("claim 2", claimRecord("a", "h2", 2))
		oldTransfer := &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{ID: "y", Team: "red", From: "a", To: "b", Amount: 1, Epoch: 2}}
		appendRecord("transfer 2", oldTransfer)
		for _, part := range snapshots {
			appendRecord("snapshot", &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
		}
		reader := New()
		for offset := uint64(4); offset <= uint64(len(m.log)); offset++ {
			m.apply(reader, offset, mutate)
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
	for name, mutate := range map[string]mutation{"retry": retryIsAppliedTwice, "old epoch": oldEpochTransferIsValid, "ids": snapshotOmitsIDs} {
		if run(mutate) {
			t.Errorf("with mutant %q every reader has the right balances", name)
		}
	}
}

// TestScheduleLoweredLimit lowers a limit that is fully used. The zones
// together must stop exactly the tasks above the new limit.
func TestScheduleLoweredLimit(t *testing.T) {
	zones := []operator.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}}
	s := New()
	apply(t, s, "1", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: testConfig(t, zones, map[string]int64{"red": 10})}})
	before := s.Allotments("red")
	apply(t, s, "2", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: testConfig(t, zones, map[string]int64{"red": 4}), Expected: 1}})
	countRemaining := func(balance func(zone string) int64) (left int64) {
		for zoneName, running := range before {
			ledger := team.NewLedger(func(string) int64 { return balance(zoneName) })
			left += running - ledger.Excess("red", running)
		}
		return left
	}
	if left := countRemaining(func(name string) int64 { return s.Allotment("red", name) }); left != 4 {
		t.Errorf("%d tasks are left, want 4", left)
	}
	if left := countRemaining(func(name string) int64 { return before[name] }); left <= 4 {
		t.Errorf("a mutant that lowers nothing leaves %d tasks", left)
	}
	if left := countRemaining(func(name string) int64 { return (before[name]*4 + 9) / 10 }); left <= 4 {
		t.Errorf("a mutant that rounds up leaves %d tasks", left)
	}
}
