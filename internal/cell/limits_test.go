package cell

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/bluebellstile/bluebellstile/operator"
)

// upperLimit is the upper limit of team "red" in the limit model.
const upperLimit = 9

// senderFaults selects unsafe variants of the holder that sends a transfer.
// The zero value is safe.
type senderFaults struct {
	// releasesUnanswered ends a reservation when the append isn't confirmed.
	releasesUnanswered bool
	// skipsReservation lowers the bound only when the record is applied.
	skipsReservation bool
	// ignoresRunning reserves balance that running tasks occupy.
	ignoresRunning bool
}

// holder is a process that may hold a zone.
type holder struct {
	name   string
	state  *State
	ledger *team.Ledger
	// attached is the epoch with which it has attached to the zone's endpoints.
	attached uint64
}

// modelZone is a zone whose endpoints accept commands only of the highest
// epoch that has attached.
type modelZone struct {
	name         string
	highestEpoch uint64
	running      int64
	holders      []*holder
}

// limitModel has zones that run tasks of one team and transfer balance to each
// other, while holders are replaced, start after a trim, or fall behind.
type limitModel struct {
	unreliableLog
	faults senderFaults
	mutate mutation
	zones  []*modelZone
}

func newLimitModel(t testing.TB, schedule []uint32, faults senderFaults, mutate mutation) *limitModel {
	m := &limitModel{unreliableLog: unreliableLog{choices: schedule}, faults: faults, mutate: mutate}
	var zones []operator.Zone
	for _, name := range modelZones {
		zones = append(zones, operator.Zone{Name: name, Region: "r"})
		m.zones = append(m.zones, &modelZone{name: name})
	}
	text := testConfig(t, zones, map[string]int64{"red": upperLimit})
	config := &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text}}
	m.log = append(m.log, appendedRecord{id: "config", data: encode(t, config)})
	for _, z := range m.zones {
		m.startHolder(z)
	}
	return m
}

func (m *limitModel) run() error {
	for len(m.choices) > 0 {
		m.step()
		running := int64(0)
		for _, z := range m.zones {
			running += z.running
		}
		if running > upperLimit {
			return fmt.Errorf("%d tasks run at offset %d, the limit is %d", running, len(m.log), upperLimit)
		}
	}
	return nil
}

func (m *limitModel) step() {
	z := m.zones[m.next(len(m.zones))]
	h := z.holders[len(z.holders)-1-m.next(min(2, len(z.holders)))]
	switch m.next(20) {
	case 0, 1, 2, 3, 4, 5:
		if h.attached == z.highestEpoch && z.running < h.bound() {
			z.running++
		}
	case 6:
		z.running = max(z.running-1, 0)
	case 7, 8, 9:
		m.transfer(z, h)
	case 10:
		if m.next(3) == 0 {
			m.startHolder(z)
		}
	case 11, 12:
		m.deliverDelayed()
	case 13:
		for _, part := range append(h.state.SnapshotShared(), h.state.SnapshotZone(z.name)...) {
			m.send(h.state, &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
		}
	default:
		m.read(z, h)
	}
}

func (h *holder) bound() int64 {
	if h.ledger == nil {
		return 0
	}
	return h.ledger.Bound("red")
}

// startHolder starts a process that claims the zone. It may start after a trim.
func (m *limitModel) startHolder(z *modelZone) {
	h := &holder{name: fmt.Sprint(z.name, len(z.holders)), state: newState(stateLimits{seenWindow: modelSeenWindow, maxBacklogBytes: 1 << 20})}
	z.holders = append(z.holders, h)
	first := uint64(1)
	if m.next(2) == 0 {
		first += uint64(m.next(len(m.log)))
	}
	for offset := first; offset <= uint64(len(m.log)); offset++ {
		m.apply(h.state, offset, m.mutate)
	}
	if !h.state.Known(z.name) {
		return
	}
	claim, _ := h.state.Claim(z.name)
	m.send(h.state, claimRecord(z.name, h.name, claim.Epoch))
}

// read applies some records, resolves the transfers among them, and attaches
// to the endpoints once the holder's own claim is valid.
func (m *limitModel) read(z *modelZone, h *holder) {
	for range 1 + m.next(8) {
		next := h.state.Applied() + 1
		if next > uint64(len(m.log)) {
			break
		}
		effect := m.apply(h.state, next, m.mutate)
		if effect.Kind == record.KindTransfer && effect.Void != record.VoidBaseUnknown && h.ledger != nil {
			h.ledger.Resolve(effect.Envelope.Transfer.ID)
		}
	}
	claim, ok := h.state.Claim(z.name)
	if !ok || claim.Holder != h.name || claim.Epoch <= z.highestEpoch {
		return
	}
	z.highestEpoch = claim.Epoch
	h.attached = claim.Epoch
	h.ledger = team.NewLedger(func(name string) int64 { return h.state.Allotment(name, z.name) })
}

// transfer transfers part of the zone's balance if the holder's bound allows
// it.
func (m *limitModel) transfer(z *modelZone, h *holder) {
	if h.attached != z.highestEpoch || h.ledger == nil {
		return
	}
	t := &record.Transfer{
		ID: fmt.Sprint("x", m.lastSerial), Team: "red", From: z.name, To: modelZones[m.next(3)],
		Amount: 1 + int64(m.next(3)), Epoch: h.attached,
	}
	running := z.running
	if m.faults.ignoresRunning {
		running = 0
	}
	if t.From == t.To || !h.ledger.Reserve(t.ID, t.Team, t.Amount, running, h.state.Applied()) {
		return
	}
	if m.faults.skipsReservation {
		h.ledger.Resolve(t.ID)
	}
	lengthBefore := len(m.log)
	m.send(h.state, &record.Envelope{Kind: record.KindTransfer, Transfer: t})
	if m.faults.releasesUnanswered && len(m.log) == lengthBefore {
		h.ledger.Resolve(t.ID)
	}
}

func TestLimitHoldsOverTransfers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(rapid.Uint32(), 200, 1200).Draw(rt, "schedule")
		if err := newLimitModel(t, schedule, senderFaults{}, nil).run(); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestLimitMutantsAreCaught checks that with each unsafe variant the running
// tasks exceed the limit, and that the safe rules keep it with the same
// schedules.
func TestLimitMutantsAreCaught(t *testing.T) {
	mutants := map[string]struct {
		faults senderFaults
		mutate mutation
	}{
		"releases a reservation without an answer":     {faults: senderFaults{releasesUnanswered: true}},
		"makes no reservation":                         {faults: senderFaults{skipsReservation: true}},
		"transfers balance that its tasks use":         {faults: senderFaults{ignoresRunning: true}},
		"a transfer of an old epoch is valid":          {mutate: oldEpochTransferIsValid},
		"a retried transfer is applied twice":          {mutate: retryIsAppliedTwice},
		"a snapshot is installed as of its own offset": {mutate: snapshotHoldsAtItsOffset},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(limitSeeds) {
				if err := newLimitModel(t, randomSchedule(seed, limitSchedule), mutant.faults, mutant.mutate).run(); err != nil {
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("the mutant isn't caught by %d schedules", limitSeeds)
		})
	}
	for seed := range uint64(limitSeeds) {
		if err := newLimitModel(t, randomSchedule(seed, limitSchedule), senderFaults{}, nil).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

const (
	limitSeeds    = 60
	limitSchedule = 3000
)
