package node

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// metricsInterval is how often the metrics of the term are updated. They are
// scraped every few seconds.
const metricsInterval = time.Second

// updateMetrics updates the metrics of the process, the configuration and the
// term until the daemon stops.
func (n *Node) updateMetrics() error {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	var published publishedStats
	for {
		select {
		case <-ticker.C:
		case <-n.tomb.Dying():
			return nil
		}
		metrics.ProcessorMS.Set(metrics.ProcessorTime().Milliseconds())
		if c := n.catalogs.Catalog(); c != nil {
			metrics.ConfigVersion.Set(c.Version)
			metrics.FreshAgeMS.Set((n.options.Clock.Now() - n.catalogs.ConfirmedAt()).Milliseconds())
		}
		published.publish(n.terms.term())
	}
}

// publishedStats holds the statistics of a term that have already been added to
// the metrics.
type publishedStats struct {
	epoch int64
	stats controller.Stats
}

// publish adds the changes of a term's statistics since the last call to the
// metrics. t is nil while this daemon does not hold the cell.
func (ps *publishedStats) publish(t *term) {
	if t == nil {
		for _, gauge := range []interface{ Set(int64) }{metrics.HolderEpoch, metrics.OpenJobs, metrics.TasksWaiting, metrics.TasksRunning, metrics.ProofAgeMS, metrics.ZonesEvacuated, metrics.RunsInEvacuated} {
			gauge.Set(0)
		}
		return
	}
	if epoch := t.controller.Epoch(); epoch != ps.epoch {
		*ps = publishedStats{epoch: epoch}
	}
	now, before := t.controller.Stats(), ps.stats
	ps.stats = now
	metrics.HolderEpoch.Set(ps.epoch)
	metrics.ProofAgeMS.Set(t.controller.ProofAge().Milliseconds())
	metrics.OpenJobs.Set(int64(now.Open))
	metrics.TasksWaiting.Set(int64(now.Waiting))
	metrics.TasksRunning.Set(int64(now.Running))
	metrics.ZonesEvacuated.Set(int64(now.Evacuated))
	metrics.RunsInEvacuated.Set(int64(now.InEvacuated))
	metrics.Starts.Add(now.Starts - before.Starts)
	metrics.StartsRefused.Add(now.Refused - before.Refused)
	metrics.StartsUnanswered.Add(now.Doubtful - before.Doubtful)
	metrics.RunsLapsed.Add(now.Lapsed - before.Lapsed)
	metrics.RunsEvicted.Add(now.Evicted - before.Evicted)
	metrics.PaceOrders.Add(now.Paces - before.Paces)
	metrics.EndpointReports.Add(now.Holds - before.Holds)
	metrics.EligibilityQuestions.Add(now.Questions - before.Questions)
}
