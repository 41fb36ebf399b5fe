package client

import "github.com/bluebellstile/bluebellstile/internal/problem"

// Headers of the caller API.
const (
	HeaderTicket     = "Bluebellstile-Ticket"
	HeaderIdempotent = "Bluebellstile-Idempotent"
	HeaderDeadline   = "Bluebellstile-Deadline"
	HeaderCommand    = "Bluebellstile-Command"
	HeaderVerdict    = "Bluebellstile-Verdict"
	HeaderRequestID  = "Bluebellstile-Request-Id"
)

// problemType is the media type of a problem document.
const problemType = "application/problem+json"

// problemDocument is the body of a response that reports an error.
type problemDocument struct {
	Title        string       `json:"title"`
	Status       int          `json:"status"`
	Code         problem.Code `json:"code"`
	Detail       string       `json:"detail"`
	Remedy       string       `json:"remedy"`
	Verdict      string       `json:"verdict"`
	RetryAfterMS int64        `json:"retry_after_ms"`
	Ticket       string       `json:"ticket"`
}

type ticketRequest struct {
	Queue string `json:"queue"`
}

type ticketResponse struct {
	Ticket string `json:"ticket"`
}

// Size describes the resources that each task of a job needs.
type Size struct {
	MilliCores   int64 `json:"milli_cores,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// JobRequest is a durable job to submit.
type JobRequest struct {
	// Ticket identifies the job when its submission is repeated. If it is
	// empty, SubmitJob requests a new one.
	Ticket  string `json:"ticket,omitempty"`
	Command string `json:"command"`
	// Inputs has one input for each task.
	Inputs [][]byte `json:"inputs"`
	// Gang makes the job start all its tasks at once or none of them.
	Gang bool `json:"gang,omitempty"`
	// Idempotent is nil for the queue's default.
	Idempotent *bool `json:"idempotent,omitempty"`
	Size       Size  `json:"size"`
	// RunTimeMS is the expected run time of a task in milliseconds.
	RunTimeMS int64 `json:"run_time_ms,omitempty"`
}

type jobResponse struct {
	Job string `json:"job"`
}

// State is the state of a job or of one of its tasks.
type State string

// Final states. Every other state leads to one of these.
const (
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateNotRun    State = "not run"
	StateUnknown   State = "unknown"
)

// Final reports whether the state can't change any more.
func (s State) Final() bool {
	switch s {
	case StateDone, StateFailed, StateCancelled, StateNotRun, StateUnknown:
		return true
	}
	return false
}

// Job is the state of a durable job as a daemon reports it.
type Job struct {
	ID    string `json:"job"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	State State  `json:"state"`
	Tasks []Task `json:"tasks"`
}

// Task is the state of one task of a Job.
type Task struct {
	Index    int    `json:"index"`
	State    State  `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
	Output   []byte `json:"output,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Final reports whether every task of the job is in a final state. A job without
// tasks is final if its own state is.
func (j *Job) Final() bool {
	for i := range j.Tasks {
		if !j.Tasks[i].State.Final() {
			return false
		}
	}
	return len(j.Tasks) > 0 || j.State.Final()
}

// ConfigVersion is a configuration and its version.
type ConfigVersion struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// PublishRequest publishes a configuration in place of version Expected. It is
// refused if another version is in force.
type PublishRequest struct {
	Text     string `json:"text"`
	Expected uint64 `json:"expected"`
	// DryRun checks everything and publishes nothing.
	DryRun bool `json:"dry_run,omitempty"`
}

type revertRequest struct {
	Version  uint64 `json:"version"`
	Expected uint64 `json:"expected"`
}

// RolloutState tells whether a published configuration is in force in a zone.
type RolloutState string

// Rollout states. RolloutUnknown means that the zone can't be reached and may or
// may not have the configuration in force.
const (
	RolloutInForce RolloutState = "in force"
	RolloutPending RolloutState = "pending"
	RolloutUnknown RolloutState = "unknown"
)

// ZoneRollout is the rollout of a configuration in one zone.
type ZoneRollout struct {
	Zone  string       `json:"zone"`
	State RolloutState `json:"state"`
}

// PublishResult is the result of a publication.
type PublishResult struct {
	// Version is the published version, or for a dry run the one in force.
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dry_run,omitempty"`
	// Changes lists how the configuration differs in meaning from the version
	// before.
	Changes []string `json:"changes"`
	// Zones has every zone of the new configuration. It is empty for a dry
	// run, and if the response was lost and the version was found in force
	// afterwards.
	Zones []ZoneRollout `json:"zones,omitempty"`
}

// HistoryEntry is one version of the configuration.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	Author  string `json:"author,omitempty"`
	Text    string `json:"text"`
}

// ZoneStatus is the status of an availability zone as its holder reports it.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Holder names the daemon that schedules the zone's work.
	Holder string `json:"holder,omitempty"`
	// Epoch numbers the terms of the zone's holders.
	Epoch uint64 `json:"epoch,omitempty"`
	// ConfigVersion is the version in force at the holder, 0 if unknown.
	ConfigVersion uint64           `json:"config_version"`
	Endpoints     []EndpointStatus `json:"endpoints"`
	Teams         []TeamStatus     `json:"teams"`
	// Problem is the reason why the status is missing; empty if it isn't.
	Problem string `json:"problem,omitempty"`
}

// EndpointStatus is the state of one endpoint of a zone.
type EndpointStatus struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Running int64  `json:"running"`
}

// TeamStatus counts a team's work in a zone.
type TeamStatus struct {
	Team    string `json:"team"`
	Running int64  `json:"running"`
	Waiting int64  `json:"waiting"`
	// Allotment is the part of the team's upper limit that the zone may use.
	Allotment int64 `json:"allotment"`
}

type versionResponse struct {
	Version uint64 `json:"version"`
}

// decodeList decodes a response whose body is a JSON array or null. It returns
// nil for null.
func decodeList[T any](resp *bufferedResponse) ([]T, error) {
	var list []T
	if failure := decodeJSON(resp, &list); failure != nil {
		return nil, failure
	}
	return list, nil
}
