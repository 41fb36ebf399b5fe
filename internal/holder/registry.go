package holder

import (
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

const (
	// generationLength is how long new tickets get the same generation.
	generationLength = 30 * time.Second
	// generationsKept is the number of past generations whose tickets are remembered.
	generationsKept = 4
	// ackDelay is how long an endpoint keeps a finished request before it is
	// acknowledged, so that a next holder still finds its answer there.
	ackDelay = 10 * time.Second
	// registryInterval is the interval at which old tickets are dropped.
	registryInterval = time.Second
)

// ticketRegistry remembers which tickets have a result and since when, so that ticket
// and result are forgotten together. It has a lock of its own.
//
// A ticket carries the generation in which it was issued. Tickets that are more
// than generationsKept generations old are refused with verdict "unknown", so that
// a forgotten ticket can't run again. No wall clock is involved.
type ticketRegistry struct {
	mu    sync.Mutex
	ended []endedTicket
	// acked is the number of leading entries of ended that due has returned as ack.
	acked int
}

// endedTicket is a ticket with a result.
type endedTicket struct {
	key string
	// at is when the ticket got its result, on the term's clock.
	at time.Duration
}

// newTicketRegistry returns an empty registry.
func newTicketRegistry() *ticketRegistry { return &ticketRegistry{} }

// generation returns the ticket generation at a time on the term's clock.
func (r *ticketRegistry) generation(now time.Duration) uint64 {
	return uint64(now/generationLength) + 1
}

// expired reports whether tickets of a generation may have been forgotten.
func (r *ticketRegistry) expired(generation uint64, now time.Duration) bool {
	return generation+generationsKept < r.generation(now)
}

// recordEnded notes that a ticket has a result.
func (r *ticketRegistry) recordEnded(key string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, endedTicket{key: key, at: now})
}

// due returns the tickets that may be acknowledged to their endpoints by now, and
// those that may be forgotten. Each ticket is returned once as ack and once as forget.
func (r *ticketRegistry) due(now time.Duration) (ack, forget []string) {
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

// runRegistry periodically acknowledges and forgets the tickets that are due.
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
			t.forgetTicket(key)
		}
		t.mu.Unlock()
	}
}

// forgetTicket drops the unit of a ticket. Tickets of earlier terms are kept until
// this term ends, since another holder may still declare them as not started.
func (t *Term) forgetTicket(key string) {
	u := t.units[key]
	if u == nil || u.phase != phaseFinal {
		return
	}
	if tk, err := ticket.Parse(key); err == nil && tk.Epoch != t.epoch {
		return
	}
	if u.closing != notClosed {
		t.closedTickets[u.closing]--
	}
	delete(t.units, key)
}

// ackRequest acknowledges a request to its endpoint and drops its input and answer. The
// ticket stays known, so that the request can't run again.
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
	u.answer = answerAssembly{}
	if u.request.result.Problem == nil {
		u.request.result = problemResult(answerDroppedProblem)
	}
}

// answerDroppedProblem answers a late repetition of a request whose answer has been
// dropped. All such requests share it.
var answerDroppedProblem = outcomeLost("the work has run and its answer is no longer kept")
