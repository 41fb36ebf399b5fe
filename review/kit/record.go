package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the protocol of a case: what was sent, answered and run, with the
// seconds since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Line writes a line.
func (r *Record) Line(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line("case", format, args...)
	fmt.Printf("%7.1f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
