package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

const (
	// maxYieldTime bounds how long after it became ready a gang holds back other work.
	maxYieldTime = 12 * time.Second
	// latestStartMargin is the time before its latest start from which a step no longer
	// waits for gangs: they hold it back, but not so long that it misses its objective for
	// them.
	latestStartMargin = time.Second
)

// owedKey selects the gangs of a pool and a priority.
type owedKey struct {
	pool     string
	priority int
}

// noteOwed records what a gang without room needs, if it can still meet its objective.
func (p *planner) noteOwed(d *Demand, n int) {
	if !p.Policy.GangRoom || d.Urgent || d.Excess || p.late(d) || p.Now-d.ReadyAt > maxYieldTime {
		return
	}
	key := owedKey{pool: d.Pool, priority: d.Priority}
	p.owed[key] = p.owed[key].Add(d.Step.Spec.Charge().Scale(int64(n)))
}

// yields reports whether a task of a step waits for gangs of a better priority: it starts
// only into room beyond what they need and beyond the headroom for urgent work. It answers
// gangs that compete with single tasks on full endpoints: single tasks know earlier where
// they may run, and take each gap as it appears.
func (p *planner) yields(d *Demand) bool {
	if len(p.owed) == 0 || d.Urgent || p.mustStart(d) {
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
	headroom := p.Policy.UrgentSize.Scale(int64(p.Policy.UrgentSlots))
	beside := p.poolFree[d.Pool].Sub(headroom).Sub(owed)
	return d.Step.Spec.Charge().Copies(beside, 1) == 0
}

// mustStart reports whether a step would miss its objective if it waited any longer.
func (p *planner) mustStart(d *Demand) bool {
	return !d.Excess && !p.late(d) && d.LatestStart <= p.Now+latestStartMargin
}
