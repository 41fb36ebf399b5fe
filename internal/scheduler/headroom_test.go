package scheduler

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestHeadroomIsKeptWhereUrgentWorkComes guards against room that is kept where it is of no
// use to urgent work: in another pool, on endpoints without the label, on cold ones.
func TestHeadroomIsKeptWhereUrgentWorkComes(t *testing.T) {
	for name, c := range map[string]struct {
		headroom Headroom
		change   func(*Snapshot)
		want     int
	}{
		"its pool":               {Headroom{Pool: "p", Size: cores(4), Slots: 3}, func(*Snapshot) {}, 5},
		"another pool":           {Headroom{Pool: "other", Size: cores(4), Slots: 3}, func(*Snapshot) {}, 8},
		"endpoints with a label": {Headroom{Pool: "p", Label: "k1", Size: cores(4), Slots: 3}, func(*Snapshot) {}, 5},
		"more than they hold":    {Headroom{Pool: "p", Label: "k1", Size: cores(4), Slots: 9}, func(*Snapshot) {}, 4},
		"no endpoint has it":     {Headroom{Pool: "p", Label: "k7", Size: cores(4), Slots: 3}, func(*Snapshot) {}, 8},
		"a cold endpoint": {Headroom{Pool: "p", Size: cores(4), Slots: 3}, func(s *Snapshot) {
			s.Hosts[0].Endpoint.ObserveCold(s.Now, time.Minute)
		}, 5},
		"all are cold": {Headroom{Pool: "p", Size: cores(4), Slots: 3}, func(s *Snapshot) {
			for _, h := range s.Hosts {
				h.Endpoint.ObserveCold(s.Now, time.Minute)
			}
		}, 8},
	} {
		t.Run(name, func(t *testing.T) {
			step := newSteps("a", "c", workload.Step{Count: 9, Size: cores(4)})[0]
			s := snapshot(2, demand(step))
			c.change(s)
			s.Policy.Headrooms = []Headroom{c.headroom}
			if got := len(started(MakePlan(s), step)); got != c.want {
				t.Errorf("%d tasks start on two endpoints with room for 4 each, want %d", got, c.want)
			}
		})
	}
}

// TestHeadroomsOverlap has urgent work that needs a label and urgent work that doesn't: room
// for both is kept where both come.
func TestHeadroomsOverlap(t *testing.T) {
	step := newSteps("a", "c", workload.Step{Count: 9, Size: cores(4)})[0]
	s := snapshot(2, demand(step))
	s.Policy.Headrooms = []Headroom{{Pool: "p", Size: cores(4), Slots: 3}, {Pool: "p", Label: "k1", Size: cores(8), Slots: 2}}
	plan := MakePlan(s)
	used := make(map[*fleet.Endpoint]int)
	for _, start := range plan.Starts {
		used[start.Endpoint]++
	}
	if used[s.Hosts[1].Endpoint] > 0 {
		t.Errorf("%d tasks start on the endpoint of which all is kept", used[s.Hosts[1].Endpoint])
	}
	if n := len(started(plan, step)); n != 4 {
		t.Errorf("%d tasks start, want the 4 that the other endpoint has room for", n)
	}
}
