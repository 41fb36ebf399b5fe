// Package history records what callers, endpoints and the platform saw during
// a run, and checks the promises of the system over that record. The daemons'
// own word is never part of it.
package history

// Kind is the kind of an event.
type Kind string

// Event kinds by their source.
const (
	// Written by endpoints.
	EndpointUp      Kind = "endpoint_up"
	EndpointLeaving Kind = "endpoint_leaving"
	EndpointDown    Kind = "endpoint_down"
	TaskStarted     Kind = "task_started"
	TaskEnded       Kind = "task_ended"
	TaskRefused     Kind = "task_refused"

	// Written by callers.
	RequestSent     Kind = "request_sent"
	RequestAnswered Kind = "request_answered"
	JobAccepted     Kind = "job_accepted"
	JobFinished     Kind = "job_finished"
	// RequestCancelled is written before the cancellation is sent.
	RequestCancelled Kind = "request_cancelled"

	// Written by operators.
	ConfigPublished Kind = "config_published"
	KeyWithdrawn    Kind = "key_withdrawn"
	KeyGranted      Kind = "key_granted"
	LimitSet        Kind = "limit_set"
	DrainStarted    Kind = "drain_started"

	// Written by operators around a change: a limit is proposed before it is
	// published, and rejected when the publication was refused.
	LimitProposed  Kind = "limit_proposed"
	LimitRejected  Kind = "limit_rejected"
	ConfigRejected Kind = "config_rejected"
	// ConfigObserved is the version that a daemon's administration interface
	// reported; UnixNano is the moment at which it was asked.
	ConfigObserved Kind = "config_observed"

	// Written by whoever injects faults or starts and stops daemons.
	FaultInjected Kind = "fault_injected"
	FaultHealed   Kind = "fault_healed"
	DaemonUp      Kind = "daemon_up"
	DaemonDown    Kind = "daemon_down"
)

// Event is one line of a history, encoded as JSON.
type Event struct {
	// UnixNano is the machine's clock; all processes of a run share it.
	UnixNano int64  `json:"unix_nano"`
	Kind     Kind   `json:"kind"`
	Source   string `json:"source"`

	// Endpoint events.
	Endpoint     string `json:"endpoint,omitempty"`
	Incarnation  string `json:"incarnation,omitempty"`
	Epoch        uint64 `json:"epoch,omitempty"`
	MilliCores   int64  `json:"milli_cores,omitempty"`
	MemoryMB     int64  `json:"memory_mb,omitempty"`
	Accelerators int64  `json:"accelerators,omitempty"`
	Slots        int64  `json:"slots,omitempty"`

	// Work. Work names one task of one job or request over all attempts:
	// "job/index" or the ticket. Task names one attempt.
	Work       string `json:"work,omitempty"`
	Task       string `json:"task,omitempty"`
	Team       string `json:"team,omitempty"`
	Queue      string `json:"queue,omitempty"`
	Key        string `json:"key,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	State      string `json:"state,omitempty"`
	// Verdict is "done", "not run" or "unknown".
	Verdict string `json:"verdict,omitempty"`
	Code    string `json:"code,omitempty"`
	// InputSum and OutputSum are checksums by which an answer is matched to
	// its request.
	InputSum  string `json:"input_sum,omitempty"`
	OutputSum string `json:"output_sum,omitempty"`
	// ExpectSum is the checksum of the only right answer, if it is known.
	ExpectSum string `json:"expect_sum,omitempty"`
	// Request names one sending of a request; its answer carries it too.
	Request string `json:"request,omitempty"`
	// DeadlineMS bounds the wait that a caller asked for, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Job is the durable job of an event and Tasks the number of its tasks,
	// which is 0 for requests.
	Job   string `json:"job,omitempty"`
	Tasks int    `json:"tasks,omitempty"`

	// Daemon is the daemon that was asked, observed, stopped or started.
	Daemon string `json:"daemon,omitempty"`

	// Configuration. Expected is the version that a publication replaced.
	Expected uint64 `json:"expected,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Limit    int64  `json:"limit,omitempty"`
	Fault    string `json:"fault,omitempty"`
	Step     string `json:"step,omitempty"`
}
