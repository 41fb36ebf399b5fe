// Package backfill foresees when work has room on endpoints that are busy, from the expected
// ends of what runs there. It answers work without room on full endpoints: whether it is
// worth to stop other work depends on when it gets room without. It performs no I/O and
// reads no clock.
package backfill

import (
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Release is capacity that is expected to become free.
type Release struct {
	At   time.Duration
	Size resource.Vector
}

// Claim is capacity of a host that a gang uses from a time on.
type Claim struct {
	At   time.Duration
	Size resource.Vector
}

// Host is what a reservation knows of an endpoint.
type Host struct {
	Free     resource.Vector
	Releases []Release
	// Claims are those of gangs that come first.
	Claims []Claim
}

// Gang is a number of equal tasks that start together.
type Gang struct {
	Size  resource.Vector
	Tasks int
	// MaxPerHost bounds the tasks on one host; 0 means no bound.
	MaxPerHost int
}

// Reservation is the earliest time at which a gang is expected to have room, and how many
// of its tasks each host takes then.
type Reservation struct {
	At    time.Duration
	Tasks []int
}

// resolution is the precision of the time of a reservation.
const resolution = 20 * time.Millisecond

// Foresee returns the earliest reservation for a gang between now and until; ok is false
// if there is none. Hosts are used in the given order.
func Foresee(now, until time.Duration, hosts []Host, g Gang) (r Reservation, ok bool) {
	if until < now || slotsAt(until, hosts, g) < g.Tasks {
		return Reservation{}, false
	}
	early, late := now, until
	if slotsAt(now, hosts, g) >= g.Tasks {
		late = now
	}
	for late-early > resolution {
		middle := early + (late-early)/2
		if slotsAt(middle, hosts, g) >= g.Tasks {
			late = middle
		} else {
			early = middle
		}
	}
	r = Reservation{At: late, Tasks: make([]int, len(hosts))}
	left := g.Tasks
	for i := range hosts {
		r.Tasks[i] = hosts[i].slotsAt(late, g, left)
		left -= r.Tasks[i]
	}
	return r, true
}

// slotsAt returns how many tasks of a gang have room at a time, up to all of them.
func slotsAt(at time.Duration, hosts []Host, g Gang) int {
	n := 0
	for i := range hosts {
		if n += hosts[i].slotsAt(at, g, g.Tasks-n); n >= g.Tasks {
			break
		}
	}
	return n
}

// slotsAt returns how many tasks of a gang, at most limit, have room on a host at a time
// beside the claims of other gangs, also of those that start later.
func (h *Host) slotsAt(at time.Duration, g Gang, limit int) int {
	room := h.RoomAt(at)
	if g.MaxPerHost > 0 {
		limit = min(limit, g.MaxPerHost)
	}
	return int(g.Size.Copies(room, int64(limit)))
}

// RoomAt returns the capacity of a host that is expected to be free at a time beside all
// claims.
func (h *Host) RoomAt(at time.Duration) resource.Vector {
	room := h.Free
	for i := range h.Releases {
		if h.Releases[i].At <= at {
			room = room.Add(h.Releases[i].Size)
		}
	}
	for i := range h.Claims {
		room = room.Sub(h.Claims[i].Size)
	}
	return room
}

// Claim adds a claim to a host, in order of time.
func (h *Host) Claim(c Claim) {
	i, _ := slices.BinarySearchFunc(h.Claims, c.At, func(o Claim, at time.Duration) int {
		if o.At <= at {
			return -1
		}
		return 1
	})
	h.Claims = slices.Insert(h.Claims, i, c)
}
