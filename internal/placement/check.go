package placement

import "fmt"

// scaleSteps is the resolution with which a gang's nearest size is sought.
const scaleSteps = 1024

// check compares w with the capacities of empty endpoints of its kind. With
// no endpoint known nothing can be said, so the work is let through.
func check(w Work, capacities []Resources) Verdict {
	if len(capacities) == 0 {
		return Verdict{Feasible: true, Reason: "no endpoint of this kind is known yet"}
	}
	tasks := int64(1)
	if w.Gang {
		tasks = int64(max(1, len(w.Tasks)))
	}
	if hosts(w.Size, capacities, tasks) {
		return Verdict{Feasible: true}
	}
	nearest := nearestSingle(w.Size, capacities)
	if nearest == w.Size {
		nearest = nearestGang(w.Size, capacities, tasks)
		room := totalCopies(w.Size, capacities, tasks)
		return Verdict{
			Reason:      fmt.Sprintf("the gang has %d tasks and the empty endpoints hold %d of this size; submit fewer or smaller tasks", tasks, room),
			NearestSize: nearest,
		}
	}
	if tasks > 1 {
		nearest = nearestGang(nearest, capacities, tasks)
	}
	return Verdict{
		Reason:      fmt.Sprintf("no endpoint holds a task of size %+v; ask for at most %+v", w.Size, nearest),
		NearestSize: nearest,
	}
}

func hosts(size Resources, capacities []Resources, tasks int64) bool {
	return totalCopies(size, capacities, tasks) >= tasks
}

func totalCopies(size Resources, capacities []Resources, limit int64) int64 {
	var total int64
	for _, c := range capacities {
		total += size.Copies(c, limit)
		if total >= limit {
			return total
		}
	}
	return total
}

// nearestSingle returns the part of size that the best suited endpoint holds:
// the endpoint with the largest sum of held fractions.
func nearestSingle(size Resources, capacities []Resources) Resources {
	var best Resources
	bestHeld := -1.0
	for _, c := range capacities {
		held := size.Min(c)
		if score := heldFraction(held, size); score > bestHeld {
			best, bestHeld = held, score
		}
	}
	return best
}

func heldFraction(held, size Resources) float64 {
	return fraction(held.MilliCores, size.MilliCores) + fraction(held.MemoryMB, size.MemoryMB) +
		fraction(held.Accelerators, size.Accelerators) + fraction(held.Slots, size.Slots)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// nearestGang scales size down evenly until all tasks fit.
func nearestGang(size Resources, capacities []Resources, tasks int64) Resources {
	low, high := int64(0), int64(scaleSteps)
	for high-low > 1 {
		middle := (low + high) / 2
		if hosts(scaled(size, middle), capacities, tasks) {
			low = middle
		} else {
			high = middle
		}
	}
	return scaled(size, low)
}

func scaled(size Resources, steps int64) Resources {
	r := size.Scale(steps)
	return Resources{
		MilliCores:   r.MilliCores / scaleSteps,
		MemoryMB:     r.MemoryMB / scaleSteps,
		Accelerators: r.Accelerators / scaleSteps,
		Slots:        r.Slots / scaleSteps,
	}
}
