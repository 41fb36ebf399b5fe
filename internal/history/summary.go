package history

import (
	"fmt"
	"slices"
)

// Summary counts what became of the work of a run.
type Summary struct {
	Sent       int
	Done       int
	NotRun     int
	Unknown    int
	Unanswered int
	// Started counts attempts.
	Started      int
	JobsAccepted int
	JobsFinished int
	// Lost names the accepted jobs some of whose tasks have no outcome.
	Lost []string
}

// Summarize counts requests, attempts and jobs.
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

// jobs returns the accepted jobs and, by job and task, the first outcome.
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

// JobsNotLost checks that by the end of a run that healed every task of an
// accepted job has an outcome, and that no task ever has two different ones.
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
