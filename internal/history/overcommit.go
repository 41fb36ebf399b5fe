package history

import "fmt"

// resources is a size or a capacity in each dimension.
type resources struct{ cores, memory, accelerators, slots int64 }

func resourcesOf(e Event) resources {
	return resources{e.MilliCores, e.MemoryMB, e.Accelerators, e.Slots}
}

func (r resources) plus(o resources, sign int64) resources {
	return resources{
		cores:        r.cores + sign*o.cores,
		memory:       r.memory + sign*o.memory,
		accelerators: r.accelerators + sign*o.accelerators,
		slots:        r.slots + sign*o.slots,
	}
}

func (r resources) within(limit resources) bool {
	return r.cores <= limit.cores && r.memory <= limit.memory &&
		r.accelerators <= limit.accelerators && r.slots <= limit.slots
}

// endpointIncarnation identifies one incarnation of an endpoint.
type endpointIncarnation struct{ endpoint, incarnation string }

// NotOvercommitted checks that the tasks that run on an endpoint never need more
// than the capacity that it announced when it came up:
// sum(size of tasks started and not ended) <= capacity, in each dimension.
func NotOvercommitted(events []Event, _ Options) []Violation {
	capacity := map[endpointIncarnation]resources{}
	for _, e := range events {
		if e.Kind == EndpointUp {
			capacity[endpointIncarnation{e.Endpoint, e.Incarnation}] = resourcesOf(e)
		}
	}
	used := map[endpointIncarnation]resources{}
	var found []Violation
	for _, c := range changes(spans(events)) {
		id := endpointIncarnation{c.span.start.Endpoint, c.span.start.Incarnation}
		size := resourcesOf(c.span.start)
		if !c.begin {
			used[id] = used[id].plus(size, -1)
			continue
		}
		used[id] = used[id].plus(size, 1)
		limit, known := capacity[id]
		if known && used[id].within(limit) {
			continue
		}
		found = append(found, Violation{
			Promise: PromiseOvercommit,
			Detail:  fmt.Sprintf("endpoint %s: %+v of %+v in use (capacity recorded: %t)", id.endpoint, used[id], limit, known),
			Events:  []Event{c.span.start},
		})
	}
	return found
}
