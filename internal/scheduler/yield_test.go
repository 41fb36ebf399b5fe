package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// fullFleet returns a snapshot of four endpoints with 4 of 16 cores free each, a gang of
// priority 1 that needs more than that on each endpoint, and a step of priority 2 whose
// tasks fit.
func fullFleet() (s *Snapshot, gang, single *Demand) {
	gang = demand(newSteps("a", "c", workload.Step{Count: 4, Size: cores(6), Gang: true, Estimate: time.Second})[0])
	single = demand(newSteps("b", "c", workload.Step{Count: 4, Size: cores(2), Estimate: time.Second})[0])
	single.Priority = 2
	s = snapshot(4, gang, single)
	s.Policy.GangRoom, s.Policy.MaxReservations = true, 0
	for _, h := range s.Hosts {
		h.Free = resource.Vector{MilliCores: 4_000, MemoryMB: 64_000}
	}
	return s, gang, single
}

// TestGangsStarveBehindSingleTasks guards against single tasks that take each gap while
// gangs of a better priority wait for many gaps at once, on full endpoints.
func TestGangsStarveBehindSingleTasks(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Snapshot, gang, single *Demand)
		starts int
	}{
		"they wait for the gang":          {func(*Snapshot, *Demand, *Demand) {}, 0},
		"the part is off":                 {func(s *Snapshot, _, _ *Demand) { s.Policy.GangRoom = false }, 4},
		"they would miss their objective": {func(_ *Snapshot, _, d *Demand) { d.LatestStart = now + latestStartMargin }, 4},
		"they have missed it":             {func(_ *Snapshot, _, d *Demand) { d.LatestStart = now - time.Second }, 0},
		"they have missed it for long":    {func(_ *Snapshot, _, d *Demand) { d.LatestStart = now - maxYieldTime - time.Second }, 4},
		"they last":                       {func(_ *Snapshot, _, d *Demand) { d.Step.Spec.LongRunning, d.LatestStart = true, now-time.Second }, 4},
		"they are urgent":                 {func(_ *Snapshot, _, d *Demand) { d.Urgent, d.Priority = true, 0 }, 4},
		"they have the gang's priority":   {func(_ *Snapshot, _, d *Demand) { d.Priority = 1 }, 4},
		"the gang is late":                {func(_ *Snapshot, g, _ *Demand) { g.LatestStart = now - time.Second }, 4},
		"the gang is beyond the rate":     {func(_ *Snapshot, g, _ *Demand) { g.Excess = true }, 4},
		"the gang has waited for long":    {func(_ *Snapshot, g, _ *Demand) { g.ReadyAt = now - maxYieldTime - time.Second }, 4},
		"the gang is at its limit": {func(s *Snapshot, g, _ *Demand) {
			g.Step.Job.Customer = "limited"
			s.WithinQuota = func(customer string, _ resource.Vector) bool { return customer != "limited" }
		}, 4},
		"another pool": {func(_ *Snapshot, g, _ *Demand) { g.Pool = "other" }, 4},
		"no endpoint may run the gang": {func(s *Snapshot, g, _ *Demand) {
			g.Eligibility = NewEligibility()
			for _, h := range s.Hosts {
				g.Eligibility.SetEligible(h.Endpoint, false)
			}
		}, 4},
		"no endpoint of its pool may run the gang": {func(s *Snapshot, g, _ *Demand) {
			g.Eligibility = NewEligibility()
			for _, h := range s.Hosts {
				g.Eligibility.SetEligible(h.Endpoint, false)
			}
			other := hosts(1)
			other[0].Endpoint.Pool = "other"
			s.Hosts = append(s.Hosts, other...)
		}, 4},
		"a new holder knows no endpoint for the gang yet": {func(_ *Snapshot, g, _ *Demand) {
			g.Eligibility = NewEligibility()
			g.Eligibility.QuestionInFlight, g.Eligibility.EligibleShare = true, 0.5
		}, 0},
		"there is room beyond the gang's need": {func(s *Snapshot, g, _ *Demand) {
			g.Eligibility = NewEligibility()
			g.Eligibility.QuestionInFlight, g.Eligibility.EligibleShare = true, 0.5
			for _, h := range s.Hosts {
				h.Free = resource.Vector{MilliCores: 7_000, MemoryMB: 64_000}
			}
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s, gang, single := fullFleet()
			c.change(s, gang, single)
			plan := MakePlan(s)
			if got := started(plan, single.Step); len(got) != c.starts {
				t.Errorf("%d single tasks start, want %d", len(got), c.starts)
			}
			if waits := len(plan.Yielding) > 0; waits != (c.starts < len(single.Tasks)) {
				t.Errorf("the plan says that %d steps wait for gangs", len(plan.Yielding))
			}
		})
	}
}

// TestYieldingStepsHoldNothing guards against steps that wait for gangs and keep endpoints
// for the answers to their questions meanwhile.
func TestYieldingStepsHoldNothing(t *testing.T) {
	s, _, single := fullFleet()
	single.Eligibility = NewEligibility()
	single.Eligibility.EligibleShare = 0.5
	for _, q := range MakePlan(s).Questions {
		if q.Demand == single {
			t.Errorf("a question about %d endpoints that holds tasks on %v", len(q.Endpoints), q.HeldTasks)
		}
	}
}

// TestGangAsksAboutRoomiestEndpoints guards against gangs that learn of eligible endpoints
// without room first, on a fleet that is full in part.
func TestGangAsksAboutRoomiestEndpoints(t *testing.T) {
	d := demand(newSteps("a", "c", workload.Step{Count: 64, Size: cores(4), Gang: true, Estimate: time.Second})[0])
	d.Eligibility = NewEligibility()
	d.Eligibility.EligibleShare = 0.5
	s := snapshot(120, d)
	s.Policy.GangRoom = true
	for i, h := range s.Hosts {
		h.Free = resource.Vector{MilliCores: int64(i%3) * 4_000, MemoryMB: 64_000}
	}
	plan := MakePlan(s)
	if len(plan.Questions) != 1 {
		t.Fatalf("%d questions, want one", len(plan.Questions))
	}
	free := make(map[*fleet.Endpoint]int64)
	for _, h := range s.Hosts {
		free[h.Endpoint] = h.Free.MilliCores
	}
	for i, e := range plan.Questions[0].Endpoints {
		want := int64(8_000)
		if i >= 40 {
			want = 4_000
		}
		if i >= 80 {
			want = 0
		}
		if free[e] != want {
			t.Fatalf("endpoint %d of the question has %d thousandths of a core free, want %d", i, free[e], want)
		}
	}
}

// TestLateGangsLeaveQuestions guards against gangs that have missed their objectives and
// take the questions of those that can still meet them.
func TestLateGangsLeaveQuestions(t *testing.T) {
	const inAll = 40
	var demands []*Demand
	for i := range inAll {
		d := demand(newSteps(fmt.Sprintf("%016x", i), "c", workload.Step{Count: 9, Size: cores(16), Gang: true, Estimate: time.Second})[0])
		d.Eligibility = NewEligibility()
		d.Eligibility.EligibleShare = 0.5
		d.LatestStart = now - time.Second
		demands = append(demands, d)
	}
	s := snapshot(8, demands...)
	s.Policy.GangRoom, s.Questions, s.QuestionsInAll = true, inAll, inAll
	if n := len(MakePlan(s).Questions); n > inAll/lateDivisor {
		t.Errorf("late gangs take %d of %d questions", n, inAll)
	}
}

// TestLateGangsAskInTheEnd guards against gangs that missed their objectives and never learn
// where they may run because others keep half of the questions busy.
func TestLateGangsAskInTheEnd(t *testing.T) {
	const inAll = 40
	for late, want := range map[time.Duration]int{time.Second: 0, maxYieldTime + time.Second: 1} {
		d := demand(newSteps("a", "c", workload.Step{Count: 9, Size: cores(16), Gang: true, Estimate: time.Second})[0])
		d.Eligibility = NewEligibility()
		d.Eligibility.EligibleShare = 0.5
		d.LatestStart = now - late
		s := snapshot(8, d)
		s.Policy.GangRoom, s.Questions, s.QuestionsInAll = true, inAll/2, inAll
		if n := len(MakePlan(s).Questions); n != want {
			t.Errorf("a gang that is late by %s asks %d questions, want %d", late, n, want)
		}
	}
}
