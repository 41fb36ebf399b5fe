package harness

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// Recorder collects the events that the harness and its callers observe. It is
// safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []history.Event
}

// Add records e. An event without a timestamp gets the current time.
func (r *Recorder) Add(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.UnixNano == 0 {
		e.UnixNano = time.Now().UnixNano()
	}
	r.events = append(r.events, e)
}

// Events returns a copy of the recorded events.
func (r *Recorder) Events() []history.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
