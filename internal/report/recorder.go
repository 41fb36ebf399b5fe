package report

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

const (
	// maxPending bounds the summaries that wait to be appended to the log. The
	// oldest are dropped and appear as a gap in the report.
	maxPending = 360
	// frontDoorDivisor divides the maximum size of a front door's summaries,
	// so that the summaries of all front doors of a zone together take no more
	// than those of its holder.
	frontDoorDivisor = 4
	// maxAppends bounds the appends of one period after a log outage.
	maxAppends = 10
)

// Log appends records and returns the offset of the last one applied.
type Log interface {
	AppendID(ctx context.Context, id string, e *record.Envelope) (cell.Effect, error)
	Applied() uint64
}

// pendingSummary is a summary that is to be appended to the log.
type pendingSummary struct {
	id     string
	report *record.Report
	// seen is the applied offset of the log when id was assigned.
	seen uint64
	// sent is set while the summary is appended under id. It is cleared to assign
	// a new id.
	sent bool
	// resolved is set if the summary is valid in the log or can no longer
	// become valid, so that it is not appended again.
	resolved bool
}

// Recorder turns the collector's counts of each period into a summary and appends
// it to the log under the epoch of the term in which the events were counted. It
// is safe for concurrent use.
//
// An append whose outcome is unknown is retried with the same id and contents, so
// that it is valid at most once. After the log has passed the offsets at which
// it could be valid, it is retried with a new id.
//
// A front door is a daemon that receives callers' requests, whether or not it
// holds their zone. Its recorder belongs to no term: summaries are appended under
// the epoch that is current at that time, and only if there were events.
type Recorder struct {
	// currentEpoch returns the zone's current epoch. It is nil unless this is
	// the recorder of a front door.
	currentEpoch func() (epoch uint64, ok bool)
	zone         string
	collector    *Collector
	log          Log
	logger       *slog.Logger

	// recordMu serializes calls of Record.
	recordMu sync.Mutex

	mu            sync.Mutex
	epoch         uint64
	periodStartMS int64
	queue         []*pendingSummary
}

// NewRecorder returns a recorder for the holder of a zone. It records nothing
// before SetEpoch is called.
func NewRecorder(zone string, collector *Collector, log Log, logger *slog.Logger) *Recorder {
	return &Recorder{zone: zone, collector: collector, log: log, logger: logger}
}

// NewFrontDoorRecorder returns a recorder for the events that this daemon observes
// as a front door of its zone and that the zone's holder does not.
func NewFrontDoorRecorder(zone string, collector *Collector, log Log, currentEpoch func() (epoch uint64, ok bool), logger *slog.Logger, now time.Time) *Recorder {
	r := NewRecorder(zone, collector, log, logger)
	r.currentEpoch, r.periodStartMS = currentEpoch, unixMS(now)
	return r
}

// SetEpoch sets the epoch under which this daemon holds its zone, 0 if it does not.
// Events counted under another epoch that are not in the log yet can no longer
// be recorded validly and are dropped; the report shows a gap.
func (r *Recorder) SetEpoch(epoch uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		return
	}
	r.drop(len(r.queue), "the zone's holder has changed")
	r.collector.Drain()
	r.epoch, r.periodStartMS = epoch, unixMS(now)
}

// Confirm notes that the summary with the given id is valid in the log, so that
// it is not appended again.
func (r *Recorder) Confirm(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.queue {
		if p.id == id {
			p.resolved = true
		}
	}
}

// Lost counts a lost task of an accepted durable job if epoch, under which it
// ended, is the current one. It reports whether it counted the task.
func (r *Recorder) Lost(epoch uint64, team, queue string) bool {
	r.mu.Lock()
	current := epoch == r.epoch && epoch != 0
	r.mu.Unlock()
	if current {
		r.collector.Lost(team, queue)
	}
	return current
}

// Record ends the current period and appends up to maxAppends pending summaries
// to the log, the oldest first. It stops at the first error and returns it;
// summaries that are not appended are kept for the next call.
func (r *Recorder) Record(ctx context.Context, now time.Time) error {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	if err := r.endPeriod(now); err != nil {
		return err
	}
	for range maxAppends {
		next := r.next()
		if next == nil {
			return nil
		}
		if err := r.append(ctx, next); err != nil {
			return err
		}
	}
	return nil
}

// endPeriod ends the current period and queues its summary. A holder records a
// period without events too, to distinguish it from missing data.
func (r *Recorder) endPeriod(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	endMS := unixMS(now)
	frontDoor := r.currentEpoch != nil
	if (r.epoch == 0 && !frontDoor) || endMS <= r.periodStartMS {
		return nil
	}
	maxBytes := SummaryLimit(time.Duration(endMS-r.periodStartMS) * time.Millisecond)
	if frontDoor {
		maxBytes /= frontDoorDivisor
	}
	series, startMS := r.collector.Drain(), r.periodStartMS
	r.periodStartMS = endMS
	if frontDoor && len(series) == 0 {
		return nil
	}
	data, err := Encode(series, maxBytes)
	if err != nil {
		return err
	}
	metrics.ReportBytes.Set(int64(len(data)))
	r.queue = append(r.queue, &pendingSummary{report: &record.Report{
		Zone:      r.zone,
		Epoch:     r.epoch,
		StartMS:   startMS,
		EndMS:     endMS,
		Series:    data,
		FrontDoor: frontDoor,
	}})
	r.drop(len(r.queue)-maxPending, "too many summaries were waiting for the log")
	return nil
}

// drop removes the n oldest summaries from the queue and logs those of them that
// are not resolved. The caller holds mu.
func (r *Recorder) drop(n int, reason string) {
	dropped := 0
	for _, p := range r.queue[:max(n, 0)] {
		if !p.resolved {
			dropped++
		}
	}
	r.queue = r.queue[max(n, 0):]
	if dropped == 0 {
		return
	}
	metrics.ReportDropped.Add(int64(dropped))
	r.logger.Warn("summaries of the report dropped; the report shows a gap", "summaries", dropped, "reason", reason)
}

// next returns the oldest unresolved summary with the id and offset to append it
// with. It returns nil if there is none, or if a front door's zone has no
// current epoch.
func (r *Recorder) next() *pendingSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 && r.queue[0].resolved {
		r.queue = r.queue[1:]
	}
	if len(r.queue) == 0 {
		return nil
	}
	p := r.queue[0]
	applied := r.log.Applied()
	if p.sent && applied <= p.seen+record.SeenWindow {
		return p
	}
	if r.currentEpoch != nil {
		epoch, ok := r.currentEpoch()
		if !ok {
			return nil
		}
		p.report.Epoch = epoch
	}
	p.id, p.seen, p.sent = journal.NewID(), applied, true
	return p
}

// append appends a summary under its id and resolves it if it is valid.
func (r *Recorder) append(ctx context.Context, p *pendingSummary) error {
	effect, err := r.log.AppendID(ctx, p.id, &record.Envelope{Kind: record.KindReport, Report: p.report, Seen: p.seen})
	if err != nil {
		return err
	}
	if effect.Valid || effect.Void == record.VoidDuplicate {
		r.Confirm(p.id)
	}
	if effect.Void == record.VoidEpoch {
		r.handleStaleEpoch(p, effect.Reason)
	}
	return nil
}

// handleStaleEpoch handles a summary whose epoch has ended. Unless an earlier copy
// is valid, a holder's summary is dropped and a front door's is appended again
// under the new epoch.
func (r *Recorder) handleStaleEpoch(p *pendingSummary, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.resolved {
		return
	}
	if r.currentEpoch != nil {
		p.sent = false
		return
	}
	p.resolved = true
	metrics.ReportDropped.Add(1)
	r.logger.Warn("summary of the report is void; the report shows a gap", "reason", reason)
}
