package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// fineWidth and fineReach bound the buckets for short windows.
	fineWidth = time.Minute
	fineReach = 6 * time.Hour
	// hourReach is how long hours are kept. It is the budget's period.
	hourReach = 30 * 24 * time.Hour
	// waitReach is how long waiting times are kept, by the hour.
	waitReach = 24 * time.Hour
	// futureSlack is how far ahead of the local clock a summary may end.
	futureSlack = 5 * time.Minute
)

// Store holds the summaries of all zones over a bounded window. It is safe for
// concurrent use.
type Store struct {
	mu    sync.Mutex
	names *nameTable
	fine  *ring
	hours *ring
	waits [waitReach / time.Hour]waitBucket
	zones map[string]coverage
}

// waitBucket holds the waiting times of one hour.
type waitBucket struct {
	startMS int64
	waits   map[seriesID]*hdrhistogram.PackedHistogram
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		names: newNameTable(),
		fine:  newRing(fineWidth.Milliseconds(), int(fineReach/fineWidth)),
		hours: newRing(time.Hour.Milliseconds(), int(hourReach/time.Hour)),
		zones: make(map[string]coverage),
	}
}

// Fold adds a summary that was read at the time now. Its events count in the
// buckets in which its period ends. A summary that ends in the future by more
// than futureSlack, or before the window, is left out and reported as false.
func (s *Store) Fold(summary *Summary, now time.Time) bool {
	horizon := unixMS(now.Add(-hourReach))
	if summary.EndMS <= horizon || summary.EndMS > unixMS(now.Add(futureSlack)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !summary.FrontDoor && !s.cover(summary, horizon) {
		return false
	}
	for _, r := range []*ring{s.fine, s.hours} {
		s.foldInto(r.at(summary.EndMS-1), summary)
	}
	s.foldWaits(summary)
	return true
}

// cover notes the period of a holder's summary, unless there are too many
// zones.
func (s *Store) cover(summary *Summary, horizonMS int64) bool {
	spans, known := s.zones[summary.Zone]
	if !known && len(s.zones) >= maxZones {
		return false
	}
	s.zones[summary.Zone] = spans.add(Span{summary.StartMS, summary.EndMS}, horizonMS)
	return true
}

// foldInto adds a summary to a bucket, which may be nil.
func (s *Store) foldInto(b *bucket, summary *Summary) {
	if b == nil {
		return
	}
	b.longestMS = max(b.longestMS, summary.EndMS-summary.StartMS)
	for k, series := range summary.Series {
		b.add(s.names.id(k), &series.Counts)
	}
	b.bound(s.names)
}

// foldWaits adds the waiting times of a summary. Those of teams beyond the
// bound are merged per queue.
func (s *Store) foldWaits(summary *Summary) {
	hour := (summary.EndMS - 1) / time.Hour.Milliseconds()
	b := &s.waits[hour%int64(len(s.waits))]
	start := hour * time.Hour.Milliseconds()
	if b.startMS > start {
		return
	}
	if b.startMS < start {
		*b = waitBucket{startMS: start, waits: make(map[seriesID]*hdrhistogram.PackedHistogram)}
	}
	for k, series := range summary.Series {
		if series.Waits == nil {
			continue
		}
		id := s.names.id(k)
		if b.waits[id] == nil && len(b.waits) >= maxTallies {
			id = s.names.other(id)
		}
		if b.waits[id] == nil && len(b.waits) >= 2*maxTallies {
			id = s.names.id(Key{Other, Other})
		}
		if b.waits[id] == nil {
			b.waits[id] = newWaits()
		}
		b.waits[id].Merge(series.Waits)
	}
}
