package controller

import (
	"log/slog"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// Order is something that the core wants done outside. Its result is given
// back to the core by the method that the type names.
type Order interface{ order() }

// Target is the incarnation of an endpoint that an order is meant for.
type Target struct {
	ID          string
	Incarnation int64
	Address     string
}

// targetOf returns the target for an endpoint.
func targetOf(e *fleet.Endpoint) Target {
	return Target{ID: e.ID, Incarnation: e.Incarnation, Address: e.Address}
}

// StartOrder starts a run. The result goes to Core.StartAnswered.
type StartOrder struct {
	Target     Target
	Key        fleet.Key
	Payload    string
	Checkpoint string
	Permit     string
	// Deadline is the end of the lease on the endpoint's clock.
	Deadline time.Duration

	// sent is when the core handed the order out.
	sent time.Duration
}

// StopOrder stops a run, and bars it if it has not begun. The result goes to
// Core.StopAnswered.
type StopOrder struct {
	Target Target
	Key    fleet.Key
}

// PaceOrder sets the share at which a task may work. The result goes to
// Core.PaceAnswered.
type PaceOrder struct {
	Target  Target
	Key     fleet.Key
	Percent int
}

// HoldOrder extends an endpoint's lease and reads what runs there. The result
// goes to Core.HoldAnswered.
type HoldOrder struct {
	Target Target
	// Deadline is the end of the lease on the endpoint's clock; 0 extends
	// nothing.
	Deadline time.Duration
	// Acked is the number of the last end that may be forgotten.
	Acked int64
	// Wait is how long the endpoint may wait for an end.
	Wait time.Duration
}

// AskOrder asks which endpoints may run a step. The result goes to
// Core.AskAnswered.
type AskOrder struct {
	// Step is the step's name.
	Step      string
	Endpoints []string
	// Cost is how long the service works on the question.
	Cost time.Duration
	// Urgent questions go first.
	Urgent bool

	step        *stepEntry
	sequence    int
	incarnation map[string]*fleet.Endpoint
}

func (*StartOrder) order() {}
func (*StopOrder) order()  {}
func (*PaceOrder) order()  {}
func (*HoldOrder) order()  {}
func (*AskOrder) order()   {}

// Fate is what is known of an order that was sent.
type Fate int

// Fates of an order.
const (
	// FateDone orders were carried out, or had been before.
	FateDone Fate = iota
	// FateNotSent orders never left this daemon.
	FateNotSent
	// FateRefused orders were answered and not carried out.
	FateRefused
	// FateUnanswered orders may have been carried out, or may still be.
	FateUnanswered
)

// Reason is why an endpoint refused an order.
type Reason string

// Reasons of refusals.
const (
	// ReasonFenced means that a higher epoch was seen.
	ReasonFenced Reason = "fenced"
	// ReasonSuperseded means that the run is not above one stopped or ended.
	ReasonSuperseded Reason = "superseded"
	// ReasonLate means that the lease would have ended already.
	ReasonLate Reason = "late"
	// ReasonRoom means that there is no room.
	ReasonRoom Reason = "room"
	// ReasonPermit means that the permit is not good.
	ReasonPermit Reason = "permit"
	// ReasonIncarnation means that another endpoint or life of it answered.
	ReasonIncarnation Reason = "incarnation"
	// ReasonUnhealthy means that the endpoint takes nothing at present.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonInvalid means that the order made no sense to the endpoint.
	ReasonInvalid Reason = "invalid"
)

// Outcome is the result of an order to an endpoint.
type Outcome struct {
	Fate   Fate
	Reason Reason
	// Detail says what happened, for logs.
	Detail string
	// Reading is what the answer showed of the endpoint's clock; it is the
	// zero value without an answer.
	Reading fleet.ClockReading

	// Queued is how long the order waited in this process until it was sent,
	// Connecting how long it then waited for a connection, and Took how long it
	// took from there to its result, with Connecting. They tell a slow endpoint
	// from a busy process.
	Queued     time.Duration
	Connecting time.Duration
	Took       time.Duration
}

// LogValue implements slog.LogValuer: the parts of an order's time.
func (o Outcome) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Duration("queued", o.Queued.Round(time.Millisecond)),
		slog.Duration("connecting", o.Connecting.Round(time.Millisecond)),
		slog.Duration("took", o.Took.Round(time.Millisecond)))
}

// Report is what a hold returned.
type Report struct {
	Incarnation int64
	Running     []RunningRow
	Ended       []EndedRow
	// Draining endpoints leave after Remaining at the earliest.
	Draining  bool
	Remaining time.Duration
}
