package report

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/google/go-cmp/cmp"
)

// fakeLog is a log that one daemon writes and reads back. lose is the number of
// next appends that succeed but whose answers are lost, refuse the number of next
// appends that fail.
type fakeLog struct {
	records      []loggedRecord
	state        *cell.State
	fold         *Fold
	lose, refuse int
	// readPaused means that the daemon does not read the log: records are
	// written but not applied.
	readPaused bool
	// beforeAppend, if set, runs once before the next append.
	beforeAppend func()
	offset       uint64
}

// loggedRecord is a record in a fakeLog.
type loggedRecord struct {
	offset uint64
	id     string
	data   []byte
}

func (l *fakeLog) Applied() uint64 { return l.state.Applied() }

func (l *fakeLog) AppendID(_ context.Context, id string, e *record.Envelope) (cell.Effect, error) {
	if l.refuse > 0 {
		l.refuse--
		return cell.Effect{}, journal.ErrNotAppended
	}
	if l.beforeAppend != nil {
		l.beforeAppend()
		l.beforeAppend = nil
	}
	effect := l.write(id, e)
	if l.lose > 0 || l.readPaused {
		l.lose--
		return cell.Effect{}, journal.ErrOutcomeUnknown
	}
	return effect, nil
}

// write appends a record without faults.
func (l *fakeLog) write(id string, e *record.Envelope) cell.Effect {
	data, err := record.Encode(e)
	if err != nil {
		panic(err)
	}
	l.offset++
	l.records = append(l.records, loggedRecord{l.offset, id, data})
	if l.readPaused {
		return cell.Effect{}
	}
	return l.apply(l.records[len(l.records)-1])
}

func (l *fakeLog) apply(r loggedRecord) cell.Effect {
	effect := l.state.Apply(r.offset, r.id, r.data)
	l.fold.Observe(effect)
	return effect
}

// claim appends a claim of holder on zone a and returns its epoch.
func (l *fakeLog) claim(holder string, previous uint64) uint64 {
	return l.write("claim-"+holder, &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: "a", Holder: holder, Address: "x", Previous: previous}}).Offset
}

// newFakeLog returns an empty log and the store that its fold fills.
func newFakeLog(now *time.Time) (*fakeLog, *Store) {
	store := NewStore()
	l := &fakeLog{state: cell.New()}
	l.fold = NewFold(store, l.state, func() time.Time { return *now }, slog.New(slog.DiscardHandler))
	return l, store
}

// startHolder returns the collector and recorder of a daemon that holds zone a.
func startHolder(l *fakeLog, epoch uint64, now time.Time) (*Collector, *Recorder) {
	c := NewCollector(objectives)
	r := NewRecorder("a", c, l, slog.New(slog.DiscardHandler))
	l.fold.OnConfirmed(r.Confirm)
	r.SetEpoch(epoch, now)
	return c, r
}

// totalStarts returns the starts of the budget's period over all rows.
func totalStarts(s *Store, now time.Time) Ratio {
	var out Ratio
	for _, row := range s.Build(now, 1, nil, objectives).Rows {
		out.add(row.Indicators[0].Windows[4].Ratio)
	}
	return out
}

// TestReplacementOfEveryDaemon requires that a new daemon computes the same report
// from the log as one that has read it all along.
func TestReplacementOfEveryDaemon(t *testing.T) {
	now := testStart
	l, store := newFakeLog(&now)
	epoch := uint64(0)
	for n := range 3 {
		epoch = l.claim(fmt.Sprint("daemon-", n), epoch)
		c, r := startHolder(l, epoch, now)
		for range 4 {
			c.Started("press", "urgent", time.Second, "failover")
			now = now.Add(time.Minute)
			if err := r.Record(t.Context(), now); err != nil {
				t.Fatal(err)
			}
		}
		// The next daemon starts two minutes later.
		now = now.Add(2 * time.Minute)
	}
	stale := &record.Report{Zone: "a", Epoch: 1, StartMS: unixMS(testStart), EndMS: unixMS(now), Series: []byte{0xa0}}
	l.write("stale", &record.Envelope{Kind: record.KindReport, Report: stale, Seen: l.Applied()})
	fresh, freshStore := newFakeLog(&now)
	for _, r := range l.records {
		fresh.apply(r)
	}
	want, got := store.Build(now, 1, []string{"a", "b"}, objectives), freshStore.Build(now, 1, []string{"a", "b"}, objectives)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("report of a new daemon differs (-old +new):\n%s", diff)
	}
	if total := totalStarts(freshStore, now); total != (Ratio{12, 12}) {
		t.Errorf("starts %+v, want 12 bad ones", total)
	}
	hour := got.Coverage[0].Windows[1]
	if hour.Covered != 0.2 || hour.Missing != 4 {
		t.Errorf("zone a covered %v with %d gaps, want 12 of 60 minutes and 4 gaps", hour.Covered, hour.Missing)
	}
	if b := got.Coverage[1].Windows[1]; got.Coverage[1].Zone != "b" || b.Covered != 0 || len(b.Gaps) != 1 {
		t.Errorf("zone without data: %+v", b)
	}
}

// TestReaderBehindTrim starts readers at several offsets of the log. Readers that
// miss a claim because the log was trimmed count only the summaries of the epoch in
// the snapshot.
func TestReaderBehindTrim(t *testing.T) {
	now := testStart
	l, _ := newFakeLog(&now)
	first := l.claim("old", 0)
	c, r := startHolder(l, first, now)
	record4 := func() {
		for range 4 {
			c.Started("press", "urgent", time.Second, "")
			now = now.Add(time.Minute)
			if err := r.Record(t.Context(), now); err != nil {
				t.Fatal(err)
			}
		}
	}
	record4()
	second := l.claim("new", first)
	c, r = startHolder(l, second, now)
	record4()
	// A retry of an append whose first copy is valid.
	again := l.records[len(l.records)-1]
	l.offset++
	l.records = append(l.records, loggedRecord{l.offset, again.id, again.data})
	l.apply(l.records[len(l.records)-1])
	for _, part := range append(l.state.SnapshotShared(), l.state.SnapshotZone("a")...) {
		l.write(journal.NewID(), &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
	}
	for _, c := range []struct {
		from uint64
		want Ratio
	}{
		{first, Ratio{8, 8}},
		// The summaries of the old epoch can't be validated any more.
		{first + 2, Ratio{4, 4}},
		{second + 3, Ratio{2, 2}},
	} {
		late, store := newFakeLog(&now)
		for _, r := range l.records {
			if r.offset >= c.from {
				late.apply(r)
			}
		}
		if got := totalStarts(store, now); got != c.want {
			t.Errorf("reader from offset %d: starts %+v, want %+v", c.from, got, c.want)
		}
	}
}

// TestLostAnswersCountOnce requires that a summary counts exactly once if the
// answer to its append is lost or the append fails.
func TestLostAnswersCountOnce(t *testing.T) {
	for name, fault := range map[string]func(*fakeLog){
		"answers lost":                        func(l *fakeLog) { l.lose = 3 },
		"appends refused":                     func(l *fakeLog) { l.refuse = 3 },
		"log is not read":                     func(l *fakeLog) { l.readPaused = true },
		"one answer lost, one append refused": func(l *fakeLog) { l.lose, l.refuse = 1, 1 },
	} {
		now := testStart
		l, store := newFakeLog(&now)
		c, r := startHolder(l, l.claim("d", 0), now)
		fault(l)
		for range 5 {
			c.Started("press", "urgent", 0, "")
			now = now.Add(time.Minute)
			_ = r.Record(t.Context(), now)
		}
		if l.readPaused {
			l.readPaused = false
			for _, rec := range l.records[1:] {
				l.apply(rec)
			}
		}
		now = now.Add(time.Minute)
		if err := r.Record(t.Context(), now); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		view := store.Build(now, 1, nil, objectives)
		if got := totalStarts(store, now); got != (Ratio{0, 5}) || view.Coverage[0].Windows[0].Covered != 1 {
			t.Errorf("%s: starts %+v and coverage %+v, want 5 and no gap", name, got, view.Coverage[0].Windows[0])
		}
	}
}

// TestLateAppend lets the log pass the offsets at which a refused append would be
// valid. The summary must be appended under a new id and counted.
func TestLateAppend(t *testing.T) {
	now := testStart
	l, store := newFakeLog(&now)
	c, r := startHolder(l, l.claim("d", 0), now)
	c.Started("press", "urgent", 0, "")
	l.refuse = 1
	now = now.Add(time.Minute)
	_ = r.Record(t.Context(), now)
	audit := &record.Envelope{Kind: record.KindAudit, Audit: &record.Audit{Action: "x"}}
	for range record.SeenWindow + 2 {
		l.write("", audit)
	}
	now = now.Add(time.Minute)
	if err := r.Record(t.Context(), now); err != nil {
		t.Fatal(err)
	}
	if got := totalStarts(store, now); got != (Ratio{0, 1}) {
		t.Errorf("starts %+v, want 1", got)
	}
}

func TestPendingIsBounded(t *testing.T) {
	now := testStart
	l, store := newFakeLog(&now)
	c, r := startHolder(l, l.claim("d", 0), now)
	l.refuse = maxPending + 40
	for range maxPending + 40 {
		c.Started("press", "urgent", 0, "")
		now = now.Add(time.Minute)
		_ = r.Record(t.Context(), now)
	}
	for len(r.queue) > 0 {
		if err := r.Record(t.Context(), now); err != nil {
			t.Fatal(err)
		}
	}
	if got := totalStarts(store, now); got.Total != maxPending {
		t.Errorf("%d starts, want those of the newest %d minutes", got.Total, maxPending)
	}
	if gaps := store.Build(now, 1, nil, objectives).Coverage[0].Windows[4]; gaps.Missing != 1 || gaps.Gaps[0].ToMS != unixMS(testStart.Add(40*time.Minute)) {
		t.Errorf("gaps %+v, want one up to 40 minutes", gaps)
	}
}

// TestEpochEnds requires that events counted under an epoch are not recorded under
// a later one.
func TestEpochEnds(t *testing.T) {
	now := testStart
	l, store := newFakeLog(&now)
	first := l.claim("d", 0)
	c, r := startHolder(l, first, now)
	c.Started("press", "urgent", 0, "")
	c.Answered("press", "urgent", problem.Done, "")
	r.SetEpoch(0, now)
	if r.Lost(first, "press", "urgent") {
		t.Error("a lost task was counted while the daemon does not hold the zone")
	}
	r.SetEpoch(l.claim("d", first), now)
	r.Lost(first, "press", "urgent")
	now = now.Add(time.Minute)
	if err := r.Record(t.Context(), now); err != nil {
		t.Fatal(err)
	}
	if got := store.Build(now, 1, nil, objectives); len(got.Rows) != 0 || got.Coverage[0].Windows[1].Covered == 0 {
		t.Errorf("rows %+v, want none for a period that is known", got.Rows)
	}
}

// startFrontDoor returns the collector and recorder of a front door of
// zone a.
func startFrontDoor(l *fakeLog, now time.Time) (*Collector, *Recorder) {
	c := NewCollector(objectives)
	current := func() (uint64, bool) {
		claim, ok := l.state.Claim("a")
		return claim.Epoch, ok
	}
	r := NewFrontDoorRecorder("a", c, l, current, slog.New(slog.DiscardHandler), now)
	l.fold.OnConfirmed(r.Confirm)
	return c, r
}

// TestFrontDoor requires that the requests that a front door refuses while no
// daemon holds the zone are counted once, whichever epoch they are recorded under,
// and that its summary does not count as coverage of the zone.
func TestFrontDoor(t *testing.T) {
	for name, fault := range map[string]func(*fakeLog, uint64){
		"no fault":                func(*fakeLog, uint64) {},
		"refused":                 func(l *fakeLog, _ uint64) { l.refuse = 1 },
		"answer lost":             func(l *fakeLog, _ uint64) { l.lose = 1 },
		"holder changes":          func(l *fakeLog, epoch uint64) { l.refuse = 1; l.claim("next", epoch) },
		"claim before the append": func(l *fakeLog, epoch uint64) { l.beforeAppend = func() { l.claim("next", epoch) } },
		"valid, answer lost":      func(l *fakeLog, _ uint64) { l.readPaused = true },
	} {
		now := testStart
		l, store := newFakeLog(&now)
		first := l.claim("d", 0)
		c, r := startFrontDoor(l, now)
		c.Answered("press", "urgent", problem.NotRun, problem.NoHolder)
		now = now.Add(time.Minute)
		fault(l, first)
		_ = r.Record(t.Context(), now)
		if l.readPaused {
			l.readPaused = false
			l.apply(l.records[1])
			l.claim("next", first)
		}
		for range 3 {
			now = now.Add(time.Minute)
			if err := r.Record(t.Context(), now); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		view := store.Build(now, 1, []string{"a"}, objectives)
		if got := totalStarts(store, now); got != (Ratio{1, 1}) || view.Rows[0].Indicators[0].Causes[0].Cause != "failover" {
			t.Errorf("%s: starts %+v, want one by failover", name, got)
		}
		if covered := view.Coverage[0].Windows[1].Covered; covered != 0 {
			t.Errorf("%s: a front door's summary covers %v of the zone's hour", name, covered)
		}
		if before := len(l.records); r.Record(t.Context(), now.Add(time.Minute)) != nil || len(l.records) != before {
			t.Errorf("%s: a front door without events appends", name)
		}
	}
}
