package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// fineBucketWidth and fineRetention are the width and the retention of the
	// buckets for windows up to 6 hours.
	fineBucketWidth = time.Minute
	fineRetention   = 6 * time.Hour
	// hourRetention is how long hourly buckets are kept. It is the period of
	// the error budget.
	hourRetention = 30 * 24 * time.Hour
	// waitRetention is how long waiting times are kept, in hourly buckets.
	waitRetention = 24 * time.Hour
	// maxFutureSkew is how far a summary may end ahead of the local clock.
	maxFutureSkew = 5 * time.Minute
)

// Store holds the summaries of all zones over the retention period, in bounded
// space. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	keyTable *keyTable
	fine     *ring
	hours    *ring
	waits    [waitRetention / time.Hour]waitBucket
	zones    map[string]coverage
}

// waitBucket holds the waiting times of one hour by series.
type waitBucket struct {
	startMS int64
	waits   map[seriesID]*hdrhistogram.PackedHistogram
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		keyTable: newKeyTable(),
		fine:     newRing(fineBucketWidth.Milliseconds(), int(fineRetention/fineBucketWidth)),
		hours:    newRing(time.Hour.Milliseconds(), int(hourRetention/time.Hour)),
		zones:    make(map[string]coverage),
	}
}

// Add adds a summary that was read at the time now. Its events are added to the
// buckets in which its period ends. Add ignores the summary and returns false if
// it ends more than maxFutureSkew ahead of now or before the retention period, or
// if it is from a holder and its zone exceeds maxZones.
func (s *Store) Add(summary *Summary, now time.Time) bool {
	horizon := unixMS(now.Add(-hourRetention))
	if summary.EndMS <= horizon || summary.EndMS > unixMS(now.Add(maxFutureSkew)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !summary.FrontDoor && !s.addCoverage(summary, horizon) {
		return false
	}
	for _, r := range []*ring{s.fine, s.hours} {
		s.addToBucket(r.bucketAt(summary.EndMS-1), summary)
	}
	s.addWaits(summary)
	return true
}

// addCoverage adds the period of a holder's summary to the coverage of its zone. It
// returns false if there are too many zones.
func (s *Store) addCoverage(summary *Summary, horizonMS int64) bool {
	spans, known := s.zones[summary.Zone]
	if !known && len(s.zones) >= maxZones {
		return false
	}
	s.zones[summary.Zone] = spans.add(Span{summary.StartMS, summary.EndMS}, horizonMS)
	return true
}

// addToBucket adds a summary to a bucket, which may be nil.
func (s *Store) addToBucket(b *bucket, summary *Summary) {
	if b == nil {
		return
	}
	b.longestMS = max(b.longestMS, summary.EndMS-summary.StartMS)
	for k, series := range summary.Series {
		b.add(s.keyTable.id(k), &series.Counts)
	}
	b.mergeExcess(s.keyTable)
}

// addWaits adds the waiting times of a summary. Those of further teams are merged
// per queue if there are too many series.
func (s *Store) addWaits(summary *Summary) {
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
		id := s.keyTable.id(k)
		if b.waits[id] == nil && len(b.waits) >= maxTallies {
			id = s.keyTable.mergedID(id)
		}
		if b.waits[id] == nil && len(b.waits) >= 2*maxTallies {
			id = s.keyTable.id(Key{Other, Other})
		}
		if b.waits[id] == nil {
			b.waits[id] = newWaits()
		}
		b.waits[id].Merge(series.Waits)
	}
}
