package main

import "github.com/bluebellstile/bluebellstile/internal/placement"

func plus(a, b placement.Resources) placement.Resources {
	return placement.Resources{
		MilliCores: a.MilliCores + b.MilliCores, MemoryMB: a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators, Slots: a.Slots + b.Slots,
	}
}

func minus(a, b placement.Resources) placement.Resources {
	return placement.Resources{
		MilliCores: a.MilliCores - b.MilliCores, MemoryMB: a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators, Slots: a.Slots - b.Slots,
	}
}

func fits(need, free placement.Resources) bool {
	return need.MilliCores <= free.MilliCores && need.MemoryMB <= free.MemoryMB &&
		need.Accelerators <= free.Accelerators && need.Slots <= free.Slots
}

// fractions returns used/capacity per dimension, 0 where the capacity is 0.
func fractions(used, capacity placement.Resources) [4]float64 {
	part := func(u, c int64) float64 {
		if c == 0 {
			return 0
		}
		return float64(u) / float64(c)
	}
	return [4]float64{
		part(used.MilliCores, capacity.MilliCores), part(used.MemoryMB, capacity.MemoryMB),
		part(used.Accelerators, capacity.Accelerators), part(used.Slots, capacity.Slots),
	}
}

// dominant returns the largest fraction of capacity that is used in any
// dimension.
func dominant(used, capacity placement.Resources) float64 {
	largest := 0.0
	for _, x := range fractions(used, capacity) {
		largest = max(largest, x)
	}
	return largest
}
