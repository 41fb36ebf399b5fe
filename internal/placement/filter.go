package placement

import "time"

// candidate describes a waiting task for which an endpoint is searched.
type candidate struct {
	item       *workItem
	size       Resources
	holdAccess holdAccess
	now        time.Duration
	// racks holds the number of running tasks of the work per rack. It is nil
	// unless the work has Spread set.
	racks []int
}

// candidateOf returns the candidate for a task of the item. It is valid until
// the next call.
func (e *engine) candidateOf(it *workItem) *candidate {
	c := &e.scratch.candidate
	*c = candidate{
		item:       it,
		size:       e.effectiveSize(it.bucket.team, it),
		holdAccess: it.holdAccess,
		now:        e.now,
	}
	if it.Spread {
		c.racks = e.tasksPerRack.track(it.ID, len(e.endpoints.racks))
	}
	return c
}

// filter is the extension point that excludes endpoints. Filters that are not
// relevant for a candidate are skipped.
type filter interface {
	relevant(e *engine, c *candidate) bool
	admit(c *candidate, ep *endpoint) bool
}

// defaultFilters returns the filters in the order in which they are applied,
// the cheapest and most selective first.
func defaultFilters() []filter {
	return []filter{capacityFilter{}, schedulableFilter{}, holdFilter{}}
}

// capacityFilter admits endpoints with enough free capacity for the task.
type capacityFilter struct{}

func (capacityFilter) relevant(*engine, *candidate) bool { return true }

func (capacityFilter) admit(c *candidate, ep *endpoint) bool { return c.size.Fits(ep.free) }

// schedulableFilter admits endpoints that are available, not in quarantine and
// below the task limit of a probation.
type schedulableFilter struct{}

func (schedulableFilter) relevant(*engine, *candidate) bool { return true }

func (schedulableFilter) admit(c *candidate, ep *endpoint) bool { return ep.schedulable(c.now) }

// holdFilter keeps held capacity for its owner. A backfill task may use it if
// the upper limit of its run time class ends before the owner can start.
type holdFilter struct{}

func (holdFilter) relevant(e *engine, _ *candidate) bool { return len(e.holdOwners) > 0 }

func (holdFilter) admit(c *candidate, ep *endpoint) bool {
	if len(ep.holds) == 0 || c.size.Fits(ep.capacityFor(c)) {
		return true
	}
	if c.holdAccess < accessBackfill {
		return false
	}
	return c.now+c.holdAccess.backfillRunTime() <= ep.firstHoldStart()
}

// capacityFor returns the free capacity less what is held for other work.
func (ep *endpoint) capacityFor(c *candidate) Resources {
	available := ep.free
	for _, h := range ep.holds {
		if !h.usableBy(c) {
			available = available.Sub(h.size.Scale(h.count))
		}
	}
	return available
}

// firstHoldStart returns the earliest time at which the owner of a hold on ep is
// expected to start.
func (ep *endpoint) firstHoldStart() time.Duration {
	from := ep.holds[0].expectedStart
	for _, h := range ep.holds[1:] {
		from = min(from, h.expectedStart)
	}
	return from
}
