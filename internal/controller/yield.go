package controller

import (
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
)

// noteYielding counts the steps that wait for gangs of a better priority, and logs each of
// them the first time.
func (c *Core) noteYielding(demands []*scheduler.Demand) {
	metrics.StepsYielding.Set(int64(len(demands)))
	for _, d := range demands {
		entry := c.steps[d.Step]
		if entry == nil || entry.yielding {
			continue
		}
		entry.yielding = true
		c.log.Info("step waits for gangs of a better priority", "job", d.Step.Job.ID, "step", d.Step.Name(), "queue", d.Step.Job.Queue,
			"tasks", len(d.Tasks), "latest_start_in", d.LatestStart-c.plannedAt)
	}
}
