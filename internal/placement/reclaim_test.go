package placement

import (
	"fmt"
	"testing"
	"time"
)

// twoTeams returns a driver with 16 cores and two teams of equal weight.
func twoTeams(t *testing.T) *driver {
	return newDriver(t, 4, Team{Name: "hotel", Weight: 1, MaxRunning: 1000}, Team{Name: "kitchen", Weight: 1, MaxRunning: 1000})
}

func TestTeamBelowItsShareIsRepaid(t *testing.T) {
	d := twoTeams(t)
	d.submit(Work{ID: "k", Team: "kitchen", Class: ClassBatch, Size: oneCore()}, 12, 2*time.Minute)
	d.submit(Work{ID: "h", Team: "hotel", Class: ClassBatch, Size: oneCore()}, 4, 2*time.Minute)
	d.step()
	hotel, kitchen := 0, 0
	for n := range 160 {
		for _, team := range []string{"hotel", "kitchen"} {
			d.submit(Work{ID: fmt.Sprint(team, n), Team: team, Class: ClassBatch, Size: oneCore()}, 4, 3*time.Second)
		}
		d.step()
		if n >= 125 {
			hotel += d.engine.RunningTasks("hotel")
			kitchen += d.engine.RunningTasks("kitchen")
		}
	}
	// The hotel had 4 of 16 cores for two minutes although it was entitled to 8.
	if part := float64(hotel) / float64(hotel+kitchen); part < 0.6 {
		t.Fatalf("the hotel has %.2f of the zone after it was below its share, want at least 0.6", part)
	}
}

func TestUnusedShareIsReclaimed(t *testing.T) {
	d := twoTeams(t)
	d.submit(Work{ID: "k", Team: "kitchen", Class: ClassBatch, Size: oneCore(), Idempotent: true, Preemptible: true}, 16, time.Hour)
	d.step()
	d.submit(Work{ID: "h", Team: "hotel", Class: ClassBatch, Size: oneCore()}, 16, time.Hour)
	reclaimAfter := int(DefaultPolicy().ReclaimAfter / time.Second)
	d.steps(reclaimAfter - 1)
	if n := d.engine.RunningTasks("hotel"); n != 0 {
		t.Fatalf("%d tasks were preempted for the hotel before ReclaimAfter", n)
	}
	d.steps(30)
	hotel, kitchen := d.engine.RunningTasks("hotel"), d.engine.RunningTasks("kitchen")
	if hotel < 6 || hotel > 8 || kitchen < 8 {
		t.Fatalf("hotel %d, kitchen %d; want the hotel at 75%% to 100%% of its 8", hotel, kitchen)
	}
	if stopped := len(d.stopped); stopped != hotel {
		t.Fatalf("%d tasks were stopped to start %d", stopped, hotel)
	}
}

func TestTaskAboveItsSizeIsPreempted(t *testing.T) {
	d := newDriver(t, 1, ink())
	d.submit(Work{ID: "normal", Team: "ink", Class: ClassBatch, Size: oneCore(), Idempotent: true, Preemptible: true}, 3, time.Hour)
	d.submit(Work{ID: "grown", Team: "ink", Class: ClassBatch, Size: oneCore(), Idempotent: true, Preemptible: true}, 1, time.Hour)
	d.step()
	d.engine.ReportUsage("grown-0", Resources{MilliCores: 1500})
	d.step()
	if len(d.stopped) != 1 || d.stopped[0] != "grown-0" {
		t.Fatalf("stopped %v, want the task that exceeds its size", d.stopped)
	}
}

// TestHoldExpires checks that the capacity held for a gang is released after
// ReservationTimeout if the tasks that the gang waits for run longer than
// declared.
func TestHoldExpires(t *testing.T) {
	d := newDriver(t, 2, ink())
	d.submit(Work{ID: "overrun", Team: "ink", Queue: "a", Class: ClassBatch, Size: Resources{MilliCores: 3000}, RunTime: 5 * time.Second}, 1, 100*time.Hour)
	d.step()
	d.submit(Work{ID: "gang", Team: "ink", Queue: "b", Class: ClassBatch, Gang: true, Size: Resources{MilliCores: 4000}}, 2, time.Second)
	d.steps(10)
	d.submit(Work{ID: "small", Team: "ink", Queue: "c", Class: ClassBatch, Size: oneCore()}, 5, time.Second)
	d.steps(20)
	if _, ok := d.started["small-4"]; ok {
		t.Fatal("the held capacity was used")
	}
	limit := int(DefaultPolicy().ReservationTimeout / time.Second)
	d.submit(Work{ID: "next", Team: "ink", Queue: "c", Class: ClassBatch, Size: Resources{MilliCores: 2000}}, 1, time.Second)
	d.steps(limit / 2)
	if _, ok := d.started["next-0"]; ok {
		t.Fatal("a task that fits only on held capacity started before the hold expired")
	}
	d.steps(limit/2 + 10)
	if _, ok := d.started["next-0"]; !ok {
		t.Fatal("the hold did not expire")
	}
}

func TestIgnoredPreemptionIsRepeated(t *testing.T) {
	e := New()
	e.SetTeam(ink())
	e.SetEndpoint(worker("w"))
	batch := Work{ID: "b", Team: "ink", Class: ClassBatch, Size: Resources{MilliCores: 4000}, Idempotent: true, Preemptible: true, Tasks: []string{"b"}}
	e.Submit(batch)
	e.Schedule(0, 10)
	e.Submit(Work{ID: "u", Team: "ink", Class: ClassUrgent, Size: oneCore(), Tasks: []string{"u"}})
	asked := 0
	var first, second time.Duration
	for now := time.Second; now <= time.Minute; now += time.Second {
		for _, x := range e.Schedule(now, 10) {
			if !x.Preempt || x.Task != "b" {
				t.Fatalf("decision %+v", x)
			}
			asked++
			first, second = second, now
		}
	}
	if asked != 2 || second-first < DefaultPolicy().PreemptTimeout {
		t.Fatalf("%d preemptions, the last two at %v and %v; want 2, at least PreemptTimeout apart", asked, first, second)
	}
}
