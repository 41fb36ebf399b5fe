package controller

import (
	"maps"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/fairshare"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
)

// shareTolerance is the fraction of its share by which a customer may exceed it before its
// work goes behind that of others: tasks come in steps, and a share moves with each.
const shareTolerance = 0.25

// markOverShare marks the demands of the customers that use more than their shares of the
// hosts while there is less room than all ask for.
func (c *Core) markOverShare(s *scheduler.Snapshot) {
	capacity := resource.Vector{}
	for _, h := range s.Hosts {
		capacity = capacity.Add(h.Endpoint.Capacity)
	}
	customers := make(map[string]fairshare.Customer)
	for name := range c.catalog.Customers {
		if used := c.fleet.Usage(name); used != (resource.Vector{}) {
			customers[name] = fairshare.Customer{Weight: c.catalog.Customers[name].Weight, Used: used}
		}
	}
	for _, d := range s.Demands {
		name := d.Step.Job.Customer
		if d.Excess || name == "" {
			continue
		}
		customer := customers[name]
		customer.Weight = c.catalog.Customers[name].Weight
		customer.Waiting = customer.Waiting.Add(d.Step.Spec.Size.Scale(int64(len(d.Tasks))))
		customers[name] = customer
	}
	division := fairshare.Divide(capacity, customers)
	over := make(map[string]bool, len(customers))
	for name := range customers {
		over[name] = division.Over(name, shareTolerance)
	}
	for _, d := range s.Demands {
		d.OverShare = over[d.Step.Job.Customer]
	}
	c.noteShares(over, division)
}

// noteShares logs and counts the customers over their shares when they have changed.
func (c *Core) noteShares(over map[string]bool, division fairshare.Division) {
	n := 0
	for _, name := range slices.Sorted(maps.Keys(over)) {
		if over[name] {
			n++
		}
		if over[name] != c.overShare[name] {
			c.log.Info("customer has gone over its share or back", "customer", name, "over", over[name],
				"share", division.Shares[name], "used", division.Used(name))
		}
	}
	c.overShare = over
	metrics.CustomersOverShare.Set(int64(n))
}
