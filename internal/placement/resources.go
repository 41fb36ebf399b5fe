package placement

func (r Resources) add(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

func (r Resources) sub(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - o.MilliCores,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
	}
}

func (r Resources) times(n int64) Resources {
	return Resources{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
	}
}

// atMost returns the smaller value of each dimension.
func (r Resources) atMost(o Resources) Resources {
	return Resources{
		MilliCores:   min(r.MilliCores, o.MilliCores),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
	}
}

// copies returns how many tasks of size need fit into free, at most limit.
func (need Resources) copies(free Resources, limit int64) int64 {
	n := limit
	n = min(n, quotient(free.MilliCores, need.MilliCores, limit))
	n = min(n, quotient(free.MemoryMB, need.MemoryMB, limit))
	n = min(n, quotient(free.Accelerators, need.Accelerators, limit))
	n = min(n, quotient(free.Slots, need.Slots, limit))
	return n
}

// quotient returns free/need, or limit if nothing is needed; it returns 0 for
// an overfull endpoint.
func quotient(free, need, limit int64) int64 {
	if need <= 0 {
		if free < 0 {
			return 0
		}
		return limit
	}
	return max(free, 0) / need
}
