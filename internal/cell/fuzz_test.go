package cell

import (
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// FuzzApply inserts arbitrary bytes as a record into the log of a model run.
// It applies that log to a reader from offset 1 and to one that starts after
// a trim.
func FuzzApply(f *testing.F) {
	m := newLogModel(randomSchedule(11, scheduleLength), nil)
	if err := m.run(); err != nil {
		f.Fatal(err)
	}
	for _, r := range m.log {
		f.Add(r.data, uint8(40))
	}
	f.Add([]byte{0xff}, uint8(0))
	f.Fuzz(func(t *testing.T, data []byte, at uint8) {
		for _, first := range []uint64{1, 30} {
			s := newState(stateLimits{seenWindow: modelSeenWindow, maxBacklogBytes: 1 << 20})
			for i, r := range m.log {
				offset := first + uint64(i)
				if i == int(at) {
					s.Apply(offset, "fuzz", data)
					continue
				}
				s.Apply(offset, r.id, r.data)
			}
			checkState(t, s)
		}
	})
}

// checkState checks the invariants that hold for every log.
func checkState(t *testing.T, s *State) {
	t.Helper()
	for _, team := range s.shared.allotments.Snapshot() {
		sum := team.Unallotted
		for _, balance := range team.Balances {
			sum += balance
		}
		if sum != team.Limit {
			t.Errorf("balances of %s add up to %d of %d", team.Team, sum, team.Limit)
		}
	}
	for _, claim := range s.Claims() {
		if claim.Epoch > s.Applied() {
			t.Errorf("epoch %d is ahead of offset %d", claim.Epoch, s.Applied())
		}
	}
	for _, z := range s.shards() {
		for _, part := range s.SnapshotZone(z.name) {
			if _, err := record.Encode(&record.Envelope{Kind: record.KindSnapshot, Snapshot: part}); err != nil {
				t.Error(err)
			}
		}
	}
}
