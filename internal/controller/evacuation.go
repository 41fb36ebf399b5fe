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
func (c *Core) SetEvacuations(now clock.Instant, zones evacuation.Zones) {
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
	metrics.ZonesEvacuated.Set(int64(len(zones)))
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

// mayStart reports whether a planned start may be sent, given what has changed since the
// plan.
func (c *Core) mayStart(now clock.Instant, s *plannedStart) bool {
	if c.isEvacuated(s.run.Endpoint) {
		c.log.Info("start withdrawn, the availability zone is being emptied", "task", s.run.Task, "run", s.run.Number,
			"endpoint", s.run.Endpoint.ID, "zone", s.run.Endpoint.AvailabilityZone)
		metrics.StartsWithdrawn.Add("evacuation", 1)
		return false
	}
	return c.permitted(now, s)
}
