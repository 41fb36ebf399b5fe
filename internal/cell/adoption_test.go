package cell

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// adoptionRules are unsafe variants of what a holder does; the zero value is
// safe.
type adoptionRules struct {
	// usesUnrecorded uses an endpoint that joined before its roster record
	// has been read.
	usesUnrecorded bool
	// skipsUnheard adopts only the endpoints that it hears from, not all of
	// the roster.
	skipsUnheard bool
	// keepsAttached reuses attachments of its earlier epoch.
	keepsAttached bool
	// goesOn attaches after it has read a newer claim.
	goesOn bool
	// noFence has endpoints that obey every epoch.
	noFence bool
}

// fencedEndpoint obeys the highest epoch that has attached to it.
type fencedEndpoint struct {
	id    string
	fence uint64
	tasks map[string]bool
}

// adopter is a process that may hold the zone. It starts a task once it has
// attached to the whole roster and found the task on none of its endpoints.
type adopter struct {
	name     string
	state    *State
	epoch    uint64
	attached map[string]bool
	// known are the tasks that it found or started.
	known map[string]bool
}

// adoptionWorld is one zone whose endpoints join and whose holders replace
// each other, paused ones included.
type adoptionWorld struct {
	journal
	rules     adoptionRules
	mutate    mutation
	endpoints []*fencedEndpoint
	adopters  []*adopter
	started   int
}

func (w *adoptionWorld) run() error {
	for len(w.choices) > 0 {
		w.step()
		places := map[string]string{}
		for _, e := range w.endpoints {
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

func (w *adoptionWorld) step() {
	if len(w.adopters) == 0 || w.next(100) == 0 {
		w.adopters = append(w.adopters, &adopter{name: fmt.Sprint("h", len(w.adopters)), state: New(), known: map[string]bool{}, attached: map[string]bool{}})
	}
	if len(w.endpoints) < 2 || w.next(250) == 0 {
		w.endpoints = append(w.endpoints, &fencedEndpoint{id: fmt.Sprint("e", len(w.endpoints)), tasks: map[string]bool{}})
	}
	a := w.adopters[len(w.adopters)-1-w.next(min(2, len(w.adopters)))]
	e := w.endpoints[len(w.endpoints)-1-w.next(min(3, len(w.endpoints)))]
	switch w.next(12) {
	case 0:
		claim, _ := a.state.Epoch("a")
		if claim.Holder != a.name && w.next(3) == 0 {
			w.send(a.state, claimOf("a", a.name, claim.Epoch))
		}
	case 1, 2:
		if a.epoch != 0 {
			w.send(a.state, &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "a", Epoch: a.epoch, Endpoints: []string{e.id}}})
		}
	case 3:
		w.deliver()
	case 4, 5, 6:
		w.read(a)
	case 7, 8:
		for _, e := range w.endpoints {
			if w.next(4) > 0 {
				w.attach(a, e)
			}
		}
	default:
		w.start(a, e, fmt.Sprint("t", w.started-w.next(4)))
	}
}

func (w *adoptionWorld) read(a *adopter) {
	for range 1 + w.next(4) {
		if next := a.state.Applied() + 1; next <= uint64(len(w.log)) {
			w.apply(a.state, next, w.mutate)
		}
	}
	claim, ok := a.state.Epoch("a")
	if ok && claim.Holder != a.name && !w.rules.goesOn {
		a.epoch = 0
	}
	if ok && claim.Holder == a.name && claim.Epoch > a.epoch {
		a.epoch = claim.Epoch
		if !w.rules.keepsAttached {
			a.attached = map[string]bool{}
		}
	}
}

// attach fences older epochs from the endpoint and reads its inventory.
func (w *adoptionWorld) attach(a *adopter, e *fencedEndpoint) {
	recorded := slices.Contains(a.state.Roster("a"), e.id)
	if a.epoch == 0 || e.fence > a.epoch || (!recorded && !w.rules.usesUnrecorded) {
		return
	}
	e.fence = a.epoch
	a.attached[e.id] = true
	for task := range e.tasks {
		a.known[task] = true
	}
}

func (w *adoptionWorld) start(a *adopter, e *fencedEndpoint, task string) {
	if a.epoch == 0 || !a.attached[e.id] || a.known[task] || (e.fence != a.epoch && !w.rules.noFence) {
		return
	}
	for _, id := range a.state.Roster("a") {
		if !a.attached[id] && !w.rules.skipsUnheard {
			return
		}
	}
	a.known[task] = true
	e.tasks[task] = true
	w.started++
}

func TestTaskRunsInOnePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := rapid.SliceOfN(rapid.Uint32(), 1000, 4000).Draw(t, "schedule")
		if err := (&adoptionWorld{journal: journal{choices: schedule}}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestAdoptionMutantsAreCaught checks that each unsafe variant lets a task run
// in two places, and that the same schedules are safe without it.
func TestAdoptionMutantsAreCaught(t *testing.T) {
	mutants := map[string]*adoptionWorld{
		"uses an endpoint before its record is read": {rules: adoptionRules{usesUnrecorded: true}},
		"adopts only what it hears from":             {rules: adoptionRules{skipsUnheard: true}},
		"keeps attachments of an earlier epoch":      {rules: adoptionRules{keepsAttached: true}},
		"goes on after a newer claim":                {rules: adoptionRules{goesOn: true}},
		"endpoints obey every epoch":                 {rules: adoptionRules{noFence: true}},
	}
	for name, mutant := range mutants {
		caught := false
		for seed := uint64(0); seed < adoptionSeeds && !caught; seed++ {
			w := &adoptionWorld{journal: journal{choices: randomSchedule(seed, adoptionSchedule)}, rules: mutant.rules, mutate: mutant.mutate}
			if err := w.run(); err != nil {
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
		w := &adoptionWorld{journal: journal{choices: randomSchedule(seed, adoptionSchedule)}}
		if err := w.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		started += w.started
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
