// Package scheduler decides which waiting tasks start next and where. A plan
// is a function of a snapshot: the package performs no I/O, keeps no state
// between plans and reads no clock.
package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Snapshot is what a plan is made from. Make uses up the working fields of its
// hosts, so that a snapshot serves one plan.
type Snapshot struct {
	Now   time.Duration
	Hosts []*Host
	// Demands are the steps with waiting tasks, in any order.
	Demands []*Demand
	// Questions is how many questions may be put for work that is not urgent:
	// one for each instance that has none under way.
	Questions int
	// UrgentQuestions is the same for urgent work.
	UrgentQuestions int
	// MaxStarts is how many tasks may start. A gang that is begun below it may
	// go beyond, as its members start together or not at all.
	MaxStarts int
	// WithinQuota reports whether a customer may take size more beside what the
	// plan has given it already.
	WithinQuota func(customer string, size resource.Vector) bool
	Policy      Policy
}

// Policy holds the figures of the rules.
type Policy struct {
	// UrgentSize is the size of a typical urgent task, and UrgentPlaces is for
	// how many of them room is kept that other work does not take.
	UrgentSize  resource.Vector
	UrgentSlots int
	// FarFactor is how much longer a task takes away from its data or its
	// gang's rack.
	FarFactor float64
	// MaxReservations is how many blocked gangs may hold room back from others.
	MaxReservations int
	// PermitMargin is the least time for which a permit must still be good
	// when a start is decided.
	PermitMargin time.Duration
	// UrgentStarts is the part of MaxStarts that is left to urgent work.
	UrgentStarts int
}

// Host is an endpoint that may take tasks.
type Host struct {
	Endpoint *fleet.Endpoint
	// Free is what is left of the capacity.
	Free resource.Vector
	// Reserved is what blocked gangs hold back of it.
	Reserved resource.Vector
	// GangWaiting is set if a blocked gang waits for room here, as the last plan
	// found.
	GangWaiting bool
	// Releases are the expected ends of the host's runs.
	Releases []Release
}

// Release is room that is expected to get free.
type Release struct {
	At   time.Duration
	Size resource.Vector
}

// Demand is a step with tasks that wait.
type Demand struct {
	Step *workload.StepRun
	// Tasks are the indices of the waiting tasks. A gang lists all of its
	// tasks, and only while none of them occupies an endpoint.
	Tasks []int
	Pool  string
	// Urgent work has priority 0.
	Urgent   bool
	Priority int
	Excess   bool
	// LatestStart is when the step has to start for its job to meet its
	// objective.
	LatestStart time.Duration
	// ReadyAt is when the step became ready.
	ReadyAt time.Duration
	// Eligibility is nil if every endpoint of the pool may run the step.
	Eligibility *Eligibility
	// Occupied counts the step's runs by endpoint, for MaxPerEndpoint.
	Occupied map[string]int
	// Avoid reports whether a task should not run on an endpoint, as it failed
	// there before.
	Avoid func(task int, endpoint string) bool
}

// Eligibility is what is known of a step's eligible endpoints.
type Eligibility struct {
	// Eligible says of incarnations of endpoints whether they may run the step,
	// which doesn't change.
	Eligible map[*fleet.Endpoint]bool
	// Permits are the permits at hand.
	Permits map[*fleet.Endpoint]Permit
	// QuestionInFlight is set while a question is under way.
	QuestionInFlight bool
	// HeldTasks is room that waits for the answer to a question, and for the plan
	// after it.
	HeldTasks map[string]int
	// EligibleShare is the share of endpoints that may run steps of the queue, as
	// learned; it is in (0, 1].
	EligibleShare float64
}

// Permit lets the tasks of a step start on one incarnation of an endpoint.
type Permit struct {
	Token   string
	Expires time.Duration
}

// Plan is what a snapshot leads to.
type Plan struct {
	// Starts are tasks to start. The members of a gang stand together.
	Starts []Start
	// Questions are to be put to the service that knows a queue's endpoints.
	Questions []Question
	// Blocked counts the demands that found no room.
	Blocked int
	// Limited is set if more would have started but for MaxStarts.
	Limited bool
	// GangWaiting are the endpoints on which blocked gangs wait for room.
	GangWaiting map[*fleet.Endpoint]bool
}

// Start places a task.
type Start struct {
	Demand   *Demand
	Task     int
	Endpoint *fleet.Endpoint
	// Permit is empty if the queue needs none.
	Permit string
}

// Question asks which of the endpoints may run a step.
type Question struct {
	Demand    *Demand
	Endpoints []*fleet.Endpoint
	// HeldTasks is the number of tasks for which room is kept on each endpoint
	// until the answer has come.
	HeldTasks map[string]int
}
