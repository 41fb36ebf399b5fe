// Package fairshare divides capacity among customers in proportion to their weights, by
// dominant resource. It answers customers that together ask for more than there is, some of
// them for many times what is theirs: what one doesn't use goes to the others, and who is
// over its share waits. It performs no I/O and reads no clock.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Customer is what a customer has and asks for.
type Customer struct {
	// Weight is the customer's part when all is full. One that is not a positive number
	// counts as the smallest.
	Weight float64
	// Used is what its running tasks occupy, Waiting what its waiting ones would.
	Used    resource.Vector
	Waiting resource.Vector
}

// Weights are bounded so that no value of a configuration makes sums overflow or
// a customer's share vanish.
const (
	minWeight = 1e-3
	maxWeight = 1e9
)

// Division is a division of a capacity.
type Division struct {
	// Contended is set if the customers ask for more than the capacity.
	Contended bool
	// Shares are the customers' parts of the capacity, from 0 to 1.
	Shares map[string]float64
	// used are the parts that they use.
	used map[string]float64
}

// Divide divides a capacity. Each customer gets what it asks for, or as much for each unit of
// its weight as the others that get less than they ask for.
func Divide(capacity resource.Vector, customers map[string]Customer) Division {
	d := Division{Shares: make(map[string]float64, len(customers)), used: make(map[string]float64, len(customers))}
	type claim struct {
		name           string
		asked, weight  float64
		askedPerWeight float64
	}
	claims := make([]claim, 0, len(customers))
	total, weights := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(customers)) {
		c := customers[name]
		weight := boundedWeight(c.Weight)
		asked := Dominant(c.Used.Add(c.Waiting), capacity)
		d.used[name] = Dominant(c.Used, capacity)
		claims = append(claims, claim{name: name, asked: asked, weight: weight, askedPerWeight: asked / weight})
		total, weights = total+asked, weights+weight
	}
	d.Contended = total > 1
	slices.SortStableFunc(claims, func(a, b claim) int { return cmp.Compare(a.askedPerWeight, b.askedPerWeight) })
	left := 1.0
	for _, c := range claims {
		share := min(c.asked, max(left, 0)*c.weight/weights)
		d.Shares[c.name] = share
		left, weights = left-share, weights-c.weight
	}
	return d
}

// Over reports whether a customer uses more than its share of a contended capacity, by more
// than tolerance, a fraction of the share.
func (d *Division) Over(customer string, tolerance float64) bool {
	return d.Contended && d.used[customer] > d.Shares[customer]*(1+tolerance)
}

// Used returns the part of the capacity that a customer uses.
func (d *Division) Used(customer string) float64 { return d.used[customer] }

// Dominant returns the largest part of a capacity that an amount takes in any dimension.
func Dominant(amount, capacity resource.Vector) float64 {
	part := 0.0
	for _, pair := range [...][2]int64{
		{amount.MilliCores, capacity.MilliCores},
		{amount.MemoryMB, capacity.MemoryMB},
		{amount.Accelerators, capacity.Accelerators},
		{amount.Slots, capacity.Slots},
	} {
		if pair[0] > 0 && pair[1] > 0 {
			part = max(part, float64(pair[0])/float64(pair[1]))
		}
	}
	return part
}

func boundedWeight(weight float64) float64 {
	if math.IsNaN(weight) {
		return minWeight
	}
	return min(max(weight, minWeight), maxWeight)
}
