// Package logging keeps a daemon's log lines from slowing it down or growing
// without bound: a writer that never blocks, and a handler that bounds the
// lines of each kind and keeps the lines of one job together.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait for a slow reader: several
	// seconds of a busy daemon, and little of its memory.
	bufferBytes = 1 << 20
	// closeTimeout bounds the wait for a reader at the end of the process.
	closeTimeout = 500 * time.Millisecond
)

// Writer hands lines to another writer without ever waiting for it. Lines that
// find no room are dropped and counted, and a line in their place says so. It
// is safe for concurrent use.
type Writer struct {
	to io.Writer
	// gap returns the line that says how many lines were dropped.
	gap func(dropped int64) []byte

	mu      sync.Mutex
	waiting []byte
	dropped int64
	total   int64
	closed  bool
	kick    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer to w; gap makes the line that names a gap.
func NewWriter(w io.Writer, gap func(dropped int64) []byte) *Writer {
	lw := &Writer{to: w, gap: gap, kick: make(chan struct{}, 1), done: make(chan struct{})}
	go lw.run()
	return lw
}

// Write takes a whole line in; it never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.waiting)+len(line) > bufferBytes {
		w.dropped++
		w.total++
	} else {
		w.waiting = append(w.waiting, line...)
	}
	w.mu.Unlock()
	w.wake()
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what waits, unless the reader takes too long.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) wake() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// run writes lines until the writer is closed and empty.
func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.kick {
		for {
			w.mu.Lock()
			lines, dropped, closed := w.waiting, w.dropped, w.closed
			w.waiting, w.dropped = spare[:0], 0
			w.mu.Unlock()
			if len(lines) == 0 && dropped == 0 {
				if closed {
					return
				}
				spare = lines
				break
			}
			w.emit(lines)
			if dropped > 0 {
				w.emit(w.gap(dropped))
			}
			spare = lines
		}
	}
}

// emit writes lines; a reader that is gone can't be told.
func (w *Writer) emit(lines []byte) {
	if len(lines) == 0 {
		return
	}
	if _, err := w.to.Write(lines); err != nil {
		w.mu.Lock()
		w.total++
		w.mu.Unlock()
	}
}

// GapMessage is the message of the line that stands where lines were dropped.
const GapMessage = "log lines dropped, the reader is too slow"

// Open returns a logger with bounds and the writer that has to be closed at
// the end. form returns the handler that formats lines.
func Open(to io.Writer, level slog.Leveler, form func(io.Writer) slog.Handler) (*slog.Logger, *Writer) {
	w := NewWriter(to, func(dropped int64) []byte {
		var line buffer
		r := slog.NewRecord(time.Now(), slog.LevelWarn, GapMessage, 0)
		r.AddAttrs(slog.Int64("lines", dropped))
		// Writing to memory does not fail.
		_ = form(&line).Handle(context.Background(), r)
		return line
	})
	return slog.New(NewLimiter(form(w), level, time.Now)), w
}

// buffer collects one line.
type buffer []byte

func (b *buffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
