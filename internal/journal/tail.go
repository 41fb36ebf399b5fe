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
	// readLimit bounds the records of one read.
	readLimit = 512
	// defaultReadWait is how long one read waits for new records.
	defaultReadWait = 500 * time.Millisecond
	// readTimeout bounds one read including the network.
	readTimeout = 3 * time.Second
	// gatherTime is how long the tail waits between pages while records come.
	gatherTime = 30 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Page is a run of records from a source and the proof that comes with it.
type Page struct {
	Records []loglist.Record
	// End is the offset that the next append would have got at the instant
	// AsOf. AsOf is zero if the source itself is in doubt.
	End  uint64
	AsOf time.Time
	// First is the lowest offset that the log keeps; 0 if the source does not
	// know.
	First uint64
}

// Source supplies log records from an offset.
type Source interface {
	// Name labels the source in metrics: "log" or "peer".
	Name() string
	// Read returns records from offset from, waiting up to wait for one.
	Read(ctx context.Context, from uint64, wait time.Duration) (*Page, error)
}

// LogSource reads from the platform itself.
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

// Chooser picks the sources of the next read in order of preference.
type Chooser func() []Source

// Run follows the log until t dies.
func (j *Journal) Run(t *tomb.Tomb, choose Chooser) error {
	backoff := minBackoff
	for t.Alive() {
		if j.readOnce(t, choose()) {
			backoff = minBackoff
			j.gather(t)
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

// gather waits a little after a page with records, so that one read brings
// several of the records that follow. It does not hold up appends of its own.
func (j *Journal) gather(t *tomb.Tomb) {
	j.mu.Lock()
	wait := j.lastPage > 0 && len(j.waiters) == 0
	j.mu.Unlock()
	if !wait {
		return
	}
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	select {
	case <-t.Dying():
	case <-timer.C:
	case <-j.hurry:
	}
}

// readOnce reads and applies one page from the first source that answers.
func (j *Journal) readOnce(t *tomb.Tomb, sources []Source) bool {
	for _, source := range sources {
		if !t.Alive() {
			return false
		}
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), readTimeout)
		page, err := source.Read(ctx, max(j.state.Applied()+1, j.floor), j.readWait)
		cancel()
		if err != nil {
			j.slog.Debug("read of the log failed", "source", source.Name(), "error", err)
			j.skipTrimmed(err)
			continue
		}
		j.applyPage(source.Name(), page)
		return true
	}
	return false
}

// noteKept records what the log keeps.
func (j *Journal) noteKept(first, end uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.first = max(j.first, first)
	j.end = max(j.end, end)
}

// Kept returns the range of offsets that the log was last known to keep. It
// may lag behind, but never runs ahead.
func (j *Journal) Kept() (first, end uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first, j.end
}

// skipTrimmed moves on to what retention has kept.
func (j *Journal) skipTrimmed(err error) {
	first, trimmed := loglist.TrimmedTo(err)
	if !trimmed {
		return
	}
	j.slog.Warn("the log no longer keeps the next record", "applied", j.state.Applied(), "first", first)
	j.floor = first
}

// applyPage applies the records of a page, then its proof.
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
	j.noteKept(page.First, page.End)
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

// Await waits until the record at an offset has been applied, for at most
// wait. Its error is that of ctx.
func (j *Journal) Await(ctx context.Context, offset uint64, wait time.Duration) error {
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
