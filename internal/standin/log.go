package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
)

// Limits of Log.Read.
const (
	// maxPageRecords is the default and the maximum number of records of a page.
	maxPageRecords = 1000
	// maxPageBytes limits the data of a page. A page holds at least one
	// record, even if that record is larger.
	maxPageBytes = 4 << 20
	maxReadWait  = time.Minute
)

// LogOptions configures a Log. A zero value means no limit.
type LogOptions struct {
	// MaxRecords and MaxBytes are the retention limits. The oldest records are
	// dropped first.
	MaxRecords int
	MaxBytes   int
	// AppendsPerSecond limits the rate of appends; excess appends get status 429.
	AppendsPerSecond float64
}

// Log is an in-memory append-only log with retention. Offsets start at 1.
type Log struct {
	opts    LogOptions
	limiter *rate.Limiter
	faults  *Faults
	link    *linkFaults

	refuseReads   *atomic.Bool
	refuseAppends *atomic.Bool
	duplicate     *atomic.Bool

	mu      sync.Mutex
	records []loglist.Record
	first   uint64
	bytes   int
	// appended is closed and replaced by each append, to wake waiting reads.
	appended chan struct{}
}

// NewLog returns an empty log.
func NewLog(opts LogOptions) *Log {
	l := &Log{opts: opts, first: 1, appended: make(chan struct{}), faults: newFaults()}
	if opts.AppendsPerSecond > 0 {
		burst := max(1, int(opts.AppendsPerSecond))
		l.limiter = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), burst)
	}
	l.link = newLinkFaults(l.faults)
	l.refuseReads = l.faults.addBool("refuse_reads", "answer 503 to reads")
	l.refuseAppends = l.faults.addBool("refuse_appends", "answer 503 to appends without acting")
	l.duplicate = l.faults.addBool("duplicate", "append every record twice")
	return l
}

// Faults returns the log's fault switches.
func (l *Log) Faults() *Faults { return l.faults }

// Append adds a record and returns its offset, or the first of its two
// offsets while the switch "duplicate" is on.
func (l *Log) Append(id string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.appendLocked(id, data)
	if l.duplicate.Load() {
		l.appendLocked(id, data)
	}
	l.trimLocked()
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

func (l *Log) appendLocked(id string, data []byte) uint64 {
	offset := l.endLocked()
	l.records = append(l.records, loglist.Record{Offset: offset, ID: id, Data: data})
	l.bytes += len(data)
	return offset
}

// endLocked returns the offset that the next append gets.
func (l *Log) endLocked() uint64 { return l.first + uint64(len(l.records)) }

// trimLocked drops the oldest records until the log is within its retention.
func (l *Log) trimLocked() {
	for len(l.records) > 0 && l.exceedsRetentionLocked() {
		l.bytes -= len(l.records[0].Data)
		l.records[0] = loglist.Record{}
		l.records = l.records[1:]
		l.first++
	}
}

// exceedsRetentionLocked reports whether the log holds more than its
// retention allows.
func (l *Log) exceedsRetentionLocked() bool {
	overRecords := l.opts.MaxRecords > 0 && len(l.records) > l.opts.MaxRecords
	overBytes := l.opts.MaxBytes > 0 && l.bytes > l.opts.MaxBytes
	return overRecords || overBytes
}

// Trim drops all records below offset first.
func (l *Log) Trim(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.first < first {
		l.bytes -= len(l.records[0].Data)
		l.records = l.records[1:]
		l.first++
	}
}

// Read returns a page of at most limit records that starts at offset from. If
// there is no such record yet, Read waits for it, at most for wait. If from is
// 0, the page starts at the oldest retained record. If the record at from has been
// dropped, the page is empty and its First is greater than from.
func (l *Log) Read(ctx context.Context, from uint64, limit int, wait time.Duration) *loglist.ReadResponse {
	timer := time.NewTimer(min(wait, maxReadWait))
	defer timer.Stop()
	for {
		page, grown := l.page(from, limit)
		trimmed := from > 0 && page.First > from
		if len(page.Records) > 0 || trimmed || wait <= 0 {
			return page
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return page
		}
	}
}

// page returns the records that exist from offset from on, and the channel
// that the next append closes.
func (l *Log) page(from uint64, limit int) (*loglist.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := &loglist.ReadResponse{Records: []loglist.Record{}, First: l.first, End: l.endLocked()}
	if from == 0 {
		from = l.first
	}
	if from < l.first || from >= page.End {
		return page, l.appended
	}
	if limit <= 0 || limit > maxPageRecords {
		limit = maxPageRecords
	}
	size := 0
	for _, record := range l.records[from-l.first:] {
		size += len(record.Data)
		if len(page.Records) == limit || len(page.Records) > 0 && size > maxPageBytes {
			break
		}
		page.Records = append(page.Records, record)
	}
	return page, l.appended
}
