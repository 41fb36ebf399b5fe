package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxWaitMS is the longest waiting time that is told apart, milliseconds;
	// longer ones count as it.
	maxWaitMS = int64(24 * time.Hour / time.Millisecond)
	// waitDigits is the number of significant digits of waiting times.
	waitDigits = 1
)

// Series are the counts and waiting times of one team and queue.
type Series struct {
	Counts Counts
	// Waits are the waiting times of first starts, milliseconds; nil if there
	// are none, or if a bound on size has dropped them.
	Waits *hdrhistogram.PackedHistogram
}

// newWaits returns an empty histogram of waiting times.
func newWaits() *hdrhistogram.PackedHistogram {
	return hdrhistogram.NewPacked(1, maxWaitMS, waitDigits)
}

// wait records n waiting times of ms milliseconds.
func (s *Series) wait(ms, n int64) {
	if s.Waits == nil {
		s.Waits = newWaits()
	}
	// The value is in range and the count positive, so that there's no error.
	_ = s.Waits.RecordValues(min(max(ms, 0), maxWaitMS), max(n, 0))
}

// merge adds the events of o, which stays unchanged.
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

// Summary is what happened in one zone over one period.
type Summary struct {
	Zone string
	// StartMS and EndMS bound the period.
	StartMS, EndMS int64
	// FrontDoor is set if a front door has made it, which doesn't see all.
	FrontDoor bool
	Series    map[Key]*Series
}

// at returns the series of a key and makes it if there is none.
func (s *Summary) at(k Key) *Series {
	series := s.Series[k]
	if series == nil {
		series = &Series{}
		s.Series[k] = series
	}
	return series
}
