package scheduler

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestHotCustomerWaitsBehindSmallOnes has a customer over its share ask for all of the
// endpoints: others of the same priority go first, and its urgent work goes before theirs.
func TestHotCustomerWaitsBehindSmallOnes(t *testing.T) {
	step := func(id string, priority int, start time.Duration, over bool) *Demand {
		d := demand(newSteps(id, "c", workload.Step{Count: 4, Size: cores(4)})[0])
		d.Priority, d.Urgent, d.LatestStart, d.OverShare = priority, priority == 0, now+start, over
		return d
	}
	hot, small, hotUrgent := step("a", 1, time.Second, true), step("b", 1, time.Minute, false), step("c", 0, time.Minute, true)
	for name, c := range map[string]struct {
		demands []*Demand
		want    *Demand
	}{
		"of the same priority":       {[]*Demand{hot, small}, small},
		"of a better priority":       {[]*Demand{small, hotUrgent}, hotUrgent},
		"nobody else needs the rest": {[]*Demand{hot}, hot},
	} {
		t.Run(name, func(t *testing.T) {
			p := MakePlan(snapshot(1, c.demands...))
			if len(p.Starts) != 4 || p.Starts[0].Demand != c.want {
				t.Errorf("%d tasks start, the first of %s, want those of %s", len(p.Starts), p.Starts[0].Demand.Step.Name(), c.want.Step.Name())
			}
		})
	}
}
