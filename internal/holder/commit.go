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
	// appendTimeout bounds the wait for an appended record to be read back.
	appendTimeout = 4 * time.Second
	// jobsCommitInterval and outcomesCommitInterval are the least times between
	// two group commits of accepted jobs and of outcomes.
	jobsCommitInterval     = 200 * time.Millisecond
	outcomesCommitInterval = 200 * time.Millisecond
	// appendRetryDelay is the pause before a failed append is repeated.
	appendRetryDelay = 250 * time.Millisecond
)

// outcomeEntry is the outcome of a job's task that waits for its group commit, or a
// roster id that may be removed once the log holds all entries before it.
type outcomeEntry struct {
	outcome record.Outcome
	removed string
}

// size implements sized.
func (e outcomeEntry) size() int {
	return len(e.removed) + len(e.outcome.Job) + len(e.outcome.Output) + len(e.outcome.Reason) + 32
}

// append appends a record of this term and waits until its effect is known.
func (t *Term) append(e *record.Envelope) (cell.Effect, error) {
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), appendTimeout)
	defer cancel()
	e.Seen = t.deps.Journal.State().Applied()
	return t.deps.Journal.Append(ctx, e)
}

// appendProblem returns the problem of a failed append: "not run" only if the record
// certainly was not appended.
func appendProblem(err error) *problem.Problem {
	if errors.Is(err, journal.ErrNotAppended) {
		return problem.Refuse(problem.LogUnavailable, "retry later; requests without a durable job need no log", "%v", err).WithRetryAfter(retryHint)
	}
	return problem.UnknownOutcome(problem.LogOutcomeUnknown, "submit it again with the same ticket", "%v", err)
}

// queueOutcome queues the outcome of a job's task for the log. The endpoint gets the
// acknowledgement of the task only after the log holds the outcome.
func (t *Term) queueOutcome(u *unit, result Result) {
	t.outcomeBatcher.add(outcomeEntry{outcome: taskOutcome(u, result)})
}

// taskOutcome converts the result of a job's task to its log record.
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

// commitOutcomes appends one group of outcomes. If the append fails it returns the
// whole group to be appended again; the log's rules keep only the first outcome of
// a task.
func (t *Term) commitOutcomes(group []outcomeEntry) (retry []outcomeEntry) {
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
		t.queueRosterRemovals(group)
		return nil
	}
	effect, err := t.append(envelope)
	if err == nil && effect.Valid {
		t.queueRosterRemovals(group)
		return nil
	}
	if err == nil && t.endIfClaimLost() {
		return nil
	}
	t.sleep(appendRetryDelay)
	return group
}

// queueRosterRemovals queues the roster removals of a committed group.
func (t *Term) queueRosterRemovals(group []outcomeEntry) {
	for _, e := range group {
		if e.removed != "" {
			t.rosterBatcher.add(rosterEntry{removed: e.removed})
		}
	}
}

// ackOutcome acknowledges a task whose outcome is in the log to its endpoint, and
// drops its unit, and its job after the last one.
func (t *Term) ackOutcome(o record.Outcome) {
	state := t.jobs[o.Job]
	if state == nil {
		return
	}
	for _, ack := range state.acks[o.Index] {
		ack()
	}
	delete(state.acks, o.Index)
	if u := state.units[o.Index]; u != nil && u.phase == phaseFinal {
		delete(t.units, u.key)
		delete(state.units, o.Index)
	}
	if len(state.units) == 0 {
		delete(t.jobs, o.Job)
	}
}

// commitRoster appends one group of roster changes, then makes the added endpoints
// available to the engine.
func (t *Term) commitRoster(group []rosterEntry) (retry []rosterEntry) {
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
		if err == nil && t.endIfClaimLost() {
			return nil
		}
		t.sleep(appendRetryDelay)
		return group
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range group {
		if e.session != nil && e.session.adoptedRosterID == e.added {
			e.session.rosterID = e.added
			t.updateAvailability(e.session)
		}
	}
	return nil
}

// endIfClaimLost ends the term if the log names another epoch for the zone, and
// reports whether it did.
func (t *Term) endIfClaimLost() bool {
	claim, ok := t.deps.Journal.State().Claim(t.settings.AvailabilityZone)
	if ok && claim.Epoch == t.epoch {
		return false
	}
	t.endSuperseded(claim.Epoch)
	return true
}
