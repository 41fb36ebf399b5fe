package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

const (
	// lagInterval is how often scheduling lag is measured.
	lagInterval = 50 * time.Millisecond
	// lagLogThreshold is the lag from which it is logged: a quarter of an
	// order's timeout.
	lagLogThreshold = 100 * time.Millisecond
	// lagLogInterval is the shortest time between two such log lines.
	lagLogInterval = time.Second
)

// watchLag measures how much later than due the process gets the processor.
// Late work misses its deadlines however fast the endpoints and the log are.
func (c *Controller) watchLag() error {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	due, worst, loggedAt := c.clock.Now()+lagInterval, time.Duration(0), c.clock.Now()
	processorTime := metrics.ProcessorTime()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-timer.C:
		}
		now := c.clock.Now()
		lag := now - due
		metrics.HolderLag.Observe(lag)
		if worst = max(worst, lag); worst >= lagLogThreshold && now-loggedAt >= lagLogInterval {
			c.log.Warn("the holder gets its processor late", "epoch", c.epoch, "worst", worst.Round(time.Millisecond), "orders_open", c.openOrders.Load(),
				"processors_used", (metrics.ProcessorTime()-processorTime).Seconds()/(now-loggedAt).Seconds())
			worst, loggedAt, processorTime = 0, now, metrics.ProcessorTime()
		}
		due = now + lagInterval
		timer.Reset(lagInterval)
	}
}
