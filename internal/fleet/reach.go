package fleet

import "github.com/bluebellstile/bluebellstile/internal/resource"

// reach tells what the listed endpoints of each class could run if they were idle. It is
// computed when it is asked for and kept until an endpoint changes.
type reach map[endpointClass]map[resource.Vector]int

// endpointClass selects the endpoints of a pool that have a label, with or without those in
// closed zones.
type endpointClass struct {
	pool, label string
	closed      bool
}

// CouldHold reports whether the listed endpoints of a pool that have a label could run the
// given number of tasks of a size at a time if they were idle. perEndpoint bounds the tasks
// on one endpoint; 0 means no bound. Endpoints in closed zones count for nothing.
func (f *Fleet) CouldHold(pool, label string, size resource.Vector, perEndpoint, tasks int) bool {
	return f.couldHold(endpointClass{pool: pool, label: label}, size, perEndpoint, tasks)
}

// CouldHoldOnceOpen reports the same for the time at which no zone is closed.
func (f *Fleet) CouldHoldOnceOpen(pool, label string, size resource.Vector, perEndpoint, tasks int) bool {
	return f.couldHold(endpointClass{pool: pool, label: label, closed: true}, size, perEndpoint, tasks)
}

func (f *Fleet) couldHold(class endpointClass, size resource.Vector, perEndpoint, tasks int) bool {
	limit := int64(tasks)
	if perEndpoint > 0 {
		limit = min(limit, int64(perEndpoint))
	}
	held := 0
	for capacity, endpoints := range f.capacities(class) {
		held += endpoints * int(size.Copies(capacity, limit))
		if held >= tasks {
			return true
		}
	}
	return false
}

// capacities returns how many endpoints of a class have each capacity.
func (f *Fleet) capacities(class endpointClass) map[resource.Vector]int {
	if f.reach == nil {
		f.reach = make(reach)
	}
	counts, known := f.reach[class]
	if known {
		return counts
	}
	counts = make(map[resource.Vector]int)
	for _, e := range f.ordered {
		if e.Listed && (class.closed || !f.closedZones[e.AvailabilityZone]) && e.Pool == class.pool && e.HasLabel(class.label) {
			counts[e.Capacity]++
		}
	}
	f.reach[class] = counts
	return counts
}
