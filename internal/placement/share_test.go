package placement

import (
	"math"
	"testing"
)

func TestEntitlementIsCappedByDemand(t *testing.T) {
	e := New().(*engine)
	e.SetEndpoint(Endpoint{ID: "w", Capacity: Resources{MilliCores: 100}})
	for _, c := range []struct {
		name         string
		share        int64
		used, queued int64
	}{{"a", 2, 90, 90}, {"b", 1, 5, 5}, {"c", 1, 5, 90}} {
		e.SetTeam(Team{Name: c.name, Weight: c.share})
		team := e.team(c.name)
		team.contending = true
		team.used.MilliCores = c.used
		team.queued.MilliCores = c.queued
	}
	e.assignEntitlements(1, 4)
	// b requests 0.1 of 1; a and c divide the remaining 0.9 in the ratio 2 to 1.
	for name, want := range map[string]float64{"a": 0.6, "b": 0.1, "c": 0.3} {
		if got := e.team(name).entitled; math.Abs(got-want) > 1e-9 {
			t.Errorf("team %s is entitled to %v, want %v", name, got, want)
		}
	}
}

// TestQueuedIsSumOfWaitingSizes checks a team's queued sizes after submission,
// start, withdrawal and cancellation.
func TestQueuedIsSumOfWaitingSizes(t *testing.T) {
	d := newDriver(t, 1, ink())
	team := d.engine.(*engine).team("ink")
	expect := func(after string, tasks int64) {
		if want := oneCore().Scale(tasks); team.queued != want {
			t.Errorf("after %s %+v is queued, want %+v", after, team.queued, want)
		}
	}
	d.submit(Work{ID: "a", Team: "ink", Class: ClassBatch, Size: oneCore()}, 7, 1)
	expect("submission", 7)
	d.step()
	expect("the start of 4", 3)
	d.engine.Withdraw("a", "a-6")
	expect("a withdrawal", 2)
	d.submit(Work{ID: "g", Team: "ink", Class: ClassBatch, Gang: true, Size: oneCore()}, 3, 1)
	d.engine.Cancel("a")
	expect("a cancellation", 3)
	d.step()
	expect("the start of the gang", 0)
}
