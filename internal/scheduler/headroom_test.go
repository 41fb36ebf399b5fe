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

// TestBoundsOfWaits guards against room that is kept from work for longer than its bound, or
// given to it before: what of 32 cores it gets beside 24 that are kept for urgent work, and
// beside a gang's reservation.
func TestBoundsOfWaits(t *testing.T) {
	short := workload.Step{Count: 6, Size: cores(4)}
	lasting, gang := short, short
	lasting.LongRunning, gang.Gang = true, true
	for name, c := range map[string]struct {
		step     workload.Step
		idle     time.Duration
		atWork   bool
		used     int64
		reserved bool
		want     int
	}{
		"tasks that last, at once":         {step: lasting, idle: maxLastingWait - 1, want: 2},
		"tasks that last, then":            {step: lasting, idle: maxLastingWait, want: 6},
		"tasks that last, others reserved": {step: lasting, idle: maxLastingWait, reserved: true, want: 6},
		"an idle pool, at once":            {step: short, idle: maxIdleWait - 1, want: 2},
		"an idle pool, then":               {step: short, idle: maxIdleWait, want: 2},
		"a reserved pool, at once":         {step: short, idle: maxIdleWait - 1, reserved: true, want: 0},
		"a reserved pool, then":            {step: short, idle: maxIdleWait, reserved: true, want: 1},
		"a gang in an idle pool, at once":  {step: gang, idle: maxIdleWait - 1, want: 0},
		"a gang in an idle pool, then":     {step: gang, idle: maxIdleWait, want: 6},
		"a full pool, before":              {step: short, idle: maxHeadroomWait - 1, used: 10, want: 0},
		"a full pool, then":                {step: short, idle: maxHeadroomWait, used: 10, want: 1},
		"a full pool, reserved":            {step: short, idle: maxHeadroomWait, used: 10, reserved: true, want: 0},
		"others at work":                   {step: short, idle: time.Hour, atWork: true, used: 10, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			step := newSteps("a", "c", c.step)[0]
			d := demand(step)
			d.Idle, d.IdleSince = !c.atWork, now-c.idle
			s := snapshot(2, d)
			for _, h := range s.Hosts {
				h.Free = h.Free.Sub(cores(c.used))
				if c.reserved {
					h.Reserved = h.Free
				}
			}
			s.Policy.Headrooms = []Headroom{{Pool: "p", Size: cores(4), Slots: 6}}
			if got := len(started(MakePlan(s), step)); got != c.want {
				t.Errorf("%d tasks start, want %d", got, c.want)
			}
		})
	}
}
