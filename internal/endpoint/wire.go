// Package endpoint defines the HTTP/2 interface of endpoints, with JSON bodies,
// and the client by which the holder of an availability zone, the daemon that
// schedules its work, commands them. An endpoint is a process that runs tasks: a
// worker or a service runner.
//
// Every command carries the epoch of the holder's term as fencing token. An
// endpoint refuses a command whose epoch is lower than the highest one that has
// attached to it. All tasks on an endpoint share a lease, which heartbeats and
// polls for events renew; the endpoint stops the tasks when it lapses.
package endpoint

// Kind distinguishes workers from service runners.
type Kind string

// Endpoint kinds.
const (
	KindWorker Kind = "worker"
	KindRunner Kind = "runner"
)

// Paths of the endpoint interface. All are POST with a JSON body.
const (
	PathAttach    = "/v1/attach"
	PathHeartbeat = "/v1/heartbeat"
	PathStart     = "/v1/start"
	PathStop      = "/v1/stop"
	PathEvents    = "/v1/events"
	PathAck       = "/v1/ack"
)

// Resources is the amount of each resource that a task needs or an endpoint
// offers.
type Resources struct {
	MilliCores   int64 `json:"milli_cores,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	// Slots counts concurrent requests on a service runner.
	Slots int64 `json:"slots,omitempty"`
}

// AttachRequest makes Epoch the only epoch whose commands the endpoint obeys,
// unless a higher one has attached already. It neither grants nor shortens a
// lease, since its sender can't know how long the request was in transit: tasks
// start only after the first heartbeat with the returned token.
type AttachRequest struct {
	AvailabilityZone string `json:"availability_zone"`
	Holder           string `json:"holder"`
	Epoch            uint64 `json:"epoch"`
	// LeaseMS is the lease length in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
}

// AttachResponse is the endpoint's inventory: its identity, capacity and tasks.
type AttachResponse struct {
	Endpoint string `json:"endpoint"`
	// Incarnation changes whenever the endpoint process restarts.
	Incarnation      string       `json:"incarnation"`
	Kind             Kind         `json:"kind"`
	AvailabilityZone string       `json:"availability_zone"`
	Rack             string       `json:"rack,omitempty"`
	Capacity         Resources    `json:"capacity"`
	Tasks            []TaskStatus `json:"tasks"`
	// LeaseToken must be sent with the next heartbeat. The lease that a
	// heartbeat grants runs from the time at which its token was issued, so
	// that a delayed heartbeat can't extend the lease beyond the time that its
	// sender assumes.
	LeaseToken uint64 `json:"lease_token"`
	// Session is new for each attach. The session ends when the lease lapses,
	// and commands of an ended session are refused, so that a delayed command
	// can't take effect after its sender considers the lease lapsed.
	Session uint64 `json:"session"`
	// Leaving is set if the endpoint accepts no new tasks.
	Leaving bool `json:"leaving"`
}

// TaskState is the state of a task on its endpoint.
type TaskState string

// Task states. All but TaskRunning are final.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped is the state after a stop command or a lapsed lease.
	TaskStopped TaskState = "stopped"
)

// TaskStatus is a task that an endpoint runs, or that has finished and is kept
// until it is acknowledged.
type TaskStatus struct {
	Task  TaskSpec  `json:"task"`
	State TaskState `json:"state"`
	// CheckpointMS is the progress saved by the last checkpoint, in
	// milliseconds of run time.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
}

// TaskSpec is what an endpoint needs to run a task and what a later holder
// needs to account for it.
type TaskSpec struct {
	// ID is unique for one attempt at one task.
	ID         string    `json:"id"`
	Job        string    `json:"job,omitempty"`
	Ticket     string    `json:"ticket,omitempty"`
	Team       string    `json:"team"`
	Queue      string    `json:"queue"`
	Size       Resources `json:"size"`
	Idempotent bool      `json:"idempotent"`
	// Index is the position of the task in its job.
	Index int `json:"index,omitempty"`
	// Command names the program that the endpoint runs on Input.
	Command string `json:"command"`
	Input   []byte `json:"input,omitempty"`
	// ResumeMS is the run time, in milliseconds, that a checkpoint of an
	// earlier attempt has saved.
	ResumeMS int64 `json:"resume_ms,omitempty"`
}

// StartRequest starts tasks. Starting a task whose ID the endpoint knows
// already has no effect and is not an error. Refused tasks have not run.
type StartRequest struct {
	Session uint64     `json:"session"`
	Epoch   uint64     `json:"epoch"`
	Tasks   []TaskSpec `json:"tasks"`
}

// StartResponse lists the tasks that were refused, with the reasons; all others
// run.
type StartResponse struct {
	Refused []Refusal `json:"refused,omitempty"`
}

// Refusal is a task that the endpoint did not start.
type Refusal struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

// HeartbeatRequest renews the lease that all tasks on the endpoint share.
type HeartbeatRequest struct {
	Session    uint64 `json:"session"`
	Epoch      uint64 `json:"epoch"`
	LeaseToken uint64 `json:"lease_token"`
	LeaseMS    int64  `json:"lease_ms"`
}

// HeartbeatResponse carries the next lease token and the tasks' recent usage.
type HeartbeatResponse struct {
	Incarnation string      `json:"incarnation"`
	LeaseToken  uint64      `json:"lease_token"`
	Leaving     bool        `json:"leaving"`
	Usage       []TaskUsage `json:"usage,omitempty"`
}

// TaskUsage is the recent resource usage of a running task. It lags behind the
// actual usage.
type TaskUsage struct {
	ID    string    `json:"id"`
	Usage Resources `json:"usage"`
	// RanMS is how long the task has been running, in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// StopAction is what a StopRequest does to running tasks.
type StopAction string

// Stop actions.
const (
	ActionStop       StopAction = "stop"
	ActionCheckpoint StopAction = "checkpoint"
	ActionThrottle   StopAction = "throttle"
)

// StopRequest stops, checkpoints and stops, or throttles tasks. Stopping an
// unknown ID prevents a task with that ID from starting later.
type StopRequest struct {
	Session uint64     `json:"session"`
	Epoch   uint64     `json:"epoch"`
	Action  StopAction `json:"action"`
	IDs     []string   `json:"ids"`
}

// StopResponse reports the state of each named task after the action.
// A task that never ran is reported as TaskStopped with NeverRan set.
type StopResponse struct {
	Tasks []StoppedTask `json:"tasks"`
}

// StoppedTask is one entry of a StopResponse.
type StoppedTask struct {
	ID           string    `json:"id"`
	State        TaskState `json:"state"`
	NeverRan     bool      `json:"never_ran,omitempty"`
	CheckpointMS int64     `json:"checkpoint_ms,omitempty"`
}

// EventsRequest polls for events with a sequence above After, waiting up to
// WaitMS milliseconds for the first. It renews the lease when it arrives, so
// that an idle endpoint needs only one request per wait.
type EventsRequest struct {
	Session uint64 `json:"session"`
	Epoch   uint64 `json:"epoch"`
	After   uint64 `json:"after"`
	WaitMS  int64  `json:"wait_ms"`
	// LeaseToken and LeaseMS renew the lease as a heartbeat does; LeaseMS 0
	// renews nothing.
	LeaseToken uint64 `json:"lease_token,omitempty"`
	LeaseMS    int64  `json:"lease_ms,omitempty"`
	// Leaving is the endpoint's Leaving state as the holder knows it. A poll
	// returns at once if it is out of date.
	Leaving bool `json:"leaving,omitempty"`
}

// EventsResponse returns events in any order. After a lost response they may be
// returned again. The endpoint keeps them until they are acknowledged.
type EventsResponse struct {
	Incarnation string  `json:"incarnation"`
	Events      []Event `json:"events"`
	// Next is the After value of the next poll.
	Next uint64 `json:"next"`
	// LeaseToken, Leaving and Usage are as in a HeartbeatResponse. Usage is set
	// only if the poll returns no event.
	LeaseToken uint64      `json:"lease_token,omitempty"`
	Leaving    bool        `json:"leaving,omitempty"`
	Usage      []TaskUsage `json:"usage,omitempty"`
}

// Event is a part of a task's output or the end of a task.
type Event struct {
	Seq   uint64    `json:"seq"`
	ID    string    `json:"id"`
	State TaskState `json:"state"`
	// Part is the number of this part of the output, from 0, and Parts the
	// number of parts. A finished task has exactly Parts of them, which may
	// arrive in any order.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data,omitempty"`
	// Reason explains a failure.
	Reason string `json:"reason,omitempty"`
	RanMS  int64  `json:"ran_ms,omitempty"`
}

// AckRequest lets the endpoint forget finished tasks.
type AckRequest struct {
	Session uint64   `json:"session"`
	Epoch   uint64   `json:"epoch"`
	IDs     []string `json:"ids"`
}

// Status codes of the interface beyond the usual ones.
const (
	// StatusFenced (409) means that a higher epoch has attached; the body is
	// a FencedBody.
	StatusFenced = 409
	// StatusNotAttached (412) means that this epoch has not attached yet or
	// that the session has ended; attach again.
	StatusNotAttached = 412
)

// FencedBody reports the highest attached epoch.
type FencedBody struct {
	Epoch uint64 `json:"epoch"`
}
