package report

import (
	"log/slog"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// maxDeferredBytes bounds the size of the records that are deferred until it is
// known whether they are valid; the oldest are dropped.
const maxDeferredBytes = 4 << 20

// State is the part of the log's derived state that a Fold needs.
type State interface {
	// Known reports whether the state of a zone is known.
	Known(zone string) bool
	// Claim returns the valid claim on a zone, whose epoch is current.
	Claim(zone string) (claim zone.Claim, ok bool)
}

// Fold adds the valid summaries of the log to a Store. Observe must be called in
// log order by one goroutine.
//
// A daemon that starts after the trimmed part of the log can't decide whether the
// summaries before the snapshot of their zone are valid. They are deferred until
// the snapshot is read. An epoch is the offset of its claim, so that the deferred
// summaries of the snapshot's epoch are then valid. Those of older epochs are
// left out and appear as a gap in the report.
type Fold struct {
	store *Store
	state State
	now   func() time.Time
	log   *slog.Logger

	deferred      []deferredReport
	deferredBytes int
	// confirm is called with the id of every valid summary.
	confirm func(id string)
}

// deferredReport is a summary of which it is not known yet whether it is valid.
type deferredReport struct {
	id     string
	offset uint64
	seen   uint64
	report *record.Report
}

// NewFold returns a Fold that adds to store. now returns the time at which a
// summary is read.
func NewFold(store *Store, state State, now func() time.Time, log *slog.Logger) *Fold {
	return &Fold{store: store, state: state, now: now, log: log, confirm: func(string) {}}
}

// OnConfirmed sets the function that is called with the id of every valid summary. It
// must be called before Observe.
func (f *Fold) OnConfirmed(confirm func(id string)) { f.confirm = confirm }

// Observe processes the effect of a log record.
func (f *Fold) Observe(effect cell.Effect) {
	if effect.StateDropped {
		f.deferred, f.deferredBytes = nil, 0
	}
	if effect.SnapshotInstalled {
		f.resolveDeferred()
	}
	if effect.Kind != record.KindReport {
		return
	}
	switch {
	case effect.Valid:
		f.add(effect.ID, effect.Envelope.Report)
	case effect.Void == record.VoidBaseUnknown, effect.Void == record.VoidEpoch && !f.state.Known(effect.Zone):
		f.deferReport(deferredReport{effect.ID, effect.Offset, effect.Envelope.Seen, effect.Envelope.Report})
	}
}

// add adds a valid summary to the store.
func (f *Fold) add(id string, r *record.Report) {
	f.confirm(id)
	summary, err := Decode(r)
	if err != nil {
		f.log.Warn("summary of the report skipped", "zone", r.Zone, "error", err)
		return
	}
	if !f.store.Add(summary, f.now()) {
		f.log.Debug("summary of the report outside of its window", "zone", r.Zone, "end_ms", r.EndMS)
	}
}

// deferReport keeps a summary until it is known whether it is valid.
func (f *Fold) deferReport(d deferredReport) {
	f.deferred = append(f.deferred, d)
	f.deferredBytes += len(d.report.Series)
	for f.deferredBytes > maxDeferredBytes {
		f.deferredBytes -= len(f.deferred[0].report.Series)
		f.deferred = f.deferred[1:]
	}
}

// resolveDeferred adds the valid ones of the deferred summaries whose zone has
// become known, and drops the others.
func (f *Fold) resolveDeferred() {
	var unknown []deferredReport
	added := make(map[string]bool)
	for _, d := range f.deferred {
		claim, known := f.state.Claim(d.report.Zone)
		if !known {
			unknown = append(unknown, d)
			continue
		}
		// A record takes effect only within SeenWindow of its Seen offset.
		late := d.offset > d.seen+record.SeenWindow
		if d.report.Epoch == claim.Epoch && !late && !added[d.id] {
			added[d.id] = true
			f.add(d.id, d.report)
		}
	}
	f.deferred, f.deferredBytes = unknown, 0
	for _, d := range unknown {
		f.deferredBytes += len(d.report.Series)
	}
}
