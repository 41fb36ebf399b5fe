// Package fleet accounts for endpoints: what they have, what occupies them,
// and for how long their leases last. It performs no I/O and reads no clock;
// instants are durations on the caller's clock, which counts suspension.
package fleet

import (
	"sort"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Fleet is all endpoints of a cell. It is not safe for concurrent use.
type Fleet struct {
	endpoints map[string]*Endpoint
	// ordered are the endpoints in order of id.
	ordered []*Endpoint
	// usage is what each customer occupies over all endpoints.
	usage map[string]resource.Vector
	// byTask finds the runs of a task; a task has more than one only if it is
	// speculative.
	byTask map[workload.TaskID][]*Run
}

// New returns a fleet without endpoints.
func New() *Fleet {
	return &Fleet{
		endpoints: make(map[string]*Endpoint),
		usage:     make(map[string]resource.Vector),
		byTask:    make(map[workload.TaskID][]*Run),
	}
}

// Endpoints returns the endpoints in order of id. The caller doesn't change the
// slice; it stays as it is when endpoints come and go.
func (f *Fleet) Endpoints() []*Endpoint { return f.ordered }

// Endpoint returns the current incarnation of an endpoint, or nil.
func (f *Fleet) Endpoint(id string) *Endpoint { return f.endpoints[id] }

// Usage returns what a customer occupies over all endpoints.
func (f *Fleet) Usage(customer string) resource.Vector { return f.usage[customer] }

// RunsOf returns the runs of a task. The caller doesn't change them.
func (f *Fleet) RunsOf(task workload.TaskID) []*Run { return f.byTask[task] }

// Find returns a run, or nil.
func (f *Fleet) Find(key Key) *Run {
	for _, r := range f.byTask[key.Task] {
		if r.Number == key.Number {
			return r
		}
	}
	return nil
}

// Register makes an incarnation of an endpoint the current one. If it replaces an
// earlier incarnation, that one is returned with the runs that it had.
func (f *Fleet) Register(r Registration) (current, replaced *Endpoint) {
	old := f.endpoints[r.ID]
	if old != nil && old.Incarnation == r.Incarnation {
		old.Registration, old.Listed = r, true
		return old, nil
	}
	e := &Endpoint{Registration: r, Listed: true, fleet: f}
	f.endpoints[r.ID] = e
	f.rebuildOrder()
	return e, old
}

// Drop forgets an endpoint; its runs have been removed before.
func (f *Fleet) Drop(e *Endpoint) {
	if f.endpoints[e.ID] == e {
		delete(f.endpoints, e.ID)
		f.rebuildOrder()
	}
}

// rebuildOrder makes the ordered list anew; endpoints come and go rarely.
func (f *Fleet) rebuildOrder() {
	f.ordered = make([]*Endpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		f.ordered = append(f.ordered, e)
	}
	sort.Slice(f.ordered, func(i, k int) bool { return f.ordered[i].ID < f.ordered[k].ID })
}

func (f *Fleet) occupy(r *Run) {
	f.usage[r.Customer] = f.usage[r.Customer].Add(r.Size)
	f.byTask[r.Task] = append(f.byTask[r.Task], r)
}

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
