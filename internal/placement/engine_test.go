package placement

import (
	"testing"
	"time"
)

func worker(id string) Endpoint {
	return Endpoint{ID: id, Rack: "r1", Capacity: Resources{MilliCores: 4000, MemoryMB: 8000}}
}

func oneCore() Resources { return Resources{MilliCores: 1000, MemoryMB: 1000} }

func TestUrgentGoesBeforeEarlierBatch(t *testing.T) {
	e := New()
	e.SetTeam(Team{Name: "ink", Weight: 1, MaxRunning: 100})
	e.SetEndpoint(worker("w1"))
	e.Submit(Work{ID: "b", Team: "ink", Class: ClassBatch, Tasks: []string{"b1", "b2"}, Size: oneCore()})
	e.Submit(Work{ID: "u", Team: "ink", Class: ClassUrgent, Tasks: []string{"u1"}, Size: oneCore(), Enqueued: time.Second})
	got := e.Schedule(time.Second, 1)
	if len(got) != 1 || got[0].Task != "u1" {
		t.Fatalf("first decision = %v, want u1", got)
	}
}

func TestTaskLimitCountsAdoptedTasks(t *testing.T) {
	e := New()
	e.SetTeam(Team{Name: "ink", Weight: 1, MaxRunning: 2})
	e.SetEndpoint(worker("w1"))
	e.Adopt(RunningTask{Task: "old", Team: "ink", Endpoint: "w1", Size: oneCore()})
	e.Submit(Work{ID: "b", Team: "ink", Tasks: []string{"b1", "b2"}, Size: oneCore()})
	if got := e.Schedule(0, 10); len(got) != 1 {
		t.Fatalf("decisions = %v, want 1 within the task limit of 2", got)
	}
}

func TestGangStartsCompletelyOrNotAtAll(t *testing.T) {
	e := New()
	e.SetTeam(Team{Name: "ink", Weight: 1, MaxRunning: 100})
	e.SetEndpoint(worker("w1"))
	e.Submit(Work{ID: "g", Team: "ink", Gang: true, Tasks: []string{"1", "2", "3", "4", "5"}, Size: oneCore()})
	if got := e.Schedule(0, 10); len(got) != 0 {
		t.Fatalf("part of the gang started: %v", got)
	}
	e.SetEndpoint(worker("w2"))
	if got := e.Schedule(0, 10); len(got) != 5 {
		t.Fatalf("decisions = %v, want the whole gang", got)
	}
}

func TestRunnerTasksGoOnlyToRunners(t *testing.T) {
	e := New()
	e.SetTeam(Team{Name: "ink", Weight: 1, MaxRunning: 100})
	e.SetEndpoint(worker("w1"))
	e.SetEndpoint(Endpoint{ID: "s1", Runner: true, Capacity: Resources{Slots: 8}})
	e.Submit(Work{ID: "r", Team: "ink", Runner: true, Tasks: []string{"r1"}, Size: Resources{Slots: 1}})
	e.Submit(Work{ID: "b", Team: "ink", Tasks: []string{"b1"}, Size: oneCore()})
	for _, d := range e.Schedule(0, 10) {
		if want := map[string]string{"r1": "s1", "b1": "w1"}[d.Task]; d.Endpoint != want {
			t.Errorf("%s was placed on %s, want %s", d.Task, d.Endpoint, want)
		}
	}
}

func TestCheckReturnsNearestSize(t *testing.T) {
	e := New()
	e.SetEndpoint(worker("w1"))
	v := e.Check(Work{Tasks: []string{"1"}, Size: Resources{MilliCores: 9000, MemoryMB: 1000}})
	if v.Feasible || v.Reason == "" || v.NearestSize != (Resources{MilliCores: 4000, MemoryMB: 1000}) {
		t.Fatalf("feasibility = %+v", v)
	}
	gang := e.Check(Work{Gang: true, Tasks: []string{"1", "2", "3", "4", "5"}, Size: oneCore()})
	if gang.Feasible || gang.NearestSize.MilliCores != 800 {
		t.Fatalf("gang feasibility = %+v, want 4000/5 millicores", gang)
	}
}
