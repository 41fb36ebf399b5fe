package intake

import (
	"log/slog"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// reportEvery bounds the log lines: one for each cause in that time.
const reportEvery = time.Second

// Reporter counts what was given up and logs at most one line for each cause
// and second.
type Reporter struct {
	logger *slog.Logger

	mu     sync.Mutex
	causes map[Cause]*reported
}

// reported is when a cause was last logged, and how often it has come since.
type reported struct {
	at    time.Time
	since int
}

// NewReporter returns a reporter.
func NewReporter(logger *slog.Logger) *Reporter {
	return &Reporter{logger: logger, causes: make(map[Cause]*reported)}
}

// Report counts a connection or a request that was given up. job may be empty.
func (r *Reporter) Report(cause Cause, job, address, detail string) {
	metrics.IntakeGivenUp.Add(string(cause), 1)
	count, now := r.count(cause, time.Now())
	if !now {
		return
	}
	r.logger.Info("clients given up", "cause", cause, "count", count, "job", job, "address", address, "detail", detail)
}

// count counts a cause and reports whether it is to be logged now.
func (r *Reporter) count(cause Cause, at time.Time) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.causes[cause]
	if c == nil {
		c = new(reported)
		r.causes[cause] = c
	}
	c.since++
	if at.Sub(c.at) < reportEvery {
		return 0, false
	}
	count := c.since
	c.at, c.since = at, 0
	return count, true
}
