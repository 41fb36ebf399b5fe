package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxWaitMS is the longest waiting time that is recorded, milliseconds;
	// longer ones count as it.
	maxWaitMS = int64(24 * time.Hour / time.Millisecond)
	// waitDigits is the number of significant digits of waiting times.
	waitDigits = 1
)

// Series holds the counts and waiting times of one team and queue.
type Series struct {
	Counts Counts
	// Waits holds the waiting times of first starts, milliseconds. It is nil if
	// there are none or if they were omitted to limit the size.
	Waits *hdrhistogram.PackedHistogram
}

// newWaits returns an empty histogram of waiting times.
func newWaits() *hdrhistogram.PackedHistogram {
	return hdrhistogram.NewPacked(1, maxWaitMS, waitDigits)
}

// recordWait records n waiting times of ms milliseconds.
func (s *Series) recordWait(ms, n int64) {
	if s.Waits == nil {
		s.Waits = newWaits()
	}
	// The value is in range and the count is not negative, so this can't fail.
	_ = s.Waits.RecordValues(min(max(ms, 0), maxWaitMS), max(n, 0))
}

// merge adds the events of o without changing it.
func (s *Series) merge(o *Series) {
	s.Counts.Add(&o.Counts)
	if o.Waits == nil {
		return
	}
	if s.Waits == nil {
		s.Waits = newWaits()
	}
	s.Waits.Merge(o.Waits)
}

// Summary holds the events of one zone in one period.
type Summary struct {
	Zone string
	// StartMS and EndMS bound the period.
	StartMS, EndMS int64
	// FrontDoor is set if the summary is from a front door, which observes only
	// some of the zone's events.
	FrontDoor bool
	Series    map[Key]*Series
}

// seriesFor returns the series of a key, creating it if necessary.
func (s *Summary) seriesFor(k Key) *Series {
	series := s.Series[k]
	if series == nil {
		series = &Series{}
		s.Series[k] = series
	}
	return series
}
