package placement

import (
	"slices"
	"time"
)

// hold keeps room on an endpoint for count tasks of owner until expires. It
// takes no room by itself: others may use what is free beyond it.
type hold struct {
	owner *item
	ep    *endpoint
	size  Resources
	count int64
	// firm holds yield to urgent work only, others to any higher class.
	firm bool
	// ready is when the owner is expected to use the room.
	ready   time.Duration
	expires time.Duration
}

// yieldsTo reports whether c may use the held room: its owner, and work of a
// higher class.
func (h *hold) yieldsTo(c *candidate) bool {
	if h.owner == c.item {
		return true
	}
	if h.firm && c.variant != variantUrgent {
		return false
	}
	return c.item.Class < h.owner.Class
}

// held returns the number of tasks of it that have room held.
func (it *item) held() int {
	n := 0
	for _, h := range it.holds {
		n += int(h.count)
	}
	return n
}

// holdsReady reports whether the held room is free: all of it for a gang, that
// of one task otherwise.
func (it *item) holdsReady() bool {
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
		e.owners = append(e.owners, h.owner)
	}
	h.owner.bucket.team.held += int(h.count)
	h.owner.holds = append(h.owner.holds, h)
	h.ep.holds = append(h.ep.holds, h)
}

// dropHold ends h; the room that it kept is offered to all.
func (e *engine) dropHold(h *hold) {
	h.owner.bucket.team.held -= int(h.count)
	same := func(o *hold) bool { return o == h }
	h.ep.holds = slices.DeleteFunc(h.ep.holds, same)
	h.owner.holds = slices.DeleteFunc(h.owner.holds, same)
	e.fleet.noteGrown(h.ep)
	if len(h.owner.holds) == 0 {
		e.owners = slices.DeleteFunc(e.owners, func(o *item) bool { return o == h.owner })
	}
}

// abandon ends all holds of it, and its reservation.
func (e *engine) abandon(it *item) {
	for len(it.holds) > 0 {
		e.dropHold(it.holds[len(it.holds)-1])
	}
	e.reservations = slices.DeleteFunc(e.reservations, func(r *reservation) bool { return r.owner == it })
}

// consume gives back the hold of one task of it, on ep if there is one there.
func (e *engine) consume(it *item, ep *endpoint) {
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
	it.bucket.team.held--
	if used.count == 0 {
		e.dropHold(used)
	}
	if len(it.holds) == 0 {
		e.abandon(it)
	}
}

// expireHolds ends what was held for too long. A reservation that expires is
// twice as long the next time, so that a gang starts in the end.
func (e *engine) expireHolds() {
	for _, it := range slices.Clone(e.owners) {
		if it.holds[0].expires > e.now {
			continue
		}
		if e.reservationOf(it) != nil {
			limit := e.holdLimit(it)
			it.holdLimit = 2 * limit
			it.reserveAt = e.now + limit/2
		}
		e.abandon(it)
	}
}

func (e *engine) holdLimit(it *item) time.Duration { return max(it.holdLimit, e.policy.HoldLimit) }
