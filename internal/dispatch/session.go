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
	// reading is the last reading of the sender's clock.
	reading fleet.ClockReading
	outbox  []Order
	// firstAt is when the first order in the outbox was given, lastCall when the
	// last group was sent, calls how many calls are under way.
	firstAt  time.Duration
	lastCall time.Duration
	calls    int
	number   int64
	waiting  map[int64]*waiter
	// failed counts the results in a row that tell of no answer.
	failed int
}

// waiter waits for the result of an order.
type waiter struct {
	done  chan Result
	until time.Duration
	// endpoint is set for an order to an endpoint.
	endpoint bool
}

func newSession(name string, peer Peer, epoch int64, c clock.Clock, logger *slog.Logger) *session {
	return &session{
		name:    name,
		peer:    peer,
		epoch:   epoch,
		clock:   c,
		log:     logger,
		wake:    make(chan struct{}, 1),
		waiting: make(map[int64]*waiter),
	}
}

// takes reports whether the session takes orders.
func (s *session) takes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving
}

// isOpen reports whether the session was opened and takes orders.
func (s *session) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != "" && !s.closed && !s.leaving
}

// retire makes the session end once its orders have their results.
func (s *session) retire() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.rouse()
}

// do gives an order and returns its result. The endpoint may wait before it
// answers.
func (s *session) do(ctx context.Context, o Order, wait time.Duration) Result {
	now := s.clock.Now()
	w := &waiter{done: make(chan Result, 1), until: now + wait + orderAllowance, endpoint: o.Ask == nil}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return lost(controller.FateNotSent, "the session with "+s.name+" has ended")
	}
	s.number++
	o.Number = s.number
	if len(s.outbox) == 0 {
		s.firstAt = now
	}
	s.outbox = append(s.outbox, o)
	s.waiting[o.Number] = w
	s.mu.Unlock()
	s.rouse()
	select {
	case r := <-w.done:
		return timed(r, now, s.clock.Now())
	case <-ctx.Done():
		return lost(controller.FateUnanswered, ctx.Err().Error())
	}
}

// timed brackets the reading of the endpoint's clock by our own.
func timed(r Result, given, now time.Duration) Result {
	if r.Outcome.Reading.Clock > 0 {
		r.Outcome.Reading.Sent, r.Outcome.Reading.Received = given, now
	}
	return r
}

// lost is the result of an order for which its sender has given none.
func lost(fate controller.Fate, detail string) Result {
	return Result{Outcome: controller.Outcome{Fate: fate, Detail: detail}}
}

func (s *session) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run opens the session and serves it until it fails or t dies.
func (s *session) run(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	if err := s.open(ctx); err != nil {
		s.end(nil, false, err)
		return
	}
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	for {
		next, ok := s.turn(ctx, t)
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

func (s *session) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	sent := s.clock.Now()
	id, shown, err := s.peer.OpenSession(ctx, s.epoch)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.reading = id, fleet.ClockReading{Sent: sent, Received: s.clock.Now(), Clock: shown}
	return nil
}

// turn makes the call that is due, if any, and returns when the next one may
// be; ok is false once the session has ended.
func (s *session) turn(ctx context.Context, t *tomb.Tomb) (next time.Duration, ok bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, false
	}
	s.expire(now)
	if s.leaving && len(s.waiting) == 0 {
		s.closed = true
		return 0, false
	}
	if len(s.outbox) > 0 && s.calls < mostCalls {
		due := max(s.firstAt+gatherOrders, s.lastCall+exchangeGap)
		if now < due {
			return due - now, true
		}
		s.call(ctx, t, now, s.takeGroup())
		return exchangeGap, true
	}
	if s.calls == 0 && len(s.waiting) > 0 {
		s.call(ctx, t, now, nil)
	}
	return answerWait, true
}

// takeGroup takes the next group of orders from the outbox.
func (s *session) takeGroup() []Order {
	n := min(len(s.outbox), maxGroup)
	group := s.outbox[:n:n]
	s.outbox = s.outbox[n:]
	return group
}

// expire gives up the orders whose results are overdue.
func (s *session) expire(now time.Duration) {
	for number, w := range s.waiting {
		if now > w.until {
			delete(s.waiting, number)
			w.done <- lost(controller.FateUnanswered, "no result from "+s.name)
		}
	}
}

// call makes a call in the background.
func (s *session) call(ctx context.Context, t *tomb.Tomb, now time.Duration, group []Order) {
	s.calls++
	if len(group) > 0 {
		s.lastCall = now
	}
	fresh := s.reading.Estimate(now) + freshFor
	t.Go(func() error {
		s.exchange(ctx, fresh, group)
		return nil
	})
}

// exchange makes a call and takes in its answer.
func (s *session) exchange(ctx context.Context, fresh time.Duration, group []Order) {
	ctx, cancel := context.WithTimeout(ctx, answerWait+callAllowance)
	defer cancel()
	sent := s.clock.Now()
	answer, reached, err := s.peer.Exchange(ctx, s.id, fresh, group)
	if err != nil {
		s.end(group, reached, err)
		return
	}
	s.mu.Lock()
	s.calls--
	s.leaving = s.leaving || answer.Leaving
	s.reading = fleet.ClockReading{Sent: sent, Received: s.clock.Now(), Clock: answer.Clock}
	for i := range answer.Results {
		s.take(&answer.Results[i])
	}
	cutOff := s.failed >= mostFailed
	s.mu.Unlock()
	if cutOff {
		s.end(nil, true, errCutOff)
	}
	s.rouse()
}

// take hands a result to the one who waits for it.
func (s *session) take(r *Result) {
	w := s.waiting[r.Number]
	if w == nil {
		return
	}
	delete(s.waiting, r.Number)
	w.done <- *r
	if !w.endpoint {
		return
	}
	switch r.Outcome.Fate {
	case controller.FateNotSent, controller.FateUnanswered:
		s.failed++
	case controller.FateDone, controller.FateRefused:
		s.failed = 0
	}
}

// end ends the session after a call of a group that failed. What the sender may
// have is unanswered, all else was not sent.
func (s *session) end(group []Order, reached bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	unsent := s.outbox
	if !reached {
		unsent = append(unsent, group...)
	}
	s.log.Warn("session with a sender ended", "sender", s.name, "waiting", len(s.waiting), "not_sent", len(unsent), "error", err)
	for _, o := range unsent {
		if w := s.waiting[o.Number]; w != nil {
			delete(s.waiting, o.Number)
			w.done <- lost(controller.FateNotSent, err.Error())
		}
	}
	for number, w := range s.waiting {
		delete(s.waiting, number)
		w.done <- lost(controller.FateUnanswered, err.Error())
	}
	s.outbox = nil
	s.rouse()
}
