package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/preemption"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"pgregory.net/rapid"
)

// fill fills the hosts of a snapshot with runs of four cores, of the given priorities by
// turns, which end at the given time and each lose two core-seconds if they are stopped.
func fill(s *Snapshot, endsAt time.Duration, priorities ...int) {
	victims := make(map[*Host][]Victim)
	for _, h := range s.Hosts {
		for h.Free.MilliCores >= 4000 {
			r := &fleet.Run{Key: fleet.Key{Number: len(victims[h])}, Charge: cores(4), Endpoint: h.Endpoint, Priority: priorities[len(victims[h])%len(priorities)]}
			h.Free = h.Free.Sub(r.Charge)
			h.Releases = append(h.Releases, Release{At: endsAt, Size: r.Charge})
			victims[h] = append(victims[h], Victim{Run: r, Victim: preemption.Victim{Size: r.Charge, Loss: 2}})
		}
	}
	s.Victims = func(h *Host) []Victim { return victims[h] }
	s.PreemptionBudget, s.WorstPriority = 100, 9
	s.Policy.StopTime = 500 * time.Millisecond
}

// urgentDemand returns a demand for n urgent tasks of four cores that have to start within a
// second.
func urgentDemand(id string, n int) *Demand {
	d := demand(newSteps(id, "c", workload.Step{Count: n, Size: cores(4)})[0])
	d.Urgent, d.Priority, d.LatestStart, d.Duration = true, 0, now+time.Second, time.Second
	return d
}

// TestUrgentBurstOnFullFleet has urgent tasks find endpoints that are full of work that can
// wait.
func TestUrgentBurstOnFullFleet(t *testing.T) {
	const long = now + time.Minute
	gang := func(n int) *Demand {
		d := urgentDemand("g", n)
		d.Step.Spec.Gang, d.Urgent, d.Priority = true, false, 1
		return d
	}
	for name, c := range map[string]struct {
		demand *Demand
		change func(*Snapshot, *Demand)
		want   int
	}{
		"as many as it needs":    {urgentDemand("u", 3), func(s *Snapshot, _ *Demand) { fill(s, long, 2) }, 3},
		"room comes in time":     {urgentDemand("u", 3), func(s *Snapshot, _ *Demand) { fill(s, now+600*time.Millisecond, 2) }, 0},
		"room may come too late": {urgentDemand("u", 3), func(s *Snapshot, _ *Demand) { fill(s, now+900*time.Millisecond, 2) }, 3},
		"runs last longer than expected": {urgentDemand("u", 3), func(s *Snapshot, _ *Demand) {
			fill(s, now, 2)
		}, 3},
		"a gang asks about endpoints that may have room first": {gang(4), func(s *Snapshot, d *Demand) {
			fill(s, long, 2)
			d.Eligibility = NewEligibility()
			d.Eligibility.EligibleShare = 0.5
			for _, h := range s.Hosts {
				d.Eligibility.SetEligible(h.Endpoint, true)
			}
			idle := hosts(4)[2:]
			s.Hosts = append(s.Hosts, idle...)
		}, 0},
		"not of the same priority":   {gang(3), func(s *Snapshot, _ *Demand) { fill(s, long, 1) }, 0},
		"a whole gang":               {gang(4), func(s *Snapshot, _ *Demand) { fill(s, long, 1, 2) }, 4},
		"not for a part of a gang":   {gang(5), func(s *Snapshot, _ *Demand) { fill(s, long, 1, 2) }, 0},
		"not for work that is late":  {urgentDemand("u", 3), func(s *Snapshot, d *Demand) { fill(s, long, 2); d.LatestStart = now + 400*time.Millisecond }, 0},
		"not beyond the rate":        {urgentDemand("u", 3), func(s *Snapshot, d *Demand) { fill(s, long, 2); d.Excess = true }, 0},
		"not beyond the share":       {urgentDemand("u", 3), func(s *Snapshot, d *Demand) { fill(s, long, 2); d.OverShare = true }, 0},
		"within the budget":          {urgentDemand("u", 3), func(s *Snapshot, _ *Demand) { fill(s, long, 2); s.PreemptionBudget = 5 }, 2},
		"not for work that is small": {urgentDemand("u", 1), func(s *Snapshot, d *Demand) { fill(s, long, 2); d.Duration = 200 * time.Millisecond }, 0},
		"turned off":                 {urgentDemand("u", 3), func(s *Snapshot, _ *Demand) { fill(s, long, 2); s.Victims = nil }, 0},
		"no room for it, but headroom": {gang(3), func(s *Snapshot, _ *Demand) {
			fill(s, long, 2)
			s.Policy.Headrooms = []Headroom{{Pool: "p", Size: cores(1), Slots: 2}}
		}, 0},
		"within the quota": {urgentDemand("u", 3), func(s *Snapshot, _ *Demand) {
			fill(s, long, 2)
			s.WithinQuota = func(_ string, size resource.Vector) bool { return size.MilliCores <= 4000 }
		}, 1},
		"bounded on each endpoint": {urgentDemand("u", 3), func(s *Snapshot, d *Demand) {
			fill(s, long, 2)
			d.Step.Spec.MaxPerEndpoint, d.Occupied["e0"] = 1, 1
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := snapshot(2, c.demand)
			c.change(s, c.demand)
			if got := MakePlan(s).Preemptions; len(got) != c.want {
				t.Errorf("%d runs are stopped, want %d: %+v", len(got), c.want, got)
			}
		})
	}
}

// TestEligibleRoomIsPreempted has urgent tasks that may run on some endpoints only find all
// of them full: the service is asked first, and only runs on eligible endpoints are stopped.
func TestEligibleRoomIsPreempted(t *testing.T) {
	d := urgentDemand("u", 2)
	d.Eligibility = NewEligibility()
	d.Eligibility.EligibleShare = 0.5
	plan := func() Plan {
		s := snapshot(20, d)
		fill(s, now+time.Minute, 2)
		return MakePlan(s)
	}
	first := plan()
	if len(first.Preemptions) != 0 || len(first.Questions) != 1 {
		t.Fatalf("%d runs are stopped and %d questions asked while nothing is known", len(first.Preemptions), len(first.Questions))
	}
	d.Eligibility.QuestionInFlight = true
	if p := plan(); len(p.Preemptions)+len(p.Questions) > 0 {
		t.Fatalf("%d runs are stopped and %d questions asked while a question is in flight", len(p.Preemptions), len(p.Questions))
	}
	d.Eligibility.QuestionInFlight = false
	known := hosts(20)
	for i, h := range known {
		d.Eligibility.SetEligible(h.Endpoint, i%7 == 3)
	}
	s := snapshot(0, d)
	s.Hosts = known
	fill(s, now+time.Minute, 2)
	second := MakePlan(s)
	if len(second.Preemptions) != 2 {
		t.Fatalf("%d runs are stopped, want 2", len(second.Preemptions))
	}
	for _, p := range second.Preemptions {
		if !d.Eligibility.Eligible[p.Run.Endpoint] {
			t.Errorf("a run on %s is stopped, which is not eligible", p.Run.Endpoint.ID)
		}
	}
}

// TestRoomOfStoppedRunsIsAwaited has the plan after a preemption find runs that are being
// stopped: no others may be stopped for the same work.
func TestRoomOfStoppedRunsIsAwaited(t *testing.T) {
	s := snapshot(1, urgentDemand("u", 2))
	fill(s, now+time.Minute, 2)
	s.Hosts[0].Releases[0].At = now + 400*time.Millisecond
	s.Hosts[0].Releases[1].At = now + 400*time.Millisecond
	if got := MakePlan(s).Preemptions; len(got) > 0 {
		t.Errorf("%d more runs are stopped", len(got))
	}
}

// TestPreemptionsStayWithinBounds checks random demands on full endpoints: no run of the same
// or a better priority is stopped, none twice, and the loss stays within the budget.
func TestPreemptionsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := snapshot(rapid.IntRange(0, 6).Draw(t, "hosts"))
		for i := range rapid.IntRange(0, 8).Draw(t, "demands") {
			d := urgentDemand(fmt.Sprint(i), rapid.IntRange(1, 9).Draw(t, "tasks"))
			d.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
			d.Urgent, d.Step.Spec.Gang = d.Priority == 0, rapid.Bool().Draw(t, "gang")
			s.Demands = append(s.Demands, d)
		}
		fill(s, now+time.Minute, rapid.SliceOfN(rapid.IntRange(0, 3), 1, 4).Draw(t, "priorities")...)
		budget := rapid.Float64Range(0, 40).Draw(t, "budget")
		s.PreemptionBudget = budget
		loss, stopped, gains := 0.0, make(map[*fleet.Run]bool), make(map[*Demand]int)
		for _, p := range MakePlan(s).Preemptions {
			if stopped[p.Run] || p.Run.Priority <= p.For.Priority {
				t.Fatalf("a run of priority %d is stopped for priority %d", p.Run.Priority, p.For.Priority)
			}
			stopped[p.Run] = true
			gains[p.For]++
			loss += p.Loss
		}
		if loss > budget {
			t.Fatalf("%v core-seconds are thrown away, the budget is %v", loss, budget)
		}
		for d, n := range gains {
			if n > len(d.Tasks) || d.Step.Spec.Gang && n < len(d.Tasks) {
				t.Fatalf("%d runs are stopped for %d tasks", n, len(d.Tasks))
			}
		}
	})
}
