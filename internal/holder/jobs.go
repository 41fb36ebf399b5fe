package holder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// jobState is an unfinished durable job of the zone. The term's lock guards it.
type jobState struct {
	spec record.Job
	// units are the units of the unfinished tasks, by task index.
	units map[int]*unit
	// acks holds, by task index, the functions that acknowledge the ended attempts of
	// a task to their endpoints. They are called once the task's outcome is in the log.
	acks map[int][]func()
}

// jobEntry is a submitted job that waits for its group commit.
type jobEntry struct {
	job  record.Job
	done chan error
}

// size implements sized.
func (e jobEntry) size() int {
	n := len(e.job.ID) + len(e.job.Ticket) + len(e.job.Command) + 128
	for _, input := range e.job.Inputs {
		n += len(input) + 8
	}
	return n
}

// maxWaitingTasks bounds the waiting tasks of jobs in one zone. A larger job is
// accepted only while no other task of a job waits.
const maxWaitingTasks = 100_000

// JobID returns the id of a job, derived from the ticket of its submission, so that a
// repeated submission names the same job wherever it arrives.
func JobID(ticketText string) string { return "j-" + ticketText }

// SubmitJob accepts a job once the log holds its record as valid, and returns its id.
// Submitting the same job with the same ticket again returns the same id; another
// job with that ticket is refused.
func (t *Term) SubmitJob(ctx context.Context, j record.Job, queue operator.Queue) (string, *problem.Problem) {
	j.Digest = jobDigest(&j)
	if known, ok := t.deps.Journal.State().JobByTicket(j.Team, j.Ticket); ok {
		return known.Spec.ID, checkSameJob(&known.Spec, &j)
	}
	if err := job.Validate(&j); err != nil {
		return "", problem.Refuse(problem.BadRequest, "correct the job and submit it again", "%v", err)
	}
	if p := t.checkJobAdmission(&j, queue); p != nil {
		return "", p
	}
	entry := jobEntry{job: j, done: make(chan error, 1)}
	t.jobBatcher.add(entry)
	select {
	case err := <-entry.done:
		return j.ID, t.acceptanceProblem(&j, err)
	case <-ctx.Done():
	case <-t.tomb.Dying():
	}
	return "", problem.UnknownOutcome(problem.LogOutcomeUnknown, "submit it again with the same ticket", "the log did not confirm the job in time")
}

// acceptanceProblem converts the outcome of a job's group commit. The log may hold
// another job under the ticket that was submitted at the same time.
func (t *Term) acceptanceProblem(j *record.Job, err error) *problem.Problem {
	if err != nil {
		return problem.From(err, problem.Unknown)
	}
	if known, ok := t.deps.Journal.State().Job(j.ID); ok {
		return checkSameJob(&known.Spec, j)
	}
	return nil
}

// jobDigest returns a digest of everything that a job asks for.
func jobDigest(j *record.Job) []byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%q %q %q %t %t %d %d %d %d %d\n", j.Team, j.Queue, j.Command, j.Idempotent, j.Gang,
		j.MilliCores, j.MemoryMB, j.Accelerators, j.Slots, j.RunTimeMS)
	for _, input := range j.Inputs {
		_, _ = fmt.Fprintf(h, "%d\n", len(input))
		h.Write(input)
	}
	return h.Sum(nil)[:jobDigestBytes]
}

// jobDigestBytes is the length of the digest that the log stores for a job.
const jobDigestBytes = 16

// checkSameJob refuses a ticket that was used for another job.
func checkSameJob(known, j *record.Job) *problem.Problem {
	if len(known.Digest) == 0 || bytes.Equal(known.Digest, j.Digest) {
		return nil
	}
	return problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another job", "the ticket belongs to a different job, which may have run")
}

// checkJobAdmission returns the reason for which a job can't be accepted, or nil.
func (t *Term) checkJobAdmission(j *record.Job, queue operator.Queue) *problem.Problem {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.checkDraining(); p != nil {
		return p
	}
	if j.Slots <= 0 && j.MilliCores <= 0 {
		return problem.Refuse(problem.BadRequest, "state the milli_cores that each task needs", "a task without a size can't be placed")
	}
	if t.backlog.tasks > 0 && t.backlog.tasks+len(j.Inputs) > maxWaitingTasks {
		return problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d tasks of jobs wait in the zone already", t.backlog.tasks).WithRetryAfter(retryHint)
	}
	if !t.gate.isOpen() || len(t.sessions) == 0 {
		return nil
	}
	verdict := t.engine.Check(jobWork(j, queue, t.now()))
	if !verdict.Feasible {
		return problem.Refuse(problem.NeverRunnable, "ask for no more than the nearest size that fits", "%s; nearest size %+v", verdict.Reason, verdict.NearestSize)
	}
	if j.Gang && int64(len(j.Inputs)) > t.teamLimit(j.Team) {
		return problem.Refuse(problem.NeverRunnable, "split the job or ask the operators for a higher upper limit", "an all-at-once job of %d tasks exceeds the team's upper limit of %d", len(j.Inputs), t.teamLimit(j.Team))
	}
	return nil
}

// commitJobs appends one group of jobs and sends the outcome to each waiting
// caller. It returns no entry to repeat: the caller decides whether to submit again.
func (t *Term) commitJobs(group []jobEntry) (retry []jobEntry) {
	envelope := &record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{
		Zone:  t.settings.AvailabilityZone,
		Epoch: t.epoch,
		Jobs:  make([]record.Job, 0, len(group)),
	}}
	listed := make(map[string]bool, len(group))
	for _, e := range group {
		if !listed[e.job.ID] {
			listed[e.job.ID] = true
			envelope.Jobs.Jobs = append(envelope.Jobs.Jobs, e.job)
		}
	}
	effect, err := t.append(envelope)
	for _, e := range group {
		e.done <- jobError(e.job.ID, effect, err)
	}
	return nil
}

// jobError returns the reason for which one job of a group was not accepted, or nil.
func jobError(id string, effect cell.Effect, err error) error {
	switch {
	case err != nil:
		return appendProblem(err)
	case !effect.Valid:
		return problem.Refuse(problem.Moved, "submit it again with a new ticket", "the zone's holder changed: %s", effect.Reason)
	case effect.Rejected[id] != nil:
		return rejectionProblem(effect.Rejected[id])
	}
	return nil
}

// rejectionProblem explains a job that the log's rules rejected. It returns nil for a
// duplicate, since the log has accepted that job before.
func rejectionProblem(err error) error {
	if record.IsDuplicate(err) {
		return nil
	}
	return problem.Refuse(problem.BadRequest, "correct the job and submit it again", "%v", err)
}

// observeJobs applies records of accepted jobs and of outcomes.
func (t *Term) observeJobs(effect cell.Effect) {
	switch {
	case effect.Zone != t.settings.AvailabilityZone:
	case effect.Kind == record.KindJobs:
		for _, j := range effect.Envelope.Jobs.Jobs {
			t.startAcceptedJob(j.ID)
		}
	case effect.Kind == record.KindOutcomes:
		for _, o := range effect.Envelope.Outcomes.Outcomes {
			t.ackOutcome(o)
		}
	}
}

// startAcceptedJob starts a job that a record of this term has accepted. It relies on
// the log's state and not on the record, which may hold the job twice or may be a
// later copy.
func (t *Term) startAcceptedJob(id string) {
	known, ok := t.deps.Journal.State().Job(id)
	if !ok || known.Finished() || t.jobs[id] != nil {
		return
	}
	spec := known.Spec
	t.startJob(&spec)
}

// startJob queues all tasks of a newly accepted job.
func (t *Term) startJob(j *record.Job) {
	state := t.newJob(j)
	for index := range j.Inputs {
		t.newJobUnit(state, index)
	}
	t.enqueueJob(state)
}

// enqueueJob submits all tasks of a job to the engine as one work.
func (t *Term) enqueueJob(state *jobState) {
	j := &state.spec
	t.ensureTeam(j.Team)
	for _, u := range state.units {
		u.workID = j.ID
		u.phase = phaseWaiting
		t.backlog.add(u)
	}
	t.engine.Submit(jobWork(j, t.queuePolicy(j.Queue), t.now()))
	t.wakeScheduler()
}

// allHeld reports whether all tasks of the job are held and not cancelled, so that none
// has started or ended.
func (s *jobState) allHeld() bool {
	for _, u := range s.units {
		if u.phase != phaseHeld || u.cancelled {
			return false
		}
	}
	return len(s.units) == len(s.spec.Inputs)
}

// inheritJob registers the unfinished tasks of an earlier term's job as held.
func (t *Term) inheritJob(j *job.Job) {
	spec := j.Spec
	state := t.newJob(&spec)
	for index := range spec.Inputs {
		if _, ended := j.Outcome(index); ended {
			continue
		}
		t.newJobUnit(state, index)
	}
}

// newJob registers a job without tasks.
func (t *Term) newJob(j *record.Job) *jobState {
	state := &jobState{spec: *j, units: make(map[int]*unit), acks: make(map[int][]func())}
	t.jobs[j.ID] = state
	return state
}

// newJobUnit registers one task of a job as held.
func (t *Term) newJobUnit(state *jobState, index int) {
	j := &state.spec
	u := &unit{
		key: taskKey(j.ID, index),
		spec: endpoint.TaskSpec{
			Job:        j.ID,
			Team:       j.Team,
			Queue:      j.Queue,
			Size:       jobSize(j),
			Idempotent: j.Idempotent,
			Index:      index,
			Command:    j.Command,
			Input:      j.Inputs[index],
		},
		enqueued: t.now(),
		job:      state,
		runTime:  milliseconds(j.RunTimeMS),
	}
	u.workID = u.key
	u.applyQueue(t.queuePolicy(j.Queue))
	state.units[index] = u
	t.units[u.key] = u
}

// taskKey returns the unit key of one task of a job.
func taskKey(jobID string, index int) string { return fmt.Sprintf("%s/%d", jobID, index) }

// jobSize returns the size of each task of a job.
func jobSize(j *record.Job) endpoint.Resources {
	return endpoint.Resources{
		MilliCores:   j.MilliCores,
		MemoryMB:     j.MemoryMB,
		Accelerators: j.Accelerators,
		Slots:        j.Slots,
	}
}

// queuePolicy returns the configuration of a queue. A queue that is no longer
// configured counts as a batch queue with default settings.
func (t *Term) queuePolicy(name string) operator.Queue {
	cfg, _ := t.deps.Journal.State().Config()
	if cfg != nil {
		for _, q := range cfg.Queues {
			if q.Name == name {
				return q
			}
		}
	}
	return operator.Queue{Name: name, Class: operator.ClassBatch}
}

// jobWork describes all tasks of a job to the engine.
func jobWork(j *record.Job, q operator.Queue, now time.Duration) placement.Work {
	w := placement.Work{
		ID:          j.ID,
		Team:        j.Team,
		Queue:       j.Queue,
		Class:       placementClass(q.Class),
		Priority:    q.Priority,
		Gang:        j.Gang,
		Size:        engineSize(jobSize(j)),
		Runner:      j.Slots > 0 && j.MilliCores == 0,
		Idempotent:  j.Idempotent,
		Preemptible: q.Preemptible,
		Enqueued:    now,
		RunTime:     milliseconds(j.RunTimeMS),
	}
	for index := range j.Inputs {
		w.Tasks = append(w.Tasks, taskKey(j.ID, index))
	}
	return w
}

// CancelJob cancels every unfinished task of a job of the given team.
func (t *Term) CancelJob(id, team string) *problem.Problem {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.jobs[id]
	if state == nil || state.spec.Team != team {
		return problem.Refuse(problem.UnknownJob, "check the job id and the key", "no open job %q of the team", id)
	}
	for _, u := range state.units {
		t.cancel(u)
	}
	return nil
}

// TaskEndpoint returns the id of the endpoint that a task of a job is placed on, or ""
// if there is none; waiting is true if the task is known and not placed.
func (t *Term) TaskEndpoint(jobID string, index int) (endpointID string, waiting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.units[taskKey(jobID, index)]
	if u == nil {
		return "", false
	}
	if u.session != nil {
		return u.session.id, false
	}
	return "", true
}
