// Package dispatch distributes the orders of a term over the daemons of the
// cell. The holder decides and other daemons send, because an exchange with an
// endpoint costs far more than the decision.
//
// The holder is the daemon that schedules the cell at present, and a term is one
// period of holding the cell. The holder opens a session with a sender, which is
// another daemon, and passes orders to it in batches. The sender executes them
// under the holder's epoch and returns the results in batches. A sender makes no
// decisions and keeps no state apart from its sessions.
package dispatch

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/pkg/errors"
)

// ErrNoSession means that the callee does not know the session or serves a
// higher epoch. Nothing in the call was executed.
var ErrNoSession = errors.New("the session is not open here; open another one")

// Order is a command to an endpoint, or a question about endpoints that is put
// to the eligibility service. Exactly one field besides Number is set.
type Order struct {
	// Number identifies the order within its session.
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
	// Wait is the timeout for the answer.
	Wait time.Duration
}

// Result is the result of an order.
type Result struct {
	Number int64
	// Outcome is the outcome of an order to an endpoint. Of its Reading, only
	// the endpoint's clock is passed on by the sender. For a question, Fate is
	// FateDone if it was answered.
	Outcome controller.Outcome
	// Report is set for a hold order that was executed, Answer for a question.
	Report controller.Report
	Answer controller.EligibilityAnswer
}

// ExchangeResponse is the response to one call of a session.
type ExchangeResponse struct {
	Results []Result
	// Leaving is set if the sender will soon accept no further orders.
	Leaving bool
	// Clock is the reading of the sender's clock when it answered.
	Clock time.Duration
}

// Peer is a daemon that sends orders for the holder.
type Peer interface {
	// OpenSession opens a session and returns its id and the reading of the
	// peer's clock.
	OpenSession(ctx context.Context, epoch int64) (session string, clock time.Duration, err error)
	// Exchange passes orders to the peer and fetches results. The peer must not
	// execute the orders after freshUntil, a time on the peer's clock. sent is
	// false if nothing reached the peer or the peer refused the call.
	Exchange(ctx context.Context, session string, freshUntil time.Duration, orders []Order) (answer ExchangeResponse, sent bool, err error)
}

const (
	// pollTimeout is how long a sender keeps a call open that has no result
	// yet. A lost sender is noticed after about this time.
	pollTimeout = 250 * time.Millisecond
	// resultBatchDelay is how long a sender waits for further results after the
	// first, so that the results of one batch of orders return together.
	resultBatchDelay = 4 * time.Millisecond
	// orderBatchDelay is how long the first order of a batch waits for others.
	// The orders of one batch of records are issued within this time.
	orderBatchDelay = 2 * time.Millisecond
	// minExchangeInterval is the minimum time between two batches of orders of
	// a session. It is about the duration of the appends that most orders wait
	// for.
	minExchangeInterval = 12 * time.Millisecond
	// maxBatchOrders bounds the orders in one call; each has up to 4 KB of
	// payload.
	maxBatchOrders = 256
	// maxCallsInFlight bounds the calls of a session in flight: one waits for
	// results, the others deliver orders.
	maxCallsInFlight = 3
	// callGrace is how long a call may take beyond pollTimeout. It covers the
	// round trip between regions and a busy sender.
	callGrace = 500 * time.Millisecond
	// openTimeout is the timeout for opening a session.
	openTimeout = 400 * time.Millisecond
	// resultGrace is how long an order may have no result, beyond the time that
	// its endpoint may wait. It is twice what the call to the endpoint may
	// take.
	resultGrace = 800 * time.Millisecond
	// maxOrderAge is the age up to which an order may be executed. An order can
	// become old if its sender stalls.
	maxOrderAge = time.Second
	// maxConsecutiveFailures is how many orders of a session may fail in a row.
	// Endpoints fail individually; a sender that is cut off fails for all of
	// them.
	maxConsecutiveFailures = 16
)
