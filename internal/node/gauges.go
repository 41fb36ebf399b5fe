package node

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// gaugeInterval is how often the metrics of the term are brought up to date;
// scrapers come every few seconds.
const gaugeInterval = time.Second

// gauge keeps the metrics of configuration and term up to date.
func (n *Node) gauge() error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	var counted termCounts
	for {
		select {
		case <-ticker.C:
		case <-n.tomb.Dying():
			return nil
		}
		metrics.ProcessorMS.Set(metrics.ProcessorTime().Milliseconds())
		if c := n.catalogs.Catalog(); c != nil {
			metrics.ConfigVersion.Set(c.Version)
			metrics.FreshAgeMS.Set((n.options.Clock.Now() - n.catalogs.Proven()).Milliseconds())
		}
		counted.publish(n.terms.term())
	}
}

// termCounts remembers what of a term's counts has been published.
type termCounts struct {
	epoch int64
	stats controller.Stats
}

// publish adds what a term has done since the last call to the metrics; t is
// nil while this daemon does not hold the cell.
func (tc *termCounts) publish(t *term) {
	if t == nil {
		for _, gauge := range []interface{ Set(int64) }{metrics.HolderEpoch, metrics.OpenJobs, metrics.TasksWaiting, metrics.TasksRunning, metrics.ProofAgeMS} {
			gauge.Set(0)
		}
		return
	}
	if epoch := t.controller.Epoch(); epoch != tc.epoch {
		*tc = termCounts{epoch: epoch}
	}
	now, before := t.controller.Stats(), tc.stats
	tc.stats = now
	metrics.HolderEpoch.Set(tc.epoch)
	metrics.ProofAgeMS.Set(t.controller.ProofAge().Milliseconds())
	metrics.OpenJobs.Set(int64(now.Open))
	metrics.TasksWaiting.Set(int64(now.Waiting))
	metrics.TasksRunning.Set(int64(now.Running))
	metrics.Starts.Add(now.Starts - before.Starts)
	metrics.StartsRefused.Add(now.Refused - before.Refused)
	metrics.StartsUnanswered.Add(now.Doubtful - before.Doubtful)
	metrics.RunsLapsed.Add(now.Lapsed - before.Lapsed)
	metrics.RunsEvicted.Add(now.Evicted - before.Evicted)
	metrics.Paces.Add(now.Paces - before.Paces)
	metrics.Reports.Add(now.Holds - before.Holds)
	metrics.Questions.Add(now.Questions - before.Questions)
}
