// Package fairshare divides capacity among customers in proportion to their weights, by
// dominant resource. It answers customers that together ask for more than there is, some of
// them for many times what is theirs: what one doesn't use goes to the others, and who is
// over its share waits. It performs no I/O and reads no clock.
package fairshare

import (
	"maps"
	"math"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Customer is what a customer has and asks for.
type Customer struct {
	// Weight is the customer's part when all is full; see BoundedWeight.
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

// BoundedWeight returns the weight with which a customer counts: the nearest one in the
// range of weights, and the smallest one for what is no number.
func BoundedWeight(weight float64) float64 {
	if math.IsNaN(weight) {
		return minWeight
	}
	return min(max(weight, minWeight), maxWeight)
}

// Division is a division of a capacity.
type Division struct {
	// Contended is set if the customers ask for more of a resource than there is.
	Contended bool
	// Shares are the customers' parts of the capacity, from 0 to 1, in the resource of
	// which each asks for the largest part.
	Shares map[string]float64
	// Used are the parts that they use.
	Used map[string]float64
}

// Over reports whether a customer uses more than its share of a contended capacity, by more
// than tolerance, a fraction of the share.
func (d *Division) Over(customer string, tolerance float64) bool {
	return d.Contended && d.Used[customer] > d.Shares[customer]*(1+tolerance)
}

// claim is what one customer asks for and gets.
type claim struct {
	name string
	// asked are the parts of each resource that it asks for, dominant the largest of them.
	asked    [resources]float64
	dominant float64
	weight   float64
	share    float64
	settled  bool
}

// Divide divides a capacity. The shares of all customers grow together, each at the rate of
// its weight, until one has what it asks for or a resource that it needs is used up.
func Divide(capacity resource.Vector, customers map[string]Customer) Division {
	d := Division{Shares: make(map[string]float64, len(customers)), Used: make(map[string]float64, len(customers))}
	claims := make([]claim, 0, len(customers))
	total := [resources]float64{}
	for _, name := range slices.Sorted(maps.Keys(customers)) {
		customer := customers[name]
		c := claim{name: name, weight: BoundedWeight(customer.Weight), asked: parts(customer.Used.Add(customer.Waiting), capacity)}
		for k, part := range c.asked {
			c.dominant = max(c.dominant, part)
			total[k] += part
		}
		d.Used[name] = Dominant(customer.Used, capacity)
		claims = append(claims, c)
	}
	d.Contended = slices.Max(total[:]) > 1
	fill(claims)
	for i := range claims {
		d.Shares[claims[i].name] = claims[i].share
	}
	return d
}

// fill gives each claim its share. Each round ends when a claim has what it asks for, or a
// resource is used up, which settles all claims on it.
func fill(claims []claim) {
	left := [resources]float64{}
	for k := range left {
		left[k] = 1
	}
	for {
		// rates is how much of each resource the open claims take per unit of growth.
		rates, growth := [resources]float64{}, math.Inf(1)
		for i := range claims {
			c := &claims[i]
			if c.settled = c.settled || c.share >= c.dominant; c.settled {
				continue
			}
			growth = min(growth, (c.dominant-c.share)/c.weight)
			for k, part := range c.asked {
				rates[k] += c.weight * part / c.dominant
			}
		}
		if math.IsInf(growth, 1) {
			return
		}
		scarce := -1
		for k, rate := range rates {
			if rate > 0 && left[k]/rate <= growth {
				growth, scarce = left[k]/rate, k
			}
		}
		for k, rate := range rates {
			left[k] = max(left[k]-rate*growth, 0)
		}
		grow(claims, growth, scarce)
	}
}

// grow adds to the open claims and settles those that are satisfied and those on the scarce
// resource, -1 if there is none.
func grow(claims []claim, growth float64, scarce int) {
	const rounding = 1e-9
	for i := range claims {
		c := &claims[i]
		if c.settled {
			continue
		}
		c.share += c.weight * growth
		if c.share >= c.dominant*(1-rounding) {
			c.share, c.settled = c.dominant, true
		}
		if scarce >= 0 && c.asked[scarce] > 0 {
			c.settled = true
		}
	}
}

// Dominant returns the largest part of a capacity that an amount takes in any resource.
func Dominant(amount, capacity resource.Vector) float64 {
	p := parts(amount, capacity)
	return slices.Max(p[:])
}

// resources is the number of resources that are divided.
const resources = 4

// parts returns the parts of a capacity that an amount takes. Of a resource that there is
// none of it takes none.
func parts(amount, capacity resource.Vector) [resources]float64 {
	p := [resources]float64{}
	for k, pair := range [resources][2]int64{
		{amount.MilliCores, capacity.MilliCores},
		{amount.MemoryMB, capacity.MemoryMB},
		{amount.Accelerators, capacity.Accelerators},
		{amount.Slots, capacity.Slots},
	} {
		if pair[0] > 0 && pair[1] > 0 {
			p[k] = float64(pair[0]) / float64(pair[1])
		}
	}
	return p
}
