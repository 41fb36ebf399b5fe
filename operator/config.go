// Package operator is the library that operators use to write, check and
// print the configuration of a bluebellstile cell.
//
// A cell is the set of availability zones under one log and one configuration,
// with the daemons, endpoints and jobs in them. A program builds a Config from
// typed values, calls Print and publishes the canonical INI text with the
// bluebellstile command. Print returns an error for a Config that Validate
// rejects, and Parse(Print(c)) equals c.Canonical().
package operator

import "time"

// Config is the whole configuration of a cell. Its zones, teams, keys and
// queues are called entries; each is one section of the text.
type Config struct {
	Zones  []Zone
	Teams  []Team
	Keys   []Key
	Queues []Queue
}

// Zone is an availability zone of the cell.
type Zone struct {
	Name   string
	Region string
	// Drain keeps new work from being placed in the zone.
	Drain bool
}

// Team is a group of callers with their own keys, share and upper limit.
type Team struct {
	Name string
	// Share is the weight with which the team competes with others when the
	// cell is full.
	Share int64
	// UpperLimit is the largest number of tasks that the team may have
	// running in all zones of the cell together.
	UpperLimit int64
}

// Key authorizes the work of one team. Only the hash of its secret is
// published.
type Key struct {
	// ID is public and identifies the key in logs, where the secret never
	// appears.
	ID   string
	Team string
	// SHA256 is the lower-case hexadecimal SHA-256 of the secret.
	SHA256 string
	// Operator keys grant access to the administration interface.
	Operator bool
	// Withdrawn keys are refused. They stay in the configuration so that they
	// can be reviewed.
	Withdrawn bool
}

// Class orders queues: urgent work is placed before service work, and both
// before batch work.
type Class string

// Queue classes.
const (
	ClassUrgent  Class = "urgent"
	ClassService Class = "service"
	ClassBatch   Class = "batch"
)

// Spill says where work of a queue may run when its own zone is full.
type Spill string

// Spill policies.
const (
	SpillStay   Spill = "stay"
	SpillRegion Spill = "region"
	SpillAny    Spill = "any"
)

// Queue is a named policy for the work that is submitted to it.
type Queue struct {
	Name  string
	Class Class
	// Priority orders queues of one class; higher goes first.
	Priority int
	// Teams lists the teams that may submit; empty means every team.
	Teams []string
	// Open queues accept work without a key, charged to OpenTeam.
	Open     bool
	OpenTeam string
	// Idempotent is the default for requests that don't state it.
	Idempotent bool
	// Preemptible allows idempotent tasks to be checkpointed and stopped for
	// work of higher classes or of teams that are below their share.
	Preemptible bool
	// Deadline is the longest wait for a result.
	Deadline time.Duration
	// RetryBudget is the largest number of further attempts at a failed
	// idempotent task.
	RetryBudget int
	// MaxWaiting is the largest number of requests of one team that wait in
	// the queue in one zone.
	MaxWaiting int
	Spill      Spill
	// KeyGrace is how long the queue goes on accepting work with a key while
	// a daemon can't prove that its configuration is fresh, if it is longer
	// than the bound in the daemon's settings. A withdrawn key may go on
	// working for that long in a zone that is cut off from the log.
	KeyGrace time.Duration
	// Runner sends the work to service runners; otherwise workers run it.
	Runner bool
	// StartObjective and StartTarget are the latency objective: the fraction
	// StartTarget of the work starts within StartObjective.
	StartObjective time.Duration
	StartTarget    float64
}
