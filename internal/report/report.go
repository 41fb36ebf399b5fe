// Package report measures service levels and how fast teams and queues spend
// their error budgets.
//
// A Collector counts what the holder of an availability zone observes. Once a
// period a Recorder cuts the counts into a Summary of bounded size and appends
// it to the log. Every daemon folds the summaries that count into a Store, so
// that the report survives the replacement of every daemon. Build computes the
// report from a Store and the objectives of the configuration in force.
//
// Times are wall-clock times in Unix milliseconds. They order what people see
// and decide nothing.
package report

import "time"

// Other stands for the teams, or queues, that a bound on size has merged.
const Other = "(other)"

// Key names what is measured: the work of one team on one queue.
type Key struct {
	Team  string
	Queue string
}

// Objective is the service-level objective of a queue: the fraction Target of
// its work starts within Within. Target holds for answers as well. Durable
// work is never lost, whatever the target.
type Objective struct {
	Within time.Duration
	Target float64
}

// Objectives returns the objective of a queue; ok is false if the queue is not
// configured.
type Objectives func(queue string) (o Objective, ok bool)

// unixMS converts a time to Unix milliseconds.
func unixMS(t time.Time) int64 { return t.UnixMilli() }
