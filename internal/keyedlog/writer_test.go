package keyedlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// fakeLog is one partition with the rules that the users' platform gives: a
// higher epoch may start at any sequence number, each next one has to follow,
// and the last five are answered again.
type fakeLog struct {
	mu      sync.Mutex
	epoch   int64
	next    int64
	began   bool
	records []string
	answers map[int64]AppendResult
	// meddle decides what happens to an append: lost before or after it takes
	// effect, or done after a pause without an answer. It may be nil.
	meddle func(a Append) (fate fate, after time.Duration)
	late   sync.WaitGroup
}

type fate int

const (
	fateDone fate = iota
	fateLostBefore
	fateLostAfter
	fateLate
	fateRefused
)

func (l *fakeLog) Append(ctx context.Context, a Append) (AppendResult, error) {
	what, after := fateDone, time.Duration(0)
	if l.meddle != nil {
		l.mu.Lock()
		what, after = l.meddle(a)
		l.mu.Unlock()
	}
	silence := func() (AppendResult, error) {
		<-ctx.Done()
		return AppendResult{}, &Error{Kind: KindUnanswered, Op: "append", Detail: "no answer"}
	}
	switch what {
	case fateRefused:
		return AppendResult{}, &Error{Kind: KindRefused, Op: "append", Detail: "too many calls"}
	case fateLostBefore:
		return silence()
	case fateLostAfter:
		_, _ = l.apply(a)
		return silence()
	case fateLate:
		l.late.Go(func() {
			time.Sleep(after)
			_, _ = l.apply(a)
		})
		return silence()
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
		l.epoch, l.began, l.answers = p.Epoch, false, make(map[int64]AppendResult)
	}
	if len(a.Records) == 0 {
		return AppendResult{End: int64(len(l.records))}, nil
	}
	seq := a.Producer.Sequence
	if answer, ok := l.answers[seq]; ok {
		return answer, nil
	}
	if l.began && seq != l.next {
		return AppendResult{}, &Error{Kind: KindSequence, Op: "append", Number: l.next}
	}
	l.began, l.next = true, seq+1
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

// writeAll begins n appends, as many at once as are allowed, and returns those
// that were confirmed.
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
		p := w.Begin([]Record{{Key: key}})
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

// requireStored fails unless the log holds the confirmed records, each once.
func (l *fakeLog) requireStored(t *testing.T, confirmed []string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range l.records {
		counts[r]++
		if counts[r] > 1 {
			t.Errorf("%s stands in the log twice", r)
		}
	}
	for _, key := range confirmed {
		if counts[key] == 0 {
			t.Errorf("%s was confirmed and is not in the log: %v", key, l.records)
		}
	}
}

// requireOrdered fails unless the records of an epoch stand in the order in
// which they were begun.
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
			t.Errorf("%s stands after a later one: %v", r, l.records)
		}
		last[epoch] = number
	}
}

// TestFirstAppendIsNotOvertaken loses the first append of a term. The log takes
// any sequence number at first, so that the second one must not arrive before.
func TestFirstAppendIsNotOvertaken(t *testing.T) {
	for _, what := range []fate{fateLostBefore, fateLostAfter, fateLate, fateRefused} {
		t.Run(fmt.Sprint(what), func(t *testing.T) {
			first := true
			l := &fakeLog{meddle: func(a Append) (fate, time.Duration) {
				if len(a.Records) > 0 && a.Producer.Sequence == 1 && first {
					first = false
					return what, 300 * time.Millisecond
				}
				return fateDone, 0
			}}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			w := NewWriter(l, Partition{Topic: "t"}, "holder", 7)
			if err := w.Fence(ctx, nil); err != nil {
				t.Fatal(err)
			}
			const n = 10
			confirmed := writeAll(ctx, t, w, n)
			l.late.Wait()
			if len(confirmed) != n {
				t.Errorf("%d of %d appends were confirmed", len(confirmed), n)
			}
			l.requireStored(t, confirmed)
			l.requireOrdered(t)
		})
	}
}

// TestLossyLog writes through losses of all kinds.
func TestLossyLog(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A test has to repeat.
			l := &fakeLog{meddle: func(Append) (fate, time.Duration) {
				if random.Float64() < 0.6 {
					return fateDone, 0
				}
				return fate(1 + random.IntN(4)), time.Duration(random.IntN(400)) * time.Millisecond
			}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			w := NewWriter(l, Partition{Topic: "t"}, "holder", 7)
			if err := w.Fence(ctx, nil); err != nil {
				t.Fatal(err)
			}
			const n = 15
			confirmed := writeAll(ctx, t, w, n)
			l.late.Wait()
			if len(confirmed) != n {
				t.Errorf("%d of %d appends were confirmed", len(confirmed), n)
			}
			l.requireStored(t, confirmed)
			l.requireOrdered(t)
		})
	}
}

// TestFencedWriter shows that nothing of an earlier epoch is stored once a later
// writer has fenced it, and that nothing is confirmed that is not stored.
func TestFencedWriter(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A test has to repeat.
			l := &fakeLog{meddle: func(Append) (fate, time.Duration) {
				if random.Float64() < 0.7 {
					return fateDone, 0
				}
				return fate(1 + random.IntN(3)), time.Duration(random.IntN(300)) * time.Millisecond
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
			l.late.Wait()
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
