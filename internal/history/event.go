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

	// Written by operators.
	ConfigPublished Kind = "config_published"
	KeyWithdrawn    Kind = "key_withdrawn"
	KeyGranted      Kind = "key_granted"
	LimitSet        Kind = "limit_set"
	DrainStarted    Kind = "drain_started"

	// Written by whoever injects faults.
	FaultInjected Kind = "fault_injected"
	FaultHealed   Kind = "fault_healed"
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

	// Configuration.
	Version uint64 `json:"version,omitempty"`
	Limit   int64  `json:"limit,omitempty"`
	Fault   string `json:"fault,omitempty"`
	Step    string `json:"step,omitempty"`
}
