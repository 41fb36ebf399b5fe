package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// maxYieldTime bounds how long after it became ready a gang holds back other work.
const maxYieldTime = 12 * time.Second

// latestStartMargin is the time before its latest start from which a step no longer waits
// for gangs: they hold it back, but not so long that it misses its objective for them.
const latestStartMargin = time.Second

type owedKey struct {
	pool     string
	priority int
}

// noteOwed records what a gang without room needs.
func (p *planner) noteOwed(d *Demand, n int) {
	if !p.Policy.GangRoom || d.Urgent || d.Excess || p.late(d) || p.Now-d.ReadyAt > maxYieldTime {
		return
	}
	key := owedKey{d.Pool, d.Priority}
	p.owed[key] = p.owed[key].Add(d.Step.Spec.Charge().Scale(int64(n)))
}

// yields reports whether a step that starts task by task waits for gangs of a better
// priority.
func (p *planner) yields(d *Demand) bool {
	if !p.Policy.GangRoom || d.Urgent || d.Step.Spec.Gang || d.LatestStart <= p.Now+latestStartMargin && !p.late(d) && !d.Excess {
		return false
	}
	owed := resource.Vector{}
	for key, size := range p.owed {
		if key.pool == d.Pool && key.priority < d.Priority {
			owed = owed.Add(size)
		}
	}
	if owed == (resource.Vector{}) {
		return false
	}
	left := p.poolFree[d.Pool].Sub(p.Policy.UrgentSize.Scale(int64(p.Policy.UrgentSlots))).Sub(d.Step.Spec.Charge())
	return owed.MilliCores > left.MilliCores || owed.MemoryMB > left.MemoryMB || owed.Accelerators > left.Accelerators
}
