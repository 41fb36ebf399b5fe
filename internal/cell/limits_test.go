package cell

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/bluebellstile/bluebellstile/operator"
)

// limit is the upper limit of the team "red" in the limits model.
const limit = 9

// giverRules are unsafe variants of what a giver does; the zero value is safe.
type giverRules struct {
	// takesBack ends a reservation when the append has no answer.
	takesBack bool
	// lowersLate makes no reservation.
	lowersLate bool
	// ignoresRunning reserves what its tasks occupy.
	ignoresRunning bool
}

// holder is a process that may hold a zone.
type holder struct {
	name   string
	state  *State
	ledger *team.Ledger
	// attached is the epoch with which it attached to the zone's endpoints.
	attached uint64
}

// limitZone has endpoints that obey the highest epoch that has attached.
type limitZone struct {
	name    string
	fence   uint64
	running int64
	holders []*holder
}

// limitWorld has zones that run tasks of one team and give allowance to each
// other, while holders are replaced, restarted behind the trim, or left behind.
type limitWorld struct {
	journal
	rules  giverRules
	mutate mutation
	zones  []*limitZone
}

func newLimitWorld(t testing.TB, schedule []uint32, rules giverRules, mutate mutation) *limitWorld {
	w := &limitWorld{journal: journal{choices: schedule}, rules: rules, mutate: mutate}
	var zones []operator.Zone
	for _, name := range worldZones {
		zones = append(zones, operator.Zone{Name: name, Region: "r"})
		w.zones = append(w.zones, &limitZone{name: name})
	}
	text := testConfig(t, zones, map[string]int64{"red": limit})
	config := &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text}}
	w.log = append(w.log, logged{id: "config", data: encode(t, config)})
	for _, z := range w.zones {
		w.replace(z)
	}
	return w
}

func (w *limitWorld) run() error {
	for len(w.choices) > 0 {
		w.step()
		running := int64(0)
		for _, z := range w.zones {
			running += z.running
		}
		if running > limit {
			return fmt.Errorf("%d tasks run at offset %d, the limit is %d", running, len(w.log), limit)
		}
	}
	return nil
}

func (w *limitWorld) step() {
	z := w.zones[w.next(len(w.zones))]
	h := z.holders[len(z.holders)-1-w.next(min(2, len(z.holders)))]
	switch w.next(20) {
	case 0, 1, 2, 3, 4, 5:
		if h.attached == z.fence && z.running < h.bound() {
			z.running++
		}
	case 6:
		z.running = max(z.running-1, 0)
	case 7, 8, 9:
		w.give(z, h)
	case 10:
		if w.next(3) == 0 {
			w.replace(z)
		}
	case 11, 12:
		w.deliver()
	case 13:
		for _, part := range append(h.state.SnapshotShared(), h.state.SnapshotZone(z.name)...) {
			w.send(h.state, &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
		}
	default:
		w.read(z, h)
	}
}

func (h *holder) bound() int64 {
	if h.ledger == nil {
		return 0
	}
	return h.ledger.Bound("red")
}

// replace starts a process that claims the zone; it may begin behind the trim.
func (w *limitWorld) replace(z *limitZone) {
	h := &holder{name: fmt.Sprint(z.name, len(z.holders)), state: newState(bounds{span: modelSpan, backlogBytes: 1 << 20})}
	z.holders = append(z.holders, h)
	first := uint64(1)
	if w.next(2) == 0 {
		first += uint64(w.next(len(w.log)))
	}
	for offset := first; offset <= uint64(len(w.log)); offset++ {
		w.apply(h.state, offset, w.mutate)
	}
	if !h.state.Known(z.name) {
		return
	}
	claim, _ := h.state.Epoch(z.name)
	w.send(h.state, claimOf(z.name, h.name, claim.Epoch))
}

// read applies some records, resolves the transfers among them, and attaches
// once the holder's own claim is valid.
func (w *limitWorld) read(z *limitZone, h *holder) {
	for range 1 + w.next(8) {
		next := h.state.Applied() + 1
		if next > uint64(len(w.log)) {
			break
		}
		effect := w.apply(h.state, next, w.mutate)
		if effect.Kind == record.KindTransfer && effect.Void != record.VoidBaseUnknown && h.ledger != nil {
			h.ledger.Resolve(effect.Envelope.Transfer.ID)
		}
	}
	claim, ok := h.state.Epoch(z.name)
	if !ok || claim.Holder != h.name || claim.Epoch <= z.fence {
		return
	}
	z.fence = claim.Epoch
	h.attached = claim.Epoch
	h.ledger = team.NewLedger(func(name string) int64 { return h.state.Allotment(name, z.name) })
}

// give transfers part of the zone's balance, if the giver's rules allow it.
func (w *limitWorld) give(z *limitZone, h *holder) {
	if h.attached != z.fence || h.ledger == nil {
		return
	}
	t := &record.Transfer{
		ID: fmt.Sprint("x", w.serial), Team: "red", From: z.name, To: worldZones[w.next(3)],
		Amount: 1 + int64(w.next(3)), Epoch: h.attached,
	}
	running := z.running
	if w.rules.ignoresRunning {
		running = 0
	}
	if t.From == t.To || !h.ledger.Reserve(t.ID, t.Team, t.Amount, running, h.state.Applied()) {
		return
	}
	if w.rules.lowersLate {
		h.ledger.Resolve(t.ID)
	}
	stood := len(w.log)
	w.send(h.state, &record.Envelope{Kind: record.KindTransfer, Transfer: t})
	if w.rules.takesBack && len(w.log) == stood {
		h.ledger.Resolve(t.ID)
	}
}

func TestLimitHoldsOverTransfers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(rapid.Uint32(), 200, 1200).Draw(rt, "schedule")
		if err := newLimitWorld(t, schedule, giverRules{}, nil).run(); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestLimitMutantsAreCaught checks that each unsafe variant lets the running
// tasks pass the limit, and that the same schedules are safe without it.
func TestLimitMutantsAreCaught(t *testing.T) {
	mutants := map[string]struct {
		rules  giverRules
		mutate mutation
	}{
		"takes back without having read the log": {rules: giverRules{takesBack: true}},
		"lowers its bound only by the record":    {rules: giverRules{lowersLate: true}},
		"gives what its tasks occupy":            {rules: giverRules{ignoresRunning: true}},
		"a transfer of an old epoch counts":      {mutate: oldTransferCounts},
		"a retried transfer counts twice":        {mutate: retryCountsTwice},
		"a snapshot holds where it stands":       {mutate: snapshotHoldsWhereItStands},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(limitSeeds) {
				if err := newLimitWorld(t, randomSchedule(seed, limitSchedule), mutant.rules, mutant.mutate).run(); err != nil {
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("the mutant isn't caught by %d schedules", limitSeeds)
		})
	}
	for seed := range uint64(limitSeeds) {
		if err := newLimitWorld(t, randomSchedule(seed, limitSchedule), giverRules{}, nil).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

const (
	limitSeeds    = 60
	limitSchedule = 3000
)
