// Package preemption chooses the runs to stop so that work which can't wait gets room. It
// answers bursts of urgent work, and gangs that would miss their objectives, on endpoints
// that are full of work that can wait. It performs no I/O and reads no clock.
package preemption

import (
	"cmp"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Victim is a run that may be stopped.
type Victim struct {
	Size resource.Vector
	// Loss is the work that is thrown away, in core-seconds: what the run has done since
	// its last checkpoint, and what resuming from that takes.
	Loss float64
	// Misses is set if the run's job would miss its objective by it.
	Misses bool
}

// Host is an endpoint with its free capacity and the runs there that may be stopped.
type Host struct {
	Free    resource.Vector
	Victims []Victim
}

// Need is a number of equal tasks that need room.
type Need struct {
	Size  resource.Vector
	Tasks int
	// MaxPerHost bounds the tasks on one host; 0 means no bound.
	MaxPerHost int
	// Budget bounds the loss in core-seconds.
	Budget float64
	// MayMiss allows victims whose jobs miss their objectives by it.
	MayMiss bool
}

// Choice is a run to stop: a victim of a host, both by index.
type Choice struct{ Host, Victim int }

// option is what stopping some runs of a host gives.
type option struct {
	host    int
	victims []int
	slots   int
	loss    float64
}

// Choose returns the runs to stop, those that lose the least for the room that they give,
// and the loss. With all unset it makes as much room as it can within the budget, for part
// of the tasks if need be; with all set it returns nothing unless all of them get room.
func Choose(hosts []Host, need Need, all bool) (chosen []Choice, loss float64) {
	options := make([]option, 0, len(hosts))
	left := need.Tasks
	for i := range hosts {
		free := need.slots(hosts[i].Free)
		left -= free
		if o, ok := optionFor(i, &hosts[i], need, free); ok {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Compare(a.loss*float64(b.slots), b.loss*float64(a.slots))
	})
	for i := range options {
		if left <= 0 {
			break
		}
		o := &options[i]
		if loss+o.loss > need.Budget {
			continue
		}
		loss += o.loss
		left -= o.slots
		for _, v := range o.victims {
			chosen = append(chosen, Choice{Host: o.host, Victim: v})
		}
	}
	if all && left > 0 {
		return nil, 0
	}
	return chosen, loss
}

// slots returns how many of the tasks fit into free.
func (n *Need) slots(free resource.Vector) int {
	limit := n.Tasks
	if n.MaxPerHost > 0 {
		limit = min(limit, n.MaxPerHost)
	}
	return int(n.Size.Copies(free, int64(limit)))
}

// optionFor returns the victims of a host that lose the least for each further task that
// gets room there; before is how many have room without. It adds victims in the order of
// their loss for their size, and keeps the number of them with the best ratio.
func optionFor(index int, h *Host, need Need, before int) (best option, ok bool) {
	order := make([]int, 0, len(h.Victims))
	for v := range h.Victims {
		if need.MayMiss || !h.Victims[v].Misses {
			order = append(order, v)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		va, vb := &h.Victims[a], &h.Victims[b]
		return cmp.Compare(va.Loss*weightOf(vb.Size), vb.Loss*weightOf(va.Size))
	})
	free, loss := h.Free, 0.0
	for n, v := range order {
		free = free.Add(h.Victims[v].Size)
		loss += h.Victims[v].Loss
		slots := need.slots(free) - before
		if slots > 0 && (!ok || loss*float64(best.slots) < best.loss*float64(slots)) {
			best, ok = option{host: index, victims: order[:n+1], slots: slots, loss: loss}, true
		}
	}
	return best, ok
}

// weightOf is the amount of a run by which its loss is compared.
func weightOf(size resource.Vector) float64 { return float64(max(size.MilliCores, 1)) }
