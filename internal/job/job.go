// Package job holds the accepted durable jobs of an availability zone and the
// outcomes of their tasks, which every reader of the platform's log derives
// from it alike. The types are not safe for concurrent use, but a Job never
// changes once it was handed out.
package job

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Bounds on what the log and its readers keep of one job.
const (
	// MaxJobBytes bounds the variable-length fields of a job, its inputs
	// included, so that it fits into a record together with its envelope.
	MaxJobBytes = 512 << 10
	// MaxTasks bounds the tasks of a job.
	MaxTasks = 1 << 14
	// MaxOutputBytes bounds the output that is kept of one task.
	MaxOutputBytes = 64 << 10
	// MaxJobOutputBytes bounds the outputs that are kept of all tasks of one
	// job. Further outputs are left out and marked as truncated.
	MaxJobOutputBytes = 256 << 10
)

// Task states that an outcome may have.
const (
	StateDone      = "done"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
	StateNotRun    = "not run"
	StateUnknown   = "unknown"
)

// Job is an accepted durable job and what is known of its tasks.
type Job struct {
	// Spec is the job as accepted. Finished jobs have no inputs.
	Spec record.Job
	Zone string
	// Tasks is the number of tasks.
	Tasks int
	// Outcomes has one entry per task, nil for a task that hasn't finished.
	Outcomes []*record.Outcome
	// Left is the number of tasks without an outcome.
	Left int

	sequence    uint64
	outputBytes int
}

// Finished reports whether every task has an outcome.
func (j *Job) Finished() bool {
	return j.Left == 0
}

// Outcome returns the outcome of a task; ok is false while it has none.
func (j *Job) Outcome(index int) (outcome record.Outcome, ok bool) {
	if index < 0 || index >= len(j.Outcomes) || j.Outcomes[index] == nil {
		return record.Outcome{}, false
	}
	return *j.Outcomes[index], true
}

// bytes is what counts towards the bound on finished jobs.
func (j *Job) bytes() int {
	size := j.outputBytes + len(j.Spec.ID) + len(j.Spec.Ticket)
	for _, o := range j.Outcomes {
		if o != nil {
			size += len(o.Reason)
		}
	}
	return size
}

// Validate checks a job before it is recorded; an error is a *record.Void.
func Validate(spec *record.Job) error {
	if spec.ID == "" || spec.Team == "" {
		return record.NewVoid(record.VoidInvalid, "the job has no id or no team; set both")
	}
	if len(spec.Inputs) == 0 || len(spec.Inputs) > MaxTasks {
		return record.NewVoid(record.VoidInvalid, "job %q has %d tasks; submit 1 to %d", spec.ID, len(spec.Inputs), MaxTasks)
	}
	size := len(spec.ID) + len(spec.Team) + len(spec.Queue) + len(spec.Command) + len(spec.Ticket)
	for _, input := range spec.Inputs {
		size += len(input)
	}
	if size > MaxJobBytes {
		return record.NewVoid(record.VoidInvalid, "job %q has %d bytes; split it into jobs of up to %d", spec.ID, size, MaxJobBytes)
	}
	return nil
}

// newJob returns an accepted job without outcomes.
func newJob(zone string, spec *record.Job, tasks int) *Job {
	return &Job{
		Spec:     *spec,
		Zone:     zone,
		Tasks:    tasks,
		Outcomes: make([]*record.Outcome, tasks),
		Left:     tasks,
	}
}

// clone returns a copy that may be changed.
func (j *Job) clone() *Job {
	out := *j
	out.Outcomes = slices.Clone(j.Outcomes)
	return &out
}

// record adds an outcome; it reports false if the outcome has no effect.
func (j *Job) record(o *record.Outcome) bool {
	if o.Index < 0 || o.Index >= len(j.Outcomes) || j.Outcomes[o.Index] != nil {
		return false
	}
	kept := *o
	if len(o.Output) > MaxOutputBytes || j.outputBytes+len(o.Output) > MaxJobOutputBytes {
		kept.Output = nil
		kept.Truncated = true
	}
	j.Outcomes[o.Index] = &kept
	j.outputBytes += len(kept.Output)
	j.Left--
	return true
}

// knownState reports whether state is one that an outcome may have.
func knownState(state string) bool {
	switch state {
	case StateDone, StateFailed, StateCancelled, StateNotRun, StateUnknown:
		return true
	}
	return false
}
