package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fairshare"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
)

const (
	// shareTolerance is the fraction of its share by which a customer may exceed it before
	// its work goes behind that of others, until it is within its share again: tasks come in
	// steps, and a share moves with each.
	shareTolerance = 0.25
	// divisionInterval is the time between divisions.
	divisionInterval = 100 * time.Millisecond
)

// shares divides the usable endpoints of each pool among the customers. All of it follows
// from the runs, the waiting steps and the configuration, so that a new term needs no record.
type shares struct {
	dividedAt time.Duration
	// over holds the customers that use more than their shares, by pool.
	over map[poolCustomer]bool
	// oddWeights holds the weights that are out of range, by customer, in the configuration
	// of the version weightsOf.
	oddWeights map[string]float64
	weightsOf  int64
}

type poolCustomer struct{ pool, customer string }

// markOverShare marks the demands of the customers that use more than their shares of the
// hosts of a pool while there is less room than all ask for.
func (c *Core) markOverShare(now clock.Instant, s *scheduler.Snapshot) {
	if c.shares == nil {
		c.shares = &shares{}
	}
	if sh := c.shares; sh.over == nil || now.Steady-sh.dividedAt >= divisionInterval {
		sh.dividedAt = now.Steady
		c.divide(s)
	}
	for _, d := range s.Demands {
		d.OverShare = c.shares.over[poolCustomer{d.Pool, d.Step.Job.Customer}]
	}
}

// divide divides the hosts of each pool.
func (c *Core) divide(s *scheduler.Snapshot) {
	capacities := make(map[string]resource.Vector)
	pools := make(map[string]map[string]fairshare.Customer)
	customerOf := func(pool, name string, change func(*fairshare.Customer)) {
		if name == "" {
			return
		}
		if pools[pool] == nil {
			pools[pool] = make(map[string]fairshare.Customer)
		}
		customer, known := pools[pool][name]
		if !known {
			customer.Weight = c.catalog.Customers[name].Weight
		}
		change(&customer)
		pools[pool][name] = customer
	}
	for _, h := range s.Hosts {
		pool := h.Endpoint.Pool
		capacities[pool] = capacities[pool].Add(h.Endpoint.Capacity)
		for _, r := range h.Endpoint.Runs() {
			customerOf(pool, r.Customer, func(customer *fairshare.Customer) { customer.Used = customer.Used.Add(r.Charge) })
		}
	}
	for _, d := range s.Demands {
		if !d.Excess {
			waiting := d.Step.Spec.Charge().Scale(int64(len(d.Tasks)))
			customerOf(d.Pool, d.Step.Job.Customer, func(customer *fairshare.Customer) { customer.Waiting = customer.Waiting.Add(waiting) })
		}
	}
	over := make(map[poolCustomer]bool)
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		for name, customer := range pools[pool] {
			customer.Waiting = c.withinCap(name, customer.Waiting)
			pools[pool][name] = customer
		}
		division := fairshare.Divide(capacities[pool], pools[pool])
		for _, name := range slices.Sorted(maps.Keys(pools[pool])) {
			key := poolCustomer{pool, name}
			before, tolerance := c.shares.over[key], shareTolerance
			if before {
				tolerance = 0
			}
			if division.Over(name, tolerance) {
				over[key] = true
			}
			if over[key] != before {
				c.log.Info("customer has gone over its share or back", "customer", name, "pool", pool, "over", over[key],
					"share", division.Shares[name], "used", division.Used[name], "weight", pools[pool][name].Weight)
			}
		}
	}
	c.noteOver(over)
	c.noteOddWeights()
}

// isOverShare reports whether a customer used more than its share of a pool at the last plan.
func (c *Core) isOverShare(pool, customer string) bool {
	return c.shares != nil && c.shares.over[poolCustomer{pool, customer}]
}

// withinCap returns what of a customer's waiting work its cap lets it run beside what runs.
func (c *Core) withinCap(name string, waiting resource.Vector) resource.Vector {
	limit, used := c.catalog.Customers[name].Cap, c.fleet.Usage(name)
	if limit.MilliCores > 0 {
		waiting.MilliCores = min(waiting.MilliCores, max(limit.MilliCores-used.MilliCores, 0))
	}
	if limit.MemoryMB > 0 {
		waiting.MemoryMB = min(waiting.MemoryMB, max(limit.MemoryMB-used.MemoryMB, 0))
	}
	if limit.Accelerators > 0 {
		waiting.Accelerators = min(waiting.Accelerators, max(limit.Accelerators-used.Accelerators, 0))
	}
	return waiting
}

// noteOver keeps the customers that are over their shares; there are none while nothing waits.
func (c *Core) noteOver(over map[poolCustomer]bool) {
	if c.shares != nil {
		c.shares.over = over
		metrics.CustomersOverShare.Set(int64(len(over)))
	}
}

// noteOddWeights logs each customer whose weight is out of range when a configuration brings
// that weight.
func (c *Core) noteOddWeights() {
	if c.shares.weightsOf == c.catalog.Version {
		return
	}
	odd := make(map[string]float64)
	for _, name := range slices.Sorted(maps.Keys(c.catalog.Customers)) {
		weight := c.catalog.Customers[name].Weight
		bounded := fairshare.BoundedWeight(weight)
		if weight == bounded {
			continue
		}
		odd[name] = weight
		if last, noted := c.shares.oddWeights[name]; !noted || last != weight {
			c.log.Warn("weight of a customer is out of range", "customer", name, "weight", weight, "counts_as", bounded, "config", c.catalog.Version)
		}
	}
	c.shares.oddWeights, c.shares.weightsOf = odd, c.catalog.Version
}
