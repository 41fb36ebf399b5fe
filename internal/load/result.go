package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarizes the latencies of one outcome, in microseconds.
type Latency struct {
	P50  int64 `json:"p50_us"`
	P90  int64 `json:"p90_us"`
	P99  int64 `json:"p99_us"`
	P999 int64 `json:"p999_us"`
	Max  int64 `json:"max_us"`
}

// Row is the result for one outcome.
type Row struct {
	Outcome Outcome `json:"outcome"`
	Count   int64   `json:"count"`
	Latency Latency `json:"latency"`
}

// Result holds the measurements of a load run.
type Result struct {
	// Due is the number of requests that fell due; Skipped of them were not
	// sent, because too many were in flight.
	Due     int64 `json:"due"`
	Skipped int64 `json:"skipped"`
	// DurationMS is the time over which requests fell due, milliseconds.
	DurationMS int64 `json:"duration_ms"`
	// DoneRate is the number of requests done per second of that time.
	DoneRate float64 `json:"done_per_second"`
	Rows     []Row   `json:"outcomes"`
	// Codes counts the requests that were not done, by code.
	Codes map[string]int64 `json:"codes,omitempty"`
}

// Count returns the number of requests with an outcome.
func (r *Result) Count(outcome Outcome) int64 {
	for _, row := range r.Rows {
		if row.Outcome == outcome {
			return row.Count
		}
	}
	return 0
}

// result summarizes the statistics of g.
func (s *stats) result(g *generator) *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Result{
		Due:        g.due,
		Skipped:    g.skipped,
		DurationMS: g.elapsed.Milliseconds(),
		Codes:      s.codes,
	}
	for _, outcome := range outcomes {
		h := s.histograms[outcome]
		r.Rows = append(r.Rows, Row{Outcome: outcome, Count: h.TotalCount(), Latency: latencyOf(h)})
	}
	if g.elapsed > 0 {
		r.DoneRate = float64(r.Count(OutcomeDone)) * float64(time.Second) / float64(g.elapsed)
	}
	return r
}

// latencyOf returns the quantiles of h.
func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		P50:  h.ValueAtQuantile(50),
		P90:  h.ValueAtQuantile(90),
		P99:  h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9),
		Max:  h.Max(),
	}
}
