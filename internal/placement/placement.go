// Package placement decides which task runs next and where. It performs no
// I/O, starts no goroutine and reads no clock: time is passed in, so that the
// same calls give the same decisions.
package placement

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Resources is what a task needs or an endpoint offers.
type Resources = resource.Vector

// Class orders work: urgent before service before batch.
type Class int

// Classes in the order in which they are placed.
const (
	ClassUrgent Class = iota
	ClassService
	ClassBatch
)

// Endpoint is a worker or a service runner that may take work.
type Endpoint struct {
	ID       string
	Rack     string
	Runner   bool
	Capacity Resources
}

// Work is a request or a job: one or more tasks of the same size.
type Work struct {
	ID       string
	Team     string
	Queue    string
	Class    Class
	Priority int
	// Tasks are the ids of the tasks that wait to be placed.
	Tasks []string
	// Gang work starts with all its tasks or not at all.
	Gang        bool
	Size        Resources
	Runner      bool
	Idempotent  bool
	Preemptible bool
	// Spread places the tasks on as many racks as possible.
	Spread   bool
	Enqueued time.Duration
	// RunTime is the declared run time, 0 if unknown.
	RunTime time.Duration
}

// RunningTask is a task that occupies an endpoint already, as when a new holder
// adopts its inventory.
type RunningTask struct {
	Task        string
	Work        string
	Endpoint    string
	Team        string
	Queue       string
	Class       Class
	Size        Resources
	Idempotent  bool
	Preemptible bool
	Started     time.Duration
	RunTime     time.Duration
}

// Team is a team's weight and the upper bound on its running tasks in this
// zone at present.
type Team struct {
	Name       string
	Weight     int64
	MaxRunning int64
}

// Decision starts a task on an endpoint or preempts a running one.
type Decision struct {
	Work     string
	Task     string
	Endpoint string
	// Preempt asks for the running Task to be checkpointed and stopped.
	Preempt bool
}

// Result is why a task left its endpoint.
type Result int

// Results.
const (
	ResultDone Result = iota
	ResultFailed
	// ResultStopped covers stops, preemption and tasks that were refused.
	ResultStopped
)

// Verdict says whether work can ever run on the endpoints known.
type Verdict struct {
	Feasible bool
	// Reason and Nearest explain an impossible request: Nearest is the
	// largest size not above the request that would fit.
	Reason      string
	NearestSize Resources
}

// Engine holds the waiting and running work of one zone. It is not safe for
// concurrent use. All times are durations on one monotonic clock.
type Engine interface {
	// SetTeam adds a team or changes its share and bound.
	SetTeam(t Team)
	// SetEndpoint adds an endpoint or changes its capacity.
	SetEndpoint(e Endpoint)
	// SetAvailable says whether an endpoint may take new tasks.
	SetAvailable(id string, available bool)
	// RemoveEndpoint forgets an endpoint; its tasks must have been finished.
	RemoveEndpoint(id string)
	// Adopt records a task that runs already, even past the team's bound or
	// the endpoint's capacity.
	Adopt(r RunningTask)
	// Check says whether w could run on the empty endpoints.
	Check(w Work) Verdict
	// Submit queues work. Submitting an ID that waits already adds its tasks;
	// tasks that wait or run already are ignored.
	Submit(w Work)
	// Withdraw removes one waiting task; it reports false if the task does
	// not wait.
	Withdraw(work, task string) bool
	// Cancel removes all waiting tasks of a work and returns them.
	Cancel(work string) []string
	// Finish frees what a running task occupied.
	Finish(task string, now time.Duration, result Result)
	// ReportUsage reports what a running task really uses.
	ReportUsage(task string, used Resources)
	// Schedule returns at most limit decisions and records the started tasks
	// as running. The tasks of a gang, and the preemptions that make room
	// together, are never split: the last such group may pass the limit.
	Schedule(now time.Duration, limit int) []Decision
	// WaitingTasks and RunningTasks count tasks of a team.
	WaitingTasks(team string) int
	RunningTasks(team string) int
}
