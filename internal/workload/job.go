package workload

import (
	"slices"
	"time"
)

// State is what a submitter is told of its job.
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

// Job is an accepted job and how far it has come. It is not safe for
// concurrent use.
type Job struct {
	ID       ID
	Queue    string
	Customer string
	// Accepted is the time of day of the submission.
	Accepted time.Time
	Spec     Spec
	// Excess is set for a job that its customer submitted beyond its rate; it
	// is served after all others.
	Excess bool

	// final is empty until the job has ended, at the time of day finished.
	final    State
	finished time.Time
	// opened counts the occurrences that have become due, live are those of
	// them that are not done.
	opened int
	live   []*Occurrence
	// begun is set once a run of any task was ordered.
	begun bool
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	Index int
	Steps []*StepRun
	// open counts the steps that are not done.
	open int
}

// NewJob returns a job that has just been accepted.
func NewJob(id ID, queue, customer string, accepted time.Time, spec Spec) *Job {
	return &Job{ID: id, Queue: queue, Customer: customer, Accepted: accepted, Spec: spec}
}

// State returns the job's state.
func (j *Job) State() State {
	switch {
	case j.final != "":
		return j.final
	case j.begun:
		return StateRunning
	default:
		return StateQueued
	}
}

// Final reports whether the job has ended.
func (j *Job) Final() bool { return j.final != "" }

// HasUnfinishedRuns reports whether runs of the job are not known to have ended, as
// after its cancelling.
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

// Finished returns when the job ended, by the time of day.
func (j *Job) Finished() time.Time { return j.finished }

// Live returns the occurrences that are due and not done, in order.
func (j *Job) Live() []*Occurrence { return j.live }

// NextDue returns when the next occurrence that is not open yet is due; ok is
// false if there is none.
func (j *Job) NextDue() (due time.Time, ok bool) {
	if j.Final() || j.opened >= j.Spec.Occurrences() {
		return time.Time{}, false
	}
	if j.Spec.Recurrence == nil {
		return j.Accepted, true
	}
	return j.Spec.Recurrence.Due(j.opened), true
}

// OpenNext makes the next occurrence live and returns it. The caller has
// checked NextDue.
func (j *Job) OpenNext() *Occurrence {
	o := newOccurrence(j, j.opened)
	j.opened++
	j.live = append(j.live, o)
	return o
}

func newOccurrence(j *Job, index int) *Occurrence {
	o := &Occurrence{Index: index, open: len(j.Spec.Steps)}
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

// Find returns the step and the index of a task, or nil if the task's
// occurrence is not live or it has no such task.
func (j *Job) Find(id TaskID) *StepRun {
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

// Ready reports whether the steps that s waits for are done.
func (s *StepRun) Ready() bool {
	for _, before := range s.Spec.After {
		if !s.Occurrence.Steps[before].Done() {
			return false
		}
	}
	return true
}

// Cancel ends the job; it reports false if it had ended before.
func (j *Job) Cancel(now time.Time) bool { return j.end(StateCancelled, now) }

// end gives the job its final state.
func (j *Job) end(final State, now time.Time) bool {
	if j.Final() {
		return false
	}
	j.final, j.finished = final, now
	return true
}

// closeStep notes that a step is done, and with it perhaps its occurrence and
// the job.
func (j *Job) closeStep(o *Occurrence, now time.Time) {
	o.open--
	if o.open > 0 {
		return
	}
	for i := range j.live {
		if j.live[i] == o {
			j.live = append(j.live[:i], j.live[i+1:]...)
			break
		}
	}
	if len(j.live) == 0 && j.opened == j.Spec.Occurrences() {
		j.end(StateCompleted, now)
	}
}

// LongestChain is the submitter's estimate of the longest chain of steps, each
// counted with extra on top.
func (s *Spec) LongestChain(extra time.Duration) time.Duration {
	longest := time.Duration(0)
	memo := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		longest = max(longest, s.chainThrough(i, extra, memo))
	}
	return longest
}

// chainThrough is the longest chain that ends with step i.
func (s *Spec) chainThrough(i int, extra time.Duration, memo []time.Duration) time.Duration {
	if memo[i] > 0 {
		return memo[i]
	}
	before := time.Duration(0)
	for _, b := range s.Steps[i].After {
		before = max(before, s.chainThrough(b, extra, memo))
	}
	memo[i] = before + s.Steps[i].Estimate + extra
	return memo[i]
}

// ChainFrom is the estimated longest chain that begins with step i, each step
// counted with extra on top.
func (s *Spec) ChainFrom(i int, extra time.Duration) time.Duration {
	after := time.Duration(0)
	for k := range s.Steps {
		for _, b := range s.Steps[k].After {
			if b == i {
				after = max(after, s.ChainFrom(k, extra))
			}
		}
	}
	return s.Steps[i].Estimate + extra + after
}
