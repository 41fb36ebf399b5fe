package workload

import (
	"fmt"
	"time"
)

// Bounds of a submitted job.
const (
	// MaxPayloadBytes bounds Spec.Payload. It is part of the callers'
	// interface.
	MaxPayloadBytes = 4000
	// MaxSteps bounds the steps of a job, so that its state fits into one
	// record.
	MaxSteps = 100
	// MaxCheckpointBytes bounds a checkpoint. A longer one is not kept.
	MaxCheckpointBytes = 64
	// MaxNameBytes bounds each name in a step, such as a label.
	MaxNameBytes = 256
	// MaxTasks bounds the tasks of all steps of one occurrence, for the same
	// reason as MaxSteps.
	MaxTasks = 5000
	// MaxOccurrences bounds the occurrences of a recurring job.
	MaxOccurrences = 1_000_000
	// MaxLiveOccurrences bounds the occurrences of a job that are live at the
	// same time. Further ones wait until one of them is done.
	MaxLiveOccurrences = 256
	// maxLiveSize bounds the steps and tasks of these occurrences together: two
	// occurrences of the largest job may overlap.
	maxLiveSize = 2 * (MaxTasks + MaxSteps)
	// MaxAmount bounds each amount of a task's size, so that no sum overflows.
	MaxAmount = 1 << 40
	// MaxSpan bounds the time between the first and the last occurrence of a
	// recurring job, and the estimated duration of a chain of steps.
	MaxSpan = 100 * 365 * 24 * time.Hour
)

// InvalidError describes an invalid field of a submitted job.
type InvalidError struct {
	// Field is the path of the field, such as steps[1].count.
	Field string
	// Rule is the rule that the field violates.
	Rule string
}

// Error returns the field, the violated rule and the remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s; correct the job and submit it again", e.Field, e.Rule)
}

func invalid(field, format string, args ...any) error {
	return &InvalidError{Field: field, Rule: fmt.Sprintf(format, args...)}
}

// Validate checks a job as submitted. Its error is an *InvalidError.
func (s *Spec) Validate() error {
	if err := s.validateStored(); err != nil {
		return err
	}
	return s.validateLengths()
}

// validateLengths checks the bounds that only make sure that a job fits into the
// log, which a job that is stored already does.
func (s *Spec) validateLengths() error {
	for i := range s.Steps {
		step := &s.Steps[i]
		if max(len(step.RequiredLabel), len(step.PreferredRack), len(step.Image)) > MaxNameBytes {
			return invalid(fmt.Sprintf("steps[%d]", i), "label, rack and image may have %d bytes each", MaxNameBytes)
		}
		if len(step.After) > MaxSteps {
			return invalid(fmt.Sprintf("steps[%d].after", i), "has %d entries, at most %d are allowed", len(step.After), MaxSteps)
		}
	}
	return nil
}

// validateStored checks what the scheduler relies on.
func (s *Spec) validateStored() error {
	if len(s.Payload) > MaxPayloadBytes {
		return invalid("spec", "has %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("steps", "has %d entries, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	total := 0
	for i := range s.Steps {
		if err := s.validateStep(i); err != nil {
			return err
		}
		total += s.Steps[i].Count
	}
	if total > MaxTasks {
		return invalid("steps", "have %d tasks, at most %d are allowed", total, MaxTasks)
	}
	if cycle := s.findCycle(); cycle >= 0 {
		return invalid(fmt.Sprintf("steps[%d].after", cycle), "the step depends on itself through other steps")
	}
	return s.validateRecurrence()
}

func (s *Spec) validateStep(i int) error {
	step := &s.Steps[i]
	at := func(name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }
	switch {
	case step.Count < 1:
		return invalid(at("count"), "is %d, at least 1 task is required", step.Count)
	case step.Count > MaxTasks:
		return invalid(at("count"), "is %d, a job may have %d tasks", step.Count, MaxTasks)
	case max(step.Size.MilliCores, step.Size.MemoryMB, step.Size.Accelerators) > MaxAmount:
		return invalid(at("size"), "is %+v, at most %d of each is allowed", step.Size, int64(MaxAmount))
	case step.Size.MilliCores < 0 || step.Size.MemoryMB < 0 || step.Size.Accelerators < 0:
		return invalid(at("size"), "is negative")
	case step.Estimate < 0:
		return invalid(at("estimate"), "is negative")
	case step.MaxPerEndpoint < 0:
		return invalid(at("anti-affinity"), "is negative")
	case step.LatencyObjective < 0:
		return invalid(at("target"), "is negative")
	case step.MaxUnavailable < 0:
		return invalid(at("may miss"), "is negative")
	}
	for _, before := range step.After {
		if before < 0 || before >= len(s.Steps) || before == i {
			return invalid(at("after"), "contains step %d, which is not another step of the job", before)
		}
	}
	return nil
}

// findCycle returns a step that depends on itself, or -1.
func (s *Spec) findCycle() int {
	const (
		unvisited = iota
		visiting
		visited
	)
	state := make([]int, len(s.Steps))
	var visit func(int) int
	visit = func(i int) int {
		switch state[i] {
		case visiting:
			return i
		case visited:
			return -1
		}
		state[i] = visiting
		for _, before := range s.Steps[i].After {
			if c := visit(before); c >= 0 {
				return c
			}
		}
		state[i] = visited
		return -1
	}
	for i := range s.Steps {
		if c := visit(i); c >= 0 {
			return c
		}
	}
	return -1
}

func (s *Spec) validateRecurrence() error {
	r := s.Recurrence
	if r == nil {
		return nil
	}
	if r.Times < 1 || r.Times > MaxOccurrences {
		return invalid("times", "is %d, 1 to %d are allowed", r.Times, MaxOccurrences)
	}
	if r.Interval < 0 {
		return invalid("interval", "is negative")
	}
	if r.Interval > MaxSpan/time.Duration(r.Times) {
		return invalid("interval", "is %v, %d occurrences may span at most %v", r.Interval, r.Times, MaxSpan)
	}
	return nil
}
