package placement

import (
	"slices"
	"time"
)

// hold keeps capacity on an endpoint for count tasks of owner until expires. It
// is not charged to the endpoint: other work may use the free capacity beyond
// it.
type hold struct {
	owner *workItem
	ep    *endpoint
	size  Resources
	count int64
	// firm holds can be used by urgent work only, others by work of any higher
	// class than the owner's.
	firm bool
	// expectedStart is when the owner is expected to use the capacity.
	expectedStart time.Duration
	expires       time.Duration
}

// usableBy reports whether c may use the held capacity. The owner may, and so may
// work of a higher class, see firm.
func (h *hold) usableBy(c *candidate) bool {
	if h.owner == c.item {
		return true
	}
	if h.firm && c.holdAccess != accessUrgent {
		return false
	}
	return c.item.Class < h.owner.Class
}

// heldTasks returns the number of the item's tasks for which capacity is held.
func (it *workItem) heldTasks() int {
	n := 0
	for _, h := range it.holds {
		n += int(h.count)
	}
	return n
}

// holdsFree reports whether the held capacity is free: all of it for a gang, the
// capacity for one task otherwise.
func (it *workItem) holdsFree() bool {
	for _, h := range it.holds {
		if it.Gang && !h.size.Scale(h.count).Fits(h.ep.free) {
			return false
		}
		if !it.Gang && h.size.Fits(h.ep.free) {
			return true
		}
	}
	return it.Gang
}

func (e *engine) addHold(h *hold) {
	if len(h.owner.holds) == 0 {
		e.holdOwners = append(e.holdOwners, h.owner)
	}
	h.owner.bucket.team.heldTasks += int(h.count)
	h.owner.holds = append(h.owner.holds, h)
	h.ep.holds = append(h.ep.holds, h)
}

// dropHold removes h and makes its capacity available to all work.
func (e *engine) dropHold(h *hold) {
	h.owner.bucket.team.heldTasks -= int(h.count)
	same := func(o *hold) bool { return o == h }
	h.ep.holds = slices.DeleteFunc(h.ep.holds, same)
	h.owner.holds = slices.DeleteFunc(h.owner.holds, same)
	e.endpoints.markCapacityGained(h.ep)
	if len(h.owner.holds) == 0 {
		e.holdOwners = slices.DeleteFunc(e.holdOwners, func(o *workItem) bool { return o == h.owner })
	}
}

// releaseHolds removes all holds of the item and its reservation.
func (e *engine) releaseHolds(it *workItem) {
	for len(it.holds) > 0 {
		e.dropHold(it.holds[len(it.holds)-1])
	}
	e.reservations = slices.DeleteFunc(e.reservations, func(r *reservation) bool { return r.owner == it })
}

// releaseTaskHold releases the hold for one task of the item, on ep if it has one
// there.
func (e *engine) releaseTaskHold(it *workItem, ep *endpoint) {
	if len(it.holds) == 0 {
		return
	}
	used := it.holds[0]
	for _, h := range it.holds {
		if h.ep == ep {
			used = h
		}
	}
	used.count--
	it.bucket.team.heldTasks--
	if used.count == 0 {
		e.dropHold(used)
	}
	if len(it.holds) == 0 {
		e.releaseHolds(it)
	}
}

// expireHolds removes expired holds. If they belong to a reservation, the next
// reservation of the same work lasts twice as long, so that a gang eventually
// starts.
func (e *engine) expireHolds() {
	for _, it := range slices.Clone(e.holdOwners) {
		if it.holds[0].expires > e.now {
			continue
		}
		if e.reservationOf(it) != nil {
			limit := e.reservationTimeout(it)
			it.reservationTimeout = 2 * limit
			it.nextReservation = e.now + limit/2
		}
		e.releaseHolds(it)
	}
}

func (e *engine) reservationTimeout(it *workItem) time.Duration {
	return max(it.reservationTimeout, e.policy.ReservationTimeout)
}
