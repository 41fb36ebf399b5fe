// Package fleet keeps account of the endpoints: their capacity, the runs that
// occupy it, and their leases. It performs no I/O and reads no clock; instants
// are durations on the caller's clock, which also advances while the machine is
// suspended.
package fleet

import (
	"sort"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Fleet is the set of all endpoints of a cell. It is not safe for concurrent
// use.
type Fleet struct {
	endpoints map[string]*Endpoint
	// ordered holds the endpoints in order of id.
	ordered []*Endpoint
	// usage is what each customer's runs occupy on all endpoints, as counted
	// against the customer's quota.
	usage map[string]resource.Vector
	// byTask holds the runs of each task. The controller starts no run of a task
	// that has another one.
	byTask map[workload.TaskID][]*Run
	// closedZones holds the availability zones in which nothing may start.
	closedZones map[string]bool
	// reach is nil if an endpoint or closedZones has changed since it was computed.
	reach reach
}

// New returns a fleet without endpoints.
func New() *Fleet {
	return &Fleet{
		endpoints: make(map[string]*Endpoint),
		usage:     make(map[string]resource.Vector),
		byTask:    make(map[workload.TaskID][]*Run),
	}
}

// Endpoints returns the endpoints in order of id. The caller must not modify
// the slice; it does not change when endpoints are added or removed later.
func (f *Fleet) Endpoints() []*Endpoint { return f.ordered }

// Endpoint returns the current incarnation of an endpoint, or nil.
func (f *Fleet) Endpoint(id string) *Endpoint { return f.endpoints[id] }

// Usage returns what a customer's runs occupy on all endpoints, as counted
// against the customer's quota.
func (f *Fleet) Usage(customer string) resource.Vector { return f.usage[customer] }

// RunsOf returns the runs of a task. The caller must not modify the slice.
func (f *Fleet) RunsOf(task workload.TaskID) []*Run { return f.byTask[task] }

// Find returns the run with a key, or nil.
func (f *Fleet) Find(key Key) *Run {
	for _, r := range f.byTask[key.Task] {
		if r.Number == key.Number {
			return r
		}
	}
	return nil
}

// Register makes an incarnation of an endpoint the current one, or updates its
// registration. If it replaces another incarnation, that one is returned with
// the runs that it had.
func (f *Fleet) Register(r Registration) (current, replaced *Endpoint) {
	old := f.endpoints[r.ID]
	if old != nil && old.Incarnation == r.Incarnation {
		if !old.Listed || !old.OffersSame(&r) {
			f.reach = nil
		}
		old.Registration, old.Listed = r, true
		return old, nil
	}
	e := &Endpoint{Registration: r, Listed: true, fleet: f}
	f.endpoints[r.ID] = e
	f.rebuildOrder()
	return e, old
}

// Drop removes an endpoint. The caller must have removed its runs.
func (f *Fleet) Drop(e *Endpoint) {
	if f.endpoints[e.ID] == e {
		delete(f.endpoints, e.ID)
		f.rebuildOrder()
	}
}

// Unlist records that an endpoint has left the registry.
func (f *Fleet) Unlist(e *Endpoint) { e.Listed, f.reach = false, nil }

// SetClosedZones sets the availability zones in which nothing may start. They count for
// nothing in CouldHold.
func (f *Fleet) SetClosedZones(zones map[string]bool) { f.closedZones, f.reach = zones, nil }

// rebuildOrder rebuilds the ordered list, in a new slice. Endpoints are added
// and removed rarely.
func (f *Fleet) rebuildOrder() {
	f.reach = nil
	f.ordered = make([]*Endpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		f.ordered = append(f.ordered, e)
	}
	sort.Slice(f.ordered, func(i, k int) bool { return f.ordered[i].ID < f.ordered[k].ID })
}

// occupy adds a run to the account of its customer and task.
func (f *Fleet) occupy(r *Run) {
	f.usage[r.Customer] = f.usage[r.Customer].Add(r.Size)
	f.byTask[r.Task] = append(f.byTask[r.Task], r)
}

// release removes a run from the account of its customer and task.
func (f *Fleet) release(r *Run) {
	f.usage[r.Customer] = f.usage[r.Customer].Sub(r.Size)
	runs := f.byTask[r.Task]
	for i := range runs {
		if runs[i] == r {
			runs = append(runs[:i], runs[i+1:]...)
			break
		}
	}
	if len(runs) == 0 {
		delete(f.byTask, r.Task)
		return
	}
	f.byTask[r.Task] = runs
}
