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

// sessionIdle is after what time a session without calls is forgotten: many
// times what a holder lets pass while orders are under way.
const sessionIdle = 30 * time.Second

// Sender carries out orders for the holder. It is safe for concurrent use.
type Sender struct {
	clock     clock.Clock
	endpoints controller.EndpointClient
	asker     eligibility.Asker
	leaving   func() bool

	mu sync.Mutex
	// epoch is the highest for which a session was opened.
	epoch    int64
	sessions map[string]*desk
}

// desk is the sender's side of a session.
type desk struct {
	epoch int64

	mu       sync.Mutex
	lastCall time.Duration
	results  []Result
	// ready has room for one token, which is there if there are results.
	ready chan struct{}
	// next is closed by the next call.
	next chan struct{}
}

// NewSender returns a sender without sessions. leaving says whether it should
// be given no further orders.
func NewSender(c clock.Clock, endpoints controller.EndpointClient, asker eligibility.Asker, leaving func() bool) *Sender {
	return &Sender{clock: c, endpoints: endpoints, asker: asker, leaving: leaving, sessions: make(map[string]*desk)}
}

// OpenSession begins a session for an epoch and returns its name and this
// daemon's clock.
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
	for name, d := range s.sessions {
		if d.epoch < epoch || d.idle(now) {
			delete(s.sessions, name)
		}
	}
	s.sessions[id] = &desk{epoch: epoch, lastCall: now, ready: make(chan struct{}, 1), next: make(chan struct{})}
	return id, now, nil
}

func (d *desk) idle(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now-d.lastCall > sessionIdle
}

// Exchange takes orders and returns results; see Peer.
func (s *Sender) Exchange(ctx context.Context, session string, freshUntil time.Duration, orders []Order) (ExchangeResponse, error) {
	s.mu.Lock()
	d := s.sessions[session]
	s.mu.Unlock()
	if d == nil {
		return ExchangeResponse{}, ErrNoSession
	}
	next := d.begin(s.clock.Now())
	for _, o := range orders {
		go func() { d.put(s.carryOut(d.epoch, freshUntil, o)) }()
	}
	d.await(ctx, next)
	return ExchangeResponse{Results: d.take(), Leaving: s.leaving(), Clock: s.clock.Now()}, nil
}

// begin notes a call and ends the wait of the one before. It returns a channel
// that the next call closes.
func (d *desk) begin(now time.Duration) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastCall = now
	close(d.next)
	d.next = make(chan struct{})
	return d.next
}

// await waits for a result, and then for those that come with it.
func (d *desk) await(ctx context.Context, next <-chan struct{}) {
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-d.ready:
		timer.Reset(gatherResults)
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

// put adds a result.
func (d *desk) put(r Result) {
	d.mu.Lock()
	d.results = append(d.results, r)
	d.mu.Unlock()
	select {
	case d.ready <- struct{}{}:
	default:
	}
}

// take returns the results and forgets them.
func (d *desk) take() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	results := d.results
	d.results = nil
	select {
	case <-d.ready:
	default:
	}
	return results
}

// carryOut carries out an order, unless it has become too old.
func (s *Sender) carryOut(epoch int64, freshUntil time.Duration, o Order) Result {
	r := Result{Number: o.Number}
	if s.clock.Now() > freshUntil {
		r.Outcome = controller.Outcome{Fate: controller.FateNotSent, Detail: "the order had become too old at its sender"}
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

// ask puts a question from here.
func (s *Sender) ask(ctx context.Context, q *Question) (controller.EligibilityAnswer, controller.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	answer, err := s.asker.Ask(ctx, q.Step, q.Endpoints)
	if err != nil {
		return controller.EligibilityAnswer{}, controller.Outcome{Fate: controller.FateUnanswered, Detail: err.Error()}
	}
	return answer, controller.Outcome{Fate: controller.FateDone}
}
