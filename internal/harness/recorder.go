package harness

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// Recorder collects the events that the harness itself sees.
type Recorder struct {
	mu     sync.Mutex
	events []history.Event
}

// Add records e at the present moment, or at its own if it has one.
func (r *Recorder) Add(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.UnixNano == 0 {
		e.UnixNano = time.Now().UnixNano()
	}
	r.events = append(r.events, e)
}

// Events returns a copy of what was recorded.
func (r *Recorder) Events() []history.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
