package placement

import "math"

// maxScored is the number of endpoints with room that are compared for a task,
// those without accelerators first; the search then ends, which also leaves the
// endpoints after them empty for large work. Spread work and service runners are compared with all.
const maxScored = 16

// scorer is the extension point that ranks the endpoints left by the filters;
// the largest weighted sum wins, the first endpoint of the list among equals.
// Scorers that are not relevant to the candidate are left out.
type scorer interface {
	relevant(e *engine, c *candidate) bool
	score(c *candidate, ep *endpoint) float64
}

type weightedScorer struct {
	scorer
	weight float64
}

func defaultScorers() []weightedScorer {
	return []weightedScorer{
		{bestFit{}, 1},
		{balance{}, 0.5},
		{keepAccelerators{}, 8},
		{spreadRacks{}, 10},
		{avoidSuspects{}, 2},
	}
}

// bestFit prefers the endpoint that is left with the least free room, summed
// over its dimensions as parts of its capacity, so that large rooms stay whole.
// Service runners are filled evenly instead, because slots don't fragment.
type bestFit struct{}

func (bestFit) relevant(*engine, *candidate) bool { return true }

func (bestFit) score(c *candidate, ep *endpoint) float64 {
	if ep.Runner {
		return float64(ep.free.Slots) * ep.scale[3]
	}
	return -float64(ep.free.MilliCores-c.size.MilliCores)*ep.scale[0] -
		float64(ep.free.MemoryMB-c.size.MemoryMB)*ep.scale[1] -
		float64(ep.free.Accelerators-c.size.Accelerators)*ep.scale[2]
}

// balance prefers the endpoint whose free cores and free memory are left most
// alike, as parts of its capacity: room in one alone is of no use.
type balance struct{}

func (balance) relevant(_ *engine, c *candidate) bool { return !c.item.Runner }

func (balance) score(c *candidate, ep *endpoint) float64 {
	cores := float64(ep.free.MilliCores-c.size.MilliCores) * ep.scale[0]
	memory := float64(ep.free.MemoryMB-c.size.MemoryMB) * ep.scale[1]
	return -max(cores-memory, memory-cores)
}

// keepAccelerators keeps tasks without need of one from endpoints with
// accelerators, the more so the more of those are free.
type keepAccelerators struct{}

func (keepAccelerators) relevant(e *engine, c *candidate) bool {
	return c.size.Accelerators == 0 && e.fleet.total.Accelerators > 0
}

func (keepAccelerators) score(_ *candidate, ep *endpoint) float64 {
	if ep.Capacity.Accelerators == 0 {
		return 0
	}
	return -0.5 - 0.5*float64(ep.free.Accelerators)*ep.scale[2]
}

// spreadRacks prefers racks with few tasks of the same work.
type spreadRacks struct{}

func (spreadRacks) relevant(_ *engine, c *candidate) bool { return c.racks != nil }

func (spreadRacks) score(c *candidate, ep *endpoint) float64 {
	return -float64(c.racks[ep.rack])
}

// avoidSuspects prefers endpoints without recent failures, which also spreads
// a broken job's failures over many endpoints.
type avoidSuspects struct{}

func (avoidSuspects) relevant(e *engine, _ *candidate) bool { return e.suspects > 0 }

func (avoidSuspects) score(_ *candidate, ep *endpoint) float64 { return -ep.health.suspicion }

// bestEndpoint returns the best endpoint for one task, nil if none admits it.
func (e *engine) bestEndpoint(c *candidate) *endpoint {
	e.selectPlugins(c)
	var best *endpoint
	bestScore := 0.0
	left := maxScored
	if c.racks != nil || c.item.Runner {
		left = math.MaxInt
	}
	for _, ep := range e.fleet.kind(c.item.Runner) {
		if !e.admits(c, ep) {
			continue
		}
		if left--; left < 0 {
			break
		}
		if score := e.score(c, ep); best == nil || score > bestScore {
			best, bestScore = ep, score
		}
	}
	return best
}

// selectPlugins leaves out the filters and scorers that can't matter to c.
func (e *engine) selectPlugins(c *candidate) {
	e.scratch.filters = e.scratch.filters[:0]
	for _, f := range e.filters {
		if f.relevant(e, c) {
			e.scratch.filters = append(e.scratch.filters, f)
		}
	}
	e.scratch.scorers = e.scratch.scorers[:0]
	for _, s := range e.scorers {
		if s.relevant(e, c) {
			e.scratch.scorers = append(e.scratch.scorers, s)
		}
	}
}

func (e *engine) admits(c *candidate, ep *endpoint) bool {
	for _, f := range e.scratch.filters {
		if !f.admit(c, ep) {
			return false
		}
	}
	return true
}

func (e *engine) score(c *candidate, ep *endpoint) float64 {
	total := 0.0
	for _, s := range e.scratch.scorers {
		total += s.weight * s.score(c, ep)
	}
	return total
}
