// Package history records the events that callers, endpoints, operators and
// fault injectors observe during a test run, and checks the promises of the
// system against them. A promise is a guarantee of the system, for example
// that no endpoint is overcommitted. The daemons under test never write events
// themselves: their own account is not evidence.
package history

// Kind says what an event reports and so which fields of it are set.
type Kind string

// Event kinds, grouped by who writes them.
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

	// Written by operators around a change. A limit is proposed before it is
	// published, and rejected if the publication was refused.
	LimitProposed  Kind = "limit_proposed"
	LimitRejected  Kind = "limit_rejected"
	ConfigRejected Kind = "config_rejected"
	// ConfigObserved holds the version that a daemon's administration
	// interface reported; UnixNano is the time at which it was queried.
	ConfigObserved Kind = "config_observed"

	// Written by the test harness that injects faults and starts and stops
	// daemons.
	FaultInjected Kind = "fault_injected"
	FaultHealed   Kind = "fault_healed"
	DaemonUp      Kind = "daemon_up"
	DaemonDown    Kind = "daemon_down"
)

// Event is one line of a history, encoded as JSON. Fields that don't apply to its
// kind are left out.
type Event struct {
	// UnixNano is the time by the machine's clock, which all processes of a
	// run share.
	UnixNano int64  `json:"unix_nano"`
	Kind     Kind   `json:"kind"`
	Source   string `json:"source"`

	// Endpoint events. Incarnation identifies one run of the endpoint's
	// process, and Epoch is the fencing token of the holder that sent a task.
	Endpoint     string `json:"endpoint,omitempty"`
	Incarnation  string `json:"incarnation,omitempty"`
	Epoch        uint64 `json:"epoch,omitempty"`
	MilliCores   int64  `json:"milli_cores,omitempty"`
	MemoryMB     int64  `json:"memory_mb,omitempty"`
	Accelerators int64  `json:"accelerators,omitempty"`
	Slots        int64  `json:"slots,omitempty"`

	// Work identifies one task of a job, or one request, across all attempts:
	// it is "job/index" or the ticket. Task identifies one attempt.
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
	// InputSum and OutputSum are checksums that match an answer to its
	// request.
	InputSum  string `json:"input_sum,omitempty"`
	OutputSum string `json:"output_sum,omitempty"`
	// ExpectSum is the checksum of the only correct output, if it is known.
	ExpectSum string `json:"expect_sum,omitempty"`
	// Request identifies one attempt to send a request; its answer has the
	// same value.
	Request string `json:"request,omitempty"`
	// DeadlineMS is the deadline that the caller set, in milliseconds after
	// the sending.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Job identifies a durable job, and Tasks is the number of its tasks,
	// which is 0 for requests.
	Job   string `json:"job,omitempty"`
	Tasks int    `json:"tasks,omitempty"`

	// Daemon is the daemon that was called, observed, stopped or started.
	Daemon string `json:"daemon,omitempty"`

	// Configuration. Expected is the version that a publication replaces.
	Expected uint64 `json:"expected,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Limit    int64  `json:"limit,omitempty"`
	Fault    string `json:"fault,omitempty"`
	Step     string `json:"step,omitempty"`
}
