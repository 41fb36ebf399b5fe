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

// logUnderTest is the platform's log without sockets, with faults.
type logUnderTest struct {
	*standin.Log
	mu sync.Mutex
	// append overrides what becomes of an append; nil appends and answers.
	append func(id string, data []byte) (uint64, error)
	// readDelay is how long an answer to a read is under way.
	readDelay time.Duration
}

// Append implements loglist.Log.
func (l *logUnderTest) Append(_ context.Context, id string, data []byte) (uint64, error) {
	l.mu.Lock()
	override := l.append
	l.mu.Unlock()
	if override != nil {
		return override(id, data)
	}
	return l.Log.Append(id, data), nil
}

// Read implements loglist.Log.
func (l *logUnderTest) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (*loglist.ReadResponse, error) {
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

// unknown is the error of an append that may have been made.
func unknown() error {
	return &loglist.Error{Kind: loglist.KindAppendUnknown, Op: "append"}
}

// unavailable is the error of an append that was not made.
func unavailable() error {
	return &loglist.Error{Kind: loglist.KindUnavailable, Op: "append"}
}

// running runs a journal in a bubble of fake time. Effects are collected.
func running(t *testing.T, f func(t *testing.T, l *logUnderTest, j *Journal, effects func() []cell.Effect)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &logUnderTest{Log: standin.NewLog(standin.LogOptions{})}
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

// claim is a first claim on a zone.
func claim(zone, holder string) *record.Envelope {
	return &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: zone, Holder: holder, Address: holder}}
}

// within bounds an append.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestAppendReturnsTheEffect(t *testing.T) {
	running(t, func(t *testing.T, _ *logUnderTest, j *Journal, _ func() []cell.Effect) {
		first, err := j.Append(within(t, time.Second), claim("a", "d1"))
		if err != nil || !first.Valid || first.Offset != 1 {
			t.Errorf("first claim: %+v, %v", first, err)
		}
		second, err := j.Append(within(t, time.Second), claim("a", "d2"))
		if err != nil || second.Valid || second.Void != record.VoidClaim {
			t.Errorf("second claim: %+v, %v", second, err)
		}
	})
}

func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	running(t, func(t *testing.T, l *logUnderTest, j *Journal, _ func() []cell.Effect) {
		l.append = func(id string, data []byte) (uint64, error) {
			l.Log.Append(id, data)
			return 0, unknown()
		}
		if effect, err := j.Append(within(t, time.Second), claim("a", "d1")); err != nil || !effect.Valid {
			t.Errorf("%+v, %v", effect, err)
		}
	})
}

func TestFateUnknownUntilReadBack(t *testing.T) {
	running(t, func(t *testing.T, l *logUnderTest, j *Journal, effects func() []cell.Effect) {
		l.append = func(id string, data []byte) (uint64, error) {
			time.AfterFunc(10*time.Second, func() { l.Log.Append(id, data) })
			return 0, unknown()
		}
		if _, err := j.Append(within(t, time.Second), claim("a", "d1")); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("a delayed append ended as %v", err)
		}
		time.Sleep(20 * time.Second)
		if got := effects(); len(got) != 1 || !got[0].Valid {
			t.Errorf("effects %+v", got)
		}
	})
}

func TestRefusedAppendIsNotMade(t *testing.T) {
	running(t, func(t *testing.T, l *logUnderTest, j *Journal, effects func() []cell.Effect) {
		l.append = func(string, []byte) (uint64, error) { return 0, unavailable() }
		if _, err := j.Append(within(t, time.Second), claim("a", "d1")); !errors.Is(err, ErrNotAppended) {
			t.Errorf("a refused append ended as %v", err)
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

// TestFirstCopyAnswers appends one record twice: the writer gets the effect of
// the first copy, and the second one has none.
func TestFirstCopyAnswers(t *testing.T) {
	running(t, func(t *testing.T, l *logUnderTest, j *Journal, effects func() []cell.Effect) {
		l.append = func(id string, data []byte) (uint64, error) {
			l.Log.Append(id, data)
			return l.Log.Append(id, data), nil
		}
		if effect, err := j.Append(within(t, time.Second), claim("a", "d1")); err != nil || !effect.Valid || effect.Offset != 1 {
			t.Errorf("%+v, %v", effect, err)
		}
		if got := effects(); len(got) != 2 || got[1].Valid {
			t.Errorf("effects %+v", got)
		}
	})
}

func TestTooLargeARecordIsNotAppended(t *testing.T) {
	running(t, func(t *testing.T, _ *logUnderTest, j *Journal, effects func() []cell.Effect) {
		e := &record.Envelope{Kind: record.KindAudit, Audit: &record.Audit{Detail: string(make([]byte, record.MaxBytes))}}
		if _, err := j.Append(within(t, time.Second), e); err == nil {
			t.Error("it was appended")
		}
		if got := effects(); len(got) != 0 {
			t.Errorf("effects %+v", got)
		}
	})
}

// TestManyWritersGetTheirOwnEffects appends from many goroutines at once.
func TestManyWritersGetTheirOwnEffects(t *testing.T) {
	running(t, func(t *testing.T, _ *logUnderTest, j *Journal, effects func() []cell.Effect) {
		const writers = 50
		var wait sync.WaitGroup
		for i := range writers {
			wait.Go(func() {
				zone := fmt.Sprintf("z%d", i)
				effect, err := j.Append(within(t, time.Minute), claim(zone, "d"))
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

// TestTrimmedStart begins a reader behind the trim: it goes on with what is
// kept and says what that is.
func TestTrimmedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &logUnderTest{Log: standin.NewLog(standin.LogOptions{MaxRecords: 3})}
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
		if first, end := j.Kept(); j.State().Applied() != 10 || first != 8 || end != 11 {
			t.Errorf("applied %d, kept %d to %d", j.State().Applied(), first, end)
		}
		if j.State().Known("") {
			t.Error("the state before the trim is said to be known")
		}
		tail.Kill(nil)
		_ = tail.Wait()
	})
}
