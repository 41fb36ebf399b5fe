package placement

import "fmt"

// scaleSteps is the resolution of the search for a gang's nearest size.
const scaleSteps = 1024

// checkFeasibility compares w with the capacities of the endpoints of its kind,
// assuming that they are empty. If no endpoint is known, the work is accepted.
func checkFeasibility(w Work, capacities []Resources) Feasibility {
	if len(capacities) == 0 {
		return Feasibility{Feasible: true, Reason: "no endpoint of this kind is known yet"}
	}
	tasks := int64(1)
	if w.Gang {
		tasks = int64(max(1, len(w.Tasks)))
	}
	if canHost(w.Size, capacities, tasks) {
		return Feasibility{Feasible: true}
	}
	nearest := nearestSingle(w.Size, capacities)
	if nearest == w.Size {
		nearest = nearestGang(w.Size, capacities, tasks)
		fitting := totalCopies(w.Size, capacities, tasks)
		return Feasibility{
			Reason:      fmt.Sprintf("the gang has %d tasks and the empty endpoints hold %d of this size; submit fewer or smaller tasks", tasks, fitting),
			NearestSize: nearest,
		}
	}
	if tasks > 1 {
		nearest = nearestGang(nearest, capacities, tasks)
	}
	return Feasibility{
		Reason:      fmt.Sprintf("no endpoint holds a task of size %+v; ask for at most %+v", w.Size, nearest),
		NearestSize: nearest,
	}
}

func canHost(size Resources, capacities []Resources, tasks int64) bool {
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

// nearestSingle returns the part of size that fits on the best suited endpoint,
// the one with the largest sum of fitting fractions.
func nearestSingle(size Resources, capacities []Resources) Resources {
	var best Resources
	bestScore := -1.0
	for _, c := range capacities {
		fitting := size.Min(c)
		if score := fittingFraction(fitting, size); score > bestScore {
			best, bestScore = fitting, score
		}
	}
	return best
}

func fittingFraction(fitting, size Resources) float64 {
	return fraction(fitting.MilliCores, size.MilliCores) + fraction(fitting.MemoryMB, size.MemoryMB) +
		fraction(fitting.Accelerators, size.Accelerators) + fraction(fitting.Slots, size.Slots)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// nearestGang scales size down by the same factor in all dimensions until all
// tasks fit.
func nearestGang(size Resources, capacities []Resources, tasks int64) Resources {
	low, high := int64(0), int64(scaleSteps)
	for high-low > 1 {
		middle := (low + high) / 2
		if canHost(scaled(size, middle), capacities, tasks) {
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
