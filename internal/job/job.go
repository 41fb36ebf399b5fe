// Package job stores the accepted durable jobs of an availability zone and the
// outcomes of their tasks. Every reader of the platform's log derives the same
// state from it. The types are not safe for concurrent use, but a Job that was
// returned to a caller is never modified.
package job

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Size limits for one job in the log and in memory.
const (
	// MaxJobBytes limits the total size of the variable-length fields of a
	// job, including its inputs, so that the job and its envelope fit into one
	// record.
	MaxJobBytes = 512 << 10
	// MaxTasks limits the number of tasks of a job.
	MaxTasks = 1 << 14
	// MaxOutputBytes limits the output of one task that is kept.
	MaxOutputBytes = 64 << 10
	// MaxJobOutputBytes limits the total output of the tasks of one job that
	// is kept. Further outputs are discarded and marked as truncated.
	MaxJobOutputBytes = 256 << 10
)

// Final states of a task, used in outcomes.
const (
	StateDone      = "done"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
	StateNotRun    = "not run"
	StateUnknown   = "unknown"
)

// Job is an accepted durable job and the outcomes of its tasks.
type Job struct {
	// Spec is the job as accepted, without its inputs once it is finished.
	Spec record.Job
	Zone string
	// Tasks is the number of tasks.
	Tasks int
	// Outcomes has one entry per task; it is nil for an unfinished task.
	Outcomes []*record.Outcome
	// Unfinished is the number of tasks without an outcome.
	Unfinished int

	// sequence is the job's position in the order of acceptance.
	sequence uint64
	// outputBytes is the total size of the outputs that are kept.
	outputBytes int
}

// Finished reports whether every task has an outcome.
func (j *Job) Finished() bool {
	return j.Unfinished == 0
}

// Outcome returns the outcome of the task at index; ok is false if the task is
// unfinished or doesn't exist.
func (j *Job) Outcome(index int) (outcome record.Outcome, ok bool) {
	if index < 0 || index >= len(j.Outcomes) || j.Outcomes[index] == nil {
		return record.Outcome{}, false
	}
	return *j.Outcomes[index], true
}

// retainedBytes returns the size that counts towards MaxFinishedBytes.
func (j *Job) retainedBytes() int {
	size := j.outputBytes + len(j.Spec.ID) + len(j.Spec.Ticket)
	for _, o := range j.Outcomes {
		if o != nil {
			size += len(o.Reason)
		}
	}
	return size
}

// Validate checks a job before it is recorded. A returned error is a
// *record.Void.
func Validate(spec *record.Job) error {
	if spec.ID == "" || spec.Team == "" {
		return record.NewVoid(record.VoidInvalid, "the job has no id or no team; both are required")
	}
	if len(spec.Inputs) == 0 || len(spec.Inputs) > MaxTasks {
		return record.NewVoid(record.VoidInvalid, "job %q has %d tasks; the allowed range is 1 to %d", spec.ID, len(spec.Inputs), MaxTasks)
	}
	size := len(spec.ID) + len(spec.Team) + len(spec.Queue) + len(spec.Command) + len(spec.Ticket)
	for _, input := range spec.Inputs {
		size += len(input)
	}
	if size > MaxJobBytes {
		return record.NewVoid(record.VoidInvalid, "job %q has %d bytes; split it into jobs of up to %d bytes", spec.ID, size, MaxJobBytes)
	}
	return nil
}

// newJob returns an accepted job without outcomes.
func newJob(zone string, spec *record.Job, tasks int) *Job {
	return &Job{
		Spec:       *spec,
		Zone:       zone,
		Tasks:      tasks,
		Outcomes:   make([]*record.Outcome, tasks),
		Unfinished: tasks,
	}
}

// clone returns a copy that may be modified without affecting j.
func (j *Job) clone() *Job {
	out := *j
	out.Outcomes = slices.Clone(j.Outcomes)
	return &out
}

// addOutcome adds the outcome of a task, without an output that exceeds the
// limits. It reports false, and changes nothing, if the task doesn't exist or
// has an outcome already.
func (j *Job) addOutcome(o *record.Outcome) bool {
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
	j.Unfinished--
	return true
}

// validState reports whether state is one of the final task states.
func validState(state string) bool {
	switch state {
	case StateDone, StateFailed, StateCancelled, StateNotRun, StateUnknown:
		return true
	}
	return false
}
