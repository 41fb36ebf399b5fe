package report

import (
	"log/slog"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// maxHeldBytes bounds the records that are held back until it is known
// whether they count; the oldest go first.
const maxHeldBytes = 4 << 20

// State is what a Fold asks of the state that is derived from the log.
type State interface {
	// Known reports whether the state of a zone is known.
	Known(zone string) bool
	// Claim returns the valid claim on a zone.
	Claim(zone string) (claim zone.Claim, ok bool)
}

// Fold fills a Store with the summaries that count in the log. Its Observe
// is called in log order by one goroutine.
//
// A daemon that starts behind the trim of the log can't judge the summaries
// before the snapshot of their zone. They are held back. An epoch is the
// offset of its claim, so that with the snapshot those under its epoch count
// and those of older epochs are left out, as a gap in the report.
type Fold struct {
	store *Store
	state State
	now   func() time.Time
	log   *slog.Logger

	held      []heldReport
	heldBytes int
	// confirm is told the id of every summary that counts.
	confirm func(id string)
}

// heldReport is a summary that can't be judged yet.
type heldReport struct {
	id     string
	offset uint64
	seen   uint64
	report *record.Report
}

// NewFold returns a fold into store. The clock now is asked for the time at
// which a summary is read.
func NewFold(store *Store, state State, now func() time.Time, log *slog.Logger) *Fold {
	return &Fold{store: store, state: state, now: now, log: log, confirm: func(string) {}}
}

// OnConfirmed registers a function that is called with the id of every summary
// that counts. It must be called before Observe is first called.
func (f *Fold) OnConfirmed(confirm func(id string)) { f.confirm = confirm }

// Observe takes in the effect of a log record.
func (f *Fold) Observe(effect cell.Effect) {
	if effect.StateDropped {
		f.held, f.heldBytes = nil, 0
	}
	if effect.SnapshotInstalled {
		f.judge()
	}
	if effect.Kind != record.KindReport {
		return
	}
	switch {
	case effect.Valid:
		f.take(effect.ID, effect.Envelope.Report)
	case effect.Void == record.VoidBaseUnknown, effect.Void == record.VoidEpoch && !f.state.Known(effect.Zone):
		f.hold(heldReport{effect.ID, effect.Offset, effect.Envelope.Seen, effect.Envelope.Report})
	}
}

// take adds a summary that counts.
func (f *Fold) take(id string, r *record.Report) {
	f.confirm(id)
	summary, err := Decode(r)
	if err != nil {
		f.log.Warn("summary of the report skipped", "zone", r.Zone, "error", err)
		return
	}
	if !f.store.Fold(summary, f.now()) {
		f.log.Debug("summary of the report outside of its window", "zone", r.Zone, "end_ms", r.EndMS)
	}
}

// hold keeps a summary that can't be judged yet.
func (f *Fold) hold(h heldReport) {
	f.held = append(f.held, h)
	f.heldBytes += len(h.report.Series)
	for f.heldBytes > maxHeldBytes {
		f.heldBytes -= len(f.held[0].report.Series)
		f.held = f.held[1:]
	}
}

// judge takes the held summaries whose zone has become known.
func (f *Fold) judge() {
	var unknown []heldReport
	taken := make(map[string]bool)
	for _, h := range f.held {
		claim, known := f.state.Claim(h.report.Zone)
		if !known {
			unknown = append(unknown, h)
			continue
		}
		late := h.offset > h.seen+record.SeenWindow
		if h.report.Epoch == claim.Epoch && !late && !taken[h.id] {
			taken[h.id] = true
			f.take(h.id, h.report)
		}
	}
	f.held, f.heldBytes = unknown, 0
	for _, h := range unknown {
		f.heldBytes += len(h.report.Series)
	}
}
