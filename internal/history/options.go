package history

import "time"

// Bounds of the promises.
const (
	// KeyBound is the time within which a withdrawn key stops working.
	KeyBound = 5 * time.Second
	// LimitGrace is how long running tasks may exceed a lowered limit.
	LimitGrace = 8 * time.Second
	// LeavingBound is the time after which a leaving endpoint receives no new
	// tasks.
	LeavingBound = 5 * time.Second
	// ConfigBound is the time within which an accepted configuration is in
	// force in every daemon.
	ConfigBound = 8 * time.Second
	// ResumeGrace is the time within which an endpoint that was paused for
	// longer than its lease must report its tasks as stopped after it
	// resumes.
	ResumeGrace = 250 * time.Millisecond
)

// Verdicts of a RequestAnswered event.
const (
	VerdictDone    = "done"
	VerdictNotRun  = "not run"
	VerdictUnknown = "unknown"
)

// Codes that callers write if they received no answer from a daemon.
const (
	// CodeConnectionRefused means that no connection was established.
	CodeConnectionRefused = "connection_refused"
	// CodeConnectionLost means that an established connection broke.
	CodeConnectionLost = "connection_lost"
	// CodeTimeout means that the caller stopped waiting.
	CodeTimeout = "caller_timeout"
)

// FaultPause is the Fault of events about a process that is paused by SIGSTOP.
const FaultPause = "pause"

// StateStale is the State of a ConfigObserved event if the daemon reported that
// it can't prove its configuration to be current.
const StateStale = "stale"

// Options holds what the checkers need to know beyond the events.
type Options struct {
	// Expect returns the checksum of the correct output for an input, or ""
	// if it is not known. If Expect is nil, only recorded ExpectSums count.
	Expect func(inputSum string) string
	// OpenQueues contains the queues that accept work without a key.
	OpenQueues map[string]bool
	// StopCodes contains the codes of refusals that a request in flight must
	// not receive because of a planned stop.
	StopCodes map[string]bool
	// Healed is set if every fault had ended and the system had settled
	// before the run ended, so that all accepted jobs must have finished.
	Healed bool
}

// Violation reports one broken promise with the events that prove it.
type Violation struct {
	Promise string
	Detail  string
	Events  []Event
}

// Checker finds the violations of one promise.
type Checker struct {
	Promise string
	Check   func(events []Event, opts Options) []Violation
}

// Names of the promises, as reports show them.
const (
	PromiseOvercommit    = "not overcommitted"
	PromiseSingleAttempt = "one place"
	PromiseKeys          = "keys"
	PromiseLimit         = "upper limit"
	PromiseAnswer        = "whole answer"
	PromiseNotRunTrue    = "not run is true"
	PromiseAtMostOnce    = "at most once"
	PromiseLeaving       = "leaving endpoint"
	PromiseStop          = "planned stop"
	PromiseConfig        = "configuration"
	PromiseJobs          = "jobs not lost"
)

// Checkers returns one checker per promise, in the order of their constants.
func Checkers() []Checker {
	return []Checker{
		{PromiseOvercommit, NotOvercommitted},
		{PromiseSingleAttempt, NoOverlappingAttempts},
		{PromiseKeys, KeysHonored},
		{PromiseLimit, WithinLimit},
		{PromiseAnswer, AnswersCorrect},
		{PromiseNotRunTrue, NotRunNeverStarts},
		{PromiseAtMostOnce, AtMostOnce},
		{PromiseLeaving, NoWorkWhileLeaving},
		{PromiseStop, PlannedStopKeepsRequests},
		{PromiseConfig, ConfigInForce},
		{PromiseJobs, JobsNotLost},
	}
}

// CheckAll runs every checker and returns all violations.
func CheckAll(events []Event, opts Options) []Violation {
	var found []Violation
	for _, c := range Checkers() {
		found = append(found, c.Check(events, opts)...)
	}
	return found
}
