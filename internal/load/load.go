// Package load generates open-loop load: requests are sent at a fixed rate
// whether or not earlier ones have been answered, and latency counts from the
// moment a request was due. A slow daemon therefore can't hide its delay by
// slowing its callers down.
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
	// highestLatency is the largest latency that is told apart.
	highestLatency = time.Hour
	// significantFigures bounds the relative error of latencies to 0.1%.
	significantFigures = 3
)

// Options says what load to make.
type Options struct {
	// Rate is the number of requests that fall due in a second.
	Rate float64
	// Duration is how long requests fall due.
	Duration time.Duration
	// MaxInFlight bounds the requests in flight; those that fall due beyond
	// it are counted as skipped.
	MaxInFlight int
	// Send sends one request and waits for its answer.
	Send func(ctx context.Context) error
	// Progress, if set, is told of the state once in every ProgressPeriod.
	Progress       func(Snapshot)
	ProgressPeriod time.Duration
}

// Snapshot is the state of a run that goes on.
type Snapshot struct {
	Elapsed  time.Duration
	Due      int64
	InFlight int
}

// Outcome classifies what became of a request.
type Outcome string

// Outcomes. The first three are the verdicts; a failed request is one that is
// known to have run and failed.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
)

// outcomes lists every outcome in the order of results.
var outcomes = []Outcome{OutcomeDone, OutcomeNotRun, OutcomeUnknown, OutcomeFailed}

// Run makes load until the duration is over or ctx ends, waits for what is in
// flight and returns the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Rate <= 0 || o.Duration <= 0 || o.MaxInFlight <= 0 || o.Send == nil {
		return nil, errors.New("rate, duration and the bound on requests in flight must be above zero")
	}
	g := &generator{
		options: o,
		slots:   make(chan struct{}, o.MaxInFlight),
		book:    newBook(),
	}
	g.run(ctx)
	return g.book.result(g), nil
}

// generator is one run.
type generator struct {
	options Options
	slots   chan struct{}
	book    *book
	pending sync.WaitGroup
	start   time.Time
	due     int64
	skipped int64
	elapsed time.Duration
}

func (g *generator) run(ctx context.Context) {
	g.start = time.Now()
	report := g.start.Add(g.options.ProgressPeriod)
	for {
		offset := time.Duration(float64(g.due) / g.options.Rate * float64(time.Second))
		if offset >= g.options.Duration || !sleepUntil(ctx, g.start.Add(offset)) {
			break
		}
		g.send(ctx, g.start.Add(offset))
		g.due++
		if g.options.Progress != nil && time.Now().After(report) {
			report = time.Now().Add(g.options.ProgressPeriod)
			g.options.Progress(Snapshot{Elapsed: time.Since(g.start), Due: g.due, InFlight: len(g.slots)})
		}
	}
	g.elapsed = time.Since(g.start)
	g.pending.Wait()
}

// sleepUntil waits until t and reports whether ctx still goes on.
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

// send starts the request that was due at a moment, unless too many are in
// flight.
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
		g.book.record(err, time.Since(due))
	}()
}

// book keeps latencies and counts. Requests end at a few thousand a second at
// most, for which one lock is enough.
type book struct {
	mu         sync.Mutex
	histograms map[Outcome]*hdrhistogram.Histogram
	// codes counts refusals by the daemon's code.
	codes map[string]int64
}

func newBook() *book {
	b := &book{histograms: map[Outcome]*hdrhistogram.Histogram{}, codes: map[string]int64{}}
	for _, o := range outcomes {
		b.histograms[o] = hdrhistogram.New(1, highestLatency.Microseconds(), significantFigures)
	}
	return b
}

func (b *book) record(err error, latency time.Duration) {
	outcome, code := classify(err)
	micros := min(max(latency.Microseconds(), 1), highestLatency.Microseconds())
	b.mu.Lock()
	defer b.mu.Unlock()
	// The value lies within the histogram's bounds, so that this can't fail.
	_ = b.histograms[outcome].RecordValue(micros)
	if code != "" {
		b.codes[code]++
	}
}

// classify returns the outcome of a request and the code of its refusal.
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
