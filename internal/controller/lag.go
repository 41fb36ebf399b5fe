package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

const (
	// lagInterval is how often the holder looks whether it gets the processor
	// in time.
	lagInterval = 50 * time.Millisecond
	// lagNoted is the delay from which on that is logged: a quarter of what an
	// order may take.
	lagNoted = 100 * time.Millisecond
	// lagPause is the least time between two such lines.
	lagPause = time.Second
)

// watchLag measures by how much the process runs later than it should. What is
// late here runs into its deadline whatever the endpoints and the log do.
func (c *Controller) watchLag() error {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	due, worst, noted := c.clock.Now()+lagInterval, time.Duration(0), c.clock.Now()
	used := metrics.ProcessorTime()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-timer.C:
		}
		now := c.clock.Now()
		lag := now - due
		metrics.HolderLag.Observe(lag)
		if worst = max(worst, lag); worst >= lagNoted && now-noted >= lagPause {
			c.log.Warn("the holder gets its processor late", "epoch", c.epoch, "worst", worst.Round(time.Millisecond), "orders_open", c.open.Load(),
				"processors_used", (metrics.ProcessorTime()-used).Seconds()/(now-noted).Seconds())
			worst, noted, used = 0, now, metrics.ProcessorTime()
		}
		due = now + lagInterval
		timer.Reset(lagInterval)
	}
}
