package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"pgregory.net/rapid"
)

// now is the time of all snapshots in these tests.
const now = time.Hour

// newSteps returns the steps of the first occurrence of a new job.
func newSteps(id string, customer string, steps ...workload.Step) []*workload.StepRun {
	j := workload.NewJob(workload.ID(id), "q", customer, time.Unix(0, 0), workload.Spec{Steps: steps})
	return j.OpenNext().Steps
}

// demand returns a demand for all tasks of a step.
func demand(s *workload.StepRun) *Demand {
	d := &Demand{Step: s, Pool: "p", Priority: 1, LatestStart: now + time.Minute, ReadyAt: now, Occupied: make(map[string]int)}
	for i := range s.Tasks {
		d.Tasks = append(d.Tasks, i)
	}
	return d
}

// hosts returns n hosts of 16 cores each, two in each rack.
func hosts(n int) []*Host {
	f := fleet.New()
	out := make([]*Host, n)
	for i := range out {
		e, _ := f.Register(fleet.Registration{
			ID: fmt.Sprintf("e%d", i), Pool: "p", Rack: fmt.Sprintf("r%d", i/2), Labels: []string{fmt.Sprintf("k%d", i%2)},
			Capacity: resource.Vector{MilliCores: 16_000, MemoryMB: 64_000},
		})
		out[i] = &Host{Endpoint: e, Free: e.Free()}
	}
	return out
}

func snapshot(n int, demands ...*Demand) *Snapshot {
	return &Snapshot{
		Now: now, Hosts: hosts(n), Demands: demands, Questions: 3, UrgentQuestions: 5, MaxStarts: 1000,
		WithinQuota: func(string, resource.Vector) bool { return true },
		Policy:      Policy{FarFactor: 2, MaxReservations: 3, PermitMargin: 100 * time.Millisecond},
	}
}

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: n * 1000, MemoryMB: 100} }

// started returns the endpoints on which a step's tasks start.
func started(p Plan, s *workload.StepRun) []string {
	var out []string
	for _, start := range p.Starts {
		if start.Demand.Step == s {
			out = append(out, start.Endpoint.ID)
		}
	}
	return out
}

func TestMakePlan(t *testing.T) {
	small := workload.Step{Count: 3, Size: cores(4), Estimate: time.Second}
	for name, c := range map[string]struct {
		make func() (*Snapshot, *workload.StepRun)
		want int
	}{
		"capacity for all": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", small)[0]
			return snapshot(1, demand(s)), s
		}, 3},
		"capacity for some": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 9, Size: cores(4)})[0]
			return snapshot(2, demand(s)), s
		}, 8},
		"a gang without enough capacity starts nothing": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 9, Size: cores(4), Gang: true})[0]
			return snapshot(2, demand(s)), s
		}, 0},
		"a gang with enough capacity starts whole": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 8, Size: cores(4), Gang: true})[0]
			return snapshot(2, demand(s)), s
		}, 8},
		"a label on half of the hosts": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 9, Size: cores(4), RequiredLabel: "k0"})[0]
			return snapshot(4, demand(s)), s
		}, 8},
		"a label that no host has": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 1, Size: cores(1), RequiredLabel: "k9"})[0]
			return snapshot(4, demand(s)), s
		}, 0},
		"one task per host": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 9, Size: cores(1), MaxPerEndpoint: 1})[0]
			return snapshot(4, demand(s)), s
		}, 4},
		"another pool": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", small)[0]
			d := demand(s)
			d.Pool = "other"
			return snapshot(4, d), s
		}, 0},
		"a customer's quota": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", small)[0]
			snap := snapshot(4, demand(s))
			snap.WithinQuota = func(_ string, size resource.Vector) bool { return size.MilliCores <= 8_000 }
			return snap, s
		}, 2},
		"capacity kept for urgent tasks": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 9, Size: cores(4)})[0]
			snap := snapshot(2, demand(s))
			snap.Policy.Headrooms = []Headroom{{Pool: "p", Size: cores(4), Slots: 2}}
			return snap, s
		}, 6},
		"urgent tasks use the capacity kept for them": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", workload.Step{Count: 9, Size: cores(4)})[0]
			d := demand(s)
			d.Urgent, d.Priority = true, 0
			snap := snapshot(2, d)
			snap.Policy.Headrooms = []Headroom{{Pool: "p", Size: cores(4), Slots: 2}}
			return snap, s
		}, 8},
		"nothing starts without a permit": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", small)[0]
			d := demand(s)
			d.Eligibility = &Eligibility{Eligible: map[*fleet.Endpoint]bool{}, Permits: map[*fleet.Endpoint]Permit{}, EligibleShare: 0.5}
			return snapshot(4, d), s
		}, 0},
		"a permit about to expire is not used": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", small)[0]
			d := demand(s)
			snap := snapshot(2, d)
			e := snap.Hosts[0].Endpoint
			d.Eligibility = &Eligibility{Eligible: map[*fleet.Endpoint]bool{e: true}, Good: []*fleet.Endpoint{e}, Permits: map[*fleet.Endpoint]Permit{e: {Token: "t", Expires: now + 50*time.Millisecond}}}
			return snap, s
		}, 0},
		"a permit": {func() (*Snapshot, *workload.StepRun) {
			s := newSteps("a", "c", small)[0]
			d := demand(s)
			snap := snapshot(2, d)
			e := snap.Hosts[1].Endpoint
			d.Eligibility = &Eligibility{Eligible: map[*fleet.Endpoint]bool{e: true}, Good: []*fleet.Endpoint{e}, Permits: map[*fleet.Endpoint]Permit{e: {Token: "t", Expires: now + time.Second}}}
			return snap, s
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			snap, s := c.make()
			if got := started(MakePlan(snap), s); len(got) != c.want {
				t.Errorf("%d tasks start on %v, want %d", len(got), got, c.want)
			}
		})
	}
}

// TestBlockedGangReservesCapacity guards against gangs that never start because
// lower-ranked small tasks take the capacity they wait for.
func TestBlockedGangReservesCapacity(t *testing.T) {
	gang := newSteps("a", "c", workload.Step{Count: 4, Size: cores(8), Gang: true, Estimate: time.Second})[0]
	small := newSteps("b", "c", workload.Step{Count: 20, Size: cores(2), Estimate: time.Second})[0]
	first, second := demand(gang), demand(small)
	second.Priority = 2
	snap := snapshot(2, first, second)
	// One host is full, and expected to be free soon.
	full := snap.Hosts[0]
	full.Free = resource.Vector{}
	full.Releases = []Release{{At: now + 100*time.Millisecond, Size: full.Endpoint.Capacity}}
	plan := MakePlan(snap)
	if got := started(plan, gang); len(got) > 0 {
		t.Errorf("the gang starts on %v", got)
	}
	if got := started(plan, small); len(got) > 0 {
		t.Errorf("%d small tasks take the gang's capacity", len(got))
	}
}

// TestPlansStayWithinBounds checks plans of random snapshots against capacity,
// quota, permits and the other bounds.
func TestPlansStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(4, 200).Draw(t, "limit")
		var demands []*Demand
		for i := range rapid.IntRange(1, 8).Draw(t, "demands") {
			step := workload.Step{
				Count:          rapid.IntRange(1, 12).Draw(t, "count"),
				Size:           resource.Vector{MilliCores: rapid.Int64Range(1, 20_000).Draw(t, "cores"), MemoryMB: rapid.Int64Range(0, 30_000).Draw(t, "memory")},
				Estimate:       time.Second,
				Gang:           rapid.Bool().Draw(t, "gang"),
				SameRack:       rapid.Bool().Draw(t, "same rack"),
				RequiredLabel:  rapid.SampledFrom([]string{"", "k0", "k1"}).Draw(t, "label"),
				MaxPerEndpoint: rapid.IntRange(0, 3).Draw(t, "per endpoint"),
				PreferredRack:  rapid.SampledFrom([]string{"", "r0", "r7"}).Draw(t, "rack"),
			}
			d := demand(newSteps(fmt.Sprintf("%x", i), rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "customer"), step)[0])
			d.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			d.Urgent = d.Priority == 0
			d.Excess = rapid.Bool().Draw(t, "excess")
			d.LatestStart = now + time.Duration(rapid.IntRange(-5, 5).Draw(t, "latest"))*time.Second
			d.ReadyAt = now - time.Duration(rapid.IntRange(0, 5).Draw(t, "since"))*time.Second
			demands = append(demands, d)
		}
		snap := snapshot(rapid.IntRange(1, 6).Draw(t, "hosts"), demands...)
		snap.Policy.Headrooms = []Headroom{{Pool: "p", Size: cores(2), Slots: rapid.IntRange(0, 10).Draw(t, "places")}}
		snap.WithinQuota = func(_ string, size resource.Vector) bool { return size.MilliCores <= limit*1000 }
		for _, d := range demands {
			if !rapid.Bool().Draw(t, "asks") {
				continue
			}
			d.Eligibility = &Eligibility{Eligible: make(map[*fleet.Endpoint]bool), Permits: make(map[*fleet.Endpoint]Permit), EligibleShare: 0.5}
			for _, h := range snap.Hosts {
				switch rapid.IntRange(0, 3).Draw(t, "access") {
				case 0:
					d.Eligibility.SetEligible(h.Endpoint, false)
				case 1:
					d.Eligibility.SetEligible(h.Endpoint, true)
					d.Eligibility.Permits[h.Endpoint] = Permit{Token: "t", Expires: now + time.Duration(rapid.IntRange(-100, 900).Draw(t, "expires"))*time.Millisecond}
				}
			}
		}
		requireBounds(t, MakePlan(snap), limit)
	})
}

func requireBounds(t *rapid.T, plan Plan, limit int64) {
	used := make(map[*fleet.Endpoint]resource.Vector)
	taken := make(map[string]int64)
	tasks := make(map[*Demand]map[int]bool)
	perHost := make(map[*Demand]map[string]int)
	for _, s := range plan.Starts {
		d, spec := s.Demand, s.Demand.Step.Spec
		used[s.Endpoint] = used[s.Endpoint].Add(spec.Size)
		taken[d.Step.Job.Customer] += spec.Size.MilliCores
		if tasks[d] == nil {
			tasks[d], perHost[d] = make(map[int]bool), make(map[string]int)
		}
		if tasks[d][s.Task] {
			t.Errorf("task %d starts twice", s.Task)
		}
		tasks[d][s.Task] = true
		perHost[d][s.Endpoint.ID]++
		if n := perHost[d][s.Endpoint.ID]; spec.MaxPerEndpoint > 0 && n > spec.MaxPerEndpoint {
			t.Errorf("%d tasks on %s, want at most %d", n, s.Endpoint.ID, spec.MaxPerEndpoint)
		}
		if !s.Endpoint.HasLabel(spec.RequiredLabel) {
			t.Errorf("%s lacks the label %s", s.Endpoint.ID, spec.RequiredLabel)
		}
		if d.Eligibility != nil {
			if permit := d.Eligibility.Permits[s.Endpoint]; permit.Token == "" || permit.Token != s.Permit || permit.Expires <= now {
				t.Errorf("a task starts with permit %q, the permit known is %+v", s.Permit, permit)
			}
		}
	}
	for e, v := range used {
		if v.MilliCores > e.Capacity.MilliCores || v.MemoryMB > e.Capacity.MemoryMB {
			t.Errorf("%s has %+v allocated of %+v", e.ID, v, e.Capacity)
		}
	}
	for customer, v := range taken {
		if v > limit*1000 {
			t.Errorf("%s has %d millicores allocated, its limit is %d cores", customer, v, limit)
		}
	}
	for d, started := range tasks {
		if d.Step.Spec.Gang && len(started) != len(d.Tasks) {
			t.Errorf("%d of the %d tasks of a gang start", len(started), len(d.Tasks))
		}
	}
	questions, urgent := 0, 0
	for _, q := range plan.Questions {
		if q.Demand.Urgent {
			urgent++
		} else {
			questions++
		}
		if len(q.Endpoints) == 0 || len(q.Endpoints) > maxQuestionEndpoints {
			t.Errorf("a question about %d endpoints", len(q.Endpoints))
		}
	}
	const maxQuestions, maxUrgent = 3, 5
	if questions > maxQuestions || urgent > maxUrgent {
		t.Errorf("%d questions and %d urgent ones, want at most %d and %d", questions, urgent, maxQuestions, maxUrgent)
	}
}

// TestLongQueue makes a plan for thousands of demands, most of which can't start,
// and checks that the highest-ranked ones start. Such a plan must not take much
// longer than one for hundreds.
func TestLongQueue(t *testing.T) {
	demands := func(n int) []*Demand {
		out := make([]*Demand, n)
		for i := range out {
			out[i] = demand(newSteps(fmt.Sprintf("%016x", i), "c", workload.Step{Count: 2, Size: cores(16), Estimate: time.Second})[0])
		}
		return out
	}
	const endpoints, jobs = 200, 8000
	snap := snapshot(endpoints, demands(jobs)...)
	plan := MakePlan(snap)
	if len(plan.Starts) != endpoints {
		t.Errorf("%d tasks start on %d endpoints with capacity for one task each", len(plan.Starts), endpoints)
	}
	for _, s := range plan.Starts {
		if s.Demand.Step.Job.ID >= workload.ID(fmt.Sprintf("%016x", endpoints/2)) {
			t.Errorf("job %s starts before higher-ranked ones", s.Demand.Step.Job.ID)
		}
	}
	if plan.Blocked < jobs-endpoints/2 {
		t.Errorf("%d demands blocked, want %d or more", plan.Blocked, jobs-endpoints/2)
	}
}

// TestFailedSearchesAreBounded checks that a plan searches all hosts for a
// bounded number of demands only. Each demand here would ask a question if it
// were searched for.
func TestFailedSearchesAreBounded(t *testing.T) {
	const jobs = 10 * maxFailedSearches
	list := make([]*Demand, jobs)
	for i := range list {
		list[i] = demand(newSteps(fmt.Sprintf("%016x", i), "c", workload.Step{Count: 1, Size: cores(1), Estimate: time.Second})[0])
		list[i].Urgent, list[i].Priority = true, 0
		list[i].Eligibility = &Eligibility{Eligible: make(map[*fleet.Endpoint]bool), Permits: make(map[*fleet.Endpoint]Permit), EligibleShare: 0.5}
	}
	snap := snapshot(4, list...)
	snap.UrgentQuestions = jobs
	if n := len(MakePlan(snap).Questions); n > maxFailedSearches {
		t.Errorf("%d of %d demands were searched for, want at most %d", n, jobs, maxFailedSearches)
	}
}

// TestMaxStarts checks the bound on the starts of a plan: UrgentStarts of them
// are left to urgent work, and a gang that begins below the bound starts whole.
func TestMaxStarts(t *testing.T) {
	bulk := newSteps("a", "c", workload.Step{Count: 9, Size: cores(1), Estimate: time.Second})[0]
	gang := newSteps("b", "c", workload.Step{Count: 4, Size: cores(1), Estimate: time.Second, Gang: true})[0]
	urgent := newSteps("d", "c", workload.Step{Count: 9, Size: cores(1), Estimate: time.Second})[0]
	for name, c := range map[string]struct {
		max, bulk, gang, urgent int
		limited                 bool
	}{
		"bound not reached":               {max: 100, bulk: 9, gang: 4, urgent: 9},
		"all starts are urgent":           {max: 6, urgent: 6, limited: true},
		"the rest is left to urgent work": {max: 11, urgent: 9, limited: true},
		"a gang exceeds the bound":        {max: 13, gang: 4, urgent: 9, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			demands := []*Demand{demand(bulk), demand(gang), demand(urgent)}
			demands[0].Priority, demands[1].Priority = 2, 1
			demands[2].Urgent, demands[2].Priority = true, 0
			s := snapshot(4, demands...)
			s.MaxStarts, s.Policy.UrgentStarts = c.max, 3
			p := MakePlan(s)
			for step, want := range map[*workload.StepRun]int{bulk: c.bulk, gang: c.gang, urgent: c.urgent} {
				if got := len(started(p, step)); got != want {
					t.Errorf("%d tasks of %s start, want %d", got, step.Name(), want)
				}
			}
			if p.Limited != c.limited {
				t.Errorf("the plan is limited: %v, want %v", p.Limited, c.limited)
			}
		})
	}
}
