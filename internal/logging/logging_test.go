package logging

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeClock is a clock that the test advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func text(w io.Writer) slog.Handler { return slog.NewTextHandler(w, nil) }

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	reader := &blockedWriter{release: make(chan struct{})}
	logger, w := Open(reader, slog.LevelInfo, text)
	long := strings.Repeat("x", 1000)
	began := time.Now()
	const lines = 5000
	for i := range lines {
		logger.Info("placed", "job", fmt.Sprintf("%016x", i%100), "padding", long)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("%d lines took %s with a blocked reader", lines, took)
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Fatal("nothing was dropped although the reader is blocked")
	}
	close(reader.release)
	w.Close()
	reader.mu.Lock()
	defer reader.mu.Unlock()
	got := reader.got.String()
	if want := fmt.Sprintf("msg=%q lines=%d", GapMessage, dropped); !strings.Contains(got, want) {
		t.Errorf("no line says %s", want)
	}
	if n := strings.Count(got, "msg=placed"); n+int(dropped) != lines {
		t.Errorf("%d lines written and %d dropped, want %d together", n, dropped, lines)
	}
}

func TestKindsAreBounded(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	var out bytes.Buffer
	logger := slog.New(NewLimiter(text(&out), slog.LevelInfo, c.read))
	for range 2000 {
		logger.Warn("append not done yet")
		c.now = c.now.Add(time.Millisecond)
	}
	logger.Info("term runs")
	c.now = c.now.Add(time.Minute)
	logger.Warn("append not done yet")
	got := strings.Count(out.String(), `msg="append not done yet"`)
	if most := int(kindBurst+2*kindRate) + 2; got > most || got < kindBurst {
		t.Errorf("%d lines of one kind in two seconds, want at most %d", got, most)
	}
	if !strings.Contains(out.String(), "term runs") {
		t.Error("a line of another kind was left out")
	}
	if !strings.Contains(out.String(), SuppressedMessage) {
		t.Error("no line reports how many were left out")
	}
}

// TestJobsAreWholeOrAbsent logs up to ten times the jobs that the limit allows
// and requires all or none of the lines of each job.
func TestJobsAreWholeOrAbsent(t *testing.T) {
	const (
		linesPerJob = 10
		seconds     = 30
	)
	for _, load := range []int{1, 10} {
		t.Run(fmt.Sprintf("%dx", load), func(t *testing.T) {
			c := &fakeClock{now: time.Unix(1000, 0)}
			var out bytes.Buffer
			logger := slog.New(NewLimiter(text(&out), slog.LevelInfo, c.read))
			jobs := load * maxJobLines / linesPerJob
			perSecond := make([]int, 0, seconds)
			for s := range seconds {
				before := out.Len()
				for line := range linesPerJob {
					for j := range jobs {
						logger.Info("placed", "task", fmt.Sprintf("%016x.0.0.%d", s*jobs+j, line))
					}
					c.now = c.now.Add(time.Second / linesPerJob)
				}
				perSecond = append(perSecond, out.Len()-before)
			}
			counts := make(map[string]int)
			for line := range strings.Lines(out.String()) {
				if _, id, ok := strings.Cut(line, "task="); ok {
					counts[id[:16]]++
				}
			}
			for id, n := range counts {
				if n != linesPerJob {
					t.Fatalf("job %s has %d of its %d lines", id, n, linesPerJob)
				}
			}
			if len(counts) == 0 {
				t.Fatal("no job was logged")
			}
			// Once the share has settled, the output does not depend on the load.
			const bytesPerLine = 120
			for s, n := range perSecond[seconds/2:] {
				if n > 2*maxJobLines*bytesPerLine {
					t.Errorf("second %d has %d bytes", seconds/2+s, n)
				}
			}
			if load == 1 && len(counts) != jobs*seconds {
				t.Errorf("%d of %d jobs were logged at the usual load", len(counts), jobs*seconds)
			}
		})
	}
}

func TestLevel(t *testing.T) {
	var out bytes.Buffer
	level := new(slog.LevelVar)
	logger := slog.New(NewLimiter(text(&out), level, time.Now)).With("daemon", "a").WithGroup("g")
	logger.Debug("hidden")
	level.Set(slog.LevelDebug)
	logger.Debug("seen")
	if got := out.String(); strings.Contains(got, "hidden") || !strings.Contains(got, "daemon=a") {
		t.Errorf("got %q", got)
	}
}
