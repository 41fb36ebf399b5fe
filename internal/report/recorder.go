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
	// maxPending bounds the summaries that wait for the log. Beyond it the
	// oldest are dropped and become a gap in the report.
	maxPending = 360
	// frontDoorShare divides a front door's part of the bound on summaries,
	// so that those of a zone take no more together than its holder's.
	frontDoorShare = 4
	// maxAppends bounds the appends of one period, after a log outage.
	maxAppends = 10
)

// Log appends records and tells what has been applied.
type Log interface {
	AppendID(ctx context.Context, id string, e *record.Envelope) (cell.Effect, error)
	Applied() uint64
}

// pending is a summary on its way to the log.
type pending struct {
	id      string
	report  *record.Report
	seen    uint64
	sent    bool
	settled bool
}

// Recorder cuts the collector's counts into summaries and appends them to the
// log under the epoch of the term in which they were counted. It is safe for
// concurrent use.
//
// An append whose fate is unknown is repeated under the same id and with the
// same contents, so that it counts at most once. Once the log has passed the
// offsets at which it could count, it is given a new id.
//
// The recorder of a front door belongs to no term: its summaries are appended
// under the epoch that is current at that time, and only if there was an event.
type Recorder struct {
	// current tells the current epoch; it is nil but for a front door.
	current   func() (epoch uint64, ok bool)
	zone      string
	collector *Collector
	log       Log
	slog      *slog.Logger

	// run serializes periods.
	run sync.Mutex

	mu      sync.Mutex
	epoch   uint64
	sinceMS int64
	queue   []*pending
}

// NewRecorder returns a recorder for the zone of this daemon.
func NewRecorder(zone string, collector *Collector, log Log, logger *slog.Logger) *Recorder {
	return &Recorder{zone: zone, collector: collector, log: log, slog: logger}
}

// NewFrontDoorRecorder returns a recorder of what this daemon, as a front door
// of its zone, sees and the zone's holder does not.
func NewFrontDoorRecorder(zone string, collector *Collector, log Log, current func() (epoch uint64, ok bool), logger *slog.Logger, now time.Time) *Recorder {
	r := NewRecorder(zone, collector, log, logger)
	r.current, r.sinceMS = current, unixMS(now)
	return r
}

// SetEpoch tells the recorder under which epoch this daemon holds its zone, 0
// if it does not. What was counted under another epoch and is not in the log
// yet can no longer count and is dropped; the report shows a gap.
func (r *Recorder) SetEpoch(epoch uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		return
	}
	r.drop(len(r.queue), "the zone's holder has changed")
	r.collector.TakeSeries()
	r.epoch, r.sinceMS = epoch, unixMS(now)
}

// Confirm settles the summary with the given id: it counts in the log.
func (r *Recorder) Confirm(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.queue {
		if p.id == id {
			p.settled = true
		}
	}
}

// Lost counts a task of an accepted durable job that was lost, if it ended
// under the current epoch, and reports whether it did.
func (r *Recorder) Lost(epoch uint64, team, queue string) bool {
	r.mu.Lock()
	current := epoch == r.epoch && epoch != 0
	r.mu.Unlock()
	if current {
		r.collector.Lost(team, queue)
	}
	return current
}

// Record ends the current period and appends what waits for the log, the
// oldest first. It returns the first error; what failed is kept.
func (r *Recorder) Record(ctx context.Context, now time.Time) error {
	r.run.Lock()
	defer r.run.Unlock()
	if err := r.cut(now); err != nil {
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

// cut ends the current period and queues its summary. A period without any
// event is recorded too: that nothing happened is known.
func (r *Recorder) cut(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	endMS := unixMS(now)
	frontDoor := r.current != nil
	if (r.epoch == 0 && !frontDoor) || endMS <= r.sinceMS {
		return nil
	}
	budget := SummaryBudget(time.Duration(endMS-r.sinceMS) * time.Millisecond)
	if frontDoor {
		budget /= frontDoorShare
	}
	series, startMS := r.collector.TakeSeries(), r.sinceMS
	r.sinceMS = endMS
	if frontDoor && len(series) == 0 {
		return nil
	}
	data, err := Encode(series, budget)
	if err != nil {
		return err
	}
	metrics.ReportBytes.Set(int64(len(data)))
	r.queue = append(r.queue, &pending{report: &record.Report{
		Zone:      r.zone,
		Epoch:     r.epoch,
		StartMS:   startMS,
		EndMS:     endMS,
		Series:    data,
		FrontDoor: frontDoor,
	}})
	r.drop(len(r.queue)-maxPending, "the log has not taken them in time")
	return nil
}

// drop forgets the n oldest summaries that have not settled; the caller holds
// the lock.
func (r *Recorder) drop(n int, reason string) {
	dropped := 0
	for _, p := range r.queue[:max(n, 0)] {
		if !p.settled {
			dropped++
		}
	}
	r.queue = r.queue[max(n, 0):]
	if dropped == 0 {
		return
	}
	metrics.ReportDropped.Add(int64(dropped))
	r.slog.Warn("summaries of the report dropped; the report shows a gap", "summaries", dropped, "reason", reason)
}

// next returns the oldest summary that has not settled, nil if there is none.
func (r *Recorder) next() *pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 && r.queue[0].settled {
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
	if r.current != nil {
		epoch, ok := r.current()
		if !ok {
			return nil
		}
		p.report.Epoch = epoch
	}
	p.id, p.seen, p.sent = journal.NewID(), applied, true
	return p
}

// append appends a summary under its id. Confirm settles it if it counts.
func (r *Recorder) append(ctx context.Context, p *pending) error {
	effect, err := r.log.AppendID(ctx, p.id, &record.Envelope{Kind: record.KindReport, Report: p.report, Seen: p.seen})
	if err != nil {
		return err
	}
	if effect.Valid || effect.Void == record.VoidDuplicate {
		r.Confirm(p.id)
	}
	if effect.Void == record.VoidEpoch {
		r.supersede(p, effect.Reason)
	}
	return nil
}

// supersede deals with a summary whose epoch is over. Unless an earlier copy
// counts, a holder's is given up and a front door's gets the new epoch.
func (r *Recorder) supersede(p *pending, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.settled {
		return
	}
	if r.current != nil {
		p.sent = false
		return
	}
	p.settled = true
	metrics.ReportDropped.Add(1)
	r.slog.Warn("summary of the report is void; the report shows a gap", "reason", reason)
}
