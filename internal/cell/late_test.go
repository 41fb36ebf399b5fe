package cell

import (
	"fmt"
	"sync"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/bluebellstile/bluebellstile/operator"
)

// TestTransferWithoutAnswerExpires checks, with the real window, that a
// reservation expires exactly when its transfer can no longer become valid.
func TestTransferWithoutAnswerExpires(t *testing.T) {
	zones := []operator.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	for _, behind := range []uint64{record.SeenWindow, record.SeenWindow + 1} {
		s := New()
		apply(t, s, "1", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: testConfig(t, zones, map[string]int64{"red": 8})}})
		apply(t, s, "2", claimRecord("a", "h1", 0))
		ledger := team.NewLedger(func(name string) int64 { return s.Allotment(name, "a") })
		transfer := encode(t, &record.Envelope{Kind: record.KindTransfer, Seen: 2, Transfer: &record.Transfer{ID: "x", Team: "red", From: "a", To: "b", Amount: 3, Epoch: 2}})
		ledger.Reserve("x", "red", 3, 0, 2)
		audit := encode(t, &record.Envelope{Kind: record.KindAudit, Audit: &record.Audit{}})
		for s.Applied() < 2+behind-1 {
			s.Apply(s.Applied()+1, "", audit)
		}
		expired := len(ledger.Expire(s.Applied())) > 0
		effect := s.Apply(s.Applied()+1, "x", transfer)
		if expired == effect.Valid {
			t.Errorf("%d offsets behind: expired %v, valid %v", behind, expired, effect.Valid)
		}
	}
}

// TestBacklogIsBounded makes a reader after a trim exceed its backlog limit.
// An old snapshot must not be installed, because records after it were
// dropped. The next current snapshot must make the shards known.
func TestBacklogIsBounded(t *testing.T) {
	full := New()
	lateReader := newState(stateLimits{seenWindow: record.SeenWindow, maxBacklogBytes: 2000})
	step := func(id string, env *record.Envelope) {
		env.Seen = full.Applied()
		data := encode(t, env)
		full.Apply(full.Applied()+1, id, data)
		if full.Applied() > 1 {
			lateReader.Apply(full.Applied(), id, data)
		}
	}
	snapshot := func(through *State) {
		for _, part := range append(through.SnapshotShared(), through.SnapshotZone("a")...) {
			step("", &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
		}
	}
	step("claim", claimRecord("a", "h1", 0))
	early := append(full.SnapshotShared(), full.SnapshotZone("a")...)
	for i := range 100 {
		step(fmt.Sprint(i), &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: 1, Endpoints: []string{fmt.Sprint("endpoint-", i)}}})
	}
	if lateReader.backlog.bytes > 2000 || len(lateReader.backlog.entries) == 0 {
		t.Fatalf("the backlog has %d bytes", lateReader.backlog.bytes)
	}
	for _, part := range early {
		step("", &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
	}
	if lateReader.Known("a") || lateReader.Known("") {
		t.Fatal("a snapshot was installed although records after it were dropped")
	}
	snapshot(full)
	if !lateReader.Known("a") || !lateReader.Known("") || len(lateReader.Roster("a")) != 100 || lateReader.catchingUp || lateReader.backlog.entries != nil {
		t.Fatalf("known %v, %d endpoints, catching up %v", lateReader.Known("a"), len(lateReader.Roster("a")), lateReader.catchingUp)
	}
}

// TestSnapshotOfManyParts checks a snapshot whose jobs don't fit into one
// record.
func TestSnapshotOfManyParts(t *testing.T) {
	full := New()
	apply(t, full, "claim", claimRecord("a", "h1", 0))
	for i := range 20 {
		jobs := []record.Job{{ID: fmt.Sprint(i), Team: "red", Inputs: [][]byte{make([]byte, 100<<10), nil}}}
		apply(t, full, "j"+fmt.Sprint(i), &record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{Zone: "a", Epoch: 1, Jobs: jobs}})
		outcomes := []record.Outcome{{Job: fmt.Sprint(i), Index: i % 2, State: "done", Output: make([]byte, 1000)}}
		apply(t, full, "o"+fmt.Sprint(i), &record.Envelope{Kind: record.KindOutcomes, Outcomes: &record.Outcomes{Zone: "a", Epoch: 1, Outcomes: outcomes}})
	}
	parts := append(full.SnapshotZone("a"), full.SnapshotShared()...)
	if len(parts) < 5 {
		t.Fatalf("%d parts", len(parts))
	}
	first := full.Applied() + 1
	lateReader := New()
	for i := range parts {
		data := encode(t, &record.Envelope{Kind: record.KindSnapshot, Snapshot: parts[len(parts)-1-i]})
		full.Apply(full.Applied()+1, "", data)
		lateReader.Apply(full.Applied(), "", data)
	}
	if got, want := digest(lateReader.SnapshotZone("a")), digest(full.SnapshotZone("a")); got != want {
		t.Error("the reader that started after a trim has other jobs")
	}
	if missing := full.MissingSnapshots(first); len(missing) != 0 {
		t.Errorf("still missing: %v", missing)
	}
	if missing := full.MissingSnapshots(first + 1); len(missing) != 2 {
		t.Errorf("missing %v, want both shards", missing)
	}
}

// TestReadersDuringApply reads the whole state while records are applied.
// With the race detector it finds unsynchronized access.
func TestReadersDuringApply(t *testing.T) {
	m := newLogModel(randomSchedule(7, scheduleLength), nil)
	if err := m.run(); err != nil {
		t.Fatal(err)
	}
	s := newState(m.limits(1 << 20))
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			version, epoch := uint64(0), uint64(0)
			for {
				select {
				case <-done:
					return
				default:
				}
				version, epoch = readEverything(t, s, version, epoch)
			}
		})
	}
	for offset := uint64(1); offset <= uint64(len(m.log)); offset++ {
		m.apply(s, offset)
	}
	close(done)
	readers.Wait()
}

// readEverything calls all read methods and checks that the version and the
// epoch never decrease.
func readEverything(t *testing.T, s *State, version, epoch uint64) (uint64, uint64) {
	_, v := s.Config()
	claim, _ := s.Claim("a")
	if v < version || claim.Epoch < epoch {
		t.Errorf("version %d became %d, epoch %d became %d", version, v, epoch, claim.Epoch)
	}
	s.Claims()
	s.ConfigHistory()
	s.Roster("a")
	s.Allotments("red")
	s.MissingSnapshots(s.Applied())
	s.SnapshotShared()
	s.SnapshotZone("a")
	for _, j := range s.OpenJobs("a") {
		_, _ = s.Job(j.Spec.ID)
		_, _ = s.JobByTicket(j.Spec.Team, j.Spec.Ticket)
	}
	return v, claim.Epoch
}
