// Package dispatch spreads the orders of a term over the daemons of the cell,
// so that the holder decides and others send: an exchange with an endpoint
// costs far more than the decision.
//
// The holder opens a session with a sender and hands it orders in groups; the
// sender carries them out under the holder's epoch and returns the results in
// groups. A sender decides nothing, and remembers nothing beyond its sessions.
package dispatch

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/pkg/errors"
)

// ErrNoSession means that the callee does not know the session, or serves a
// higher epoch; nothing of the call was carried out.
var ErrNoSession = errors.New("the session is not open here; open another one")

// Order is an order to an endpoint, or a question; one of the fields but Number
// is set.
type Order struct {
	// Number names the order within its session.
	Number int64
	Start  *controller.StartOrder
	Stop   *controller.StopOrder
	Pace   *controller.PaceOrder
	Hold   *controller.HoldOrder
	Ask    *Question
}

// Question asks which endpoints may run a step.
type Question struct {
	Step      string
	Endpoints []string
	// Wait is how long the answer may take.
	Wait time.Duration
}

// Result is the result of an order.
type Result struct {
	Number int64
	// Outcome is that of an order to an endpoint. Of its Reading only the
	// endpoint's clock is known outside the sender. Of a question, Fate is
	// FateDone if it was answered.
	Outcome controller.Outcome
	// Report is that of a hold that was done, Answer that of a question.
	Report controller.Report
	Answer controller.EligibilityAnswer
}

// ExchangeResponse is the answer to one call of a session.
type ExchangeResponse struct {
	Results []Result
	// Leaving senders take no further orders soon.
	Leaving bool
	// Clock is what the sender's clock showed as it answered.
	Clock time.Duration
}

// Peer is a daemon that sends orders for the holder.
type Peer interface {
	// OpenSession begins a session and returns its name and the peer's clock.
	OpenSession(ctx context.Context, epoch int64) (session string, clock time.Duration, err error)
	// Exchange hands over orders, which must not be carried out after an instant
	// of the peer's clock, and fetches results. sent is false if nothing has
	// reached the peer, or it has refused.
	Exchange(ctx context.Context, session string, freshUntil time.Duration, orders []Order) (answer ExchangeResponse, sent bool, err error)
}

const (
	// answerWait is how long a sender keeps a call that has no result yet: a
	// lost sender is noticed about that late.
	answerWait = 250 * time.Millisecond
	// gatherResults is how long a sender waits for further results once it has
	// one, so that those of one group of orders come back together.
	gatherResults = 4 * time.Millisecond
	// gatherOrders is how long the first order of a group waits for others: the
	// orders of one batch of records are given within that time.
	gatherOrders = 2 * time.Millisecond
	// exchangeGap is the least time between two groups of orders of a session:
	// about that of the appends which most orders wait for.
	exchangeGap = 12 * time.Millisecond
	// maxGroup bounds the orders of one call; each has up to 4 KB of payload.
	maxGroup = 256
	// mostCalls bounds the calls of a session under way: one waits for results,
	// the others bring orders.
	mostCalls = 3
	// callAllowance is what a call may take beyond answerWait: the way over
	// regions and back, and a busy sender.
	callAllowance = 500 * time.Millisecond
	// openTimeout bounds the opening of a session.
	openTimeout = 400 * time.Millisecond
	// orderAllowance is how long an order may be without a result, beyond the
	// time that its endpoint may wait: twice what the endpoint's call may take.
	orderAllowance = 800 * time.Millisecond
	// freshFor is how old an order may be when it is carried out, as a sender
	// may stand still with it.
	freshFor = time.Second
	// mostFailed is how many orders of a session may fail in a row: endpoints
	// fail one by one, a sender that is cut off fails for all.
	mostFailed = 16
)
