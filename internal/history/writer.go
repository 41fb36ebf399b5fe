package history

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// fileMode is the permission mode of a new history file.
const fileMode = 0o644

// Writer appends events as JSON lines, each by a single write so that several
// processes can append to one file. It is safe for concurrent use. A nil
// Writer drops all events.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
	err error
}

// NewWriter returns a Writer that appends to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// OpenWriter returns a Writer that appends to the file at path, which is
// created if it doesn't exist.
func OpenWriter(path string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open history")
	}
	return NewWriter(file), nil
}

// Write appends e, with the current time unless it has a time. After an error
// it writes no more and always returns the first error, because a history with a
// gap proves nothing.
func (w *Writer) Write(e Event) error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	if e.UnixNano == 0 {
		e.UnixNano = time.Now().UnixNano()
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = w.out.Write(append(line, '\n'))
	}
	w.err = errors.Wrap(err, "write history")
	return w.err
}

// Close closes the underlying file, if there is one.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if closer, ok := w.out.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// Read returns the events of the file at path in time order; events of the same
// time keep the order of the file. It ignores a last line without a newline, which
// a killed process may leave.
func Read(path string) ([]Event, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	var events []Event
	for number := 1; ; number++ {
		line, rest, complete := bytes.Cut(data, []byte{'\n'})
		if !complete {
			break
		}
		data = rest
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, errors.Wrapf(err, "read history: %s line %d", path, number)
		}
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Compare(a.UnixNano, b.UnixNano)
	})
	return events, nil
}

// Checksum returns the checksum of an input or output for InputSum, OutputSum
// and ExpectSum.
func Checksum(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }
