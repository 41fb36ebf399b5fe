package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/eligibility"
)

// sessionIdleTimeout is the time after which a session without calls is
// dropped. It is many times the interval at which a holder calls while orders
// are in flight.
const sessionIdleTimeout = 30 * time.Second

// Sender executes orders for the holder. It is safe for concurrent use.
type Sender struct {
	clock     clock.Clock
	endpoints controller.EndpointClient
	asker     eligibility.Asker
	leaving   func() bool

	mu sync.Mutex
	// epoch is the highest epoch for which a session was opened.
	epoch    int64
	sessions map[string]*senderSession
}

// senderSession is the sender's side of a session.
type senderSession struct {
	epoch int64

	mu       sync.Mutex
	lastCall time.Duration
	results  []Result
	// resultsReady has a buffer of one and holds a token while there are
	// results.
	resultsReady chan struct{}
	// nextCall is closed by the next call.
	nextCall chan struct{}
}

// NewSender returns a Sender without sessions. leaving reports whether the
// daemon is leaving and should get no further orders.
func NewSender(c clock.Clock, endpoints controller.EndpointClient, asker eligibility.Asker, leaving func() bool) *Sender {
	return &Sender{clock: c, endpoints: endpoints, asker: asker, leaving: leaving, sessions: make(map[string]*senderSession)}
}

// OpenSession opens a session for an epoch and returns its id and the reading
// of this daemon's clock. It fails with ErrNoSession if a session of a higher
// epoch was opened or this daemon is leaving.
func (s *Sender) OpenSession(epoch int64) (string, time.Duration, error) {
	var b [8]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b[:])
	id := hex.EncodeToString(b[:])
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.epoch || s.leaving() {
		return "", 0, ErrNoSession
	}
	s.epoch = epoch
	for name, ss := range s.sessions {
		if ss.epoch < epoch || ss.idle(now) {
			delete(s.sessions, name)
		}
	}
	s.sessions[id] = &senderSession{epoch: epoch, lastCall: now, resultsReady: make(chan struct{}, 1), nextCall: make(chan struct{})}
	return id, now, nil
}

// idle reports whether the session has had no call for sessionIdleTimeout.
func (ss *senderSession) idle(now time.Duration) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return now-ss.lastCall > sessionIdleTimeout
}

// Exchange accepts orders and returns results; see Peer. It fails with
// ErrNoSession if the session is unknown.
func (s *Sender) Exchange(ctx context.Context, session string, freshUntil time.Duration, orders []Order) (ExchangeResponse, error) {
	s.mu.Lock()
	ss := s.sessions[session]
	s.mu.Unlock()
	if ss == nil {
		return ExchangeResponse{}, ErrNoSession
	}
	next := ss.beginCall(s.clock.Now())
	for _, o := range orders {
		go func() { ss.addResult(s.execute(ss.epoch, freshUntil, o)) }()
	}
	ss.awaitResults(ctx, next)
	return ExchangeResponse{Results: ss.takeResults(), Leaving: s.leaving(), Clock: s.clock.Now()}, nil
}

// beginCall records a call and makes the previous one return. It returns a
// channel that the next call closes.
func (ss *senderSession) beginCall(now time.Duration) <-chan struct{} {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.lastCall = now
	close(ss.nextCall)
	ss.nextCall = make(chan struct{})
	return ss.nextCall
}

// awaitResults waits for a result, then for resultBatchDelay for further ones.
func (ss *senderSession) awaitResults(ctx context.Context, next <-chan struct{}) {
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	select {
	case <-ss.resultsReady:
		timer.Reset(resultBatchDelay)
	case <-next:
		return
	case <-timer.C:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-timer.C:
	case <-next:
	case <-ctx.Done():
	}
}

// addResult adds a result and signals resultsReady.
func (ss *senderSession) addResult(r Result) {
	ss.mu.Lock()
	ss.results = append(ss.results, r)
	ss.mu.Unlock()
	select {
	case ss.resultsReady <- struct{}{}:
	default:
	}
}

// takeResults returns the results and removes them from the session.
func (ss *senderSession) takeResults() []Result {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	results := ss.results
	ss.results = nil
	select {
	case <-ss.resultsReady:
	default:
	}
	return results
}

// execute executes an order, unless it is too old.
func (s *Sender) execute(epoch int64, freshUntil time.Duration, o Order) Result {
	r := Result{Number: o.Number}
	if s.clock.Now() > freshUntil {
		r.Outcome = controller.Outcome{Fate: controller.FateNotSent, Detail: "the order expired at its sender and was not sent"}
		return r
	}
	ctx := context.Background()
	switch {
	case o.Start != nil:
		r.Outcome = s.endpoints.Start(ctx, epoch, o.Start)
	case o.Stop != nil:
		r.Outcome = s.endpoints.Stop(ctx, epoch, o.Stop)
	case o.Pace != nil:
		r.Outcome = s.endpoints.Pace(ctx, epoch, o.Pace)
	case o.Hold != nil:
		r.Report, r.Outcome = s.endpoints.Hold(ctx, epoch, o.Hold)
	case o.Ask != nil:
		r.Answer, r.Outcome = s.ask(ctx, o.Ask)
	}
	return r
}

// ask asks a question from this daemon.
func (s *Sender) ask(ctx context.Context, q *Question) (controller.EligibilityAnswer, controller.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	answer, err := s.asker.Ask(ctx, q.Step, q.Endpoints)
	if err != nil {
		return controller.EligibilityAnswer{}, controller.Outcome{Fate: controller.FateUnanswered, Detail: err.Error()}
	}
	return answer, controller.Outcome{Fate: controller.FateDone}
}
