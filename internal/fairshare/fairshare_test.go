package fairshare

import (
	"fmt"
	"math"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"pgregory.net/rapid"
)

var capacity = resource.Vector{MilliCores: 100_000, MemoryMB: 100_000}

func amount(cores, gigabytes int64) resource.Vector {
	return resource.Vector{MilliCores: 1000 * cores, MemoryMB: 1000 * gigabytes}
}

// TestHotCustomer has one customer ask for many times what is there beside small ones.
func TestHotCustomer(t *testing.T) {
	for name, c := range map[string]struct {
		customers map[string]Customer
		// shares are the expected ones; the hot customer is over its share if over is set.
		shares map[string]float64
		over   bool
	}{
		"small ones get all they ask for": {
			map[string]Customer{"hot": {Weight: 1, Used: amount(90, 0), Waiting: amount(900, 0)}, "a": {Weight: 1, Used: amount(10, 0)}, "b": {Weight: 1, Waiting: amount(20, 0)}},
			map[string]float64{"hot": 0.7, "a": 0.1, "b": 0.2}, true,
		},
		"by weight": {
			map[string]Customer{"hot": {Weight: 30, Used: amount(60, 0), Waiting: amount(900, 0)}, "a": {Weight: 10, Waiting: amount(500, 0)}},
			map[string]float64{"hot": 0.75, "a": 0.25}, false,
		},
		"what others leave is not over": {
			map[string]Customer{"hot": {Weight: 1, Used: amount(85, 0), Waiting: amount(5, 0)}, "a": {Weight: 50, Used: amount(5, 0)}},
			map[string]float64{"hot": 0.9, "a": 0.05}, false,
		},
		"different resources": {
			map[string]Customer{"hot": {Weight: 1, Used: amount(80, 10)}, "a": {Weight: 1, Used: amount(10, 80)}},
			map[string]float64{"hot": 0.8, "a": 0.8}, false,
		},
		"one resource is scarce": {
			map[string]Customer{"hot": {Weight: 1, Used: amount(90, 0), Waiting: amount(90, 0)}, "a": {Weight: 1, Waiting: amount(60, 0)}, "memory": {Weight: 1, Used: amount(0, 90)}},
			map[string]float64{"hot": 0.5, "a": 0.5, "memory": 0.9}, true,
		},
		"weights out of range": {
			map[string]Customer{"hot": {Weight: math.Inf(1), Waiting: amount(900, 0)}, "zero": {Waiting: amount(900, 0)}, "a": {Weight: -3, Waiting: amount(900, 0)}, "b": {Weight: math.NaN(), Waiting: amount(1, 0)}},
			map[string]float64{"hot": 1, "zero": 1e-12, "a": 1e-12, "b": 1e-12}, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := Divide(capacity, c.customers)
			for customer, want := range c.shares {
				if got := d.Shares[customer]; math.Abs(got-want) > 1e-9 {
					t.Errorf("the share of %s is %v, want %v", customer, got, want)
				}
			}
			if got := d.Over("hot", 0.25); got != c.over {
				t.Errorf("over its share: %v, want %v", got, c.over)
			}
		})
	}
}

// TestDivisionConservesCapacity checks random loads: the shares fit together, and a customer
// gets less than it asks for only if a resource that it needs is used up.
func TestDivisionConservesCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		customers := make(map[string]Customer)
		for i := range rapid.IntRange(0, 8).Draw(t, "customers") {
			part := rapid.Int64Range(0, 150)
			customers[fmt.Sprint(i)] = Customer{
				Weight: rapid.OneOf(rapid.Float64Range(-1, 100), rapid.SampledFrom([]float64{0, math.Inf(1), math.NaN(), 1e300})).Draw(t, "weight"),
				Used:   amount(part.Draw(t, "used"), part.Draw(t, "used")), Waiting: amount(part.Draw(t, "waiting"), part.Draw(t, "waiting")),
			}
		}
		d := Divide(capacity, customers)
		used := [resources]float64{}
		for name, c := range customers {
			asked := c.Used.Add(c.Waiting)
			if dominant := Dominant(asked, capacity); dominant > 0 {
				for k, part := range parts(asked, capacity) {
					used[k] += part * d.Shares[name] / dominant
				}
			}
		}
		const rounding = 1e-6
		for k, part := range used {
			if part > 1+rounding {
				t.Fatalf("%v of resource %d is given away", part, k)
			}
		}
		for name, c := range customers {
			asked := c.Used.Add(c.Waiting)
			if d.Shares[name] >= Dominant(asked, capacity)-rounding {
				continue
			}
			scarce := false
			for k, part := range parts(asked, capacity) {
				scarce = scarce || part > 0 && used[k] > 1-rounding
			}
			if !scarce {
				t.Fatalf("%s gets %v of what it asks for although nothing is used up", name, d.Shares[name])
			}
		}
	})
}
