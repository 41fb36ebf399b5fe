package placement

import "math"

// maxScoredEndpoints is the number of suitable endpoints that are compared for a
// task, those without accelerators first. Ending the search there also leaves
// later endpoints empty for large work. For spread work and for work on service
// runners all endpoints are compared.
const maxScoredEndpoints = 16

// scorer is the extension point that ranks the endpoints that pass all filters.
// The endpoint with the largest weighted sum is chosen, the first of the list
// if several are equal. Scorers that are not relevant for a candidate are
// skipped.
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
		{avoidFailing{}, 2},
	}
}

// bestFit prefers the endpoint that is left with the least free capacity, summed
// over the dimensions as fractions of its capacity. This avoids fragmentation
// and leaves large blocks free. Service runners are filled evenly instead,
// because slots do not fragment.
type bestFit struct{}

func (bestFit) relevant(*engine, *candidate) bool { return true }

func (bestFit) score(c *candidate, ep *endpoint) float64 {
	if ep.Runner {
		return float64(ep.free.Slots) * ep.inverseCapacity[3]
	}
	return -float64(ep.free.MilliCores-c.size.MilliCores)*ep.inverseCapacity[0] -
		float64(ep.free.MemoryMB-c.size.MemoryMB)*ep.inverseCapacity[1] -
		float64(ep.free.Accelerators-c.size.Accelerators)*ep.inverseCapacity[2]
}

// balance prefers the endpoint whose remaining free cores and free memory, as
// fractions of its capacity, differ the least: free cores without memory, or
// memory without cores, can't be used.
type balance struct{}

func (balance) relevant(_ *engine, c *candidate) bool { return !c.item.Runner }

func (balance) score(c *candidate, ep *endpoint) float64 {
	cores := float64(ep.free.MilliCores-c.size.MilliCores) * ep.inverseCapacity[0]
	memory := float64(ep.free.MemoryMB-c.size.MemoryMB) * ep.inverseCapacity[1]
	return -max(cores-memory, memory-cores)
}

// keepAccelerators keeps tasks that need no accelerator away from endpoints
// with accelerators. The penalty grows with the number of free accelerators.
type keepAccelerators struct{}

func (keepAccelerators) relevant(e *engine, c *candidate) bool {
	return c.size.Accelerators == 0 && e.endpoints.total.Accelerators > 0
}

func (keepAccelerators) score(_ *candidate, ep *endpoint) float64 {
	if ep.Capacity.Accelerators == 0 {
		return 0
	}
	return -0.5 - 0.5*float64(ep.free.Accelerators)*ep.inverseCapacity[2]
}

// spreadRacks prefers racks that run few tasks of the same work.
type spreadRacks struct{}

func (spreadRacks) relevant(_ *engine, c *candidate) bool { return c.racks != nil }

func (spreadRacks) score(c *candidate, ep *endpoint) float64 {
	return -float64(c.racks[ep.rack])
}

// avoidFailing prefers endpoints without recent failures. This also spreads the
// failures of a broken job over many endpoints.
type avoidFailing struct{}

func (avoidFailing) relevant(e *engine, _ *candidate) bool { return e.suspicionCountdown > 0 }

func (avoidFailing) score(_ *candidate, ep *endpoint) float64 { return -ep.health.suspicion }

// bestEndpoint returns the endpoint with the highest score for one task, or nil
// if no endpoint passes the filters.
func (e *engine) bestEndpoint(c *candidate) *endpoint {
	e.selectPlugins(c)
	var best *endpoint
	bestScore := 0.0
	left := maxScoredEndpoints
	if c.racks != nil || c.item.Runner {
		left = math.MaxInt
	}
	for _, ep := range e.endpoints.byKind(c.item.Runner) {
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

// selectPlugins selects the filters and scorers that are relevant for c.
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
