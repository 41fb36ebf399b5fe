package cell

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// adoptionFaults selects unsafe variants of a holder or of the endpoints. The
// zero value is safe.
type adoptionFaults struct {
	// usesUnrecorded attaches to an endpoint before the holder has read the
	// roster record that adds it.
	usesUnrecorded bool
	// skipsUnattached starts tasks before the holder has attached to every
	// endpoint in the roster.
	skipsUnattached bool
	// keepsAttachments keeps the attachments of the holder's earlier epoch.
	keepsAttachments bool
	// ignoresNewerClaim keeps the epoch after the holder has read a newer claim.
	ignoresNewerClaim bool
	// noFencing makes endpoints accept commands of every epoch.
	noFencing bool
}

// fencedEndpoint accepts commands only of the highest epoch that has attached
// to it.
type fencedEndpoint struct {
	id           string
	highestEpoch uint64
	tasks        map[string]bool
}

// candidateHolder is a process that may hold the zone. It starts a task only
// after it has attached to every endpoint in the roster and found the task on
// none.
type candidateHolder struct {
	name     string
	state    *State
	epoch    uint64
	attached map[string]bool
	// knownTasks are the tasks that it found on endpoints or started.
	knownTasks map[string]bool
}

// adoptionModel is one zone in which endpoints join and holders replace each
// other. A replaced holder may be paused and continue later.
type adoptionModel struct {
	unreliableLog
	faults     adoptionFaults
	mutate     mutation
	endpoints  []*fencedEndpoint
	candidates []*candidateHolder
	started    int
}

func (m *adoptionModel) run() error {
	for len(m.choices) > 0 {
		m.step()
		places := map[string]string{}
		for _, e := range m.endpoints {
			for task := range e.tasks {
				if other, ok := places[task]; ok {
					return fmt.Errorf("%s runs on %s and %s", task, other, e.id)
				}
				places[task] = e.id
			}
		}
	}
	return nil
}

func (m *adoptionModel) step() {
	if len(m.candidates) == 0 || m.next(100) == 0 {
		m.candidates = append(m.candidates, &candidateHolder{name: fmt.Sprint("h", len(m.candidates)), state: New(), knownTasks: map[string]bool{}, attached: map[string]bool{}})
	}
	if len(m.endpoints) < 2 || m.next(250) == 0 {
		m.endpoints = append(m.endpoints, &fencedEndpoint{id: fmt.Sprint("e", len(m.endpoints)), tasks: map[string]bool{}})
	}
	h := m.candidates[len(m.candidates)-1-m.next(min(2, len(m.candidates)))]
	e := m.endpoints[len(m.endpoints)-1-m.next(min(3, len(m.endpoints)))]
	switch m.next(12) {
	case 0:
		claim, _ := h.state.Claim("a")
		if claim.Holder != h.name && m.next(3) == 0 {
			m.send(h.state, claimRecord("a", h.name, claim.Epoch))
		}
	case 1, 2:
		if h.epoch != 0 {
			m.send(h.state, &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: h.epoch, Endpoints: []string{e.id}}})
		}
	case 3:
		m.deliverDelayed()
	case 4, 5, 6:
		m.read(h)
	case 7, 8:
		for _, e := range m.endpoints {
			if m.next(4) > 0 {
				m.attach(h, e)
			}
		}
	default:
		m.start(h, e, fmt.Sprint("t", m.started-m.next(4)))
	}
}

func (m *adoptionModel) read(h *candidateHolder) {
	for range 1 + m.next(4) {
		if next := h.state.Applied() + 1; next <= uint64(len(m.log)) {
			m.apply(h.state, next, m.mutate)
		}
	}
	claim, ok := h.state.Claim("a")
	if ok && claim.Holder != h.name && !m.faults.ignoresNewerClaim {
		h.epoch = 0
	}
	if ok && claim.Holder == h.name && claim.Epoch > h.epoch {
		h.epoch = claim.Epoch
		if !m.faults.keepsAttachments {
			h.attached = map[string]bool{}
		}
	}
}

// attach sets the endpoint's epoch, which fences older epochs, and reads
// which tasks run there.
func (m *adoptionModel) attach(h *candidateHolder, e *fencedEndpoint) {
	recorded := slices.Contains(h.state.Roster("a"), e.id)
	if h.epoch == 0 || e.highestEpoch > h.epoch || (!recorded && !m.faults.usesUnrecorded) {
		return
	}
	e.highestEpoch = h.epoch
	h.attached[e.id] = true
	for task := range e.tasks {
		h.knownTasks[task] = true
	}
}

func (m *adoptionModel) start(h *candidateHolder, e *fencedEndpoint, task string) {
	if h.epoch == 0 || !h.attached[e.id] || h.knownTasks[task] || (e.highestEpoch != h.epoch && !m.faults.noFencing) {
		return
	}
	for _, id := range h.state.Roster("a") {
		if !h.attached[id] && !m.faults.skipsUnattached {
			return
		}
	}
	h.knownTasks[task] = true
	e.tasks[task] = true
	m.started++
}

func TestTaskRunsInOnePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := rapid.SliceOfN(rapid.Uint32(), 1000, 4000).Draw(t, "schedule")
		if err := (&adoptionModel{unreliableLog: unreliableLog{choices: schedule}}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestAdoptionMutantsAreCaught checks that each unsafe variant lets a task
// run on two endpoints, and that the safe rules never do with the same
// schedules.
func TestAdoptionMutantsAreCaught(t *testing.T) {
	mutants := map[string]*adoptionModel{
		"uses an endpoint before its record is read":        {faults: adoptionFaults{usesUnrecorded: true}},
		"starts before it has attached to the whole roster": {faults: adoptionFaults{skipsUnattached: true}},
		"keeps attachments of an earlier epoch":             {faults: adoptionFaults{keepsAttachments: true}},
		"keeps its epoch after a newer claim":               {faults: adoptionFaults{ignoresNewerClaim: true}},
		"endpoints accept every epoch":                      {faults: adoptionFaults{noFencing: true}},
	}
	for name, mutant := range mutants {
		caught := false
		for seed := uint64(0); seed < adoptionSeeds && !caught; seed++ {
			m := &adoptionModel{unreliableLog: unreliableLog{choices: randomSchedule(seed, adoptionSchedule)}, faults: mutant.faults, mutate: mutant.mutate}
			if err := m.run(); err != nil {
				t.Logf("%s: caught with seed %d: %v", name, seed, err)
				caught = true
			}
		}
		if !caught {
			t.Errorf("%s: not caught by %d schedules", name, adoptionSeeds)
		}
	}
	started := 0
	for seed := range uint64(adoptionSeeds) {
		m := &adoptionModel{unreliableLog: unreliableLog{choices: randomSchedule(seed, adoptionSchedule)}}
		if err := m.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		started += m.started
	}
	t.Logf("%d tasks started", started)
	if started < adoptionSeeds {
		t.Errorf("only %d tasks started in %d schedules", started, adoptionSeeds)
	}
}

const (
	adoptionSeeds    = 100
	adoptionSchedule = 10000
)
