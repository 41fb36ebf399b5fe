package history

import "time"

// Bounds of the promises.
const (
	// KeyBound is how soon a withdrawn key stops working.
	KeyBound = 5 * time.Second
	// LimitGrace is how long running work may stay above a lowered limit.
	LimitGrace = 8 * time.Second
	// LeavingBound is how soon a leaving endpoint receives no new work.
	LeavingBound = 5 * time.Second
	// ConfigBound is how soon an accepted configuration is in force.
	ConfigBound = 8 * time.Second
	// ResumeGrace is how soon an endpoint that was paused past its lease
	// must have reported its tasks as stopped.
	ResumeGrace = 250 * time.Millisecond
)

// Verdicts of a RequestAnswered event.
const (
	VerdictDone    = "done"
	VerdictNotRun  = "not run"
	VerdictUnknown = "unknown"
)

// Codes that callers write when no daemon's answer arrived.
const (
	// CodeRefused means that no connection was made.
	CodeRefused = "connection_refused"
	// CodeLost means that an established connection broke.
	CodeLost = "connection_lost"
	// CodeTimeout means that the caller stopped waiting.
	CodeTimeout = "caller_timeout"
)

// FaultPause is the Fault of a process that was stopped by SIGSTOP.
const FaultPause = "pause"

// StateStale marks the observation of a daemon that can't prove that its
// configuration is fresh, and says so.
const StateStale = "stale"

// Options tell the checkers what the events alone don't show.
type Options struct {
	// Expect returns the checksum of the right answer to an input, or "" if
	// it isn't known. Nil means that only recorded ExpectSums count.
	Expect func(inputSum string) string
	// OpenQueues accept work without a key.
	OpenQueues map[string]bool
	// StopCodes are the codes of refusals that a request in flight must not
	// get because of a planned stop.
	StopCodes map[string]bool
	// Healed says that every fault had healed and the run had settled when
	// it ended, so that accepted jobs must have finished.
	Healed bool
}

// Violation is one broken promise with the events that show it.
type Violation struct {
	Promise string
	Detail  string
	Events  []Event
}

// Checker finds violations of one promise.
type Checker struct {
	Promise string
	Check   func(events []Event, opts Options) []Violation
}

// Names of the promises.
const (
	PromiseOvercommit = "not overcommitted"
	PromiseOnePlace   = "one place"
	PromiseKeys       = "keys"
	PromiseLimit      = "upper limit"
	PromiseAnswer     = "whole answer"
	PromiseNotRun     = "not run is true"
	PromiseOnce       = "at most once"
	PromiseLeaving    = "leaving endpoint"
	PromiseStop       = "planned stop"
	PromiseConfig     = "configuration"
	PromiseJobs       = "jobs not lost"
)

// Checkers returns one checker per promise, in the order of the promises.
func Checkers() []Checker {
	return []Checker{
		{PromiseOvercommit, NotOvercommitted},
		{PromiseOnePlace, OnePlace},
		{PromiseKeys, KeysHonored},
		{PromiseLimit, WithinLimit},
		{PromiseAnswer, WholeAnswer},
		{PromiseNotRun, NotRunIsTrue},
		{PromiseOnce, AtMostOnce},
		{PromiseLeaving, LeavingGetsNothing},
		{PromiseStop, StopCutsNothing},
		{PromiseConfig, ConfigInForce},
		{PromiseJobs, JobsNotLost},
	}
}

// CheckAll runs every checker.
func CheckAll(events []Event, opts Options) []Violation {
	var found []Violation
	for _, c := range Checkers() {
		found = append(found, c.Check(events, opts)...)
	}
	return found
}
