package cell

import (
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// FuzzApply applies arbitrary bytes to a reader from offset 1 and to one that
// starts behind the trim, each followed by the records of a model run.
func FuzzApply(f *testing.F) {
	w := newWorld(randomSchedule(11, scheduleLength), nil)
	if err := w.run(); err != nil {
		f.Fatal(err)
	}
	for _, l := range w.log {
		f.Add(l.data, uint8(40))
	}
	f.Add([]byte{0xff}, uint8(0))
	f.Fuzz(func(t *testing.T, data []byte, at uint8) {
		for _, first := range []uint64{1, 30} {
			s := newState(bounds{span: modelSpan, backlogBytes: 1 << 20})
			for i, l := range w.log {
				offset := first + uint64(i)
				if i == int(at) {
					s.Apply(offset, "fuzz", data)
					continue
				}
				s.Apply(offset, l.id, l.data)
			}
			checkState(t, s)
		}
	})
}

// checkState checks what holds whatever the log contains.
func checkState(t *testing.T, s *State) {
	t.Helper()
	for _, team := range s.shared.book.Snapshot() {
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
