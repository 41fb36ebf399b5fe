// Package resource describes the resources that tasks need and endpoints offer.
package resource

// Vector is an amount of each resource.
type Vector struct {
	// MilliCores is in thousandths of a core.
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
	// Slots counts the tasks of service runners, each of which takes one slot.
	Slots int64
}

// Fits reports whether r fits into free in every dimension.
func (r Vector) Fits(free Vector) bool {
	return r.MilliCores <= free.MilliCores &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots
}

// Max returns the larger value of r and o in each dimension.
func (r Vector) Max(o Vector) Vector {
	return Vector{
		MilliCores:   max(r.MilliCores, o.MilliCores),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
	}
}

// Add returns r plus o.
func (r Vector) Add(o Vector) Vector {
	return Vector{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Sub returns r minus o. A dimension may become negative.
func (r Vector) Sub(o Vector) Vector {
	return Vector{
		MilliCores:   r.MilliCores - o.MilliCores,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
	}
}

// Scale returns n times r.
func (r Vector) Scale(n int64) Vector {
	return Vector{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
	}
}

// Min returns the smaller value of r and o in each dimension.
func (r Vector) Min(o Vector) Vector {
	return Vector{
		MilliCores:   min(r.MilliCores, o.MilliCores),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
	}
}

// Copies returns how many tasks of size r fit into free together, at most
// limit.
func (r Vector) Copies(free Vector, limit int64) int64 {
	n := limit
	n = min(n, quotient(free.MilliCores, r.MilliCores, limit))
	n = min(n, quotient(free.MemoryMB, r.MemoryMB, limit))
	n = min(n, quotient(free.Accelerators, r.Accelerators, limit))
	n = min(n, quotient(free.Slots, r.Slots, limit))
	return n
}

// quotient returns free/need, or limit if nothing is needed. It returns 0 if
// free is negative, as on an overcommitted endpoint.
func quotient(free, need, limit int64) int64 {
	if need <= 0 {
		if free < 0 {
			return 0
		}
		return limit
	}
	return max(free, 0) / need
}
