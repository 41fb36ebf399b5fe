package holder

import (
	"fmt"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// phase is the stage of a unit between its creation and its outcome.
type phase int

const (
	// phaseHeld is the phase until it is known what endpoints of previous terms run,
	// and that of a unit which has been withdrawn from the engine.
	phaseHeld phase = iota
	// phaseWaiting is the phase of a unit that the engine has queued.
	phaseWaiting
	// phaseStarting is the phase from the start command until the endpoint confirms it.
	phaseStarting
	// phaseRunning is the phase of a unit that an endpoint has started.
	phaseRunning
	// phaseFinal is the phase of a unit that has its result.
	phaseFinal
)

// unit is one task to be run: a request, or one task of a durable job. Each start of it
// on an endpoint is an attempt with an id of its own.
type unit struct {
	// key is the ticket, or the job's id and the task's index.
	key string
	// workID is the id of the engine's work that the unit belongs to.
	workID      string
	spec        endpoint.TaskSpec
	class       placement.Class
	priority    int
	preemptible bool
	// retryBudget is how many failed attempts are repeated; 0 unless the unit is idempotent.
	retryBudget int
	keyID       string
	runTime     time.Duration

	phase phase
	// attempts counts the attempts of this term, failures those that ended as failed.
	attempts int
	failures int
	// closing is set for a closed ticket, whose request was never queued.
	closing ticketClosing
	// mayHaveRun is set once any attempt may have run.
	mayHaveRun bool
	// session is the session of the endpoint that the unit is placed on, or nil.
	session  *session
	answer   answerAssembly
	enqueued time.Duration
	// sentAt is when the current attempt was queued for its endpoint, on the term's clock.
	sentAt time.Duration
	// deadline is the latest deadline of the waiters on the term's clock, 0 if there is none.
	deadline time.Duration

	// request is nil for tasks of jobs, job is nil for requests.
	request *requestState
	job     *jobState
	// cancelled is set to settle the unit as cancelled once its task has stopped.
	cancelled bool
}

// nextAttemptID counts a new attempt and returns its id.
func (u *unit) nextAttemptID(epoch uint64) string {
	u.attempts++
	return fmt.Sprintf("%s#%d.%d", u.key, epoch, u.attempts)
}

// unitKeyOf returns the unit key that an attempt id contains.
func unitKeyOf(attemptID string) string {
	if i := strings.LastIndexByte(attemptID, '#'); i >= 0 {
		return attemptID[:i]
	}
	return attemptID
}

// engineWork describes the unit to the engine as a work of one task.
func (u *unit) engineWork() placement.Work {
	return placement.Work{
		ID:          u.workID,
		Team:        u.spec.Team,
		Queue:       u.spec.Queue,
		Class:       u.class,
		Priority:    u.priority,
		Tasks:       []string{u.key},
		Size:        engineSize(u.spec.Size),
		Runner:      u.spec.Size.Slots > 0 && u.spec.Size.MilliCores == 0,
		Idempotent:  u.spec.Idempotent,
		Preemptible: u.preemptible,
		Enqueued:    u.enqueued,
		RunTime:     u.runTime,
	}
}

// engineRunning describes the unit to the engine as a task that runs on an endpoint.
func (u *unit) engineRunning(endpointID string, now time.Duration) placement.RunningTask {
	return placement.RunningTask{
		Task:        u.key,
		Work:        u.workID,
		Endpoint:    endpointID,
		Team:        u.spec.Team,
		Queue:       u.spec.Queue,
		Class:       u.class,
		Size:        engineSize(u.spec.Size),
		Idempotent:  u.spec.Idempotent,
		Preemptible: u.preemptible,
		Started:     now,
		RunTime:     u.runTime,
	}
}

// engineSize converts a task's size. Every task takes one slot, which bounds the tasks of
// an endpoint whatever their size.
func engineSize(r endpoint.Resources) placement.Resources {
	return placement.Resources{
		MilliCores:   r.MilliCores,
		MemoryMB:     r.MemoryMB,
		Accelerators: r.Accelerators,
		Slots:        1,
	}
}

// answerAssembly collects the parts of an answer, which may arrive in any order and more
// than once.
type answerAssembly struct {
	parts map[int][]byte
	// partCount and state are set by the event that ends the task.
	partCount int
	state     endpoint.TaskState
	// reason explains a failure.
	reason string
}

// add stores an event's part and reports whether the answer is now complete.
func (a *answerAssembly) add(e endpoint.Event) bool {
	if e.State != endpoint.TaskRunning && e.State != "" {
		a.state, a.partCount, a.reason = e.State, e.Parts, e.Reason
	}
	if len(e.Data) > 0 || e.Part < e.Parts {
		if a.parts == nil {
			a.parts = make(map[int][]byte)
		}
		a.parts[e.Part] = e.Data
	}
	return a.complete()
}

// complete reports whether the task has ended and, if it succeeded, all its parts have arrived.
func (a *answerAssembly) complete() bool {
	if a.state == "" {
		return false
	}
	if a.state != endpoint.TaskDone {
		return true
	}
	for i := range a.partCount {
		if _, ok := a.parts[i]; !ok {
			return false
		}
	}
	return true
}

// bytes returns the parts joined in order.
func (a *answerAssembly) bytes() []byte {
	var out []byte
	for i := range a.partCount {
		out = append(out, a.parts[i]...)
	}
	return out
}

// Result is the outcome of a request.
type Result struct {
	// Output is the complete answer if Problem is nil.
	Output []byte
	// Problem is the reason for which there is no answer.
	Problem *problem.Problem
	// Queued is how long the request waited for its start.
	Queued time.Duration
}

// problemResult returns a result without an answer.
func problemResult(p *problem.Problem) Result { return Result{Problem: p} }

// verdict returns the verdict of the result.
func (r Result) verdict() problem.Verdict {
	if r.Problem == nil {
		return problem.Done
	}
	return r.Problem.Verdict
}
