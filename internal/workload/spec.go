// Package workload models jobs, which consist of steps of tasks: what was
// submitted and how far it has progressed. It performs no I/O and reads no
// clock.
package workload

import (
	"strconv"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// IDLength is the number of hexadecimal digits of a job id.
const IDLength = 16

// ID identifies a job. It consists of 16 lower-case hexadecimal digits chosen
// by the caller.
type ID string

// ParseID returns text as an ID; ok is false if text does not have the form of
// one.
func ParseID(text string) (ID, bool) {
	if len(text) != IDLength {
		return "", false
	}
	for i := range len(text) {
		c := text[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return "", false
		}
	}
	return ID(text), true
}

// Spec is a job as submitted.
type Spec struct {
	// Payload is passed to every task unchanged.
	Payload string
	Steps   []Step
	// Recurrence is nil for a job that runs once, immediately.
	Recurrence *Recurrence
}

// Step is a group of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Size is the capacity that each task occupies.
	Size resource.Vector
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration
	// After lists the indexes of the steps that must be done before this one.
	After []int
	// Gang is set for tasks that start, run and end together.
	Gang bool
	// SameRack is set for tasks that run more slowly if they are spread over
	// racks.
	SameRack bool
	// RequiredLabel is a label that an endpoint must have; empty means none.
	RequiredLabel string
	// PreferredRack is the rack that holds the step's data; empty means none.
	PreferredRack string
	// MaxPerEndpoint bounds the tasks of the step on one endpoint; 0 means
	// unbounded.
	MaxPerEndpoint int
	// Speculative is set for tasks that may run in several copies; the first to
	// finish counts. The controller starts one copy only.
	Speculative bool
	// LongRunning is set for tasks that run until the job is cancelled.
	LongRunning bool
	// Checkpoints is set for tasks that save their progress.
	Checkpoints bool
	// Image identifies what the tasks run. Tasks with the same image behave
	// alike.
	Image string
	// LatencyObjective is the latency objective of a long-running task: a bound
	// on the tail latency that it provides to its own users; 0 means none. Tasks
	// with such an objective are called serving tasks.
	LatencyObjective time.Duration
	// Fills is set for tasks that use only capacity left over by others, which
	// are called filling tasks. Their processor share does not count against an
	// endpoint's capacity.
	Fills bool
	// MaxUnavailable bounds the tasks of a long-running step that planned work
	// may take down at the same time. It is stored and not enforced.
	MaxUnavailable int
}

// Charge returns how much a task of the step counts against an endpoint's
// capacity.
func (s *Step) Charge() resource.Vector {
	charge := s.Size
	if s.Fills {
		charge.MilliCores = 0
	}
	return charge
}

// Recurrence defines when the occurrences of a job are due.
type Recurrence struct {
	Times int
	// First is when occurrence 0 is due.
	First    time.Time
	Interval time.Duration
}

// Due returns when the given occurrence is due.
func (r *Recurrence) Due(occurrence int) time.Time {
	return r.First.Add(time.Duration(occurrence) * r.Interval)
}

// Occurrences returns how often the job's steps run.
func (s *Spec) Occurrences() int {
	if s.Recurrence == nil {
		return 1
	}
	return s.Recurrence.Times
}

// TaskID names a task of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name, ID.occurrence.step.index.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step, ID.occurrence.step.
func (t TaskID) StepName() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Occurrence), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Step), 10)
	return string(b)
}

// ParseTaskID parses a task's name; ok is false if it is malformed.
func ParseTaskID(text string) (TaskID, bool) {
	if len(text) <= IDLength || text[IDLength] != '.' {
		return TaskID{}, false
	}
	id, ok := ParseID(text[:IDLength])
	if !ok {
		return TaskID{}, false
	}
	t := TaskID{Job: id}
	rest := text[IDLength+1:]
	for i, to := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		end := len(rest)
		if i < 2 {
			end = indexByte(rest, '.')
		}
		if end <= 0 {
			return TaskID{}, false
		}
		n, err := strconv.ParseUint(rest[:end], 10, 31)
		if err != nil {
			return TaskID{}, false
		}
		*to = int(n)
		rest = rest[min(end+1, len(rest)):]
	}
	return t, true
}

// indexByte returns the index of c in s, or -1.
func indexByte(s string, c byte) int {
	for i := range len(s) {
		if s[i] == c {
			return i
		}
	}
	return -1
}
