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

// jobState is an open durable job of the zone. The term's lock guards it.
type jobState struct {
	spec  record.Job
	units map[int]*unit
	// acks lets the endpoint forget a task once its outcome is in the log.
	acks map[int]func()
}

// jobEntry is a submission that waits for its group commit.
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

// maxWaitingTasks bounds the tasks of jobs that wait in one zone.
const maxWaitingTasks = 100_000

// JobID derives a job's id from the ticket of its submission, so that the same
// submission is the same job wherever and however often it is made.
func JobID(ticketText string) string { return "j-" + ticketText }

// SubmitJob accepts a job once its record counts in the log, and returns its
// id. Submitting the same ticket again returns the same job.
func (t *Term) SubmitJob(ctx context.Context, j record.Job, queue operator.Queue) (string, *problem.Problem) {
	j.Digest = jobDigest(&j)
	if known, ok := t.deps.Journal.State().JobByTicket(j.Team, j.Ticket); ok {
		return known.Spec.ID, sameJob(&known.Spec, &j)
	}
	if err := job.Validate(&j); err != nil {
		return "", problem.Refuse(problem.BadRequest, "correct the job and submit it again", "%v", err)
	}
	if p := t.refuseJob(&j, queue); p != nil {
		return "", p
	}
	entry := jobEntry{job: j, done: make(chan error, 1)}
	t.jobLog.add(entry)
	select {
	case err := <-entry.done:
		return j.ID, t.acceptance(&j, err)
	case <-ctx.Done():
	case <-t.tomb.Dying():
	}
	return "", problem.UnknownOutcome(problem.LogOutcomeUnknown, "submit it again with the same ticket", "the log did not confirm the job in time")
}

// acceptance converts the outcome of a group commit. What stands in the log
// under the ticket may be another job, submitted at the same time.
func (t *Term) acceptance(j *record.Job, err error) *problem.Problem {
	if err != nil {
		return problem.From(err, problem.Unknown)
	}
	if known, ok := t.deps.Journal.State().Job(j.ID); ok {
		return sameJob(&known.Spec, j)
	}
	return nil
}

// jobDigest identifies a job by what it asks for.
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

// jobDigestBytes is the length of the digest that the log keeps of a job.
const jobDigestBytes = 16

// sameJob refuses a ticket that was used for another job.
func sameJob(known, j *record.Job) *problem.Problem {
	if len(known.Digest) == 0 || bytes.Equal(known.Digest, j.Digest) {
		return nil
	}
	return problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another job", "the ticket belongs to a different job, which may have run")
}

// refuseJob says why a job can't be taken.
func (t *Term) refuseJob(j *record.Job, queue operator.Queue) *problem.Problem {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.draining(); p != nil {
		return p
	}
	if j.Slots <= 0 && j.MilliCores <= 0 {
		return problem.Refuse(problem.BadRequest, "state the milli_cores that each task needs", "a task of no size can't be placed")
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

// commitJobs appends one group of jobs.
func (t *Term) commitJobs(group []jobEntry) (again []jobEntry) {
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

// jobError says what became of one job of a group.
func jobError(id string, effect cell.Effect, err error) error {
	switch {
	case err != nil:
		return appendProblem(err)
	case !effect.Valid:
		return problem.Refuse(problem.Moved, "submit it again with a new ticket", "the zone's holder changed: %s", effect.Reason)
	case effect.Rejected[id] != nil:
		return rejectedJob(effect.Rejected[id])
	}
	return nil
}

// rejectedJob explains a job that the log's rules refused. One that stands in
// the log already has been accepted.
func rejectedJob(err error) error {
	if record.IsDuplicate(err) {
		return nil
	}
	return problem.Refuse(problem.BadRequest, "correct the job and submit it again", "%v", err)
}

// observeJobs takes in jobs and outcomes from the log.
func (t *Term) observeJobs(effect cell.Effect) {
	switch {
	case effect.Zone != t.settings.AvailabilityZone:
	case effect.Kind == record.KindJobs:
		for _, j := range effect.Envelope.Jobs.Jobs {
			t.observeJob(j.ID)
		}
	case effect.Kind == record.KindOutcomes:
		for _, o := range effect.Envelope.Outcomes.Outcomes {
			t.acknowledge(o)
		}
	}
}

// observeJob starts a job that a record of this term has just accepted. The
// state decides: the record may hold the job twice, or may be a later copy.
func (t *Term) observeJob(id string) {
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

// enqueueJob hands a whole job to the engine.
func (t *Term) enqueueJob(state *jobState) {
	j := &state.spec
	t.noteTeam(j.Team)
	for _, u := range state.units {
		u.work = j.ID
		u.phase = phaseWaiting
		t.backlog.add(u)
	}
	t.engine.Submit(jobWork(j, t.queue(j.Queue), t.now()))
	t.kick()
}

// untouched reports whether no task of the job has begun or ended.
func (s *jobState) untouched() bool {
	for _, u := range s.units {
		if u.phase != phaseHeld || u.cancelled {
			return false
		}
	}
	return len(s.units) == len(s.spec.Inputs)
}

// inheritJob holds the unfinished tasks of a job from an earlier term.
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

// newJob registers a job.
func (t *Term) newJob(j *record.Job) *jobState {
	state := &jobState{spec: *j, units: make(map[int]*unit), acks: make(map[int]func())}
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
	u.work = u.key
	u.applyQueue(t.queue(j.Queue))
	state.units[index] = u
	t.units[u.key] = u
}

// taskKey names one task of a job.
func taskKey(jobID string, index int) string { return fmt.Sprintf("%s/%d", jobID, index) }

// jobSize is the size of each task of a job.
func jobSize(j *record.Job) endpoint.Resources {
	return endpoint.Resources{
		MilliCores:   j.MilliCores,
		MemoryMB:     j.MemoryMB,
		Accelerators: j.Accelerators,
		Slots:        j.Slots,
	}
}

// queue returns the policy of a queue; one that is no longer configured gets
// that of an ordinary batch queue.
func (t *Term) queue(name string) operator.Queue {
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

// jobWork describes a job to the engine.
func jobWork(j *record.Job, q operator.Queue, now time.Duration) placement.Work {
	w := placement.Work{
		ID:          j.ID,
		Team:        j.Team,
		Queue:       j.Queue,
		Class:       classOf(q.Class),
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

// CancelJob cancels every unfinished task of a job.
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

// TaskEndpoint returns the endpoint that runs a task at present, or "".
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
