// Package load generates open-loop load: requests are sent at a fixed rate
// whether or not earlier ones have been answered, and latency is measured from
// the time at which a request was due. A slow daemon therefore can't hide its
// delay by slowing down its callers (coordinated omission).
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

const (
	// maxLatency is the largest latency that is recorded; longer ones count as
	// it.
	maxLatency = time.Hour
	// significantFigures bounds the relative error of latencies to 0.1%.
	significantFigures = 3
)

// Options describes the load to generate.
type Options struct {
	// Rate is the number of requests that fall due per second.
	Rate float64
	// Duration is the time over which requests fall due.
	Duration time.Duration
	// MaxInFlight bounds the requests in flight. A request that falls due
	// beyond it is not sent and counts as skipped.
	MaxInFlight int
	// Send sends one request and waits for its answer.
	Send func(ctx context.Context) error
	// Progress, if set, is called with the state when a request falls due, at
	// most once per ProgressPeriod.
	Progress       func(Snapshot)
	ProgressPeriod time.Duration
}

// Snapshot is the state of a load run in progress.
type Snapshot struct {
	Elapsed  time.Duration
	Due      int64
	InFlight int
}

// Outcome is the result of a request.
type Outcome string

// Outcomes. The first three are the verdicts; a failed request is one that is
// known to have run and failed.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
)

// outcomes lists every outcome in the order of Result.Rows.
var outcomes = []Outcome{OutcomeDone, OutcomeNotRun, OutcomeUnknown, OutcomeFailed}

// Run generates load until the duration is over or ctx ends, waits for the
// requests in flight and returns the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Rate <= 0 || o.Duration <= 0 || o.MaxInFlight <= 0 || o.Send == nil {
		return nil, errors.New("rate, duration and the maximum of requests in flight must be positive, and a send function must be set")
	}
	g := &generator{
		options: o,
		slots:   make(chan struct{}, o.MaxInFlight),
		stats:   newStats(),
	}
	g.run(ctx)
	return g.stats.result(g), nil
}

// generator is the state of one load run.
type generator struct {
	options Options
	// slots holds one element per request in flight.
	slots   chan struct{}
	stats   *stats
	pending sync.WaitGroup
	start   time.Time
	due     int64
	skipped int64
	elapsed time.Duration
}

// run sends requests as they fall due and waits for their answers.
func (g *generator) run(ctx context.Context) {
	g.start = time.Now()
	nextProgress := g.start.Add(g.options.ProgressPeriod)
	for {
		offset := time.Duration(float64(g.due) / g.options.Rate * float64(time.Second))
		if offset >= g.options.Duration || !sleepUntil(ctx, g.start.Add(offset)) {
			break
		}
		g.send(ctx, g.start.Add(offset))
		g.due++
		if g.options.Progress != nil && time.Now().After(nextProgress) {
			nextProgress = time.Now().Add(g.options.ProgressPeriod)
			g.options.Progress(Snapshot{Elapsed: time.Since(g.start), Due: g.due, InFlight: len(g.slots)})
		}
	}
	g.elapsed = time.Since(g.start)
	g.pending.Wait()
}

// sleepUntil waits until t. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send starts the request that was due at the given time, or counts it as
// skipped if too many are in flight.
func (g *generator) send(ctx context.Context, due time.Time) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.skipped++
		return
	}
	g.pending.Add(1)
	go func() {
		defer g.pending.Done()
		defer func() { <-g.slots }()
		err := g.options.Send(ctx)
		g.stats.record(err, time.Since(due))
	}()
}

// stats holds latencies and counts. Requests end at a few thousand per second at
// most, for which one lock is enough.
type stats struct {
	mu         sync.Mutex
	histograms map[Outcome]*hdrhistogram.Histogram
	// codes counts the requests that were not done, by code.
	codes map[string]int64
}

// newStats returns empty statistics.
func newStats() *stats {
	s := &stats{histograms: map[Outcome]*hdrhistogram.Histogram{}, codes: map[string]int64{}}
	for _, o := range outcomes {
		s.histograms[o] = hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
	}
	return s
}

// record adds the result and the latency of one request.
func (s *stats) record(err error, latency time.Duration) {
	outcome, code := classify(err)
	micros := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	// The value lies within the histogram's bounds, so this can't fail.
	_ = s.histograms[outcome].RecordValue(micros)
	if code != "" {
		s.codes[code]++
	}
}

// classify returns the outcome of a request and the code of its error, which is
// its text if it is not a client error, and empty without an error.
func classify(err error) (Outcome, string) {
	if err == nil {
		return OutcomeDone, ""
	}
	e := client.AsError(err)
	if e == nil {
		return OutcomeUnknown, err.Error()
	}
	code := string(e.Code)
	if code == "" {
		code = string(e.Kind)
	}
	switch {
	case e.Kind == client.KindFailed:
		return OutcomeFailed, code
	case e.Verdict == client.VerdictNotRun:
		return OutcomeNotRun, code
	}
	return OutcomeUnknown, code
}
