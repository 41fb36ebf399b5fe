package fleet

import "github.com/bluebellstile/bluebellstile/internal/resource"

// reach tells what the listed endpoints of each class could run if they were idle. It is
// computed when it is asked for and kept until an endpoint changes.
type reach map[endpointClass]map[resource.Vector]int

// endpointClass selects the endpoints of a pool that have a label.
type endpointClass struct{ pool, label string }

// CouldHold reports whether the listed endpoints of a pool that have a label could run the
// given number of tasks of a size at a time if they were idle. perEndpoint bounds the tasks
// on one endpoint; 0 means no bound.
func (f *Fleet) CouldHold(pool, label string, size resource.Vector, perEndpoint, tasks int) bool {
	limit := int64(tasks)
	if perEndpoint > 0 {
		limit = min(limit, int64(perEndpoint))
	}
	held := 0
	for capacity, endpoints := range f.capacities(endpointClass{pool: pool, label: label}) {
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
		if e.Listed && !f.closedZones[e.AvailabilityZone] && e.Pool == class.pool && e.HasLabel(class.label) {
			counts[e.Capacity]++
		}
	}
	f.reach[class] = counts
	return counts
}
