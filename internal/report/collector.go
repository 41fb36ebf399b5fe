package report

import (
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/cespare/xxhash/v2"
)

const (
	// collectorShards is the number of shards, a power of two.
	collectorShards = 16
	// maxShardSeries is the number of series of a shard, over one period, from
	// which on further teams are merged per queue. From twice that number on,
	// further queues are merged too.
	maxShardSeries = 512
)

// Collector counts the starts, answers and lost tasks of the current period. It
// is safe for concurrent use: series are sharded by the hash of team and queue,
// and each shard has its own lock.
type Collector struct {
	objectives Objectives
	shards     [collectorShards]collectorShard
}

// collectorShard holds the series whose keys hash to it.
type collectorShard struct {
	mu     sync.Mutex
	series map[Key]*Series
}

// NewCollector returns an empty collector. The objectives function must be safe
// for concurrent use and must not block.
func NewCollector(objectives Objectives) *Collector {
	c := &Collector{objectives: objectives}
	for i := range c.shards {
		c.shards[i].series = make(map[Key]*Series)
	}
	return c
}

// Started counts the first start of a task that has waited for the given time.
// It counts as late if the wait exceeds the queue's objective; reason is the
// holder's reason for the wait.
func (c *Collector) Started(team, queue string, waited time.Duration, reason string) {
	objective, ok := c.objectives(queue)
	c.update(Key{team, queue}, func(s *Series) {
		s.Counts.Started++
		s.recordWait(waited.Milliseconds(), 1)
		if ok && waited > objective.Within {
			s.Counts.LateBy[causeByWaitReason[reason]]++
		}
	})
}

// Answered counts the answer to a request. It is a bad event if the system is
// responsible for the problem code and the verdict is not Done.
func (c *Collector) Answered(team, queue string, verdict problem.Verdict, code problem.Code) {
	cause, bad := systemFaults[code]
	bad = bad && verdict != problem.Done
	c.update(Key{team, queue}, func(s *Series) {
		s.Counts.Answered++
		if !bad {
			return
		}
		s.Counts.FailedBy[cause]++
		if verdict == problem.NotRun {
			s.Counts.NeverStarted++
			s.Counts.LateBy[cause]++
		}
	})
}

// Lost counts a task of an accepted durable job whose outcome will never be
// known.
func (c *Collector) Lost(team, queue string) {
	c.update(Key{team, queue}, func(s *Series) { s.Counts.Lost++ })
}

// update applies change to the series of a key under the lock of its shard.
func (c *Collector) update(k Key, change func(*Series)) {
	shard := &c.shards[xxhash.Sum64String(k.Team+"\x00"+k.Queue)%collectorShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	change(shard.seriesFor(k))
}

// seriesFor returns the series of a key, creating it if necessary. If the shard
// is full, it returns the series that merges the queue's other teams, and beyond
// twice the bound the series that merges all queues. The caller holds the lock.
func (s *collectorShard) seriesFor(k Key) *Series {
	if series := s.series[k]; series != nil {
		return series
	}
	if len(s.series) >= maxShardSeries {
		k.Team = Other
	}
	if len(s.series) >= 2*maxShardSeries {
		k.Queue = Other
	}
	if s.series[k] == nil {
		s.series[k] = &Series{}
	}
	return s.series[k]
}

// Drain returns the series counted since the last call and resets the collector.
// An event counted concurrently is in the result of this call or of the next,
// never in both.
func (c *Collector) Drain() map[Key]*Series {
	out := make(map[Key]*Series)
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		drained := shard.series
		shard.series = make(map[Key]*Series, len(drained))
		shard.mu.Unlock()
		mergeSeries(out, drained)
	}
	return out
}

// mergeSeries merges the series of from into out. The two may share series
// afterwards.
func mergeSeries(out, from map[Key]*Series) {
	for k, series := range from {
		if present := out[k]; present != nil {
			present.merge(series)
			continue
		}
		out[k] = series
	}
}
