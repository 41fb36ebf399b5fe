package placement

// dimensions is the number of resource dimensions, the fields of Resources.
const dimensions = 4

// vector holds a value per resource dimension in floating point, for fractions
// of a capacity.
type vector [dimensions]float64

func toVector(r Resources) vector {
	return vector{float64(r.MilliCores), float64(r.MemoryMB), float64(r.Accelerators), float64(r.Slots)}
}

// inverse returns 1/r per dimension, 0 where r is 0.
func inverse(r Resources) vector {
	v := toVector(r)
	for i, x := range v {
		if x > 0 {
			v[i] = 1 / x
		}
	}
	return v
}

// dominantShare returns the maximum over all dimensions of used/capacity, where
// scale is 1/capacity.
func dominantShare(used Resources, scale vector) float64 {
	largest := 0.0
	for i, x := range toVector(used) {
		largest = max(largest, x*scale[i])
	}
	return largest
}
