package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// BenchmarkMakePlan measures a plan on 540 hosts that are nearly full, by the number of
// waiting steps, of which a tenth are gangs whose eligible hosts are known.
func BenchmarkMakePlan(b *testing.B) {
	for _, demands := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("waiting=%d", demands), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				s := busySnapshot(540, demands)
				b.StartTimer()
				MakePlan(s)
			}
		})
	}
}

// busySnapshot returns a snapshot of hosts with one free core each.
func busySnapshot(n, demands int) *Snapshot {
	s := snapshot(n)
	for _, h := range s.Hosts {
		h.Free = cores(1)
		h.Releases = []Release{{At: now + time.Second, Size: cores(8)}, {At: now + 3*time.Second, Size: cores(7)}}
	}
	for i := range demands {
		gang := i%10 == 0
		d := demand(newSteps(fmt.Sprintf("%016x", i), "c", workload.Step{Count: 3 + i%20, Size: cores(4), Gang: gang})[0])
		d.Urgent = i%10 > 5
		d.Eligibility = &Eligibility{Eligible: make(map[*fleet.Endpoint]bool), Permits: make(map[*fleet.Endpoint]Permit), EligibleShare: 0.3,
			QuestionBase: 480 * time.Millisecond, QuestionPerEndpoint: 6900 * time.Microsecond}
		for k, h := range s.Hosts {
			if gang || k < 10 {
				d.Eligibility.SetEligible(h.Endpoint, (i+k)%3 == 0)
			}
		}
		s.Demands = append(s.Demands, d)
	}
	return s
}

// BenchmarkMakePlanGangRoom measures a plan on full hosts with room for gangs off and on, by the numbers of hosts and of waiting steps.
func BenchmarkMakePlanGangRoom(b *testing.B) {
	for _, n := range []int{350, 4900} {
		for _, demands := range []int{1000, 10000} {
			for _, on := range []bool{false, true} {
				b.Run(fmt.Sprintf("hosts=%d/waiting=%d/on=%v", n, demands, on), func(b *testing.B) {
					for b.Loop() {
						b.StopTimer()
						s := overloadedSnapshot(n, demands)
						s.Policy.GangRoom = on
						b.StartTimer()
						MakePlan(s)
					}
				})
			}
		}
	}
}

// overloadedSnapshot returns a snapshot of hosts with one free core each. Of each ten waiting
// steps one is a gang, for which a hundred hosts are known, and one is urgent.
func overloadedSnapshot(n, demands int) *Snapshot {
	s := snapshot(n)
	for _, h := range s.Hosts {
		h.Free = cores(1)
		h.Releases = []Release{{At: now + time.Second, Size: cores(8)}, {At: now + 3*time.Second, Size: cores(7)}}
	}
	for i := range demands {
		d := demand(newSteps(fmt.Sprintf("%016x", i), "c", workload.Step{Count: 3 + i%20, Size: cores(4), Gang: i%10 == 0})[0])
		d.Urgent = i%10 == 1
		switch {
		case d.Urgent:
			d.Priority = 0
		case !d.Step.Spec.Gang:
			d.Priority = 2
		}
		d.Eligibility = NewEligibility()
		d.Eligibility.EligibleShare, d.Eligibility.QuestionBase, d.Eligibility.QuestionPerEndpoint = 0.3, 340*time.Millisecond, 4900*time.Microsecond
		known := 10
		if d.Step.Spec.Gang {
			known = 100
		}
		for k := range known {
			e := s.Hosts[(i*7+k*3)%n].Endpoint
			d.Eligibility.SetEligible(e, (i+k)%3 == 0)
			if (i+k)%3 == 0 {
				d.Eligibility.Permits[e] = Permit{Token: "t", Expires: now + time.Second}
			}
		}
		if i%4 == 3 {
			// A queue without the service.
			d.Eligibility = nil
		}
		s.Demands = append(s.Demands, d)
	}
	return s
}

// BenchmarkPlanWithStarvingWork measures a plan on 350 hosts that are full of runs that can
// wait, by the number of urgent steps without room, of which every second one knows where it
// may run. All of the others are asked about.
func BenchmarkPlanWithStarvingWork(b *testing.B) {
	for _, starving := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("starving=%d", starving), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				s := snapshot(350)
				fill(s, now+time.Minute, 2)
				for i := range starving {
					d := urgentDemand(fmt.Sprintf("%016x", i), 3)
					d.Eligibility = NewEligibility()
					d.Eligibility.EligibleShare = 0.3
					for k, h := range s.Hosts {
						if i%2 == 0 {
							d.Eligibility.SetEligible(h.Endpoint, (i+k)%3 == 0)
						}
					}
					s.Demands = append(s.Demands, d)
				}
				s.PreemptionBudget = 1000
				b.StartTimer()
				MakePlan(s)
			}
		})
	}
}
