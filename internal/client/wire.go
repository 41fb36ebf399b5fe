package client

import "github.com/bluebellstile/bluebellstile/internal/problem"

// Headers of the callers' interface.
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

// document is the body of every refusal.
type document struct {
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

// Size is what each task of a job needs.
type Size struct {
	MilliCores   int64 `json:"milli_cores,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// JobRequest is a durable job. Each input makes one task.
type JobRequest struct {
	// Ticket identifies the job to a repeated submission; SubmitJob asks for
	// one if it is empty.
	Ticket  string   `json:"ticket,omitempty"`
	Command string   `json:"command"`
	Inputs  [][]byte `json:"inputs"`
	// Gang jobs start all their tasks at once or none.
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

// Final states. Other states are on the way to one of them.
const (
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateNotRun    State = "not run"
	StateUnknown   State = "unknown"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	switch s {
	case StateDone, StateFailed, StateCancelled, StateNotRun, StateUnknown:
		return true
	}
	return false
}

// Job is what a daemon knows of a durable job.
type Job struct {
	ID    string `json:"job"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	State State  `json:"state"`
	Tasks []Task `json:"tasks"`
}

// Task is one task of a Job.
type Task struct {
	Index    int    `json:"index"`
	State    State  `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
	Output   []byte `json:"output,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Final reports whether every task of the job has its final state.
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

// PublishRequest publishes a configuration in place of version Expected.
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

// Spread says how far a configuration has come in one zone.
type Spread string

// Spread of a configuration. SpreadUnknown means that the zone can't be
// reached and may or may not have the configuration in force.
const (
	SpreadInForce Spread = "in force"
	SpreadPending Spread = "pending"
	SpreadUnknown Spread = "unknown"
)

// ZoneSpread is the spread in one zone.
type ZoneSpread struct {
	Zone  string `json:"zone"`
	State Spread `json:"state"`
}

// Published is the answer to a publication.
type Published struct {
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dry_run,omitempty"`
	// Changes lists what differs from the version before, by meaning.
	Changes []string `json:"changes"`
	// Zones has every zone of the new configuration; it is empty when the
	// answer was lost and the version found in force afterwards.
	Zones []ZoneSpread `json:"zones,omitempty"`
}

// HistoryEntry is one version of the configuration.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	Author  string `json:"author,omitempty"`
	Text    string `json:"text"`
}

// ZoneStatus is what the holder of an availability zone reports.
type ZoneStatus struct {
	Zone   string `json:"zone"`
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
	// ConfigVersion is the version in force at the holder, 0 if unknown.
	ConfigVersion uint64           `json:"config_version"`
	Endpoints     []EndpointStatus `json:"endpoints"`
	Teams         []TeamStatus     `json:"teams"`
	// Problem says why the zone can't be seen, if so.
	Problem string `json:"problem,omitempty"`
}

// EndpointStatus is the state of one endpoint of a zone.
type EndpointStatus struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Running int64  `json:"running"`
}

// TeamStatus is what a team has in a zone.
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

// decodeList decodes a JSON array, in which null stands for an empty one.
func decodeList[T any](a *answer) ([]T, error) {
	var list []T
	if failure := decode(a, &list); failure != nil {
		return nil, failure
	}
	return list, nil
}
