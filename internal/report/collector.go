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
	// maxShardSeries bounds the series of a shard over one period. The teams
	// beyond it are merged per queue.
	maxShardSeries = 512
)

// Collector counts starts and answers. It is safe for concurrent use; its
// shards are chosen by the hash of team and queue, each under its own lock.
type Collector struct {
	objectives Objectives
	shards     [collectorShards]collectorShard
}

// collectorShard holds the series whose hash leads to it.
type collectorShard struct {
	mu     sync.Mutex
	series map[Key]*Series
}

// NewCollector returns an empty collector. Objectives must be safe for
// concurrent use and must not block.
func NewCollector(objectives Objectives) *Collector {
	c := &Collector{objectives: objectives}
	for i := range c.shards {
		c.shards[i].series = make(map[Key]*Series)
	}
	return c
}

// Started counts the first start of a task after it has waited. It is late if
// that took longer than the queue's objective.
func (c *Collector) Started(team, queue string, waited time.Duration, cause string) {
	objective, ok := c.objectives(queue)
	c.count(Key{team, queue}, func(s *Series) {
		s.Counts.Started++
		s.wait(waited.Milliseconds(), 1)
		if ok && waited > objective.Within {
			s.Counts.LateBy[waitCauses[cause]]++
		}
	})
}

// Answered counts the answer to a request.
func (c *Collector) Answered(team, queue string, verdict problem.Verdict, code problem.Code) {
	cause, bad := blamed[code]
	bad = bad && verdict != problem.Done
	c.count(Key{team, queue}, func(s *Series) {
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

// Lost counts a task of an accepted durable job whose outcome is unknown for
// good.
func (c *Collector) Lost(team, queue string) {
	c.count(Key{team, queue}, func(s *Series) { s.Counts.Lost++ })
}

// count changes the series of a key under its shard's lock.
func (c *Collector) count(k Key, change func(*Series)) {
	shard := &c.shards[xxhash.Sum64String(k.Team+"\x00"+k.Queue)%collectorShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	change(shard.at(k))
}

// at returns the series of a key, or that of its queue's other teams if the
// shard is full. The caller holds the lock.
func (s *collectorShard) at(k Key) *Series {
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

// TakeSeries returns what was counted since the last call and starts anew. An
// event that happens meanwhile is in the result of this call or of the next,
// never in both.
func (c *Collector) TakeSeries() map[Key]*Series {
	out := make(map[Key]*Series)
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		taken := shard.series
		shard.series = make(map[Key]*Series, len(taken))
		shard.mu.Unlock()
		mergeSeries(out, taken)
	}
	return out
}

// mergeSeries moves the series of from into out.
func mergeSeries(out, from map[Key]*Series) {
	for k, series := range from {
		if present := out[k]; present != nil {
			present.merge(series)
			continue
		}
		out[k] = series
	}
}
