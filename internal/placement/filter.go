package placement

import "time"

// candidate is a task that looks for an endpoint.
type candidate struct {
	item    *item
	size    Resources
	variant variant
	now     time.Duration
	// racks counts the running tasks of a spread work per rack.
	racks []int
}

func (e *engine) candidateOf(it *item) *candidate {
	c := &e.scratch.candidate
	*c = candidate{
		item:    it,
		size:    e.effectiveSize(it.bucket.team, it),
		variant: it.variant,
		now:     e.now,
	}
	if it.Spread {
		c.racks = e.spreads.track(it.ID, len(e.fleet.racks))
	}
	return c
}

// filter is the extension point that rules endpoints out. Filters that are not
// relevant are left out of the search for the candidate.
type filter interface {
	relevant(e *engine, c *candidate) bool
	admit(c *candidate, ep *endpoint) bool
}

// defaultFilters are applied in order; the cheapest and most selective first.
func defaultFilters() []filter {
	return []filter{roomFilter{}, openFilter{}, holdFilter{}}
}

// roomFilter admits endpoints whose free room holds the task.
type roomFilter struct{}

func (roomFilter) relevant(*engine, *candidate) bool { return true }

func (roomFilter) admit(c *candidate, ep *endpoint) bool { return c.size.Fits(ep.free) }

// openFilter admits endpoints that are available and not in quarantine.
type openFilter struct{}

func (openFilter) relevant(*engine, *candidate) bool { return true }

func (openFilter) admit(c *candidate, ep *endpoint) bool { return ep.open(c.now) }

// holdFilter keeps held room for its owner. A backfill task may use it if its
// cautious run time ends before the owner can start.
type holdFilter struct{}

func (holdFilter) relevant(e *engine, _ *candidate) bool { return len(e.owners) > 0 }

func (holdFilter) admit(c *candidate, ep *endpoint) bool {
	if len(ep.holds) == 0 || c.size.Fits(ep.roomFor(c)) {
		return true
	}
	if c.variant < variantBackfill {
		return false
	}
	return c.now+c.variant.backfillRun() <= ep.heldFrom()
}

// roomFor returns the free room less what is held for others.
func (ep *endpoint) roomFor(c *candidate) Resources {
	room := ep.free
	for _, h := range ep.holds {
		if !h.yieldsTo(c) {
			room = room.Sub(h.size.Scale(h.count))
		}
	}
	return room
}

// heldFrom returns the earliest time at which a hold is expected to be used.
func (ep *endpoint) heldFrom() time.Duration {
	from := ep.holds[0].ready
	for _, h := range ep.holds[1:] {
		from = min(from, h.ready)
	}
	return from
}
