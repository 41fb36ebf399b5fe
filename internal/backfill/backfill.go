// Package backfill foresees when work has room on endpoints that are busy, from the expected
// ends of what runs there. It answers work without room on full endpoints: whether it is
// worth to stop other work depends on when it gets room without. It performs no I/O and
// reads no clock.
package backfill

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Release is capacity that is expected to become free.
type Release struct {
	At   time.Duration
	Size resource.Vector
}

// Host is what a reservation knows of an endpoint.
type Host struct {
	Free     resource.Vector
	Releases []Release
	// MaxTasks bounds the tasks that the host takes.
	MaxTasks int
}

// Work is a number of equal tasks.
type Work struct {
	Size  resource.Vector
	Tasks int
}

// Reservation is the earliest time at which work is expected to have room, and how many
// of its tasks each host takes then.
type Reservation struct {
	At    time.Duration
	Tasks []int
}

// resolution is the precision of the time of a reservation.
const resolution = 20 * time.Millisecond

// Foresee returns the earliest reservation for all of the tasks between now and until; ok is
// false if there is none. Hosts are used in the given order.
func Foresee(now, until time.Duration, hosts []Host, w Work) (r Reservation, ok bool) {
	if until < now || slotsAt(until, hosts, w) < w.Tasks {
		return Reservation{}, false
	}
	early, late := now, until
	if slotsAt(now, hosts, w) >= w.Tasks {
		late = now
	}
	for late-early > resolution {
		middle := early + (late-early)/2
		if slotsAt(middle, hosts, w) >= w.Tasks {
			late = middle
		} else {
			early = middle
		}
	}
	r = Reservation{At: late, Tasks: make([]int, len(hosts))}
	left := w.Tasks
	for i := range hosts {
		r.Tasks[i] = hosts[i].slotsAt(late, w, left)
		left -= r.Tasks[i]
	}
	return r, true
}

// slotsAt returns how many of the tasks have room at a time, up to all of them.
func slotsAt(at time.Duration, hosts []Host, w Work) int {
	n := 0
	for i := range hosts {
		if n += hosts[i].slotsAt(at, w, w.Tasks-n); n >= w.Tasks {
			break
		}
	}
	return n
}

// slotsAt returns how many of the tasks, at most limit, have room on a host at a time.
func (h *Host) slotsAt(at time.Duration, w Work, limit int) int {
	room := h.RoomAt(at)
	return max(int(w.Size.Copies(room, int64(min(limit, h.MaxTasks)))), 0)
}

// RoomAt returns the capacity of a host that is expected to be free at a time.
func (h *Host) RoomAt(at time.Duration) resource.Vector {
	room := h.Free
	for i := range h.Releases {
		if h.Releases[i].At <= at {
			room = room.Add(h.Releases[i].Size)
		}
	}
	return room
}

// Claim keeps capacity of a host for work that comes first, from now on.
func (h *Host) Claim(size resource.Vector) { h.Free = h.Free.Sub(size) }
