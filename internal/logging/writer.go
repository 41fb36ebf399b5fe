// Package logging prevents log output from slowing a daemon down or growing
// without bound. It provides a writer that never blocks and a handler that
// limits the lines of each kind and samples the lines of jobs by job.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the buffered lines of a slow reader: several seconds
	// of output of a busy daemon, and little of its memory.
	bufferBytes = 1 << 20
	// closeTimeout bounds the wait for a slow reader when the process ends.
	closeTimeout = 500 * time.Millisecond
)

// Writer buffers lines for another writer and never blocks on it. Lines that
// don't fit in the buffer are dropped and counted, and a notice with their
// number is written in their place. It is safe for concurrent use.
type Writer struct {
	to io.Writer
	// dropNotice returns the line that says how many lines were dropped.
	dropNotice func(dropped int64) []byte

	mu       sync.Mutex
	buffered []byte
	// unreported counts the dropped lines since the last notice.
	unreported   int64
	droppedTotal int64
	closed       bool
	notify       chan struct{}
	done         chan struct{}
}

// NewWriter returns a Writer to w. dropNotice returns the line to write in place
// of dropped lines.
func NewWriter(w io.Writer, dropNotice func(dropped int64) []byte) *Writer {
	lw := &Writer{to: w, dropNotice: dropNotice, notify: make(chan struct{}, 1), done: make(chan struct{})}
	go lw.run()
	return lw
}

// Write buffers or drops a whole line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buffered)+len(line) > bufferBytes {
		w.unreported++
		w.droppedTotal++
	} else {
		w.buffered = append(w.buffered, line...)
	}
	w.mu.Unlock()
	w.wake()
	return len(line), nil
}

// Dropped returns how many lines were dropped since the Writer was created.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Close writes the buffered lines, but waits at most closeTimeout.
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

// wake makes run check for new lines.
func (w *Writer) wake() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

// run writes buffered lines until the Writer is closed and empty.
func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.notify {
		for {
			w.mu.Lock()
			lines, dropped, closed := w.buffered, w.unreported, w.closed
			w.buffered, w.unreported = spare[:0], 0
			w.mu.Unlock()
			if len(lines) == 0 && dropped == 0 {
				if closed {
					return
				}
				spare = lines
				break
			}
			w.writeOut(lines)
			if dropped > 0 {
				w.writeOut(w.dropNotice(dropped))
			}
			spare = lines
		}
	}
}

// writeOut writes lines to the underlying writer. A failed write only counts as
// one dropped line, since there is nowhere to report it.
func (w *Writer) writeOut(lines []byte) {
	if len(lines) == 0 {
		return
	}
	if _, err := w.to.Write(lines); err != nil {
		w.mu.Lock()
		w.droppedTotal++
		w.mu.Unlock()
	}
}

// GapMessage is the message of the notice in place of dropped lines.
const GapMessage = "log lines dropped, the reader is too slow"

// Open returns a logger with a Limiter and the Writer to which it writes, which
// the caller must close at the end. newHandler returns the handler that formats
// lines.
func Open(to io.Writer, level slog.Leveler, newHandler func(io.Writer) slog.Handler) (*slog.Logger, *Writer) {
	w := NewWriter(to, func(dropped int64) []byte {
		var line buffer
		r := slog.NewRecord(time.Now(), slog.LevelWarn, GapMessage, 0)
		r.AddAttrs(slog.Int64("lines", dropped))
		// Writing to memory can't fail.
		_ = newHandler(&line).Handle(context.Background(), r)
		return line
	})
	return slog.New(NewLimiter(newHandler(w), level, time.Now)), w
}

// buffer is a writer that collects one line.
type buffer []byte

func (b *buffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
