package main

import "github.com/bluebellstile/bluebellstile/internal/placement"

// boundTable computes an upper bound on how much of one resource any schedule
// could use for the demand at one time, given that a task runs on one endpoint
// only.
type boundTable struct {
	resource  int
	endpoints []placement.Endpoint
	total     placement.Resources
	cache     map[boundKey]float64
}

// maxKinds bounds the task sizes of one scenario.
const maxKinds = 16

type boundKey struct {
	capacity placement.Resources
	kinds    [maxKinds]placement.Resources
}

// bound returns the largest fraction of the resource that can be in use when
// demand holds the number of running and waiting tasks of each size.
//
// Each endpoint is filled as well as possible with any number of tasks of the
// common sizes. Sizes with fewer tasks than endpoints are added in full. Both
// simplifications can only raise the bound.
func (b *boundTable) bound(sizes []placement.Resources, demand map[placement.Resources]int) float64 {
	key := boundKey{}
	n := 0
	var asked, rare placement.Resources
	for _, size := range sizes {
		count := int64(demand[size])
		asked = plus(asked, times(size, count))
		if int(count) < len(b.endpoints) {
			rare = plus(rare, times(size, count))
			continue
		}
		key.kinds[n] = size
		n++
	}
	sum := fractions(rare, b.total)[b.resource]
	for _, ep := range b.endpoints {
		key.capacity = ep.Capacity
		sum += b.bestFill(key) * fractions(ep.Capacity, b.total)[b.resource]
	}
	return min(1, sum, fractions(asked, b.total)[b.resource])
}

// bestFill returns the largest fraction of the resource of one endpoint that tasks
// of the kinds can use. It tries all sums that fit, in whole cores and gigabytes.
func (b *boundTable) bestFill(key boundKey) float64 {
	if known, ok := b.cache[key]; ok {
		return known
	}
	cores, memory, accelerators := int(key.capacity.MilliCores/1000), int(key.capacity.MemoryMB/1000), int(key.capacity.Accelerators)
	at := func(c, m, a int) int { return (c*(memory+1)+m)*(accelerators+1) + a }
	reached := make([]bool, at(cores, memory, accelerators)+1)
	reached[0] = true
	best := 0.0
	for c := 0; c <= cores; c++ {
		for m := 0; m <= memory; m++ {
			for a := 0; a <= accelerators; a++ {
				if !reached[at(c, m, a)] {
					continue
				}
				used := placement.Resources{MilliCores: int64(c) * 1000, MemoryMB: int64(m) * 1000, Accelerators: int64(a)}
				best = max(best, fractions(used, key.capacity)[b.resource])
				for _, k := range key.kinds {
					more := plus(used, k)
					if k != (placement.Resources{}) && fits(more, key.capacity) {
						reached[at(int(more.MilliCores/1000), int(more.MemoryMB/1000), int(more.Accelerators))] = true
					}
				}
			}
		}
	}
	b.cache[key] = best
	return best
}

func times(r placement.Resources, n int64) placement.Resources {
	return placement.Resources{
		MilliCores: r.MilliCores * n, MemoryMB: r.MemoryMB * n, Accelerators: r.Accelerators * n, Slots: r.Slots * n,
	}
}

// bottleneck returns the index of the resource of which the arrivals request the
// largest fraction of the capacity over the whole run.
func bottleneck(arrivals []arrival, total placement.Resources) int {
	var asked [4]float64
	for _, a := range arrivals {
		for i, x := range fractions(a.work.Size, total) {
			for _, run := range a.runTimes {
				asked[i] += x * run.Seconds()
			}
		}
	}
	most := 0
	for i, x := range asked {
		if x > asked[most] {
			most = i
		}
	}
	return most
}

// sizesOf returns the distinct task sizes of the arrivals in order of
// appearance.
func sizesOf(arrivals []arrival) []placement.Resources {
	seen := map[placement.Resources]bool{}
	var out []placement.Resources
	for _, a := range arrivals {
		if !seen[a.work.Size] {
			seen[a.work.Size] = true
			out = append(out, a.work.Size)
		}
	}
	return out
}
