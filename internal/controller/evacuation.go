package controller

import (
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/evacuation"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// SetEvacuations sets the availability zones that the operator empties. Nothing is started
// there from now on; what runs goes on. Starts that wait for their records are withdrawn,
// and their tasks wait again.
func (c *Core) SetEvacuations(zones evacuation.Zones) {
	if !c.params.Features.Evacuation {
		return
	}
	added, removed := c.evacuated.Changes(zones)
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	for _, zone := range added {
		endpoints, runs := c.countInZone(zone)
		if endpoints == 0 {
			c.log.Warn("no endpoint is registered in an availability zone that is to be emptied; check its name", "zone", zone)
		}
		c.log.Info("availability zone is being emptied, nothing new is started there", "zone", zone, "endpoints", endpoints, "runs", runs)
	}
	for _, zone := range removed {
		c.log.Info("availability zone is used again", "zone", zone)
	}
	c.evacuated = zones
	c.fleet.SetClosedZones(zones)
	c.planDue = true
}

// countInZone returns the number of listed endpoints in an availability zone and of the
// runs on all endpoints there.
func (c *Core) countInZone(zone string) (endpoints, runs int) {
	for _, e := range c.fleet.Endpoints() {
		if e.AvailabilityZone != zone {
			continue
		}
		runs += len(e.Runs())
		if e.Listed {
			endpoints++
		}
	}
	return endpoints, runs
}

// isEvacuated reports whether nothing may be started on an endpoint because its
// availability zone is being emptied.
func (c *Core) isEvacuated(e *fleet.Endpoint) bool { return c.evacuated[e.AvailabilityZone] }

// mayStart reports whether a group of planned starts may be sent, given what has changed
// since the plan: one start, or those of all members of a gang.
func (c *Core) mayStart(now clock.Instant, group []*plannedStart) bool {
	if closed := c.firstEvacuated(group); closed != nil {
		for _, s := range group {
			c.log.Info("start withdrawn, an availability zone is being emptied", "task", s.run.Task, "run", s.run.Number,
				"endpoint", s.run.Endpoint.ID, "zone", closed.AvailabilityZone)
		}
		metrics.StartsWithdrawn.Add("evacuation", int64(len(group)))
		return false
	}
	permitted := true
	for _, s := range group {
		permitted = c.permitted(now, s) && permitted
	}
	return permitted
}

// firstEvacuated returns the first endpoint of a group of starts whose availability zone is
// being emptied, or nil.
func (c *Core) firstEvacuated(group []*plannedStart) *fleet.Endpoint {
	for _, s := range group {
		if c.isEvacuated(s.run.Endpoint) {
			return s.run.Endpoint
		}
	}
	return nil
}
