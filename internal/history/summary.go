package history

import (
	"fmt"
	"slices"
)

// Summary counts the requests, attempts and jobs of a run by their outcome.
type Summary struct {
	Sent       int
	Done       int
	NotRun     int
	Unknown    int
	Unanswered int
	// Started counts attempts, not distinct work.
	Started      int
	JobsAccepted int
	JobsFinished int
	// Lost lists the accepted jobs that have tasks without an outcome.
	Lost []string
}

// Summarize counts the requests, attempts and jobs of a history.
func Summarize(events []Event) Summary {
	var s Summary
	for _, e := range events {
		switch e.Kind {
		case RequestSent:
			s.Sent++
		case TaskStarted:
			s.Started++
		case RequestAnswered:
			s.count(e.Verdict)
		}
	}
	s.Unanswered = s.Sent - s.Done - s.NotRun - s.Unknown
	accepted, outcomes := jobs(events)
	s.JobsAccepted = len(accepted)
	for job, e := range accepted {
		if len(outcomes[job]) < max(e.Tasks, 1) {
			s.Lost = append(s.Lost, job)
		}
	}
	slices.Sort(s.Lost)
	s.JobsFinished = s.JobsAccepted - len(s.Lost)
	return s
}

func (s *Summary) count(verdict string) {
	switch verdict {
	case VerdictDone:
		s.Done++
	case VerdictNotRun:
		s.NotRun++
	case VerdictUnknown:
		s.Unknown++
	}
}

// jobs returns the accepted jobs and the first outcome of each task, by job and
// task.
func jobs(events []Event) (map[string]Event, map[string]map[string]Event) {
	accepted := map[string]Event{}
	outcomes := map[string]map[string]Event{}
	for _, e := range sorted(events) {
		switch e.Kind {
		case JobAccepted:
			accepted[e.Job] = e
		case JobFinished:
			job := jobOf(e.Work)
			if outcomes[job] == nil {
				outcomes[job] = map[string]Event{}
			}
			if _, known := outcomes[job][e.Work]; !known {
				outcomes[job][e.Work] = e
			}
		}
	}
	return accepted, outcomes
}

// JobsNotLost checks that every task of an accepted job has an outcome at the end
// of a run for which opts.Healed is set, and that no task has two different
// outcomes in any run.
func JobsNotLost(events []Event, opts Options) []Violation {
	accepted, outcomes := jobs(events)
	found := changedOutcomes(events, outcomes)
	if !opts.Healed {
		return found
	}
	for _, job := range Summarize(events).Lost {
		found = append(found, Violation{
			Promise: PromiseJobs,
			Detail:  fmt.Sprintf("job %s was accepted with %d tasks and has %d outcomes", job, accepted[job].Tasks, len(outcomes[job])),
			Events:  []Event{accepted[job]},
		})
	}
	return found
}

// changedOutcomes returns a violation for each outcome that differs from the first
// outcome of the same task.
func changedOutcomes(events []Event, outcomes map[string]map[string]Event) []Violation {
	var found []Violation
	for _, e := range sorted(events) {
		if e.Kind != JobFinished {
			continue
		}
		first := outcomes[jobOf(e.Work)][e.Work]
		if first.State == e.State && first.OutputSum == e.OutputSum {
			continue
		}
		found = append(found, Violation{
			Promise: PromiseJobs,
			Detail:  fmt.Sprintf("task %s had outcome %q and then %q", e.Work, first.State, e.State),
			Events:  []Event{first, e},
		})
	}
	return found
}
