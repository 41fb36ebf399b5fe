package journal

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// faultyLog is the platform's log in memory, into which tests inject faults.
type faultyLog struct {
	*standin.Log
	mu sync.Mutex
	// append, if not nil, replaces the handling of an append.
	append func(id string, data []byte) (uint64, error)
	// readDelay is how long the response to a read is delayed.
	readDelay time.Duration
}

// Append implements loglist.Log.
func (l *faultyLog) Append(_ context.Context, id string, data []byte) (uint64, error) {
	l.mu.Lock()
	override := l.append
	l.mu.Unlock()
	if override != nil {
		return override(id, data)
	}
	return l.Log.Append(id, data), nil
}

// Read implements loglist.Log.
func (l *faultyLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (*loglist.ReadResponse, error) {
	page := l.Log.Read(ctx, from, limit, wait)
	l.mu.Lock()
	delay := l.readDelay
	l.mu.Unlock()
	time.Sleep(delay)
	if from > 0 && page.First > from {
		return nil, &loglist.Error{Kind: loglist.KindTrimmed, Op: "read", First: page.First}
	}
	return page, nil
}

// errAppendUnknown returns the error of an append that may have been made.
func errAppendUnknown() error {
	return &loglist.Error{Kind: loglist.KindAppendUnknown, Op: "append"}
}

// errUnavailable returns the error of an append that was not made.
func errUnavailable() error {
	return &loglist.Error{Kind: loglist.KindUnavailable, Op: "append"}
}

// runJournal runs a journal in fake time and calls f with it. effects returns the
// effects observed so far.
func runJournal(t *testing.T, f func(t *testing.T, l *faultyLog, j *Journal, effects func() []cell.Effect)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &faultyLog{Log: standin.NewLog(standin.LogOptions{})}
		j := New(l, cell.New(), slog.New(slog.DiscardHandler))
		var mu sync.Mutex
		var seen []cell.Effect
		j.Observe(func(e cell.Effect) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, e)
		})
		var tail tomb.Tomb
		tail.Go(func() error { return j.Run(&tail, func() []Source { return []Source{LogSource{Log: l}} }) })
		f(t, l, j, func() []cell.Effect {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return append([]cell.Effect(nil), seen...)
		})
		tail.Kill(nil)
		_ = tail.Wait()
	})
}

// claim returns a first claim on a zone.
func claim(zone, holder string) *record.Envelope {
	return &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: zone, Holder: holder, Address: holder}}
}

// withTimeout returns a context that ends after d.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestAppendReturnsTheEffect(t *testing.T) {
	runJournal(t, func(t *testing.T, _ *faultyLog, j *Journal, _ func() []cell.Effect) {
		first, err := j.Append(withTimeout(t, time.Second), claim("a", "d1"))
		if err != nil || !first.Valid || first.Offset != 1 {
			t.Errorf("first claim: %+v, %v", first, err)
		}
		second, err := j.Append(withTimeout(t, time.Second), claim("a", "d2"))
		if err != nil || second.Valid || second.Void != record.VoidClaim {
			t.Errorf("second claim: %+v, %v", second, err)
		}
	})
}

func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	runJournal(t, func(t *testing.T, l *faultyLog, j *Journal, _ func() []cell.Effect) {
		l.append = func(id string, data []byte) (uint64, error) {
			l.Log.Append(id, data)
			return 0, errAppendUnknown()
		}
		if effect, err := j.Append(withTimeout(t, time.Second), claim("a", "d1")); err != nil || !effect.Valid {
			t.Errorf("%+v, %v", effect, err)
		}
	})
}

func TestOutcomeUnknownUntilReadBack(t *testing.T) {
	runJournal(t, func(t *testing.T, l *faultyLog, j *Journal, effects func() []cell.Effect) {
		l.append = func(id string, data []byte) (uint64, error) {
			time.AfterFunc(10*time.Second, func() { l.Log.Append(id, data) })
			return 0, errAppendUnknown()
		}
		if _, err := j.Append(withTimeout(t, time.Second), claim("a", "d1")); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("a delayed append returned %v", err)
		}
		time.Sleep(20 * time.Second)
		if got := effects(); len(got) != 1 || !got[0].Valid {
			t.Errorf("effects %+v", got)
		}
	})
}

func TestRefusedAppendIsNotMade(t *testing.T) {
	runJournal(t, func(t *testing.T, l *faultyLog, j *Journal, effects func() []cell.Effect) {
		l.append = func(string, []byte) (uint64, error) { return 0, errUnavailable() }
		if _, err := j.Append(withTimeout(t, time.Second), claim("a", "d1")); !errors.Is(err, ErrNotAppended) {
			t.Errorf("a refused append returned %v", err)
		}
		time.Sleep(10 * time.Second)
		if got := effects(); len(got) != 0 {
			t.Errorf("effects %+v", got)
		}
		if len(j.waiters) != 0 {
			t.Errorf("%d waiters are left", len(j.waiters))
		}
	})
}

// TestDuplicateRecordTakesEffectOnce stores one record twice, as a repeated append
// does. The writer gets the effect of the first copy, and the second copy is void.
func TestDuplicateRecordTakesEffectOnce(t *testing.T) {
	runJournal(t, func(t *testing.T, l *faultyLog, j *Journal, effects func() []cell.Effect) {
		l.append = func(id string, data []byte) (uint64, error) {
			l.Log.Append(id, data)
			return l.Log.Append(id, data), nil
		}
		if effect, err := j.Append(withTimeout(t, time.Second), claim("a", "d1")); err != nil || !effect.Valid || effect.Offset != 1 {
			t.Errorf("%+v, %v", effect, err)
		}
		if got := effects(); len(got) != 2 || got[1].Valid {
			t.Errorf("effects %+v", got)
		}
	})
}

func TestOversizeRecordIsNotAppended(t *testing.T) {
	runJournal(t, func(t *testing.T, _ *faultyLog, j *Journal, effects func() []cell.Effect) {
		e := &record.Envelope{Kind: record.KindAudit, Audit: &record.Audit{Detail: string(make([]byte, record.MaxBytes))}}
		if _, err := j.Append(withTimeout(t, time.Second), e); err == nil {
			t.Error("a record over the size limit was appended")
		}
		if got := effects(); len(got) != 0 {
			t.Errorf("effects %+v", got)
		}
	})
}

// TestManyWritersGetTheirOwnEffects appends from 50 goroutines at once. Each must get
// the effect of its own record.
func TestManyWritersGetTheirOwnEffects(t *testing.T) {
	runJournal(t, func(t *testing.T, _ *faultyLog, j *Journal, effects func() []cell.Effect) {
		const writers = 50
		var wait sync.WaitGroup
		for i := range writers {
			wait.Go(func() {
				zone := fmt.Sprintf("z%d", i)
				effect, err := j.Append(withTimeout(t, time.Minute), claim(zone, "d"))
				if err != nil || !effect.Valid || effect.Zone != zone {
					t.Errorf("writer %d: %+v, %v", i, effect, err)
				}
			})
		}
		wait.Wait()
		got := effects()
		for i, e := range got {
			if e.Offset != uint64(i+1) {
				t.Fatalf("effect %d is of offset %d", i, e.Offset)
			}
		}
		if len(got) != writers {
			t.Errorf("%d effects", len(got))
		}
	})
}

// TestTrimmedStart starts a journal after the log has trimmed its first records. It
// has to continue with the retained ones and must not report the state as known.
func TestTrimmedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &faultyLog{Log: standin.NewLog(standin.LogOptions{MaxRecords: 3})}
		for i := range 10 {
			data, err := record.Encode(claim(fmt.Sprintf("z%d", i), "d"))
			if err != nil {
				t.Fatal(err)
			}
			l.Log.Append(fmt.Sprint(i), data)
		}
		j := New(l, cell.New(), slog.New(slog.DiscardHandler))
		var tail tomb.Tomb
		tail.Go(func() error { return j.Run(&tail, func() []Source { return []Source{LogSource{Log: l}} }) })
		time.Sleep(10 * time.Second)
		if first, end := j.Retained(); j.State().Applied() != 10 || first != 8 || end != 11 {
			t.Errorf("applied %d, kept %d to %d", j.State().Applied(), first, end)
		}
		if j.State().Known("") {
			t.Error("the state is reported as known although records were trimmed unread")
		}
		tail.Kill(nil)
		_ = tail.Wait()
	})
}
