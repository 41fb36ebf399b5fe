package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxObservedMS is the longest time that a histogram records, one hour; longer
	// times count as it.
	maxObservedMS = 3600 * 1000
	// histogramDigits is the precision of a histogram in significant digits.
	histogramDigits = 2
)

// Histogram records the distribution of durations in milliseconds since the
// start of the process. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// histogram declares a metric that records the distribution of durations.
func histogram(name, help string) *Histogram {
	descriptions = append(descriptions, Description{Name: name, Help: help})
	h := &Histogram{counts: hdrhistogram.New(1, maxObservedMS, histogramDigits)}
	expvar.Publish(name, h)
	return h
}

// Observe records a duration in whole milliseconds: one below a millisecond
// counts as 0, one above an hour as an hour.
func (h *Histogram) Observe(d time.Duration) {
	ms := min(max(d.Milliseconds(), 0), maxObservedMS)
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the histogram's range, so this can't fail.
	_ = h.counts.RecordValue(ms)
}

// Summary is the published form of a histogram: quantiles and the maximum in
// milliseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Summary returns a summary of the durations recorded so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.counts.TotalCount(),
		P50:   h.counts.ValueAtQuantile(50),
		P90:   h.counts.ValueAtQuantile(90),
		P99:   h.counts.ValueAtQuantile(99),
		Max:   h.counts.Max(),
	}
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	b, err := json.Marshal(h.Summary())
	if err != nil {
		// Integers can always be encoded.
		return "{}"
	}
	return string(b)
}
