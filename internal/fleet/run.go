package fleet

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Key identifies a run.
type Key struct {
	Task   workload.TaskID
	Number int
}

// Phase is what is known of a run.
type Phase int

// Phases of a run. In all of them it occupies its endpoint.
const (
	// PhaseOrdered runs have been decided on; the order may be on its way.
	PhaseOrdered Phase = iota
	// PhaseRunning runs were confirmed by the endpoint.
	PhaseRunning
	// PhaseDoubtful runs were ordered without an answer: the endpoint may
	// begin them at any time until it has confirmed a stop.
	PhaseDoubtful
	// PhaseStopping runs are being stopped.
	PhaseStopping
	// PhaseInherited runs were ordered in an earlier term; the endpoint has
	// not been asked yet.
	PhaseInherited
)

// String returns the phase as it stands in logs.
func (p Phase) String() string {
	return [...]string{"ordered", "running", "doubtful", "stopping", "inherited"}[p]
}

// Run is a run that occupies, or may occupy, an endpoint.
type Run struct {
	Key
	// Step is nil for a run of a job that is not known any more.
	Step     *workload.StepRun
	Customer string
	// Queue is where the job was submitted.
	Queue    string
	Priority int
	// Size is what counts against the customer's limit, Charge what counts
	// against the endpoint's capacity.
	Size     resource.Vector
	Charge   resource.Vector
	Endpoint *Endpoint
	Phase    Phase

	// OrderedAt is when the order was decided on, Began when the endpoint first
	// confirmed the run; 0 if it has not.
	OrderedAt   time.Duration
	ConfirmedAt time.Duration
	// ExpectedEnd is when the run is expected to free its room.
	ExpectedEnd time.Duration

	// Progress is the share of the work done, 0 to 1, as last reported, and
	// Moved when it last grew.
	Progress     float64
	ProgressedAt time.Duration
	// Load is the last rough figure of the endpoint: tail latency for a task
	// that serves, processor use in thousandths of a core for others.
	Load int64
	// Pace is the share at which the task may work, 0 to 100.
	Pace int
}

// Index returns the index of the run's task within its step.
func (r *Run) Index() int { return r.Task.Index }
