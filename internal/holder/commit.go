package holder

import (
	"context"
	"github.com/pkg/errors"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

const (
	// appendTimeout bounds the wait for a record to be read back.
	appendTimeout = 4 * time.Second
	// jobsGap and outcomesGap are the least times between two group commits of
	// accepted jobs and of outcomes.
	jobsGap     = 200 * time.Millisecond
	outcomesGap = 200 * time.Millisecond
	// appendPause is the pause after a failed append that is tried again.
	appendPause = 250 * time.Millisecond
)

// outcomeEntry is the end of a job's task on its way to the log, or a roster
// id that may be removed once everything before it stands there.
type outcomeEntry struct {
	outcome record.Outcome
	removed string
}

// size implements sized.
func (e outcomeEntry) size() int {
	return len(e.removed) + len(e.outcome.Job) + len(e.outcome.Output) + len(e.outcome.Reason) + 32
}

// append appends a record of this term and waits for its effect.
func (t *Term) append(e *record.Envelope) (cell.Effect, error) {
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), appendTimeout)
	defer cancel()
	e.Seen = t.deps.Journal.State().Applied()
	return t.deps.Journal.Append(ctx, e)
}

// appendProblem explains a failed append truthfully.
func appendProblem(err error) *problem.Problem {
	if errors.Is(err, journal.ErrNotAppended) {
		return problem.Refuse(problem.LogUnavailable, "retry later; requests without a durable job need no log", "%v", err).WithRetryAfter(retryHint)
	}
	return problem.UnknownOutcome(problem.LogOutcomeUnknown, "submit it again with the same ticket", "%v", err)
}

// settleTask queues the outcome of a job's task for the log. The task is
// acknowledged to its endpoint only after that.
func (t *Term) settleTask(u *unit, result Result) {
	t.outcomes.add(outcomeEntry{outcome: taskOutcome(u, result)})
}

// taskOutcome converts a result to its record.
func taskOutcome(u *unit, result Result) record.Outcome {
	o := record.Outcome{Job: u.spec.Job, Index: u.spec.Index, State: job.StateDone}
	if result.Problem == nil {
		o.Output = result.Output
		if len(o.Output) > job.MaxOutputBytes {
			o.Output, o.Truncated = nil, true
		}
		return o
	}
	o.Reason = result.Problem.Detail
	switch {
	case result.Problem.Code == problem.Cancelled:
		o.State = job.StateCancelled
	case result.Problem.Code == problem.TaskFailed:
		o.State = job.StateFailed
	case result.Problem.Verdict == problem.NotRun:
		o.State = job.StateNotRun
	default:
		o.State = job.StateUnknown
	}
	return o
}

// commitOutcomes appends one group of outcomes; what could not be appended
// goes into the next group. The log's rules keep the first outcome of a task.
func (t *Term) commitOutcomes(group []outcomeEntry) (again []outcomeEntry) {
	envelope := &record.Envelope{Kind: record.KindOutcomes, Outcomes: &record.Outcomes{
		Zone:  t.settings.AvailabilityZone,
		Epoch: t.epoch,
	}}
	for _, e := range group {
		if e.removed == "" {
			envelope.Outcomes.Outcomes = append(envelope.Outcomes.Outcomes, e.outcome)
		}
	}
	if len(envelope.Outcomes.Outcomes) == 0 {
		t.removeRostered(group)
		return nil
	}
	effect, err := t.append(envelope)
	if err == nil && effect.Valid {
		t.removeRostered(group)
		return nil
	}
	if err == nil && t.lostClaim() {
		return nil
	}
	t.pause(appendPause)
	return group
}

// removeRostered queues the roster removals of a group.
func (t *Term) removeRostered(group []outcomeEntry) {
	for _, e := range group {
		if e.removed != "" {
			t.rosters.add(rosterEntry{removed: e.removed})
		}
	}
}

// acknowledge lets the endpoint forget a task whose outcome stands in the log.
func (t *Term) acknowledge(o record.Outcome) {
	state := t.jobs[o.Job]
	if state == nil {
		return
	}
	if ack := state.acks[o.Index]; ack != nil {
		ack()
		delete(state.acks, o.Index)
	}
	if u := state.units[o.Index]; u != nil && u.phase == phaseFinal {
		delete(t.units, u.key)
		delete(state.units, o.Index)
	}
	if len(state.units) == 0 {
		delete(t.jobs, o.Job)
	}
}

// commitRoster appends one group of roster changes, then offers the added
// endpoints to the engine.
func (t *Term) commitRoster(group []rosterEntry) (again []rosterEntry) {
	envelope := &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{
		Zone:  t.settings.AvailabilityZone,
		Epoch: t.epoch,
	}}
	for _, e := range group {
		if e.added != "" {
			envelope.Roster.Endpoints = append(envelope.Roster.Endpoints, e.added)
		}
		if e.removed != "" {
			envelope.Roster.Removed = append(envelope.Roster.Removed, e.removed)
		}
	}
	effect, err := t.append(envelope)
	if err != nil || !effect.Valid {
		if err == nil && t.lostClaim() {
			return nil
		}
		t.pause(appendPause)
		return group
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range group {
		if e.session != nil && e.session.adopted == e.added {
			e.session.rosterID = e.added
			t.applyUsable(e.session)
		}
	}
	return nil
}

// lostClaim ends the term if the log names another epoch for the zone.
func (t *Term) lostClaim() bool {
	claim, ok := t.deps.Journal.State().Epoch(t.settings.AvailabilityZone)
	if ok && claim.Epoch == t.epoch {
		return false
	}
	t.superseded(claim.Epoch)
	return true
}
