package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"pgregory.net/rapid"
)

// blockers make demands that can't start on hosts with a free core each, by the reason.
var blockers = map[string]func(i int) *Demand{
	"no host has the label": func(i int) *Demand {
		return numbered(i, workload.Step{Count: 1, Size: cores(1), RequiredLabel: "none has it"})
	},
	"larger than any host": func(i int) *Demand {
		return numbered(i, workload.Step{Count: 1 + i%3, Size: resource.Vector{MilliCores: 20_000 + int64(i), MemoryMB: 100_000 - int64(i)}})
	},
	"the hosts are busy": func(i int) *Demand {
		return numbered(i, workload.Step{Count: 2, Size: resource.Vector{MilliCores: 2000 + int64(i), MemoryMB: 60_000 - int64(i)}})
	},
	"no host is of the pool": func(i int) *Demand {
		d := numbered(i, workload.Step{Count: 1, Size: cores(1)})
		d.Pool = "empty"
		return d
	},
	"no host may run it": func(i int) *Demand {
		d := numbered(i, workload.Step{Count: 1, Size: cores(1)})
		d.Eligibility = NewEligibility()
		return d
	},
	"its permits have expired": func(i int) *Demand {
		d := numbered(i, workload.Step{Count: 1, Size: cores(1)})
		d.Eligibility = NewEligibility()
		d.Eligibility.QuestionInFlight = true
		return d
	},
	"its hosts have their share": func(i int) *Demand {
		return numbered(i, workload.Step{Count: 9, Size: cores(1), MaxPerEndpoint: 1})
	},
	"a gang that is too wide": func(i int) *Demand {
		return numbered(i, workload.Step{Count: 900 + i%9, Size: cores(1), Gang: true})
	},
	"a gang that waits for its rack": func(i int) *Demand {
		return numbered(i, workload.Step{Count: 9, Size: cores(1), Gang: true, SameRack: true})
	},
}

// numbered returns a late demand; those with lower numbers come first.
func numbered(i int, step workload.Step) *Demand {
	step.Estimate = time.Second
	d := demand(newSteps(fmt.Sprintf("%016x", i), "c", step)[0])
	d.LatestStart = now - time.Hour + time.Duration(i)
	return d
}

// TestBlockedDemandsLeaveOthersTheirTurn guards against demands that can't start, at the
// head of the order, keeping all others from being considered for good.
func TestBlockedDemandsLeaveOthersTheirTurn(t *testing.T) {
	names := make([]string, 0, len(blockers))
	for name := range blockers {
		names = append(names, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		kinds := rapid.SliceOfN(rapid.SampledFrom(names), 1, 4).Draw(t, "kinds")
		blocked := rapid.IntRange(1, 4*maxFailedSearches).Draw(t, "blocked")
		last := rapid.Bool().Draw(t, "label") // The last demand needs a label.
		var turn *Demand
		const turns = maxFailedSearches - maxFailedInOrder
		for plans := 0; ; plans++ {
			if plans > 1+(blocked+turns-1)/turns {
				t.Fatalf("not started after %d plans beside %d demands that can't start: %v", plans, blocked, kinds)
			}
			snap := snapshot(4)
			snap.LastTurn, snap.Policy.MaxReservations = turn, 0
			for _, h := range snap.Hosts {
				h.Free = cores(1)
			}
			for i := range blocked {
				d := blockers[kinds[i%len(kinds)]](i)
				if d.Step.Spec.MaxPerEndpoint > 0 {
					for _, h := range snap.Hosts {
						d.Occupied[h.Endpoint.ID] = 1
					}
				}
				if a := d.Eligibility; a != nil {
					for _, h := range snap.Hosts {
						a.SetEligible(h.Endpoint, a.QuestionInFlight)
						if a.QuestionInFlight {
							a.Permits[h.Endpoint] = Permit{Token: "t", Expires: now - time.Second}
						}
					}
				}
				snap.Demands = append(snap.Demands, d)
			}
			step := workload.Step{Count: 1, Size: cores(1)}
			if last {
				step.RequiredLabel = "k1"
			}
			able := numbered(blocked, step)
			snap.Demands = append(snap.Demands, able)
			plan := MakePlan(snap)
			if len(started(plan, able.Step)) == 1 {
				return
			}
			turn = plan.LastTurn
		}
	})
}

// TestFullHostsAreSearchedOnce checks that work of a size for which there is no room
// doesn't use up the searches of a plan, whatever its place in the order, and that
// room which is given back is found.
func TestFullHostsAreSearchedOnce(t *testing.T) {
	const waiting = 20 * maxFailedSearches
	snap := snapshot(4)
	for _, h := range snap.Hosts {
		h.Free = cores(2)
	}
	// Capacity is held for the answer to a question that has arrived. The demand
	// needs none of it any more.
	holder := numbered(1, workload.Step{Count: 1, Size: cores(2)})
	holder.Eligibility = NewEligibility()
	holder.Eligibility.HeldTasks = make(map[string]int)
	for _, h := range snap.Hosts {
		holder.Eligibility.HeldTasks[h.Endpoint.ID] = 1
		holder.Eligibility.SetEligible(h.Endpoint, false)
	}
	before := numbered(0, workload.Step{Count: 1, Size: cores(1)})
	snap.Demands = []*Demand{before, holder}
	for i := range waiting {
		snap.Demands = append(snap.Demands, numbered(2+i, workload.Step{Count: 3, Size: cores(16 + int64(i%5))}))
	}
	after := numbered(waiting+2, workload.Step{Count: 1, Size: cores(1)})
	snap.Demands = append(snap.Demands, after)
	plan := MakePlan(snap)
	if n := len(started(plan, before.Step)); n != 0 {
		t.Errorf("%d tasks take capacity that is held", n)
	}
	if n := len(started(plan, after.Step)); n != 1 {
		t.Errorf("%d tasks start behind work that doesn't fit, want 1", n)
	}
}

// TestUnrelatedWorkIsNotTakenForFull checks that a failed search says nothing about work
// that may use other hosts, or more of them.
func TestUnrelatedWorkIsNotTakenForFull(t *testing.T) {
	large := workload.Step{Count: 1, Size: cores(2)}
	for name, change := range map[string]func(first, second *Demand){
		"another label":   func(first, _ *Demand) { first.Step.Spec.RequiredLabel = "k0" },
		"another pool":    func(first, _ *Demand) { first.Pool = "other" },
		"less memory":     func(first, _ *Demand) { first.Step.Spec.Size.MemoryMB = 90_000 },
		"urgent work":     func(_, second *Demand) { second.Urgent = true },
		"known not to be": func(first, _ *Demand) { first.Eligibility = NewEligibility() },
		"its own share":   func(first, _ *Demand) { first.Step.Spec.MaxPerEndpoint, first.Occupied["e1"] = 1, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			first, second := numbered(0, large), numbered(1, large)
			change(first, second)
			snap := snapshot(2, first, second)
			snap.Hosts[0].Free = cores(1)
			if second.Urgent {
				snap.Hosts[1].Reserved = cores(15)
			}
			if first.Eligibility != nil {
				for _, h := range snap.Hosts {
					first.Eligibility.SetEligible(h.Endpoint, false)
				}
			}
			plan := MakePlan(snap)
			if n := len(started(plan, first.Step)); n != 0 {
				t.Fatalf("the first demand starts %d tasks", n)
			}
			if n := len(started(plan, second.Step)); n != 1 {
				t.Errorf("the second demand starts %d tasks, want 1", n)
			}
		})
	}
}
