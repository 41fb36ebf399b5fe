package holder

import (
	"fmt"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// phase is where a unit stands on its way to an outcome.
type phase int

const (
	// phaseHeld waits until it is known what the previous term's endpoints run.
	phaseHeld phase = iota
	phaseWaiting
	// phaseStarting has been sent to an endpoint that has not confirmed it.
	phaseStarting
	phaseRunning
	phaseFinal
)

// unit is one task to be run: a request, or one task of a durable job.
type unit struct {
	// key is the ticket, or the job's id and the task's index.
	key string
	// work is the id of the engine's work that the unit belongs to.
	work        string
	spec        endpoint.TaskSpec
	class       placement.Class
	priority    int
	preemptible bool
	retryBudget int
	keyID       string
	runTime     time.Duration

	phase    phase
	attempts int
	failures int
	// barred is set for a ticket that was refused before it was known here.
	barred bool
	// ran is set once any attempt may have run.
	ran      bool
	session  *session
	answer   assembly
	enqueued time.Duration
	// begun is when the current attempt was sent.
	begun time.Duration
	// until is the latest deadline of those who wait, 0 if there is none.
	until time.Duration

	// request is nil for tasks of jobs, job is nil for requests.
	request *request
	job     *jobState
	// cancelled asks for the outcome "cancelled" once the task has stopped.
	cancelled bool
}

// attemptID names the next attempt of the unit under an epoch.
func (u *unit) attemptID(epoch uint64) string {
	u.attempts++
	return fmt.Sprintf("%s#%d.%d", u.key, epoch, u.attempts)
}

// keyOf returns the unit key in an attempt id.
func keyOf(attemptID string) string {
	if i := strings.LastIndexByte(attemptID, '#'); i >= 0 {
		return attemptID[:i]
	}
	return attemptID
}

// engineWork describes the unit alone as work for the engine.
func (u *unit) engineWork() placement.Work {
	return placement.Work{
		ID:          u.work,
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

// engineRunning describes the unit as a task that runs on an endpoint.
func (u *unit) engineRunning(endpointID string, now time.Duration) placement.RunningTask {
	return placement.RunningTask{
		Task:        u.key,
		Work:        u.work,
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

// engineSize converts a task's size. Every task takes one slot, which bounds
// the tasks of an endpoint whatever their size.
func engineSize(r endpoint.Resources) placement.Resources {
	return placement.Resources{
		MilliCores:   r.MilliCores,
		MemoryMB:     r.MemoryMB,
		Accelerators: r.Accelerators,
		Slots:        1,
	}
}

// assembly collects the parts of an answer, which come in any order and more
// than once.
type assembly struct {
	parts map[int][]byte
	want  int
	state endpoint.TaskState
	// reason explains a failure.
	reason string
}

// add takes in an event and reports whether the answer is now whole.
func (a *assembly) add(e endpoint.Event) bool {
	if e.State != endpoint.TaskRunning && e.State != "" {
		a.state, a.want, a.reason = e.State, e.Parts, e.Reason
	}
	if len(e.Data) > 0 || e.Part < e.Parts {
		if a.parts == nil {
			a.parts = make(map[int][]byte)
		}
		a.parts[e.Part] = e.Data
	}
	return a.whole()
}

// whole reports whether the task has ended and all its parts are here.
func (a *assembly) whole() bool {
	if a.state == "" {
		return false
	}
	if a.state != endpoint.TaskDone {
		return true
	}
	for i := range a.want {
		if _, ok := a.parts[i]; !ok {
			return false
		}
	}
	return true
}

// bytes joins the parts in order.
func (a *assembly) bytes() []byte {
	var out []byte
	for i := range a.want {
		out = append(out, a.parts[i]...)
	}
	return out
}

// Result is the outcome of a request.
type Result struct {
	// Output is the whole answer if Problem is nil.
	Output []byte
	// Problem says why there is no answer.
	Problem *problem.Problem
	// Queued is how long the request waited for its start.
	Queued time.Duration
}

// failed is a result without an answer.
func failed(p *problem.Problem) Result { return Result{Problem: p} }

// verdict of the result.
func (r Result) verdict() problem.Verdict {
	if r.Problem == nil {
		return problem.Done
	}
	return r.Problem.Verdict
}
