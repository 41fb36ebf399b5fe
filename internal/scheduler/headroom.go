package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
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
	p.poolFree[h.Endpoint.Pool] = p.poolFree[h.Endpoint.Pool].Sub(size)
}

// leaveHeadroom returns how many of n tasks of a demand a host may take so that the headroom
// stays. An urgent task fits into a small gap on any host, so the slots are counted over
// all hosts that a headroom covers.
func (p *planner) leaveHeadroom(d *Demand, h *Host, n int) int {
	if d.Urgent {
		return n
	}
	for _, k := range h.headrooms {
		n = k.limit(d.Step.Spec.Charge(), h, n)
	}
	return n
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

// headroomIsFree reports whether all of the headroom in a pool is free.
func (p *planner) headroomIsFree(pool string) bool {
	for _, k := range p.headrooms {
		if k.Pool == pool && k.free < k.Slots {
			return false
		}
	}
	return p.headroomOf(pool).Fits(p.poolFree[pool])
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
