package placement

import (
	"cmp"
	"slices"
	"time"
)

// endpoint is the engine's state of a worker or service runner.
type endpoint struct {
	Endpoint
	// rack is the index that endpointSet assigned to Endpoint.Rack.
	rack      int
	available bool
	free      Resources
	// inverseCapacity holds 1/capacity per dimension, 0 where the capacity is 0.
	inverseCapacity vector
	tasks           []*task
	holds           []*hold
	// health records failures and the quarantine.
	health health
	// gainedCapacity is set if capacity was freed since the last Schedule.
	gainedCapacity bool
}

// endpointSet holds all endpoints of the zone, by kind.
type endpointSet struct {
	byID    map[string]*endpoint
	workers []*endpoint
	runners []*endpoint
	racks   map[string]int
	// gainedCapacity lists the endpoints whose field of that name is set.
	gainedCapacity []*endpoint
	// total is the capacity of all endpoints, inverseTotal is 1/total per
	// dimension.
	total        Resources
	inverseTotal vector
}

func newEndpointSet() endpointSet {
	return endpointSet{byID: map[string]*endpoint{}, racks: map[string]int{}}
}

// byKind returns the endpoints that may run work of the given kind.
func (s *endpointSet) byKind(runner bool) []*endpoint {
	if runner {
		return s.runners
	}
	return s.workers
}

func (s *endpointSet) rackIndex(rack string) int {
	n, ok := s.racks[rack]
	if !ok {
		n = len(s.racks)
		s.racks[rack] = n
	}
	return n
}

func (s *endpointSet) listOfKind(runner bool) *[]*endpoint {
	if runner {
		return &s.runners
	}
	return &s.workers
}

// insert adds ep to the list of its kind.
func (s *endpointSet) insert(ep *endpoint) {
	list := s.listOfKind(ep.Runner)
	at, _ := slices.BinarySearchFunc(*list, ep, compareEndpoints)
	*list = slices.Insert(*list, at, ep)
}

// remove takes ep out of the list of its kind.
func (s *endpointSet) remove(ep *endpoint) {
	list := s.listOfKind(ep.Runner)
	if at, found := slices.BinarySearchFunc(*list, ep, compareEndpoints); found {
		*list = slices.Delete(*list, at, at+1)
	}
}

// unregister removes ep from the set.
func (s *endpointSet) unregister(ep *endpoint) {
	s.remove(ep)
	delete(s.byID, ep.ID)
	s.gainedCapacity = slices.DeleteFunc(s.gainedCapacity, func(other *endpoint) bool { return other == ep })
}

// compareEndpoints orders endpoints without accelerators first, then by id.
func compareEndpoints(a, b *endpoint) int {
	if x, y := a.Capacity.Accelerators > 0, b.Capacity.Accelerators > 0; x != y {
		if x {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.ID, b.ID)
}

// markCapacityGained makes the next Schedule reconsider blocked work that may fit
// on ep.
func (s *endpointSet) markCapacityGained(ep *endpoint) {
	if ep.gainedCapacity {
		return
	}
	ep.gainedCapacity = true
	s.gainedCapacity = append(s.gainedCapacity, ep)
}

// updateTotal recomputes the zone's capacity.
func (s *endpointSet) updateTotal() {
	s.total = Resources{}
	for _, list := range [][]*endpoint{s.workers, s.runners} {
		for _, ep := range list {
			s.total = s.total.Add(ep.Capacity)
		}
	}
	s.inverseTotal = inverse(s.total)
}

// SetEndpoint implements Engine. An endpoint that changes between worker and
// service runner is removed and added again.
func (e *engine) SetEndpoint(spec Endpoint) {
	ep, known := e.endpoints.byID[spec.ID]
	if known && ep.Runner != spec.Runner {
		e.RemoveEndpoint(spec.ID)
		known = false
	}
	if known {
		e.endpoints.remove(ep)
	} else {
		ep = &endpoint{available: true}
		e.endpoints.byID[spec.ID] = ep
		defer e.attachOrphans(ep)
	}
	ep.free = ep.free.Add(spec.Capacity).Sub(ep.Capacity)
	ep.Endpoint = spec
	ep.rack = e.endpoints.rackIndex(spec.Rack)
	ep.inverseCapacity = inverse(spec.Capacity)
	e.endpoints.insert(ep)
	e.endpoints.markCapacityGained(ep)
	e.capacityChanged()
}

func (e *engine) capacityChanged() {
	e.endpoints.updateTotal()
	for _, t := range e.teamList {
		e.updateShareKey(t)
	}
}

// SetAvailable implements Engine.
func (e *engine) SetAvailable(id string, available bool) {
	ep, ok := e.endpoints.byID[id]
	if !ok {
		return
	}
	ep.available = available
	if available {
		e.endpoints.markCapacityGained(ep)
	}
}

// RemoveEndpoint implements Engine. Tasks that still run there stay counted
// against their teams and are charged to the endpoint again if it is added
// back.
func (e *engine) RemoveEndpoint(id string) {
	ep, ok := e.endpoints.byID[id]
	if !ok {
		return
	}
	for _, h := range slices.Clone(ep.holds) {
		e.releaseHolds(h.owner)
	}
	for _, tk := range ep.tasks {
		tk.ep = nil
		e.orphans[id] = append(e.orphans[id], tk)
	}
	ep.tasks = nil
	e.endpoints.unregister(ep)
	e.capacityChanged()
}

// attachOrphans charges ep for the running tasks that were recorded while it
// was not known.
func (e *engine) attachOrphans(ep *endpoint) {
	for _, tk := range e.orphans[ep.ID] {
		ep.attach(tk)
	}
	delete(e.orphans, ep.ID)
}

func (ep *endpoint) attach(tk *task) {
	tk.ep = ep
	tk.index = len(ep.tasks)
	ep.tasks = append(ep.tasks, tk)
	ep.free = ep.free.Sub(tk.charged)
}

func (ep *endpoint) detach(tk *task) {
	last := len(ep.tasks) - 1
	moved := ep.tasks[last]
	ep.tasks[tk.index] = moved
	moved.index = tk.index
	ep.tasks[last] = nil
	ep.tasks = ep.tasks[:last]
	ep.free = ep.free.Add(tk.charged)
	tk.ep = nil
}

// schedulable reports whether the endpoint may take new tasks at all.
func (ep *endpoint) schedulable(now time.Duration) bool {
	return ep.available && ep.health.admits(now)
}
