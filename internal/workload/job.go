package workload

import (
	"slices"
	"time"
)

// State is the state of a job as reported to its caller.
type State string

// Job states. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Job is an accepted job and its progress. It is not safe for concurrent use.
type Job struct {
	ID       ID
	Queue    string
	Customer string
	// Accepted is the wall-clock time of the submission.
	Accepted time.Time
	Spec     Spec
	// Excess is set for a job that its customer submitted beyond its rate. It
	// is scheduled after all other jobs.
	Excess bool

	// final is empty until the job has ended; finished is the wall-clock time
	// at which it ended.
	final    State
	finished time.Time
	// opened counts the occurrences that have become due. live are those of
	// them that are not done.
	opened int
	live   []*Occurrence
	// begun is set once a run of any task is known to have begun.
	begun bool
	// saved is what the log holds of the job; see EncodeProgress.
	saved savedProgress
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	Index int
	Steps []*StepRun
	// open counts the steps that are not done.
	open int
	// changed is set while the occurrence differs from its record, stored while
	// there is such a record.
	changed bool
	stored  bool
}

// NewJob returns a newly accepted job.
func NewJob(id ID, queue, customer string, accepted time.Time, spec Spec) *Job {
	return &Job{ID: id, Queue: queue, Customer: customer, Accepted: accepted, Spec: spec}
}

// State returns the job's state.
func (j *Job) State() State {
	if j.final != "" {
		return j.final
	}
	return j.OpenState()
}

// OpenState returns the job's state as if it had not ended. A job is running once a run
// of it is known to have begun. Records don't say so of every job: after a change of the
// holder it may be queued again until an endpoint reports its runs.
func (j *Job) OpenState() State {
	if j.begun {
		return StateRunning
	}
	return StateQueued
}

// Waiting reports whether the job is open and no run of it is known to have begun. A run
// that was ordered may never begin, as on an endpoint that doesn't answer.
func (j *Job) Waiting() bool { return j.final == "" && !j.begun }

// MarkBegun records that a run of the job has begun.
func (j *Job) MarkBegun() { j.begun = true }

// Final reports whether the job has ended.
func (j *Job) Final() bool { return j.final != "" }

// HasUnfinishedRuns reports whether a step that is not done has runs that are
// not known to have ended. A cancelled job may have such runs.
func (j *Job) HasUnfinishedRuns() bool {
	for _, o := range j.live {
		for _, s := range o.Steps {
			if !s.Done() && slices.ContainsFunc(s.Tasks, func(t Task) bool { return len(t.runs) > 0 }) {
				return true
			}
		}
	}
	return false
}

// Finished returns the wall-clock time at which the job ended.
func (j *Job) Finished() time.Time { return j.finished }

// Live returns the occurrences that are due and not done, in order.
func (j *Job) Live() []*Occurrence { return j.live }

// LiveStep returns the step of a task in a live occurrence, or nil.
func (j *Job) LiveStep(task TaskID) *StepRun {
	for _, o := range j.live {
		if o.Index == task.Occurrence && task.Step >= 0 && task.Step < len(o.Steps) {
			if s := o.Steps[task.Step]; task.Index >= 0 && task.Index < len(s.Tasks) {
				return s
			}
		}
	}
	return nil
}

// NextDue returns when the next unopened occurrence is due; ok is false if
// there is none.
func (j *Job) NextDue() (due time.Time, ok bool) {
	if j.Final() || j.opened >= j.Spec.Occurrences() {
		return time.Time{}, false
	}
	if j.Spec.Recurrence == nil {
		return j.Accepted, true
	}
	return j.Spec.Recurrence.Due(j.opened), true
}

// MayOpen reports whether another occurrence may become live. It bounds the state
// of a job whose occurrences become due faster than they are done, or never are.
func (j *Job) MayOpen() bool {
	size := 0
	for i := range j.Spec.Steps {
		size += 1 + j.Spec.Steps[i].Count
	}
	return len(j.live) == 0 || len(j.live) < MaxLiveOccurrences && (len(j.live)+1)*size <= maxLiveSize
}

// OpenNext makes the next occurrence live and returns it. The caller must have
// checked NextDue and MayOpen.
func (j *Job) OpenNext() *Occurrence {
	o := newOccurrence(j, j.opened)
	j.opened++
	j.live = append(j.live, o)
	return o
}

func newOccurrence(j *Job, index int) *Occurrence {
	o := &Occurrence{Index: index, open: len(j.Spec.Steps), changed: true}
	for i := range j.Spec.Steps {
		spec := &j.Spec.Steps[i]
		o.Steps = append(o.Steps, &StepRun{
			Job:        j,
			Occurrence: o,
			Index:      i,
			Spec:       spec,
			Tasks:      make([]Task, spec.Count),
			open:       spec.Count,
		})
	}
	return o
}

// FindStep returns the step of a task, or nil if the task's occurrence is not
// live or has no such task.
func (j *Job) FindStep(id TaskID) *StepRun {
	for _, o := range j.live {
		if o.Index != id.Occurrence {
			continue
		}
		if id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
			return nil
		}
		return o.Steps[id.Step]
	}
	return nil
}

// Ready reports whether all steps that s depends on are done.
func (s *StepRun) Ready() bool {
	for _, before := range s.Spec.After {
		if !s.Occurrence.Steps[before].Done() {
			return false
		}
	}
	return true
}

// Cancel cancels the job. It reports false if the job had already ended.
func (j *Job) Cancel(now time.Time) bool { return j.finish(StateCancelled, now) }

// finish gives the job its final state. It reports false if the job had already
// ended.
func (j *Job) finish(final State, now time.Time) bool {
	if j.Final() {
		return false
	}
	j.final, j.finished = final, now
	return true
}

// stepDone records that a step of an occurrence is done. The occurrence is done
// with its last step, and the job with its last occurrence.
func (j *Job) stepDone(o *Occurrence, now time.Time) {
	o.open--
	if o.open > 0 {
		return
	}
	for i := range j.live {
		if j.live[i] == o {
			j.live = append(j.live[:i], j.live[i+1:]...)
			j.saved.drop(o)
			break
		}
	}
	if len(j.live) == 0 && j.opened == j.Spec.Occurrences() {
		j.finish(StateCompleted, now)
	}
}

// Chains holds the estimated durations of the chains of dependent steps of a job.
type Chains struct {
	// Longest is the duration of the longest chain.
	Longest time.Duration
	// From is the duration of the longest chain that begins with each step.
	From []time.Duration
}

// Chains returns the chains of a valid spec, with extra added for each step.
func (s *Spec) Chains(extra time.Duration) Chains {
	return s.ChainsOf(func(i int) time.Duration { return addBounded(s.Steps[i].Estimate, extra) })
}

// ChainsOf returns the chains of a valid spec whose step i takes span(i). It visits each
// dependency once: the number of paths grows exponentially with the number of steps.
func (s *Spec) ChainsOf(span func(step int) time.Duration) Chains {
	dependents := make([][]int, len(s.Steps))
	for i := range s.Steps {
		for _, before := range s.Steps[i].After {
			dependents[before] = append(dependents[before], i)
		}
	}
	c := Chains{From: make([]time.Duration, len(s.Steps))}
	computed := make([]bool, len(s.Steps))
	var from func(int) time.Duration
	from = func(i int) time.Duration {
		if computed[i] {
			return c.From[i]
		}
		after := time.Duration(0)
		for _, k := range dependents[i] {
			after = max(after, from(k))
		}
		computed[i] = true
		c.From[i] = addBounded(span(i), after)
		return c.From[i]
	}
	for i := range s.Steps {
		c.Longest = max(c.Longest, from(i))
	}
	return c
}

// addBounded returns the sum of two durations that are not negative, at most
// MaxSpan. Estimates are the caller's, and their sum may overflow.
func addBounded(a, b time.Duration) time.Duration {
	return min(min(a, MaxSpan)+min(b, MaxSpan), MaxSpan)
}
