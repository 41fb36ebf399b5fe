package controller

import (
	"log/slog"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// Order is an action outside of the core. The comment of each order type names
// the method of Core that takes its result.
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

	// sent is when the core emitted the order.
	sent time.Duration
}

// StopOrder stops a run. If the run has not begun, the order bars it: the
// endpoint refuses a later start of it. The result goes to Core.StopAnswered.
type StopOrder struct {
	Target Target
	Key    fleet.Key
}

// PaceOrder sets the percentage of its full speed at which a task may work. The
// result goes to Core.PaceAnswered.
type PaceOrder struct {
	Target  Target
	Key     fleet.Key
	Percent int
}

// HoldOrder extends an endpoint's lease and requests a report of its runs. The
// result goes to Core.HoldAnswered.
type HoldOrder struct {
	Target Target
	// Deadline is the end of the lease on the endpoint's clock; 0 leaves the
	// lease as it is.
	Deadline time.Duration
	// Acked is the number of the last end that the endpoint may forget.
	Acked int64
	// Wait is how long the endpoint may wait for a run to end before it
	// answers.
	Wait time.Duration

	// retried is set if the endpoint did not answer the last call.
	retried bool
}

// AskOrder asks the eligibility service which endpoints may run a step. The
// result goes to Core.AskAnswered.
type AskOrder struct {
	// Step is the name of the step.
	Step      string
	Endpoints []string
	// Cost is the expected time that the service needs for the question.
	Cost time.Duration
	// Urgent questions are asked first.
	Urgent bool

	step     *stepEntry
	sequence int
	// endpointsByID holds the incarnations that the question is about.
	endpointsByID map[string]*fleet.Endpoint
}

func (*StartOrder) order() {}
func (*StopOrder) order()  {}
func (*PaceOrder) order()  {}
func (*HoldOrder) order()  {}
func (*AskOrder) order()   {}

// Fate is what is known about the execution of an order.
type Fate int

// Fates of an order.
const (
	// FateDone means that the order was executed, now or before.
	FateDone Fate = iota
	// FateNotSent means that the order never left this daemon.
	FateNotSent
	// FateRefused means that the endpoint answered and did not execute the
	// order.
	FateRefused
	// FateUnanswered means that the order may have been executed or may still
	// be.
	FateUnanswered
)

// Reason is why an endpoint refused an order.
type Reason string

// Reasons of refusals.
const (
	// ReasonFenced means that the endpoint has seen a higher epoch.
	ReasonFenced Reason = "fenced"
	// ReasonSuperseded means that this run of the task, or a later one, was
	// stopped or has ended.
	ReasonSuperseded Reason = "superseded"
	// ReasonLate means that the lease would have ended already.
	ReasonLate Reason = "late"
	// ReasonRoom means that the endpoint lacks free capacity.
	ReasonRoom Reason = "room"
	// ReasonPermit means that the permit is not valid.
	ReasonPermit Reason = "permit"
	// ReasonIncarnation means that another endpoint or another incarnation
	// answered.
	ReasonIncarnation Reason = "incarnation"
	// ReasonUnhealthy means that the endpoint accepts no tasks at present.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonInvalid means that the order is malformed.
	ReasonInvalid Reason = "invalid"
)

// Outcome is the result of an order to an endpoint.
type Outcome struct {
	Fate   Fate
	Reason Reason
	// Detail describes what happened, for logs.
	Detail string
	// Reading is the reading of the endpoint's clock in the answer; zero
	// without an answer.
	Reading fleet.ClockReading

	// Queued is how long the order waited in this process until it was sent,
	// Connecting how long it then waited for a connection, and Took the time
	// from sending to the result, including Connecting. They distinguish a slow
	// endpoint from a busy process.
	Queued     time.Duration
	Connecting time.Duration
	Took       time.Duration
}

// LogValue implements slog.LogValuer. It returns the durations of the order.
func (o Outcome) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Duration("queued", o.Queued.Round(time.Millisecond)),
		slog.Duration("connecting", o.Connecting.Round(time.Millisecond)),
		slog.Duration("took", o.Took.Round(time.Millisecond)))
}

// Report is an endpoint's answer to a HoldOrder.
type Report struct {
	Incarnation int64
	Running     []RunningRow
	Ended       []EndedRow
	// Partial is set if the endpoint may have more ends than it lists. It lists
	// them once those in the report are acknowledged.
	Partial bool
	// Draining is set if the endpoint leaves, after Remaining at the earliest.
	Draining  bool
	Remaining time.Duration
}
