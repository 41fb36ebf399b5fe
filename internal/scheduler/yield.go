package scheduler

import "time"

const (
	// maxYieldTime bounds how long after it became ready a gang holds back other work, and
	// how long after its latest start a step still waits for gangs: they may keep coming.
	maxYieldTime = 12 * time.Second
	// latestStartMargin is the time before its latest start from which a step no longer
	// waits for gangs: they hold it back, but not so long that it misses its objective for
	// them.
	latestStartMargin = time.Second
)

// noteOwed records what a gang without room needs, if it can still meet its objective.
func (p *planner) noteOwed(d *Demand, n int) {
	if !p.Policy.GangRoom || d.Urgent || d.Excess || p.late(d) || p.Now-d.ReadyAt > maxYieldTime || p.isHopeless(d, n) {
		return
	}
	p.owed.Add(d.Pool, d.Priority, d.Step.Spec.Charge().Scale(int64(n)))
}

// isHopeless reports whether the endpoints that may run a gang, all of which are known,
// could not run it even if they were idle. Such a gang holds nothing back.
func (p *planner) isHopeless(d *Demand, n int) bool {
	if d.Eligibility == nil {
		return false
	}
	slots := 0
	for _, h := range p.Hosts {
		if !p.suits(d, h.Endpoint) {
			continue
		}
		good, known := d.Eligibility.Eligible[h.Endpoint]
		if !known {
			return false
		}
		if good {
			slots += d.idleSlots(h)
		}
	}
	return slots < n
}

// yields reports whether the tasks of a step wait for gangs of a better priority: they start
// only into room beyond what those need and beyond the headroom for urgent work. Tasks that
// last don't wait, as they have no end by which to start.
func (p *planner) yields(d *Demand) bool {
	if len(p.owed) == 0 || d.Step.Spec.LongRunning || p.mayUseAll(d) || p.mustStart(d) {
		return false
	}
	return p.owed.Yields(d.Pool, d.Priority, d.Step.Spec.Charge(), d.pool.free, p.headroomOf(d.Pool))
}

// noteYielding records that a step waits for gangs of a better priority.
func (p *planner) noteYielding(d *Demand) {
	p.plan.Blocked++
	p.plan.Yielding = append(p.plan.Yielding, d)
}

// mustStart reports whether a step would miss its objective if it waited any longer, or has
// waited for long since it missed it.
func (p *planner) mustStart(d *Demand) bool {
	if p.Now > d.LatestStart+maxYieldTime {
		return true
	}
	return !d.Excess && !p.late(d) && d.LatestStart <= p.Now+latestStartMargin
}
