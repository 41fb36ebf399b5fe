package journal

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"
	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// records returns n records that stand at offsets from 1 on.
func records(t rapid.TB, n int) []loglist.Record {
	out := make([]loglist.Record, n)
	for i := range out {
		data, err := record.Encode(claim(fmt.Sprintf("z%d", i), "d"))
		if err != nil {
			t.Fatal(err)
		}
		out[i] = loglist.Record{Offset: uint64(i + 1), ID: fmt.Sprint(i), Data: data}
	}
	return out
}

// TestPagesInAnyOrder reads pages that overlap and come again, from sources
// that have got differently far. Each record is applied once, in order.
func TestPagesInAnyOrder(t *testing.T) {
	all := records(t, 30)
	rapid.Check(t, func(rt *rapid.T) {
		j := New(nil, cell.New(), slog.New(slog.DiscardHandler))
		next := uint64(1)
		j.Observe(func(e cell.Effect) {
			if e.Offset != next || !e.Valid {
				rt.Fatalf("effect %+v in place of offset %d", e, next)
			}
			next++
		})
		for range rapid.IntRange(1, 20).Draw(rt, "pages") {
			applied := int(j.State().Applied())
			from := rapid.IntRange(0, applied).Draw(rt, "from")
			to := rapid.IntRange(from, len(all)).Draw(rt, "to")
			j.applyPage("log", &Page{Records: all[from:to], End: uint64(len(all) + 1), First: 1})
			if want := max(applied, to); int(j.State().Applied()) != want {
				rt.Fatalf("applied %d, want %d", j.State().Applied(), want)
			}
		}
	})
}

// TestRingKeepsARun compares the ring with all records: what it gives is the
// run from the offset asked for, and it refuses where it can't.
func TestRingKeepsARun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 64).Draw(rt, "limit")
		r := newRing(limit)
		n := uint64(rapid.IntRange(0, 60).Draw(rt, "records"))
		for offset := uint64(1); offset <= n; offset++ {
			size := rapid.IntRange(0, 40).Draw(rt, "size")
			r.add(loglist.Record{Offset: offset, Data: make([]byte, size)})
			if r.size > limit && len(r.records)-r.start > 1 {
				rt.Fatalf("%d bytes are kept, over %d", r.size, limit)
			}
		}
		from := uint64(rapid.IntRange(1, 70).Draw(rt, "from"))
		page := rapid.IntRange(1, 10).Draw(rt, "page")
		out, ok := r.from(from, page)
		if !ok {
			if n > 0 && from >= n {
				rt.Fatalf("offset %d of %d is refused", from, n)
			}
			return
		}
		for i, rec := range out {
			if rec.Offset != from+uint64(i) {
				rt.Fatalf("record %d from offset %d has offset %d", i, from, rec.Offset)
			}
		}
		want := 0
		if from <= n {
			want = min(page, int(n-from)+1)
		}
		if len(out) != want {
			rt.Fatalf("%d records from offset %d of %d, want %d", len(out), from, n, want)
		}
	})
}

// freshnessStep is one thing that happens while freshness is observed.
type freshnessStep struct {
	// Appends is how many records are appended.
	Appends int
	// Delay is how long answers to reads are under way from then on.
	Delay time.Duration
	// Word is set if another daemon's word on the log's end arrives, which is
	// Age old.
	Word bool
	Age  time.Duration
	Then time.Duration
}

// drawFreshnessStep draws one step.
func drawFreshnessStep(t *rapid.T) freshnessStep {
	duration := func(label string) time.Duration {
		return rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}).Draw(t, label)
	}
	return freshnessStep{
		Appends: rapid.IntRange(0, 3).Draw(t, "appends"),
		Delay:   duration("delay"),
		Word:    rapid.Bool().Draw(t, "word"),
		Age:     duration("age"),
		Then:    duration("then"),
	}
}

// appended is when each record was appended.
type appended []time.Time

// endAt is the log's end at an instant.
func (a appended) endAt(at time.Time) uint64 {
	end := uint64(1)
	for _, when := range a {
		if !when.After(at) {
			end++
		}
	}
	return end
}

// TestFreshnessIsNeverOverstated lets records be appended while reads are slow
// and words of other daemons are old: all that was appended before the instant
// of the proof has been applied.
func TestFreshnessIsNeverOverstated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawFreshnessStep), 1, 15).Draw(rt, "steps")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = observeFreshness(t, steps) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// observeFreshness carries out the steps and returns the first overstatement.
func observeFreshness(t *testing.T, steps []freshnessStep) string {
	l := &logUnderTest{Log: standin.NewLog(standin.LogOptions{})}
	j := New(l, cell.New(), slog.New(slog.DiscardHandler))
	var tail tomb.Tomb
	tail.Go(func() error { return j.Run(&tail, func() []Source { return []Source{LogSource{Log: l}} }) })
	defer func() {
		tail.Kill(nil)
		_ = tail.Wait()
	}()
	var when appended
	fault := ""
	for _, s := range steps {
		l.mu.Lock()
		l.readDelay = s.Delay
		l.mu.Unlock()
		for range s.Appends {
			data, err := record.Encode(claim(fmt.Sprintf("z%d", len(when)), "d"))
			if err != nil {
				t.Fatal(err)
			}
			when = append(when, time.Now())
			l.Log.Append(fmt.Sprint(len(when)), data)
		}
		if s.Word {
			at := time.Now().Add(-s.Age)
			j.MarkFresh(at, when.endAt(at))
		}
		if fault == "" {
			fault = overstated(j, when)
		}
		time.Sleep(s.Then)
		if fault == "" {
			fault = overstated(j, when)
		}
	}
	return fault
}

// overstated says how the journal's freshness is overstated, "" if it isn't.
func overstated(j *Journal, when appended) string {
	age, _, ok := j.Fresh()
	if !ok {
		return ""
	}
	at := time.Now().Add(-age)
	// A record that was appended at the very instant may stand behind it.
	if end := when.endAt(at.Add(-1)); end > j.State().Applied()+1 {
		return fmt.Sprintf("fresh as of %s ago, when the log ended at %d, but only %d is applied", age, end, j.State().Applied())
	}
	return ""
}

// TestOverstatementIsNoticed tells a journal a false end of the log.
func TestOverstatementIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := New(nil, cell.New(), slog.New(slog.DiscardHandler))
		when := appended{time.Now()}
		time.Sleep(time.Second)
		j.MarkFresh(time.Now(), 1)
		if overstated(j, when) == "" {
			t.Error("the check did not notice")
		}
	})
}
