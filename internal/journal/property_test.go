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

// records returns n records with the offsets 1 to n.
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

// TestOverlappingPagesApplyOnce applies pages that overlap and repeat, as from sources
// that have read the log to different offsets. Each record must be applied once and
// in order.
func TestOverlappingPagesApplyOnce(t *testing.T) {
	all := records(t, 30)
	rapid.Check(t, func(rt *rapid.T) {
		j := New(nil, cell.New(), slog.New(slog.DiscardHandler))
		next := uint64(1)
		j.Observe(func(e cell.Effect) {
			if e.Offset != next || !e.Valid {
				rt.Fatalf("effect %+v, want offset %d", e, next)
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

// TestRingReturnsContiguousRecords checks that the ring returns consecutive records
// from the requested offset on, that it stays within its limit, and that it never
// refuses the latest record.
func TestRingReturnsContiguousRecords(t *testing.T) {
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
		out, ok := r.read(from, page)
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

// freshnessStep is one step of a test of freshness.
type freshnessStep struct {
	// Appends is the number of records to append.
	Appends int
	// Delay is how long responses to reads are delayed from this step on.
	Delay time.Duration
	// PeerProof is whether another daemon's proof of freshness arrives.
	PeerProof bool
	// ProofAge is the age of that proof.
	ProofAge time.Duration
	// Pause is the time until the next step.
	Pause time.Duration
}

// drawFreshnessStep draws a step.
func drawFreshnessStep(t *rapid.T) freshnessStep {
	duration := func(label string) time.Duration {
		return rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}).Draw(t, label)
	}
	return freshnessStep{
		Appends:   rapid.IntRange(0, 3).Draw(t, "appends"),
		Delay:     duration("delay"),
		PeerProof: rapid.Bool().Draw(t, "peer proof"),
		ProofAge:  duration("age"),
		Pause:     duration("pause"),
	}
}

// appendTimes contains the time at which each record was appended.
type appendTimes []time.Time

// endAt returns the log's end at a given time.
func (a appendTimes) endAt(at time.Time) uint64 {
	end := uint64(1)
	for _, when := range a {
		if !when.After(at) {
			end++
		}
	}
	return end
}

// TestFreshnessIsNeverOverstated appends records while reads are slow and proofs from
// other daemons are old. All records that were appended before the time of the current
// proof must have been applied.
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

// observeFreshness executes the steps and returns the first overstatement, or "".
func observeFreshness(t *testing.T, steps []freshnessStep) string {
	l := &faultyLog{Log: standin.NewLog(standin.LogOptions{})}
	j := New(l, cell.New(), slog.New(slog.DiscardHandler))
	var tail tomb.Tomb
	tail.Go(func() error { return j.Run(&tail, func() []Source { return []Source{LogSource{Log: l}} }) })
	defer func() {
		tail.Kill(nil)
		_ = tail.Wait()
	}()
	var when appendTimes
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
		if s.PeerProof {
			at := time.Now().Add(-s.ProofAge)
			j.MarkFresh(at, when.endAt(at))
		}
		if fault == "" {
			fault = overstatement(j, when)
		}
		time.Sleep(s.Pause)
		if fault == "" {
			fault = overstatement(j, when)
		}
	}
	return fault
}

// overstatement describes how the journal overstates its freshness, or returns "" if it
// does not.
func overstatement(j *Journal, when appendTimes) string {
	age, _, ok := j.Fresh()
	if !ok {
		return ""
	}
	at := time.Now().Add(-age)
	// A record that was appended at exactly that time may not be covered by the
	// proof.
	if end := when.endAt(at.Add(-1)); end > j.State().Applied()+1 {
		return fmt.Sprintf("fresh as of %s ago, when the log ended at %d, but only %d is applied", age, end, j.State().Applied())
	}
	return ""
}

// TestOverstatementIsDetected gives a journal a false end of the log and checks that
// the other tests would detect it.
func TestOverstatementIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := New(nil, cell.New(), slog.New(slog.DiscardHandler))
		when := appendTimes{time.Now()}
		time.Sleep(time.Second)
		j.MarkFresh(time.Now(), 1)
		if overstatement(j, when) == "" {
			t.Error("a false proof of freshness was not detected")
		}
	})
}
