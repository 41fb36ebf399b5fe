package main

import (
	"math"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

func size(cores, gigabytes int64) placement.Resources {
	return placement.Resources{MilliCores: cores * 1000, MemoryMB: gigabytes * 1000}
}

func TestBoundAllowsWholeTasksOnly(t *testing.T) {
	endpoints := workers(2, 10, 100, noAccelerators)
	table := boundTable{resource: 0, endpoints: endpoints, total: size(20, 200), cache: map[boundKey]float64{}}
	large := size(4, 1)
	for _, c := range []struct {
		sizes  []placement.Resources
		demand map[placement.Resources]int
		want   float64
	}{
		{[]placement.Resources{large}, map[placement.Resources]int{large: 100}, 0.8},
		{[]placement.Resources{large}, map[placement.Resources]int{large: 3}, 0.6},
		{[]placement.Resources{large, size(2, 1)}, map[placement.Resources]int{large: 100, size(2, 1): 100}, 1},
		{[]placement.Resources{large, size(2, 1)}, map[placement.Resources]int{large: 100, size(2, 1): 1}, 0.9},
		{[]placement.Resources{size(1, 50)}, map[placement.Resources]int{size(1, 50): 100}, 0.2},
	} {
		if got := table.bound(c.sizes, c.demand); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("bound for %v = %v, want %v", c.demand, got, c.want)
		}
	}
}

func TestUnrequestedShareIsRedistributed(t *testing.T) {
	s := scenario{
		endpoints: workers(1, 100, 100, noAccelerators),
		teams:     []placement.Team{{Name: "a", Weight: 2}, {Name: "b", Weight: 1}, {Name: "c", Weight: 1}},
	}
	col := newCollector(&s, nil)
	col.teamsByName["a"].running = size(90, 0)
	col.teamsByName["a"].waiting = size(90, 0)
	col.teamsByName["b"].running = size(10, 0)
	col.teamsByName["c"].waiting = size(90, 0)
	got := col.shares()
	// b requests 0.1 of 1; a and c divide the remaining 0.9 in the ratio 2 to 1.
	for i, want := range []float64{0.6, 0.1, 0.3} {
		if math.Abs(got.entitled[i]-want) > 1e-9 {
			t.Errorf("team %d is entitled to %v, want %v", i, got.entitled[i], want)
		}
	}
}

// TestPoliciesStartAllTasks runs each policy with a short load that fits and
// expects every task to start once.
func TestPoliciesStartAllTasks(t *testing.T) {
	s := scenario{
		name: "small", horizon: 5 * time.Minute, endpoints: workers(8, 64, 256, noAccelerators),
		teams: customers("a", "b", "c", "d", "e", "f"), streams: map[string][]stream{},
	}
	for _, team := range s.teams {
		s.streams[team.Name] = []stream{{label, constant(0.02)}, {costing, constant(0.05)}, {match, constant(0.02)}}
	}
	arrivals := s.arrivals(1)
	late, tasks := 0, 0
	for _, a := range arrivals {
		tasks += len(a.runTimes)
		if a.at > s.horizon-30*time.Second {
			late += len(a.runTimes)
		}
	}
	for _, c := range namedPolicies() {
		o := run(&s, cloneArrivals(arrivals), c.make())
		if o.starts-o.preemptions < tasks-late || o.starts-o.preemptions > tasks {
			t.Errorf("%s: %d starts less %d preemptions for %d tasks, %d of them late", c.name, o.starts, o.preemptions, tasks, late)
		}
	}
}
