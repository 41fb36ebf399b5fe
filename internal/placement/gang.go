package placement

import (
	"cmp"
	"slices"
)

// gangSlot is an endpoint with capacity for some tasks of a gang.
type gangSlot struct {
	ep     *endpoint
	copies int64
}

// chooseGang returns one endpoint per task, or nil if not all tasks fit. A gang
// that needs no accelerators uses endpoints with accelerators only if the others
// do not suffice.
func (e *engine) chooseGang(c *candidate) []*endpoint {
	tasks := int64(len(c.item.Tasks))
	slots, total := e.gangSlots(c, tasks, c.size.Accelerators == 0)
	if total < tasks && c.size.Accelerators == 0 {
		slots, total = e.gangSlots(c, tasks, false)
	}
	if total < tasks {
		return nil
	}
	if c.item.Spread {
		return spreadGang(slots, tasks)
	}
	return packGang(slots, tasks)
}

// gangSlots returns the endpoints with capacity for tasks of the gang and the total
// number of its tasks that fit on them.
func (e *engine) gangSlots(c *candidate, tasks int64, skipAccelerators bool) ([]gangSlot, int64) {
	slots := e.scratch.slots[:0]
	var total int64
	for _, ep := range e.endpoints.byKind(c.item.Runner) {
		if skipAccelerators && ep.Capacity.Accelerators > 0 || !ep.schedulable(c.now) {
			continue
		}
		copies := c.size.Copies(ep.capacityFor(c), ep.health.allowance(tasks))
		if copies > 0 {
			slots = append(slots, gangSlot{ep, copies})
			total += copies
		}
	}
	e.scratch.slots = slots
	return slots, total
}

// packGang uses the rack that holds all tasks with the least capacity left. If
// there is none, it starts with the racks with the most free capacity. Within a
// rack it uses as few endpoints as possible.
func packGang(slots []gangSlot, tasks int64) []*endpoint {
	copiesPerRack := map[int]int64{}
	for _, s := range slots {
		copiesPerRack[s.ep.rack] += s.copies
	}
	rank := func(rack int) int64 {
		if copiesPerRack[rack] >= tasks {
			return copiesPerRack[rack] - tasks
		}
		return 2*maxRackCopies - copiesPerRack[rack]
	}
	slices.SortStableFunc(slots, func(a, b gangSlot) int {
		return cmp.Or(cmp.Compare(rank(a.ep.rack), rank(b.ep.rack)), cmp.Compare(a.ep.rack, b.ep.rack), cmp.Compare(b.copies, a.copies))
	})
	chosen := make([]*endpoint, 0, tasks)
	for _, s := range slots {
		for n := min(s.copies, tasks-int64(len(chosen))); n > 0; n-- {
			chosen = append(chosen, s.ep)
		}
	}
	return chosen
}

// maxRackCopies is larger than the number of tasks of a gang that one rack can hold.
const maxRackCopies = int64(1) << 32

// spreadGang places each task on the rack with the fewest tasks so far.
func spreadGang(slots []gangSlot, tasks int64) []*endpoint {
	perRack := map[int]int{}
	chosen := make([]*endpoint, 0, tasks)
	for int64(len(chosen)) < tasks {
		best := -1
		for i, s := range slots {
			if s.copies > 0 && (best < 0 || perRack[s.ep.rack] < perRack[slots[best].ep.rack]) {
				best = i
			}
		}
		slots[best].copies--
		perRack[slots[best].ep.rack]++
		chosen = append(chosen, slots[best].ep)
	}
	return chosen
}
