// Package placement decides which task runs next and on which endpoint. It
// performs no I/O, starts no goroutines and reads no clock: the caller passes
// the time in, so that the same sequence of calls gives the same decisions.
package placement

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Resources is the amount of each resource that a task requests or an endpoint
// offers.
type Resources = resource.Vector

// Class is the scheduling class of work. Lower values are placed first.
type Class int

// The classes, in the order in which they are placed.
const (
	ClassUrgent Class = iota
	ClassService
	ClassBatch
)

// Endpoint is a worker or, if Runner is set, a service runner on which tasks
// can be placed.
type Endpoint struct {
	ID       string
	Rack     string
	Runner   bool
	Capacity Resources
}

// Work is a unit of work, either a request or a job. It consists of one or more
// tasks of the same size.
type Work struct {
	ID       string
	Team     string
	Queue    string
	Class    Class
	Priority int
	// Tasks holds the ids of the tasks that wait to be placed.
	Tasks []string
	// Gang requires all tasks to start together or not at all.
	Gang bool
	Size Resources
	// Runner places the tasks on service runners instead of workers.
	Runner bool
	// Idempotent tasks may run more than once.
	Idempotent bool
	// Preemptible tasks may be checkpointed and stopped to free capacity. Only
	// tasks that are also idempotent are preempted.
	Preemptible bool
	// Spread places the tasks on as many racks as possible.
	Spread bool
	// Enqueued is the time at which the work began to wait.
	Enqueued time.Duration
	// RunTime is the declared run time of a task, 0 if unknown.
	RunTime time.Duration
}

// RunningTask is a task that already occupies an endpoint, for example one that a
// new holder finds in an endpoint's inventory.
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

// Team holds the fair-share weight of a team and the current limit on its
// running tasks in this zone.
type Team struct {
	Name       string
	Weight     int64
	MaxRunning int64
}

// Decision starts a task on an endpoint or, if Preempt is set, preempts a
// running task.
type Decision struct {
	Work     string
	Task     string
	Endpoint string
	// Preempt asks for the running Task to be checkpointed and stopped.
	Preempt bool
}

// Result is the reason why a task left its endpoint.
type Result int

// The results of a task.
const (
	ResultDone Result = iota
	ResultFailed
	// ResultStopped covers tasks that were stopped, preempted or refused by the
	// endpoint. It counts neither for nor against the endpoint.
	ResultStopped
)

// Feasibility reports whether work could ever run on the known endpoints.
type Feasibility struct {
	Feasible bool
	// Reason and NearestSize explain why work is not feasible. NearestSize is
	// the largest size, at most the requested one, that would fit.
	Reason      string
	NearestSize Resources
}

// Engine holds the waiting and running work of one zone and places it on the
// zone's endpoints. It is not safe for concurrent use. All times are durations
// on one monotonic clock.
type Engine interface {
	// SetTeam adds a team or changes its weight and task limit.
	SetTeam(t Team)
	// SetEndpoint adds an endpoint or changes its capacity.
	SetEndpoint(e Endpoint)
	// SetAvailable sets whether an endpoint may take new tasks.
	SetAvailable(id string, available bool)
	// RemoveEndpoint removes an endpoint. Tasks that are still running there
	// stay counted against their teams until Finish is called for them.
	RemoveEndpoint(id string)
	// Adopt records a task that is already running, even if it exceeds the
	// team's task limit or the endpoint's capacity.
	Adopt(r RunningTask)
	// Check reports whether w could run if all endpoints were empty.
	Check(w Work) Feasibility
	// Submit queues work. If work with the same ID is already waiting, its
	// tasks are added to it. Tasks that are already waiting or running are
	// ignored.
	Submit(w Work)
	// Withdraw removes one waiting task. It returns false if the task is not
	// waiting.
	Withdraw(work, task string) bool
	// Cancel removes all waiting tasks of the work with the given id and
	// returns their ids.
	Cancel(work string) []string
	// Finish releases the resources of a running task and records its result.
	Finish(task string, now time.Duration, result Result)
	// ReportUsage records the resources that a running task actually uses.
	ReportUsage(task string, used Resources)
	// Schedule returns at most limit decisions and records the started tasks as
	// running. The tasks of a gang, and preemptions that together free capacity,
	// are never split across calls: the last such group may exceed the limit.
	Schedule(now time.Duration, limit int) []Decision
	// WaitingTasks and RunningTasks return the number of tasks of a team.
	WaitingTasks(team string) int
	RunningTasks(team string) int
}
