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
	// Misses is set if the run's job would miss its objective by it. Such a run is left
	// alone.
	Misses bool
}

// Host is an endpoint with its free capacity and the runs there that may be stopped.
type Host struct {
	Free resource.Vector
	// MaxTasks bounds the tasks that it takes.
	MaxTasks int
	Victims  []Victim
}

// Need is a number of equal tasks that need room.
type Need struct {
	Size  resource.Vector
	Tasks int
	// Together is set if the tasks start at the same time or not at all.
	Together bool
	// Budget bounds the loss in core-seconds.
	Budget float64
}

// Choice is a run to stop: a victim of a host, both by index.
type Choice struct{ Host, Victim int }

// Result is what Choose returns: the runs to stop, what that loses, and how many tasks have
// room then.
type Result struct {
	Choices []Choice
	Loss    float64
	Tasks   int
}

// Choose chooses the runs to stop, those that lose the least for the room that they give. It
// makes as much room as it can within the budget, for part of the tasks if need be. For
// tasks that start together it chooses none unless all of them get room.
func Choose(hosts []Host, need Need) (r Result) {
	left := need.Tasks
	options := make([]option, 0, len(hosts))
	for i := range hosts {
		free := need.slots(&hosts[i], hosts[i].Free)
		left -= free
		if o, ok := firstOption(i, &hosts[i], &need, free); ok {
			options = append(options, o)
		}
	}
	for left > 0 && len(options) > 0 {
		i := cheapest(options)
		o := &options[i]
		if o.slots > left && !o.improve(&hosts[o.host], &need, left) || r.Loss+o.loss > need.Budget {
			options = slices.Delete(options, i, i+1)
			continue
		}
		r.Loss += o.loss
		left -= o.slots
		for _, v := range o.victims {
			r.Choices = append(r.Choices, Choice{Host: o.host, Victim: v})
		}
		if !o.next(&hosts[o.host], &need) {
			options = slices.Delete(options, i, i+1)
		}
	}
	if need.Together && left > 0 {
		return Result{}
	}
	r.Tasks = need.Tasks - max(left, 0)
	return r
}

// slots returns how many of the tasks a host takes into the given room.
func (n *Need) slots(h *Host, room resource.Vector) int {
	return max(int(n.Size.Copies(room, int64(min(n.Tasks, h.MaxTasks)))), 0)
}

// option is what stopping some runs of a host gives.
type option struct {
	host    int
	victims []int
	slots   int
	loss    float64
	// others are the runs that may be stopped there, free and before the capacity and the
	// tasks that the host has room for without.
	others []int
	free   resource.Vector
	before int
}

// cheapest returns the index of the option that loses the least for each task.
func cheapest(options []option) int {
	best := 0
	for i := range options {
		if options[i].loss*float64(options[best].slots) < options[best].loss*float64(options[i].slots) {
			best = i
		}
	}
	return best
}

// firstOption returns the option of a host of which nothing is chosen yet.
func firstOption(index int, h *Host, need *Need, before int) (o option, ok bool) {
	o = option{host: index, free: h.Free, before: before}
	for v := range h.Victims {
		if !h.Victims[v].Misses {
			o.others = append(o.others, v)
		}
	}
	return o, o.improve(h, need, need.Tasks)
}

// next makes an option that has been chosen the next one of its host.
func (o *option) next(h *Host, need *Need) bool {
	for _, v := range o.victims {
		o.free = o.free.Add(h.Victims[v].Size)
	}
	o.others = slices.DeleteFunc(o.others, func(v int) bool { return slices.Contains(o.victims, v) })
	o.before += o.slots
	return o.improve(h, need, need.Tasks)
}

// improve sets the victims that lose the least for each further task, of which no more than
// most count. It tries them in the order of their loss, and of their loss for their size.
func (o *option) improve(h *Host, need *Need, most int) (ok bool) {
	for _, order := range [...]func(a, b *Victim) int{
		func(a, b *Victim) int { return cmp.Compare(a.Loss, b.Loss) },
		func(a, b *Victim) int { return cmp.Compare(a.Loss*weightOf(b.Size), b.Loss*weightOf(a.Size)) },
	} {
		victims := slices.Clone(o.others)
		slices.SortStableFunc(victims, func(a, b int) int { return order(&h.Victims[a], &h.Victims[b]) })
		free, loss := o.free, 0.0
		for n, v := range victims {
			free = free.Add(h.Victims[v].Size)
			loss += h.Victims[v].Loss
			slots := min(need.slots(h, free)-o.before, most)
			if slots > 0 && (!ok || loss*float64(o.slots) < o.loss*float64(slots)) {
				o.victims, o.slots, o.loss, ok = victims[:n+1], slots, loss, true
			}
		}
	}
	return ok
}

// weightOf is the amount of a run by which its loss is compared.
func weightOf(size resource.Vector) float64 { return float64(max(size.MilliCores, 1)) }
