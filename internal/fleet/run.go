package fleet

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Key identifies a run. Number distinguishes the runs of a task.
type Key struct {
	Task   workload.TaskID
	Number int
}

// Phase is what the holder knows about the state of a run.
type Phase int

// Phases of a run. In each of them the run occupies its endpoint.
const (
	// PhaseOrdered means that the run has been decided on, and its order may be
	// in flight.
	PhaseOrdered Phase = iota
	// PhaseRunning means that the endpoint has confirmed the run.
	PhaseRunning
	// PhaseDoubtful means that the order was not answered, or that a confirmed
	// run is no longer listed. The endpoint may start the run at any time until
	// it has confirmed a stop.
	PhaseDoubtful
	// PhaseStopping means that the run is being stopped.
	PhaseStopping
	// PhaseInherited means that the run was ordered in an earlier term, or from
	// an earlier incarnation of the endpoint, and that the endpoint has not
	// reported on it yet.
	PhaseInherited
)

// String returns the name of the phase that is used in logs.
func (p Phase) String() string {
	return [...]string{"ordered", "running", "doubtful", "stopping", "inherited"}[p]
}

// Run is one execution of a task. It occupies, or may occupy, an endpoint.
type Run struct {
	Key
	// Step is nil for a run of a job that is no longer known.
	Step     *workload.StepRun
	Customer string
	// Queue is the queue to which the job was submitted.
	Queue    string
	Priority int
	// Size counts against the customer's quota, Charge against the endpoint's
	// capacity.
	Size     resource.Vector
	Charge   resource.Vector
	Endpoint *Endpoint
	Phase    Phase

	// OrderedAt is when the order was decided on. ConfirmedAt is when the
	// endpoint first confirmed the run; 0 if it has not.
	OrderedAt   time.Duration
	ConfirmedAt time.Duration
	// ExpectedEnd is when the run is expected to free its resources.
	ExpectedEnd time.Duration

	// Moved is set if the run was ordered from an earlier incarnation of its
	// endpoint.
	Moved bool

	// Progress is the fraction of the work that is done, 0 to 1, as last
	// reported. ProgressedAt is when it last grew, or the pace was last set.
	Progress     float64
	ProgressedAt time.Duration
	// Load is the load that the endpoint last reported, a rough value: tail
	// latency in milliseconds for a task that serves requests, processor use in
	// thousandths of a core for others.
	Load int64
	// Pace is the percentage of its full speed at which the task may work, 0 to
	// 100.
	Pace int
}

// Index returns the index of the run's task within its step.
func (r *Run) Index() int { return r.Task.Index }
