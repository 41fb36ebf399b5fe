package scheduler

import "time"

const (
	// maxYieldTime bounds how long after it became ready a gang holds back other work.
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
	if d.Eligibility == nil || len(d.Eligibility.Eligible) < len(p.Hosts) {
		return false
	}
	slots := 0
	for _, e := range d.Eligibility.Good {
		if r, usable := p.hosts[e]; usable && p.suits(d, e) {
			slots += d.idleSlots(r.host)
		}
	}
	return slots < n
}

// yields reports whether the tasks of a step wait for gangs of a better priority: they start
// only into room beyond what those need and beyond the headroom for urgent work.
func (p *planner) yields(d *Demand) bool {
	if len(p.owed) == 0 || d.Urgent || p.mustStart(d) {
		return false
	}
	headroom := p.Policy.UrgentSize.Scale(int64(p.Policy.UrgentSlots))
	return p.owed.Yields(d.Pool, d.Priority, d.Step.Spec.Charge(), p.poolFree[d.Pool], headroom)
}

// mustStart reports whether a step would miss its objective if it waited any longer.
func (p *planner) mustStart(d *Demand) bool {
	return !d.Excess && !p.late(d) && d.LatestStart <= p.Now+latestStartMargin
}
