package holder

import (
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

const (
	// generationLength is the time for which new tickets share a generation.
	generationLength = 30 * time.Second
	// generationsKept is how many generations back tickets are remembered.
	generationsKept = 4
	// ackDelay is how long an endpoint keeps a finished request, so that the
	// next holder can still answer for it.
	ackDelay = 10 * time.Second
	// registryInterval is how often old entries are dropped.
	registryInterval = time.Second
)

// registry remembers which tickets have ended and when, so that they can be
// forgotten together with their results. It has a lock of its own.
//
// A ticket carries the generation in which it was made. Tickets older than
// generationsKept are refused as of unknown outcome, so nothing that was
// forgotten can run again; no wall clock is involved.
type registry struct {
	mu    sync.Mutex
	ended []endedTicket
	acked int
}

// endedTicket is a ticket with a result.
type endedTicket struct {
	key string
	at  time.Duration
}

// newRegistry returns an empty registry.
func newRegistry() *registry { return &registry{} }

// generation is the ticket generation at the given time of the term.
func (r *registry) generation(now time.Duration) uint64 {
	return uint64(now/generationLength) + 1
}

// expired reports whether tickets of a generation may have been forgotten.
func (r *registry) expired(generation uint64, now time.Duration) bool {
	return generation+generationsKept < r.generation(now)
}

// settled notes that a ticket has a result.
func (r *registry) settled(key string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, endedTicket{key: key, at: now})
}

// due returns the tickets whose endpoints may forget them and those that may
// be forgotten altogether.
func (r *registry) due(now time.Duration) (ack, forget []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.acked < len(r.ended) && now-r.ended[r.acked].at >= ackDelay {
		ack = append(ack, r.ended[r.acked].key)
		r.acked++
	}
	n := 0
	for n < r.acked && now-r.ended[n].at >= (generationsKept+2)*generationLength {
		forget = append(forget, r.ended[n].key)
		n++
	}
	r.ended = append([]endedTicket(nil), r.ended[n:]...)
	r.acked -= n
	return ack, forget
}

// runRegistry drops what is no longer needed.
func (t *Term) runRegistry() error {
	ticker := time.NewTicker(registryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		ack, forget := t.registry.due(t.now())
		t.mu.Lock()
		for _, key := range ack {
			t.ackRequest(key)
		}
		for _, key := range forget {
			t.forget(key)
		}
		t.mu.Unlock()
	}
}

// forget drops a ticket. Those of earlier terms stay known until this term
// ends, since another holder may still declare them as not started.
func (t *Term) forget(key string) {
	u := t.units[key]
	if u == nil || u.phase != phaseFinal {
		return
	}
	if tk, err := ticket.Parse(key); err == nil && tk.Epoch != t.epoch {
		return
	}
	if u.barred {
		t.barred--
	}
	delete(t.units, key)
}

// ackRequest lets the endpoint of a request forget it, and drops its input and
// answer. Its ticket stays known, so that it can't run again.
func (t *Term) ackRequest(key string) {
	u := t.units[key]
	if u == nil || u.request == nil || u.phase != phaseFinal {
		return
	}
	if u.request.ack != nil {
		u.request.ack()
		u.request.ack = nil
	}
	u.spec = endpoint.TaskSpec{}
	u.answer = assembly{}
	if u.request.result.Problem == nil {
		u.request.result = failed(answerDropped)
	}
}

// answerDropped is the answer to a late repetition of a request that was
// answered; all of them share it.
var answerDropped = outcomeLost("the work has run and its answer is no longer kept")
