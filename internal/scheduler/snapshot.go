// Package scheduler decides which waiting tasks start next and on which
// endpoints. A plan is a function of a snapshot: the package performs no I/O,
// keeps no state between plans and reads no clock.
package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/backfill"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/preemption"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Snapshot is the input of a plan. MakePlan modifies the hosts and counters in
// it, so a snapshot can be used for one plan only.
type Snapshot struct {
	Now   time.Duration
	Hosts []*Host
	// Demands are the steps with waiting tasks, in any order.
	Demands []*Demand
	// Questions is how many eligibility questions the plan may ask for
	// non-urgent work.
	Questions int
	// QuestionsInAll is how many of them may be in flight at a time.
	QuestionsInAll int
	// UrgentQuestions is how many may be asked for urgent work.
	UrgentQuestions int
	// MaxStarts is how many tasks may start. A gang whose first task is below
	// this bound may exceed it, because its members start together or not at
	// all.
	MaxStarts int
	// WithinQuota reports whether a customer may use size in addition to what
	// it uses already. The plan includes in size what it has already allocated
	// to the customer.
	WithinQuota func(customer string, size resource.Vector) bool
	Policy      Policy
	// LastTurn is Plan.LastTurn of the plan before, nil if there is none.
	LastTurn *Demand
	// Victims returns the runs on a host that may be stopped for work of a better
	// priority. It is called only if such work has no room. It is nil if the plan may
	// stop none. WorstPriority is the worst priority that such runs may have.
	Victims       func(*Host) []Victim
	WorstPriority int
	// PreemptionBudget bounds the work that preemptions may throw away, in core-seconds.
	PreemptionBudget float64
}

// Policy holds the parameters of the scheduling rules.
type Policy struct {
	// Headrooms are what is kept free for urgent work.
	Headrooms []Headroom
	// FarFactor is the factor by which a task runs longer away from its data or
	// from the rack of its gang.
	FarFactor float64
	// MaxReservations is how many blocked gangs may reserve capacity.
	MaxReservations int
	// PermitMargin is the minimum remaining validity of a permit when a start
	// is decided.
	PermitMargin time.Duration
	// UrgentStarts is the part of MaxStarts that is reserved for urgent work.
	UrgentStarts int
	// GangRoom lets single tasks wait for gangs of a better priority.
	GangRoom bool
	// StopTime is how long it takes until the room of a run that is being stopped can be
	// used.
	StopTime time.Duration
}

// Host is an endpoint that may run tasks.
type Host struct {
	Endpoint *fleet.Endpoint
	// Free is the unused part of the capacity.
	Free resource.Vector
	// Reserved is the part of Free that is reserved for blocked gangs.
	Reserved resource.Vector
	// GangWaiting is set if a blocked gang waits for capacity here, according
	// to the previous plan.
	GangWaiting bool
	// Releases are the expected ends of the host's runs.
	Releases []Release
	// headrooms are those that are kept on the host, pool is the room of its pool.
	headrooms []*keptHeadroom
	pool      *poolRoom
}

// Release is capacity that is expected to become free.
type Release = backfill.Release

// Demand is a step with waiting tasks.
type Demand struct {
	Step *workload.StepRun
	// Tasks are the indexes of the waiting tasks. A gang lists all of its
	// tasks, and only while none of them occupies an endpoint.
	Tasks []int
	Pool  string
	// Urgent is set for work of priority 0.
	Urgent   bool
	Priority int
	Excess   bool
	// LatestStart is the latest time at which the step can start for its job to
	// meet its objective.
	LatestStart time.Duration
	// ReadyAt is when the step became ready.
	ReadyAt time.Duration
	// Idle is set if no task of the step is at work, or if the tasks last and some wait.
	// IdleSince is since when.
	Idle      bool
	IdleSince time.Duration
	// Duration is how long a task is expected to run at the usual speed.
	Duration time.Duration
	// OverShare is set if the step's customer uses more than its share of a contended
	// pool.
	OverShare bool
	// Eligibility is nil if every endpoint of the pool may run the step.
	Eligibility *Eligibility
	// Occupied counts the step's runs by endpoint, to enforce MaxPerEndpoint.
	Occupied map[string]int
	// started is the number of tasks that the plan starts, pool the room of the pool, which
	// was mostly free when the plan came to the demand if poolMostlyFree is set.
	started        int
	pool           *poolRoom
	poolMostlyFree bool
	// starving is the number of tasks for which a plan found no room.
	starving int
	// Avoid reports whether a task should not run on an endpoint because it
	// failed there before.
	Avoid func(task int, endpoint string) bool
}

// Eligibility is what is known about the endpoints that may run a step.
type Eligibility struct {
	// Eligible tells for each incarnation of an endpoint asked about whether it
	// may run the step. The answer does not change during an incarnation.
	Eligible map[*fleet.Endpoint]bool
	// Good are the endpoints for which Eligible is true, each once; SetEligible keeps it.
	Good []*fleet.Endpoint
	// Permits are the permits received so far; they may have expired.
	Permits map[*fleet.Endpoint]Permit
	// QuestionInFlight is set while a question has no answer yet.
	QuestionInFlight bool
	// HeldTasks is the number of tasks by endpoint for which capacity is held
	// until the answer to a question has arrived and the next plan has used it.
	HeldTasks map[string]int
	// QuestionBase and QuestionPerEndpoint are how long a question takes: its fixed part
	// and that for each endpoint it names.
	QuestionBase, QuestionPerEndpoint time.Duration
	// EligibleShare is the estimated share of endpoints that may run steps of
	// the queue, learned from earlier answers; it is in (0, 1].
	EligibleShare float64
}

// NewEligibility returns an Eligibility of a step about which nothing is known.
func NewEligibility() *Eligibility {
	return &Eligibility{Eligible: make(map[*fleet.Endpoint]bool), Permits: make(map[*fleet.Endpoint]Permit)}
}

// SetEligible records whether an endpoint may run the step.
func (e *Eligibility) SetEligible(endpoint *fleet.Endpoint, eligible bool) {
	if eligible && !e.Eligible[endpoint] {
		e.Good = append(e.Good, endpoint)
	}
	e.Eligible[endpoint] = eligible
}

// Permit allows the tasks of a step to start on one incarnation of an endpoint.
type Permit struct {
	Token   string
	Expires time.Duration
}

// Plan is the result of MakePlan.
type Plan struct {
	// Starts are the tasks to start. The members of a gang are adjacent.
	Starts []Start
	// Questions are to be sent to the service that decides which endpoints may
	// run the steps of a queue. A gang may have several, which are adjacent.
	Questions []Question
	// Blocked counts the demands for which there was not enough capacity, and
	// those that were not considered.
	Blocked int
	// Yielding are the demands that wait because gangs of a better priority need the room.
	Yielding []*Demand
	// Limited is set if MaxStarts kept tasks from starting.
	Limited bool
	// Preemptions are the runs to stop in favor of demands that have no room.
	Preemptions []Preemption
	// GangWaiting are the endpoints on which blocked gangs wait for capacity.
	GangWaiting map[*fleet.Endpoint]bool
	// LastTurn is the last demand that was considered out of scheduling order,
	// nil if the plan considered all demands in order. The next plan continues
	// after it.
	LastTurn *Demand
}

// Start places a task on an endpoint.
type Start struct {
	Demand   *Demand
	Task     int
	Endpoint *fleet.Endpoint
	// Permit is the token of the permit, empty if the queue needs none.
	Permit string
}

// Victim is a run that may be stopped for work of a better priority.
type Victim struct {
	preemption.Victim
	Run *fleet.Run
}

// Preemption stops a run in favor of a demand. Loss is what that throws away, in
// core-seconds.
type Preemption struct {
	Run  *fleet.Run
	For  *Demand
	Loss float64
}

// Question asks which of the endpoints may run a step.
type Question struct {
	Demand    *Demand
	Endpoints []*fleet.Endpoint
	// HeldTasks is the number of tasks by endpoint for which capacity is held
	// until the answer arrives; questions that are asked at once share it.
	HeldTasks map[string]int
}
