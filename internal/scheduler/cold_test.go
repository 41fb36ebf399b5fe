package scheduler

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestColdHostsComeLast lets half of the hosts come back cold while work of each kind
// waits: what is urgent or would miss its objective goes to the others as long as they
// have room, and what can wait may use all of them.
func TestColdHostsComeLast(t *testing.T) {
	for name, c := range map[string]struct {
		urgent      bool
		latestStart time.Duration
		tasks       int
		cold        bool
	}{
		"urgent":               {urgent: true, latestStart: now + time.Minute, tasks: 2},
		"urgent without room":  {urgent: true, latestStart: now + time.Minute, tasks: 3, cold: true},
		"no slack":             {latestStart: now + 500*time.Millisecond, tasks: 2},
		"already late":         {latestStart: now - time.Second, tasks: 2},
		"slack":                {latestStart: now + time.Minute, tasks: 2, cold: true},
		"no slack and no room": {latestStart: now, tasks: 3, cold: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSteps("a", "c", workload.Step{Count: c.tasks, Size: cores(16)})[0]
			d := demand(s)
			d.Urgent, d.LatestStart, d.Duration = c.urgent, c.latestStart, time.Second
			snap := snapshot(4, d)
			for _, h := range snap.Hosts[:2] {
				h.Endpoint.ObserveCold(now, 10*time.Second)
			}
			at := started(MakePlan(snap), s)
			if len(at) != c.tasks {
				t.Fatalf("%d tasks start, want %d", len(at), c.tasks)
			}
			cold := false
			for _, id := range at {
				cold = cold || id == "e0" || id == "e1"
			}
			if cold != c.cold {
				t.Errorf("tasks start on %v, of which e0 and e1 are cold", at)
			}
		})
	}
}
