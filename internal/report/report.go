// Package report measures service levels and the rate at which teams and queues
// spend their error budgets.
//
// A Collector counts the events that the holder of an availability zone observes.
// Once per period a Recorder turns the counts into a Summary of bounded size and
// appends it to the log. In every daemon a Fold adds the valid summaries to a
// Store, so that the report survives the replacement of all daemons. Store.Build
// computes the report with the objectives of the configuration in force.
//
// Times are wall-clock times in Unix milliseconds. They only order the data of the
// report; no decision of the scheduler depends on them.
package report

import "time"

// Other is the name under which teams or queues are merged if there are too many.
const Other = "(other)"

// Key identifies a series: the work of one team on one queue.
type Key struct {
	Team  string
	Queue string
}

// Objective is the service-level objective of a queue: the fraction Target of
// its work starts within Within. Target applies to complete answers too. Lost
// durable work is an alert whatever the target.
type Objective struct {
	Within time.Duration
	Target float64
}

// Objectives returns the objective of a queue; ok is false if the queue is not
// configured.
type Objectives func(queue string) (o Objective, ok bool)

// unixMS converts a time to Unix milliseconds.
func unixMS(t time.Time) int64 { return t.UnixMilli() }
