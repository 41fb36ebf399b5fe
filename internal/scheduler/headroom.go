package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// What a plan keeps, the headroom for urgent work and the reservations of gangs, it keeps from
// work that has room but for that. These bound how long such work waits with none of its
// tasks at work.
const (
	// maxLastingWait is the bound for tasks that last: they serve somebody all the time.
	maxLastingWait = 500 * time.Millisecond
	// maxIdleWait is the bound in a pool of which less than half is in use, where bursts
	// find room all the same.
	maxIdleWait = time.Second
	// maxHeadroomWait is the bound of what the headroom keeps from other work. Such work
	// takes one task's room at a time.
	maxHeadroomWait = 12 * time.Second
)

// Headroom is capacity that is kept free of other work for bursts of urgent work: a number
// of slots of the size of a typical urgent task, on the endpoints of a pool that have a
// label. It answers bursts that outrun the ends of other work. Nothing is kept on endpoints
// that urgent work doesn't come to or prefers to avoid.
type Headroom struct {
	Pool, Label string
	Size        resource.Vector
	Slots       int
}

// Covers reports whether the headroom is kept on a host.
func (r *Headroom) Covers(now time.Duration, h *Host) bool {
	e := h.Endpoint
	return e.Pool == r.Pool && e.HasLabel(r.Label) && !e.Cold(now)
}

// keptHeadroom is a headroom with the number of slots that are free at present.
type keptHeadroom struct {
	Headroom
	free int
}

// slotsOn returns how many slots are free on a host.
func (k *keptHeadroom) slotsOn(h *Host) int {
	const maxSlots = 1000
	return int(k.Size.Copies(h.Free, maxSlots))
}

// allows reports whether the slots on a host may fall from before to after. Work that takes
// no slot only fills a gap that is of no use to urgent work.
func (k *keptHeadroom) allows(before, after int) bool {
	return after == before || k.free-before+after >= k.Slots
}

// keepHeadrooms counts the free slots of the snapshot's headrooms.
func (p *planner) keepHeadrooms() {
	for _, r := range p.Policy.Headrooms {
		if r.Slots <= 0 || r.Size == (resource.Vector{}) {
			continue
		}
		k := &keptHeadroom{Headroom: r}
		p.headrooms = append(p.headrooms, k)
		for _, h := range p.Hosts {
			if r.Covers(p.Now, h) {
				h.headrooms = append(h.headrooms, k)
				k.free += k.slotsOn(h)
			}
		}
	}
}

// charge subtracts size, which may be negative, from the free capacity of a
// host.
func (p *planner) charge(h *Host, size resource.Vector) {
	for _, k := range h.headrooms {
		k.free -= k.slotsOn(h)
	}
	h.Free = h.Free.Sub(size)
	for _, k := range h.headrooms {
		k.free += k.slotsOn(h)
	}
	h.pool.free = h.pool.free.Sub(size)
}

// leaveHeadroom returns how many of n tasks of a demand a host may take so that the headroom
// stays. An urgent task fits into a small gap on any host, so the slots are counted over
// all hosts that a headroom covers.
func (p *planner) leaveHeadroom(d *Demand, h *Host, n int) int {
	mayUse := p.mayUseHeadroom(d)
	if mayUse && !d.startsOneByOne() {
		return n
	}
	left := n
	for _, k := range h.headrooms {
		left = k.limit(d.Step.Spec.Charge(), h, left)
	}
	if mayUse {
		return max(left, min(n, 1))
	}
	return left
}

// startsOneByOne reports whether the tasks of a demand that uses headroom take it one at a
// time. Gangs and tasks that last are of no use in part.
func (d *Demand) startsOneByOne() bool {
	return !d.Urgent && !d.Step.Spec.Gang && !d.Step.Spec.LongRunning
}

// mayUseHeadroom reports whether a demand may use the headroom: it is urgent or has waited
// for long.
func (p *planner) mayUseHeadroom(d *Demand) bool {
	return d.Urgent || p.mayUseAll(d) || p.idleFor(d, maxHeadroomWait)
}

// mayUseAll reports whether a demand may use all free room, also that reserved for gangs.
func (p *planner) mayUseAll(d *Demand) bool {
	switch {
	case d.Urgent:
		return true
	case d.Step.Spec.LongRunning:
		return p.idleFor(d, maxLastingWait)
	default:
		return d.poolMostlyFree && p.idleFor(d, maxIdleWait)
	}
}

// idleFor reports whether a demand has waited for the given time with no task at work, and
// none that this plan starts unless its tasks last.
func (p *planner) idleFor(d *Demand, wait time.Duration) bool {
	return d.Idle && (d.started == 0 || d.Step.Spec.LongRunning) && p.Now-d.IdleSince >= wait
}

// isMostlyFree reports whether less than half of a pool's processors are in use.
func (r *poolRoom) isMostlyFree() bool { return 2*r.free.MilliCores > r.capacity.MilliCores }

// available returns the capacity of a host that a demand may use.
func (p *planner) available(d *Demand, h *Host) resource.Vector {
	if p.mayUseAll(d) {
		return h.Free
	}
	return h.Free.Sub(h.Reserved)
}

// limit returns how many of n tasks of a size a host may take.
func (k *keptHeadroom) limit(size resource.Vector, h *Host, n int) int {
	before := k.slotsOn(h)
	if k.free >= k.Slots+before {
		return n
	}
	free := h.Free
	defer func() { h.Free = free }()
	for ; n > 0; n-- {
		h.Free = free.Sub(size.Scale(int64(n)))
		if k.allows(before, k.slotsOn(h)) {
			return n
		}
	}
	return 0
}

// headroomIsFree reports whether all of the headroom in a demand's pool is free.
func (p *planner) headroomIsFree(d *Demand) bool {
	for _, k := range p.headrooms {
		if k.Pool == d.Pool && k.free < k.Slots {
			return false
		}
	}
	return p.headroomOf(d.Pool).Fits(d.pool.free)
}

// headroomOf returns the capacity that is kept free in a pool.
func (p *planner) headroomOf(pool string) resource.Vector {
	sum := resource.Vector{}
	for _, k := range p.headrooms {
		if k.Pool == pool {
			sum = sum.Add(k.Size.Scale(int64(k.Slots)))
		}
	}
	return sum
}
