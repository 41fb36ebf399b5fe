package journal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"gopkg.in/tomb.v2"
)

const (
	// readLimit is the largest number of records requested at once.
	readLimit = 512
	// defaultReadWait is how long one read waits for new records.
	defaultReadWait = 500 * time.Millisecond
	// readTimeout limits how long one read may take, including the network.
	readTimeout = 3 * time.Second
	// batchDelay is the pause after a page that contained records.
	batchDelay = 30 * time.Millisecond
	// minBackoff and maxBackoff limit the backoff after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Page contains consecutive records from a source and a proof of freshness.
type Page struct {
	Records []loglist.Record
	// End is the offset of the next record to be appended at the time AsOf.
	// AsOf is zero if the source has no proof of freshness.
	End  uint64
	AsOf time.Time
	// First is the lowest offset that the log retains, or 0 if the source does
	// not know it.
	First uint64
}

// Source is a place from which records of the log can be read.
type Source interface {
	// Name returns the label of the source in metrics: "log" or "peer".
	Name() string
	// Read returns the records from offset from on. It waits for up to wait if
	// there is none yet.
	Read(ctx context.Context, from uint64, wait time.Duration) (*Page, error)
}

// LogSource reads directly from the platform's log.
type LogSource struct{ Log loglist.Log }

// Name implements Source.
func (LogSource) Name() string { return "log" }

// Read implements Source.
func (s LogSource) Read(ctx context.Context, from uint64, wait time.Duration) (*Page, error) {
	asOf := time.Now()
	page, err := s.Log.Read(ctx, from, readLimit, wait)
	if err != nil {
		return nil, err
	}
	return &Page{Records: page.Records, End: page.End, AsOf: asOf, First: page.First}, nil
}

// SourceSelector returns the sources for the next read in order of preference.
type SourceSelector func() []Source

// Run reads and applies the log until t dies. It calls selectSources before each read.
func (j *Journal) Run(t *tomb.Tomb, selectSources SourceSelector) error {
	backoff := minBackoff
	for t.Alive() {
		if j.readOnce(t, selectSources()) {
			backoff = minBackoff
			j.waitForBatch(t)
			continue
		}
		select {
		case <-t.Dying():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// waitForBatch waits briefly after a page that contained records, so that the next
// read returns several records at once. It does not wait while an append of this
// daemon waits to be read back.
func (j *Journal) waitForBatch(t *tomb.Tomb) {
	j.mu.Lock()
	wait := j.lastPage > 0 && len(j.waiters) == 0
	j.mu.Unlock()
	if !wait {
		return
	}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-t.Dying():
	case <-timer.C:
	case <-j.appendStarted:
	}
}

// readOnce reads and applies one page from the first source that answers. It reports
// whether one did.
func (j *Journal) readOnce(t *tomb.Tomb, sources []Source) bool {
	for _, source := range sources {
		if !t.Alive() {
			return false
		}
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), readTimeout)
		page, err := source.Read(ctx, max(j.state.Applied()+1, j.firstReadable), j.readWait)
		cancel()
		if err != nil {
			j.logger.Debug("read of the log failed", "source", source.Name(), "error", err)
			j.skipTrimmed(err)
			continue
		}
		j.applyPage(source.Name(), page)
		return true
	}
	return false
}

// recordRetained records the range of offsets that the log retains.
func (j *Journal) recordRetained(first, end uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.first = max(j.first, first)
	j.end = max(j.end, end)
}

// Retained returns the range of offsets that the log was last known to retain: the
// lowest one and the end. Both may be lower than the log's, but never higher.
func (j *Journal) Retained() (first, end uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first, j.end
}

// skipTrimmed continues at the first retained record if err says that the next one
// was trimmed.
func (j *Journal) skipTrimmed(err error) {
	first, trimmed := loglist.TrimmedTo(err)
	if !trimmed {
		return
	}
	j.logger.Warn("the log no longer retains the next record; the records up to the first retained one are skipped", "applied", j.state.Applied(), "first", first)
	j.firstReadable = first
}

// applyPage applies the records of a page, then its proof of freshness.
func (j *Journal) applyPage(source string, page *Page) {
	size := 0
	for _, r := range page.Records {
		j.apply(r)
		size += len(r.Data)
	}
	metrics.TailBytes.Add(source, int64(size))
	j.mu.Lock()
	j.lastPage = len(page.Records)
	j.mu.Unlock()
	j.recordRetained(page.First, page.End)
	if !page.AsOf.IsZero() {
		j.MarkFresh(page.AsOf, page.End)
	}
	if len(page.Records) > 0 {
		j.mu.Lock()
		close(j.advanced)
		j.advanced = make(chan struct{})
		j.mu.Unlock()
	}
}

// WaitApplied waits until the record at an offset has been applied, for at most wait.
// It returns nil in both cases, and the error of ctx if ctx ends first.
func (j *Journal) WaitApplied(ctx context.Context, offset uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		advanced := j.advanced
		j.mu.Unlock()
		if j.state.Applied() >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-advanced:
		}
	}
}
