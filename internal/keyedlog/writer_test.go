package keyedlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// fakeLog is one partition that follows the platform's rules: a higher epoch may
// start at any sequence number, each further append must have the next number, and a
// repetition of one of the last five is answered as the first time.
type fakeLog struct {
	mu      sync.Mutex
	epoch   int64
	next    int64
	started bool
	records []string
	answers map[int64]AppendResult
	// inject, if not nil, returns the fault that affects an append, and the
	// delay for faultDelayed.
	inject  func(a Append) (fault faultKind, delay time.Duration)
	delayed sync.WaitGroup
}

// faultKind is a fault that affects an append.
type faultKind int

const (
	// faultNone stores and answers the append.
	faultNone faultKind = iota
	// faultLostRequest neither stores nor answers it.
	faultLostRequest
	// faultLostAnswer stores it without an answer.
	faultLostAnswer
	// faultDelayed stores it after a delay without an answer.
	faultDelayed
	// faultRefused answers KindRefused.
	faultRefused
)

func (l *fakeLog) Append(ctx context.Context, a Append) (AppendResult, error) {
	fault, delay := faultNone, time.Duration(0)
	if l.inject != nil {
		l.mu.Lock()
		fault, delay = l.inject(a)
		l.mu.Unlock()
	}
	noAnswer := func() (AppendResult, error) {
		<-ctx.Done()
		return AppendResult{}, &Error{Kind: KindUnanswered, Op: "append", Detail: "no answer"}
	}
	switch fault {
	case faultRefused:
		return AppendResult{}, &Error{Kind: KindRefused, Op: "append", Detail: "too many calls"}
	case faultLostRequest:
		return noAnswer()
	case faultLostAnswer:
		_, _ = l.apply(a)
		return noAnswer()
	case faultDelayed:
		l.delayed.Go(func() {
			time.Sleep(delay)
			_, _ = l.apply(a)
		})
		return noAnswer()
	default:
		return l.apply(a)
	}
}

func (l *fakeLog) apply(a Append) (AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch p := a.Producer; {
	case p.Epoch < l.epoch:
		return AppendResult{}, &Error{Kind: KindFenced, Op: "append", Number: l.epoch}
	case p.Epoch > l.epoch:
		l.epoch, l.started, l.answers = p.Epoch, false, make(map[int64]AppendResult)
	}
	if len(a.Records) == 0 {
		return AppendResult{End: int64(len(l.records))}, nil
	}
	seq := a.Producer.Sequence
	if answer, ok := l.answers[seq]; ok {
		return answer, nil
	}
	if l.started && seq != l.next {
		return AppendResult{}, &Error{Kind: KindSequence, Op: "append", Number: l.next}
	}
	l.started, l.next = true, seq+1
	answer := AppendResult{Offset: int64(len(l.records))}
	for _, r := range a.Records {
		l.records = append(l.records, r.Key)
	}
	answer.End = int64(len(l.records))
	l.answers[seq] = answer
	delete(l.answers, seq-5)
	return answer, nil
}

func (l *fakeLog) Read(context.Context, Partition, int64, time.Duration) (Page, error) {
	return Page{}, nil
}

func (l *fakeLog) Newest(context.Context, Partition, string) (NewestPage, error) {
	return NewestPage{}, nil
}

// writeAll makes n appends, with at most MaxInFlight in flight, and returns the keys of
// those that were confirmed.
func writeAll(ctx context.Context, t *testing.T, w *Writer, n int) []string {
	t.Helper()
	var (
		mu        sync.Mutex
		confirmed []string
		group     sync.WaitGroup
	)
	for i := range n {
		for w.InFlight() >= MaxInFlight && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		key := fmt.Sprintf("%d/%d", w.epoch, i)
		p := w.BeginAppend([]Record{{Key: key}})
		group.Go(func() {
			if err := p.Wait(ctx, nil); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, key)
		})
	}
	group.Wait()
	return confirmed
}

// requireStored fails the test unless the log contains all confirmed records and no
// record twice.
func (l *fakeLog) requireStored(t *testing.T, confirmed []string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range l.records {
		counts[r]++
		if counts[r] > 1 {
			t.Errorf("%s is stored twice", r)
		}
	}
	for _, key := range confirmed {
		if counts[key] == 0 {
			t.Errorf("%s was confirmed but is not stored: %v", key, l.records)
		}
	}
}

// requireOrdered fails the test unless the records of each epoch are stored in the
// order in which their appends were begun.
func (l *fakeLog) requireOrdered(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	last := make(map[int]int)
	for _, r := range l.records {
		var epoch, number int
		if _, err := fmt.Sscanf(r, "%d/%d", &epoch, &number); err != nil {
			t.Fatal(err)
		}
		if number < last[epoch] {
			t.Errorf("%s is stored after a later one: %v", r, l.records)
		}
		last[epoch] = number
	}
}

// TestFirstAppendIsStoredFirst injects a fault into the first append of an epoch. The
// log accepts any sequence number as the first, so if the second append reached it
// before the first, the first would be lost.
func TestFirstAppendIsStoredFirst(t *testing.T) {
	for _, fault := range []faultKind{faultLostRequest, faultLostAnswer, faultDelayed, faultRefused} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			first := true
			l := &fakeLog{inject: func(a Append) (faultKind, time.Duration) {
				if len(a.Records) > 0 && a.Producer.Sequence == 1 && first {
					first = false
					return fault, 300 * time.Millisecond
				}
				return faultNone, 0
			}}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			w := NewWriter(l, Partition{Topic: "t"}, "holder", 7)
			if err := w.Fence(ctx, nil); err != nil {
				t.Fatal(err)
			}
			const n = 10
			confirmed := writeAll(ctx, t, w, n)
			l.delayed.Wait()
			if len(confirmed) != n {
				t.Errorf("%d of %d appends were confirmed", len(confirmed), n)
			}
			l.requireStored(t, confirmed)
			l.requireOrdered(t)
		})
	}
}

// TestLossyLog writes to a log with faults of all kinds and checks that every append
// is confirmed and stored once, in order.
func TestLossyLog(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A test has to repeat.
			l := &fakeLog{inject: func(Append) (faultKind, time.Duration) {
				if random.Float64() < 0.6 {
					return faultNone, 0
				}
				return faultKind(1 + random.IntN(4)), time.Duration(random.IntN(400)) * time.Millisecond
			}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			w := NewWriter(l, Partition{Topic: "t"}, "holder", 7)
			if err := w.Fence(ctx, nil); err != nil {
				t.Fatal(err)
			}
			const n = 15
			confirmed := writeAll(ctx, t, w, n)
			l.delayed.Wait()
			if len(confirmed) != n {
				t.Errorf("%d of %d appends were confirmed", len(confirmed), n)
			}
			l.requireStored(t, confirmed)
			l.requireOrdered(t)
		})
	}
}

// TestFencedWriter checks that no append of an earlier epoch is stored after a later
// writer has fenced it, and that only stored appends are confirmed.
func TestFencedWriter(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A test has to repeat.
			l := &fakeLog{inject: func(Append) (faultKind, time.Duration) {
				if random.Float64() < 0.7 {
					return faultNone, 0
				}
				return faultKind(1 + random.IntN(3)), time.Duration(random.IntN(300)) * time.Millisecond
			}}
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			old := NewWriter(l, Partition{Topic: "t"}, "holder", 7)
			if err := old.Fence(ctx, nil); err != nil {
				t.Fatal(err)
			}
			var confirmed []string
			done := make(chan struct{})
			oldContext, stop := context.WithTimeout(ctx, 3*time.Second)
			defer stop()
			go func() {
				defer close(done)
				confirmed = writeAll(oldContext, t, old, 40)
			}()
			time.Sleep(50 * time.Millisecond)
			next := NewWriter(l, Partition{Topic: "t"}, "holder", 9)
			if err := next.Fence(ctx, nil); err != nil {
				t.Fatal(err)
			}
			l.mu.Lock()
			fenced := len(l.records)
			l.mu.Unlock()
			later := writeAll(ctx, t, next, 10)
			<-done
			l.delayed.Wait()
			l.requireStored(t, append(confirmed, later...))
			l.requireOrdered(t)
			for _, r := range l.records[fenced:] {
				if r[0] == '7' {
					t.Errorf("%s was stored after the fence", r)
				}
			}
		})
	}
}
