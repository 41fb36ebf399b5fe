package scheduler

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// gangDemand returns a demand for a gang of n tasks of 4 cores whose queue has an
// eligibility service like the users': 480 ms and 6.9 ms for each endpoint named.
func gangDemand(n int) *Demand {
	d := demand(newSteps("a", "c", workload.Step{Count: n, Size: cores(4), Gang: true, MaxPerEndpoint: 1})[0])
	d.Eligibility = &Eligibility{
		Eligible: make(map[*fleet.Endpoint]bool), Permits: make(map[*fleet.Endpoint]Permit), EligibleShare: 0.3,
		QuestionBase: 480 * time.Millisecond, QuestionPerEndpoint: 6900 * time.Microsecond,
	}
	return d
}

// TestGangQuestions requires that a gang is asked about on enough hosts at once, without
// taking more than a quarter of the questions that the plan may ask, in questions that take
// no longer than half more than their fixed time; where questions are scarce, in one.
func TestGangQuestions(t *testing.T) {
	for name, c := range map[string]struct{ tasks, hosts, questions, wantQuestions, wantEndpoints int }{
		"a small gang is asked about once":       {3, 540, 96, 2, 40},
		"a large gang in one round":              {40, 540, 96, 16, 534},
		"most of the questions are left":         {40, 540, 16, 4, 136},
		"the only question":                      {40, 540, 1, 1, 100},
		"all of a small fleet, few questions":    {20, 48, 7, 1, 48},
		"no question is left":                    {20, 48, 0, 0, 0},
		"a gang that needs more than one call's": {200, 540, 200, 16, 540},
	} {
		t.Run(name, func(t *testing.T) {
			d := gangDemand(c.tasks)
			s := snapshot(c.hosts, d)
			s.Questions = c.questions
			plan := MakePlan(s)
			seen := make(map[*fleet.Endpoint]bool)
			for _, q := range plan.Questions {
				if took := d.Eligibility.QuestionBase + time.Duration(len(q.Endpoints))*d.Eligibility.QuestionPerEndpoint; c.questions >= 8 && took > 720*time.Millisecond {
					t.Errorf("a question takes %v", took)
				}
				for _, e := range q.Endpoints {
					if seen[e] {
						t.Errorf("%s is asked about twice", e.ID)
					}
					seen[e] = true
				}
			}
			if len(plan.Questions) != c.wantQuestions || len(seen) != c.wantEndpoints {
				t.Errorf("%d questions about %d endpoints, want %d about %d", len(plan.Questions), len(seen), c.wantQuestions, c.wantEndpoints)
			}
		})
	}
}

// TestGangsLeaveQuestionsToOtherSteps requires that many gangs that wait at once, as after a
// restart, leave questions to a step of lower priority whose tasks start one by one.
func TestGangsLeaveQuestionsToOtherSteps(t *testing.T) {
	s := snapshot(540)
	s.Questions, s.QuestionsInAll = 96, 96
	for range 30 {
		s.Demands = append(s.Demands, gangDemand(40))
	}
	other := gangDemand(10)
	other.Step = newSteps("b", "c", workload.Step{Count: 10, Size: cores(4)})[0]
	other.Priority = 2
	s.Demands = append(s.Demands, other)
	byGangs, asked := 0, false
	for _, q := range MakePlan(s).Questions {
		if q.Demand == other {
			asked = true
		} else {
			byGangs++
		}
	}
	if !asked || byGangs < 60 || byGangs > 84 {
		t.Errorf("gangs ask %d of 96 questions, the other step asks: %t", byGangs, asked)
	}
}

// TestGangAsksAboutHostsWithCapacityFirst fills the first hosts: a gang asks about the ones
// on which it could start.
func TestGangAsksAboutHostsWithCapacityFirst(t *testing.T) {
	d := gangDemand(2)
	s := snapshot(100, d)
	s.Questions = 16
	for _, h := range s.Hosts[:60] {
		h.Free = cores(1)
	}
	for _, q := range MakePlan(s).Questions {
		for _, e := range q.Endpoints {
			for _, full := range s.Hosts[:60] {
				if e == full.Endpoint {
					t.Fatalf("%s is full and is asked about before hosts with capacity", e.ID)
				}
			}
		}
	}
}

// TestPermitsOfWideGangsAreRenewed places a gang on more hosts than one question may name.
func TestPermitsOfWideGangsAreRenewed(t *testing.T) {
	d := gangDemand(120)
	s := snapshot(130, d)
	s.Questions = 10
	for _, h := range s.Hosts {
		d.Eligibility.SetEligible(h.Endpoint, true)
	}
	asked := 0
	for _, q := range MakePlan(s).Questions {
		asked += len(q.Endpoints)
	}
	if asked != 120 {
		t.Errorf("%d of 120 permits are asked for", asked)
	}
}
