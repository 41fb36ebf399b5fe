package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"gopkg.in/tomb.v2"
)

// session is the holder's side of a session with one sender. It is safe for
// concurrent use.
type session struct {
	name  string
	peer  Peer
	epoch int64
	clock clock.Clock
	log   *slog.Logger
	wake  chan struct{}

	mu sync.Mutex
	// id is empty until the session is open.
	id      string
	closed  bool
	leaving bool
	// clockReading is the latest reading of the sender's clock.
	clockReading fleet.ClockReading
	outbox       []Order
	// firstQueuedAt is when the first order in the outbox was submitted.
	// lastCall is when the last batch was sent. callsInFlight is the number of
	// calls without a response.
	firstQueuedAt time.Duration
	lastCall      time.Duration
	callsInFlight int
	lastNumber    int64
	pending       map[int64]*waiter
	// consecutiveFailures counts the latest results in a row without an answer
	// from an endpoint.
	consecutiveFailures int
}

// waiter is a caller that waits for the result of an order.
type waiter struct {
	done     chan Result
	deadline time.Duration
	// endpoint is set for an order to an endpoint, as opposed to a question.
	endpoint bool
}

// newSession returns a session that is opened by run.
func newSession(name string, peer Peer, epoch int64, c clock.Clock, logger *slog.Logger) *session {
	return &session{
		name:    name,
		peer:    peer,
		epoch:   epoch,
		clock:   c,
		log:     logger,
		wake:    make(chan struct{}, 1),
		pending: make(map[int64]*waiter),
	}
}

// acceptsOrders reports whether the session accepts orders. It may not be open
// yet.
func (s *session) acceptsOrders() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving
}

// isOpen reports whether the session has been opened and accepts orders.
func (s *session) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != "" && !s.closed && !s.leaving
}

// retire makes the session end once all its orders have results.
func (s *session) retire() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.signal()
}

// submit queues an order and waits for its result. wait is how long the
// endpoint may delay its answer.
func (s *session) submit(ctx context.Context, o Order, wait time.Duration) Result {
	now := s.clock.Now()
	w := &waiter{done: make(chan Result, 1), deadline: now + wait + resultGrace, endpoint: o.Ask == nil}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return failedResult(controller.FateNotSent, "the session with "+s.name+" has ended")
	}
	s.lastNumber++
	o.Number = s.lastNumber
	if len(s.outbox) == 0 {
		s.firstQueuedAt = now
	}
	s.outbox = append(s.outbox, o)
	s.pending[o.Number] = w
	s.mu.Unlock()
	s.signal()
	select {
	case r := <-w.done:
		return withLocalTimes(r, now, s.clock.Now())
	case <-ctx.Done():
		return failedResult(controller.FateUnanswered, ctx.Err().Error())
	}
}

// withLocalTimes replaces the times between which the endpoint's clock was read
// by times of this daemon's clock.
func withLocalTimes(r Result, submitted, now time.Duration) Result {
	if r.Outcome.Reading.Clock > 0 {
		r.Outcome.Reading.Sent, r.Outcome.Reading.Received = submitted, now
	}
	return r
}

// failedResult returns a result for an order for which the sender returned
// none.
func failedResult(fate controller.Fate, detail string) Result {
	return Result{Outcome: controller.Outcome{Fate: fate, Detail: detail}}
}

// signal wakes up run.
func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run opens the session and makes its calls until it ends or t dies.
func (s *session) run(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	if err := s.open(ctx); err != nil {
		s.endSession(nil, false, err)
		return
	}
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	for {
		next, ok := s.step(ctx, t)
		if !ok {
			return
		}
		timer.Reset(next)
		select {
		case <-s.wake:
		case <-timer.C:
		case <-t.Dying():
			return
		}
	}
}

// open opens the session at the sender.
func (s *session) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	sent := s.clock.Now()
	id, reading, err := s.peer.OpenSession(ctx, s.epoch)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.clockReading = id, fleet.ClockReading{Sent: sent, Received: s.clock.Now(), Clock: reading}
	return nil
}

// step makes the call that is due, if any, and returns the time until the next
// one may be due; ok is false once the session has ended.
func (s *session) step(ctx context.Context, t *tomb.Tomb) (next time.Duration, ok bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, false
	}
	s.expireOverdue(now)
	if s.leaving && len(s.pending) == 0 {
		s.closed = true
		return 0, false
	}
	if len(s.outbox) > 0 && s.callsInFlight < maxCallsInFlight {
		due := max(s.firstQueuedAt+orderBatchDelay, s.lastCall+minExchangeInterval)
		if now < due {
			return due - now, true
		}
		s.startCall(ctx, t, now, s.nextBatch())
		return minExchangeInterval, true
	}
	if s.callsInFlight == 0 && len(s.pending) > 0 {
		s.startCall(ctx, t, now, nil)
	}
	return pollTimeout, true
}

// nextBatch removes the next batch of orders from the outbox.
func (s *session) nextBatch() []Order {
	n := min(len(s.outbox), maxBatchOrders)
	batch := s.outbox[:n:n]
	s.outbox = s.outbox[n:]
	return batch
}

// expireOverdue reports the orders whose results are overdue as unanswered.
func (s *session) expireOverdue(now time.Duration) {
	for number, w := range s.pending {
		if now > w.deadline {
			delete(s.pending, number)
			w.done <- failedResult(controller.FateUnanswered, "no result from sender "+s.name)
		}
	}
}

// startCall makes a call in the background.
func (s *session) startCall(ctx context.Context, t *tomb.Tomb, now time.Duration, batch []Order) {
	s.callsInFlight++
	if len(batch) > 0 {
		s.lastCall = now
	}
	freshUntil := s.clockReading.Estimate(now) + maxOrderAge
	t.Go(func() error {
		s.exchange(ctx, freshUntil, batch)
		return nil
	})
}

// exchange makes a call and processes the response.
func (s *session) exchange(ctx context.Context, freshUntil time.Duration, batch []Order) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout+callGrace)
	defer cancel()
	sent := s.clock.Now()
	answer, reached, err := s.peer.Exchange(ctx, s.id, freshUntil, batch)
	if err != nil {
		s.endSession(batch, reached, err)
		return
	}
	s.mu.Lock()
	s.callsInFlight--
	s.leaving = s.leaving || answer.Leaving
	s.clockReading = fleet.ClockReading{Sent: sent, Received: s.clock.Now(), Clock: answer.Clock}
	for i := range answer.Results {
		s.deliver(&answer.Results[i])
	}
	cutOff := s.consecutiveFailures >= maxConsecutiveFailures
	s.mu.Unlock()
	if cutOff {
		s.endSession(nil, true, errSenderCutOff)
	}
	s.signal()
}

// deliver passes a result to the caller that waits for it.
func (s *session) deliver(r *Result) {
	w := s.pending[r.Number]
	if w == nil {
		return
	}
	delete(s.pending, r.Number)
	w.done <- *r
	if !w.endpoint {
		return
	}
	switch r.Outcome.Fate {
	case controller.FateNotSent, controller.FateUnanswered:
		s.consecutiveFailures++
	case controller.FateDone, controller.FateRefused:
		s.consecutiveFailures = 0
	}
}

// endSession ends the session after a call with a batch of orders has failed.
// Orders that the sender may have received are reported as unanswered, all
// others as not sent.
func (s *session) endSession(batch []Order, reached bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	unsent := s.outbox
	if !reached {
		unsent = append(unsent, batch...)
	}
	s.log.Warn("session with a sender ended", "sender", s.name, "waiting", len(s.pending), "not_sent", len(unsent), "error", err)
	for _, o := range unsent {
		if w := s.pending[o.Number]; w != nil {
			delete(s.pending, o.Number)
			w.done <- failedResult(controller.FateNotSent, err.Error())
		}
	}
	for number, w := range s.pending {
		delete(s.pending, number)
		w.done <- failedResult(controller.FateUnanswered, err.Error())
	}
	s.outbox = nil
	s.signal()
}
