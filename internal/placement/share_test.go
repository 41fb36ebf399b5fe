package placement

import (
	"math"
	"testing"
)

func TestEntitlementsStopAtWhatIsAskedFor(t *testing.T) {
	e := New().(*engine)
	e.SetEndpoint(Endpoint{ID: "w", Capacity: Resources{MilliCores: 100}})
	for _, c := range []struct {
		name         string
		share        int64
		used, queued int64
	}{{"a", 2, 90, 90}, {"b", 1, 5, 5}, {"c", 1, 5, 90}} {
		e.SetTeam(Team{Name: c.name, Weight: c.share})
		team := e.team(c.name)
		team.hungry = true
		team.used.MilliCores = c.used
		team.queued.MilliCores = c.queued
	}
	e.entitle(1, 4)
	// b asks for 0.1 of 1; a and c divide 0.9 by 2 to 1.
	for name, want := range map[string]float64{"a": 0.6, "b": 0.1, "c": 0.3} {
		if got := e.team(name).entitled; math.Abs(got-want) > 1e-9 {
			t.Errorf("team %s is entitled to %v, want %v", name, got, want)
		}
	}
}

// TestQueuedIsTheSumOfWhatWaits follows a team's queued sizes through
// submission, start, withdrawal and cancellation.
func TestQueuedIsTheSumOfWhatWaits(t *testing.T) {
	d := newDriver(t, 1, ink())
	team := d.e.(*engine).team("ink")
	expect := func(after string, tasks int64) {
		if want := oneCore().Scale(tasks); team.queued != want {
			t.Errorf("after %s %+v is queued, want %+v", after, team.queued, want)
		}
	}
	d.submit(Work{ID: "a", Team: "ink", Class: ClassBatch, Size: oneCore()}, 7, 1)
	expect("submission", 7)
	d.step()
	expect("the start of 4", 3)
	d.e.Withdraw("a", "a-6")
	expect("a withdrawal", 2)
	d.submit(Work{ID: "g", Team: "ink", Class: ClassBatch, Gang: true, Size: oneCore()}, 3, 1)
	d.e.Cancel("a")
	expect("a cancellation", 3)
	d.step()
	expect("the start of the gang", 0)
}
