package placement

// fits reports whether r is at most free in every dimension.
func (r Resources) fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots
}

// atLeast returns the larger value of each dimension.
func (r Resources) atLeast(o Resources) Resources {
	return Resources{
		MilliCores:   max(r.MilliCores, o.MilliCores),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
	}
}

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

// copies returns how many tasks of size r fit into free, at most limit.
func (r Resources) copies(free Resources, limit int64) int64 {
	n := limit
	n = min(n, quotient(free.MilliCores, r.MilliCores, limit))
	n = min(n, quotient(free.MemoryMB, r.MemoryMB, limit))
	n = min(n, quotient(free.Accelerators, r.Accelerators, limit))
	n = min(n, quotient(free.Slots, r.Slots, limit))
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
