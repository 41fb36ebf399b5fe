package api

import (
	"encoding/json"
	"net/http"
	"time"

	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/uptrace/bunrouter"
	"google.golang.org/protobuf/proto"
)

const (
	// maxMilliCores, maxMemoryMB and maxAccelerators bound the size of a task.
	// No real worker is larger.
	maxMilliCores   = 1 << 20
	maxMemoryMB     = 1 << 26
	maxAccelerators = 1 << 10
	// maxRunTime bounds a declared run time.
	maxRunTime = 30 * 24 * time.Hour
	// watchPollInterval is the interval at which the state of a watched job is
	// read.
	watchPollInterval = 100 * time.Millisecond
)

// jobBody is the request that submits a job.
type jobBody struct {
	Ticket     string   `json:"ticket,omitempty"`
	Command    string   `json:"command"`
	Inputs     [][]byte `json:"inputs"`
	Gang       bool     `json:"gang,omitempty"`
	Idempotent *bool    `json:"idempotent,omitempty"`
	Size       sizeBody `json:"size"`
	RunTimeMS  int64    `json:"run_time_ms,omitempty"`
}

// sizeBody is the size of each task of a job.
type sizeBody struct {
	MilliCores   int64 `json:"milli_cores"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// acceptedBody is the response to an accepted job.
type acceptedBody struct {
	Job string `json:"job"`
}

// jobStatusBody is the state of a job in responses.
type jobStatusBody struct {
	Job   string           `json:"job"`
	Team  string           `json:"team"`
	Queue string           `json:"queue"`
	State string           `json:"state"`
	Tasks []taskStatusBody `json:"tasks"`
}

// taskStatusBody is the state of one task of a job.
type taskStatusBody struct {
	Index    int32  `json:"index"`
	State    string `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
	Output   []byte `json:"output,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// newJobStatusBody converts the state of a job for a response.
func newJobStatusBody(m *peerv1.JobStatusResponse) jobStatusBody {
	out := jobStatusBody{Job: m.Job, Team: m.Team, Queue: m.Queue, State: m.State, Tasks: []taskStatusBody{}}
	for _, t := range m.Tasks {
		out.Tasks = append(out.Tasks, taskStatusBody{Index: t.Index, State: t.State, Endpoint: t.Endpoint, Output: t.Output, Reason: t.Reason})
	}
	return out
}

// postJob accepts a durable job.
func (a *API) postJob(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	body, p := a.readBody(w, r.Request)
	if p != nil {
		return "", p
	}
	var job jobBody
	if err := json.Unmarshal(body, &job); err != nil {
		return "", problem.Refuse(problem.BadRequest, "send a job as JSON", "the body is not a job: %v", err)
	}
	grant, p := a.guard.Admit(bearerToken(r.Request), r.Param("queue"))
	if p == nil {
		p = job.validate(grant.Queue.Runner)
	}
	if p != nil {
		return job.Ticket, adjustJobVerdict(p, job.Ticket)
	}
	t, p := a.jobTicket(r, &job)
	if p != nil {
		a.observe(r, grant, p)
		return job.Ticket, p
	}
	idempotent := grant.Queue.Idempotent
	if job.Idempotent != nil {
		idempotent = *job.Idempotent
	}
	id, p := a.router.SubmitJob(r.Context(), t, &peerv1.SubmitJobRequest{
		Team:       grant.Team,
		Queue:      grant.Queue.Name,
		KeyId:      grant.KeyID,
		Idempotent: idempotent,
		Gang:       job.Gang,
		Command:    job.Command,
		Inputs:     job.Inputs,
		Size:       job.size(grant.Queue.Runner),
		RunTimeMs:  job.RunTimeMS,
	})
	a.observe(r, grant, p)
	if p != nil {
		return t.String(), p
	}
	w.Header().Set(HeaderTicket, t.String())
	writeJSON(w, http.StatusAccepted, acceptedBody{Job: id})
	return t.String(), nil
}

// adjustJobVerdict changes the verdict of a refused job with a valid ticket from
// NotRun to Unknown, since an earlier submission with the same ticket may have
// been accepted.
func adjustJobVerdict(p *problem.Problem, ticketText string) *problem.Problem {
	if _, err := ticket.Parse(ticketText); err != nil || p.Verdict != problem.NotRun {
		return p
	}
	adjusted := *p
	adjusted.Verdict = problem.Unknown
	return &adjusted
}

// jobTicket returns the caller's ticket, or a new one if the job has none.
func (a *API) jobTicket(r bunrouter.Request, job *jobBody) (ticket.Ticket, *problem.Problem) {
	if job.Ticket == "" {
		return a.router.NewTicket(r.Context())
	}
	t, err := ticket.Parse(job.Ticket)
	if err != nil {
		return t, problem.From(err, problem.NotRun)
	}
	return t, nil
}

// size returns the size of each task. A task of a service runner takes one slot.
func (j *jobBody) size(runner bool) *peerv1.Size {
	if runner {
		return &peerv1.Size{Slots: 1}
	}
	return &peerv1.Size{
		MilliCores:   j.Size.MilliCores,
		MemoryMb:     j.Size.MemoryMB,
		Accelerators: j.Size.Accelerators,
	}
}

// validate refuses an invalid job. The tasks of service runners need no size.
func (j *jobBody) validate(runner bool) *problem.Problem {
	const remedy = "correct the job and submit it again"
	switch {
	case j.Command == "":
		return problem.Refuse(problem.BadRequest, remedy, "no command is given")
	case len(j.Inputs) == 0:
		return problem.Refuse(problem.BadRequest, remedy, "inputs is empty; each input makes one task")
	case !runner && j.Size.MilliCores == 0:
		return problem.Refuse(problem.BadRequest, remedy, "size.milli_cores is missing; state what each task needs")
	case j.Size.MilliCores < 0 || j.Size.MilliCores > maxMilliCores:
		return problem.Refuse(problem.BadRequest, remedy, "milli_cores %d is not from 0 to %d", j.Size.MilliCores, maxMilliCores)
	case j.Size.MemoryMB < 0 || j.Size.MemoryMB > maxMemoryMB:
		return problem.Refuse(problem.BadRequest, remedy, "memory_mb %d is not from 0 to %d", j.Size.MemoryMB, maxMemoryMB)
	case j.Size.Accelerators < 0 || j.Size.Accelerators > maxAccelerators:
		return problem.Refuse(problem.BadRequest, remedy, "accelerators %d is not from 0 to %d", j.Size.Accelerators, maxAccelerators)
	case j.RunTimeMS < 0 || j.RunTimeMS > maxRunTime.Milliseconds():
		return problem.Refuse(problem.BadRequest, remedy, "run_time_ms %d is not from 0 to %d", j.RunTimeMS, maxRunTime.Milliseconds())
	}
	return nil
}

// getJob answers with the state of a job of the caller's team.
func (a *API) getJob(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	team, _, p := a.guard.Team(bearerToken(r.Request))
	if p != nil {
		return "", p
	}
	status, p := a.router.Job(r.Context(), r.Param("job"), team)
	if p != nil {
		return "", p
	}
	writeJSON(w, http.StatusOK, newJobStatusBody(status))
	return "", nil
}

// listJobs lists the open jobs of the caller's team.
func (a *API) listJobs(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	team, _, p := a.guard.Team(bearerToken(r.Request))
	if p != nil {
		return "", p
	}
	out := []jobStatusBody{}
	for _, status := range a.router.Jobs(team) {
		out = append(out, newJobStatusBody(status))
	}
	writeJSON(w, http.StatusOK, out)
	return "", nil
}

// watchJob streams the changes of a job's state as JSON lines until the job has
// finished, the caller has gone or the daemon begins to shut down.
func (a *API) watchJob(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	team, _, p := a.guard.Team(bearerToken(r.Request))
	if p != nil {
		return "", p
	}
	id := r.Param("job")
	status, p := a.router.Job(r.Context(), id, team)
	if p != nil {
		return "", p
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	var sent *peerv1.JobStatusResponse
	for {
		written := proto.Equal(sent, status) || writeLine(w, status)
		if !written || status.State != "running" || a.shutdown.Leaving() {
			return "", nil
		}
		sent = status
		select {
		case <-r.Context().Done():
			return "", nil
		case <-time.After(watchPollInterval):
		}
		if next, p := a.router.Job(r.Context(), id, team); p == nil {
			status = next
		}
	}
}

// writeLine writes a job's state as one JSON line. It returns false if the
// caller has disconnected.
func writeLine(w http.ResponseWriter, status *peerv1.JobStatusResponse) bool {
	if json.NewEncoder(w).Encode(newJobStatusBody(status)) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// deleteJob cancels a job of the caller's team.
func (a *API) deleteJob(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	team, _, p := a.guard.Team(bearerToken(r.Request))
	if p != nil {
		return "", p
	}
	if p := a.router.CancelJob(r.Context(), r.Param("job"), team); p != nil {
		return "", p
	}
	w.WriteHeader(http.StatusNoContent)
	return "", nil
}
