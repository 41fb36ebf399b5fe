package placement

import (
	"cmp"
	"slices"
	"time"
)

// endpoint is what the engine knows of a worker or service runner.
type endpoint struct {
	Endpoint
	// rack is a small number for Endpoint.Rack.
	rack      int
	available bool
	free      Resources
	// scale holds 1/capacity per dimension, 0 where there is none.
	scale vector
	tasks []*task
	holds []*hold
	// health decides on quarantine.
	health health
	// grown says that room has been gained since the last Schedule.
	grown bool
}

// fleet is all endpoints of the zone, by kind.
type fleet struct {
	byID    map[string]*endpoint
	workers []*endpoint
	runners []*endpoint
	racks   map[string]int
	// grown lists the endpoints that have gained room.
	grown []*endpoint
	// total is the capacity of all endpoints; scale is its inverse.
	total Resources
	scale vector
}

func newFleet() fleet {
	return fleet{byID: map[string]*endpoint{}, racks: map[string]int{}}
}

// kind returns the endpoints that may run work of the given kind.
func (f *fleet) kind(runner bool) []*endpoint {
	if runner {
		return f.runners
	}
	return f.workers
}

func (f *fleet) rackNumber(rack string) int {
	n, ok := f.racks[rack]
	if !ok {
		n = len(f.racks)
		f.racks[rack] = n
	}
	return n
}

func (f *fleet) list(runner bool) *[]*endpoint {
	if runner {
		return &f.runners
	}
	return &f.workers
}

// insert adds ep to the list of its kind.
func (f *fleet) insert(ep *endpoint) {
	list := f.list(ep.Runner)
	at, _ := slices.BinarySearchFunc(*list, ep, compareEndpoints)
	*list = slices.Insert(*list, at, ep)
}

// remove takes ep out of the list of its kind.
func (f *fleet) remove(ep *endpoint) {
	list := f.list(ep.Runner)
	if at, found := slices.BinarySearchFunc(*list, ep, compareEndpoints); found {
		*list = slices.Delete(*list, at, at+1)
	}
}

// forget removes all traces of ep.
func (f *fleet) forget(ep *endpoint) {
	f.remove(ep)
	delete(f.byID, ep.ID)
	f.grown = slices.DeleteFunc(f.grown, func(g *endpoint) bool { return g == ep })
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

// noteGrown makes the next Schedule look at blocked work again.
func (f *fleet) noteGrown(ep *endpoint) {
	if ep.grown {
		return
	}
	ep.grown = true
	f.grown = append(f.grown, ep)
}

// retotal recomputes the zone's capacity.
func (f *fleet) retotal() {
	f.total = Resources{}
	for _, list := range [][]*endpoint{f.workers, f.runners} {
		for _, ep := range list {
			f.total = f.total.Add(ep.Capacity)
		}
	}
	f.scale = inverse(f.total)
}

// SetEndpoint implements Engine.
func (e *engine) SetEndpoint(spec Endpoint) {
	ep, known := e.fleet.byID[spec.ID]
	if known && ep.Runner != spec.Runner {
		e.RemoveEndpoint(spec.ID)
		known = false
	}
	if known {
		e.fleet.remove(ep)
	} else {
		ep = &endpoint{available: true}
		e.fleet.byID[spec.ID] = ep
		defer e.attachOrphans(ep)
	}
	ep.free = ep.free.Add(spec.Capacity).Sub(ep.Capacity)
	ep.Endpoint = spec
	ep.rack = e.fleet.rackNumber(spec.Rack)
	ep.scale = inverse(spec.Capacity)
	e.fleet.insert(ep)
	e.fleet.noteGrown(ep)
	e.capacityChanged()
}

func (e *engine) capacityChanged() {
	e.fleet.retotal()
	for _, t := range e.teamList {
		e.rescore(t)
	}
}

// SetAvailable implements Engine.
func (e *engine) SetAvailable(id string, available bool) {
	ep, ok := e.fleet.byID[id]
	if !ok {
		return
	}
	ep.available = available
	if available {
		e.fleet.noteGrown(ep)
	}
}

// RemoveEndpoint implements Engine. Tasks that still run there stay counted
// against their teams and are charged again when the endpoint comes back.
func (e *engine) RemoveEndpoint(id string) {
	ep, ok := e.fleet.byID[id]
	if !ok {
		return
	}
	for _, h := range slices.Clone(ep.holds) {
		e.abandon(h.owner)
	}
	for _, tk := range ep.tasks {
		tk.ep = nil
		e.orphans[id] = append(e.orphans[id], tk)
	}
	ep.tasks = nil
	e.fleet.forget(ep)
	e.capacityChanged()
}

// attachOrphans charges tasks that were adopted before their endpoint was
// known.
func (e *engine) attachOrphans(ep *endpoint) {
	for _, tk := range e.orphans[ep.ID] {
		ep.attach(tk)
	}
	delete(e.orphans, ep.ID)
}

func (ep *endpoint) attach(tk *task) {
	tk.ep = ep
	tk.at = len(ep.tasks)
	ep.tasks = append(ep.tasks, tk)
	ep.free = ep.free.Sub(tk.charged)
}

func (ep *endpoint) detach(tk *task) {
	last := len(ep.tasks) - 1
	moved := ep.tasks[last]
	ep.tasks[tk.at] = moved
	moved.at = tk.at
	ep.tasks[last] = nil
	ep.tasks = ep.tasks[:last]
	ep.free = ep.free.Add(tk.charged)
	tk.ep = nil
}

// open reports whether the endpoint takes new tasks at all.
func (ep *endpoint) open(now time.Duration) bool {
	return ep.available && ep.health.admits(now)
}
