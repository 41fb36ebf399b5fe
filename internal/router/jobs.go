package router

import (
	"context"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/pkg/errors"
)

const (
	// submitTimeout bounds the submission of a job.
	submitTimeout = 10 * time.Second
	// cancelTimeout bounds a cancellation, and a status query to a job's holder.
	cancelTimeout = 5 * time.Second
	// jobPrefix precedes the ticket in a job id.
	jobPrefix = "j-"
)

// SubmitJob submits a job to the holder of its ticket's zone and returns the job
// id. A submission whose outcome is unknown is repeated with the same ticket,
// which can't create a second job.
func (r *Router) SubmitJob(ctx context.Context, t ticket.Ticket, m *peerv1.SubmitJobRequest) (string, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	m.Ticket, m.AvailabilityZone = t.String(), t.AvailabilityZone
	var last *problem.Problem
	for {
		id, p, sent := r.submitOnce(ctx, m)
		if p == nil {
			return id, nil
		}
		last = mergeProblem(last, p, sent)
		if p.Code != problem.Moved && p.Code != problem.LogOutcomeUnknown && p.Code != problem.NoHolder {
			return "", last
		}
		if !pause(ctx) {
			return "", last
		}
	}
}

// mergeProblem returns the problem to report after an attempt that failed with p.
// Once an attempt may have been accepted, the outcome stays unknown whatever
// later attempts return.
func mergeProblem(last, p *problem.Problem, sent bool) *problem.Problem {
	if last != nil && last.Verdict == problem.Unknown {
		return last
	}
	if p.Code == problem.NoHolder && sent {
		return problem.UnknownOutcome(problem.LogOutcomeUnknown, "submit it again with the same ticket", "the holder did not answer")
	}
	return p
}

// submitOnce makes one submission to the zone's current holder. sent is false if
// the request certainly did not reach it.
func (r *Router) submitOnce(ctx context.Context, m *peerv1.SubmitJobRequest) (id string, p *problem.Problem, sent bool) {
	claim, ok := r.state.Claim(m.AvailabilityZone)
	if !ok {
		return "", noHolder(m.AvailabilityZone), false
	}
	response, err := r.clients.To(r.holderAddress(claim)).SubmitJob(ctx, connect.NewRequest(m))
	if err != nil {
		metrics.PeerFailures.Add(1)
		return "", noHolder(m.AvailabilityZone), !peer.NotSent(err)
	}
	return response.Msg.Job, peer.ProblemFromWire(response.Msg.Verdict, response.Msg.Problem), true
}

// Job returns the status of a job. If the job is not in the local state of the
// log, the holder of the job's zone is asked.
func (r *Router) Job(ctx context.Context, id, team string) (*peerv1.JobStatusResponse, *problem.Problem) {
	if j, ok := r.state.Job(id); ok {
		if j.Spec.Team != team {
			return nil, unknownJob(id)
		}
		return r.jobStatus(j), nil
	}
	zone, err := zoneOfJob(id)
	claim, held := r.state.Claim(zone)
	if err != nil || !held || claim.Holder == r.self.HolderName() {
		return nil, unknownJob(id)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	response, err := r.clients.To(r.holderAddress(claim)).JobStatus(ctx, connect.NewRequest(&peerv1.JobStatusRequest{Job: id, Team: team, AvailabilityZone: zone}))
	if err != nil {
		return nil, problem.UnknownOutcome(problem.NoHolder, "retry after the hint", "the job's zone %q can't be reached", zone).WithRetryAfter(holderSilenceLimit)
	}
	if p := response.Msg.Problem; p != nil {
		return nil, unknownJob(id)
	}
	return response.Msg, nil
}

// unknownJob returns the problem for a job that does not exist or belongs to
// another team.
func unknownJob(id string) *problem.Problem {
	return problem.Refuse(problem.UnknownJob, "check the job id and the key", "the team has no job %q", id)
}

// zoneOfJob returns the availability zone that is encoded in a job id.
func zoneOfJob(id string) (string, error) {
	if len(id) <= len(jobPrefix) || id[:len(jobPrefix)] != jobPrefix {
		return "", errors.Errorf("%q is not a job id", id)
	}
	t, err := ticket.Parse(id[len(jobPrefix):])
	return t.AvailabilityZone, err
}

// LocalJob returns the status of a job from the local state of the log only.
func (r *Router) LocalJob(id, team string) (*peerv1.JobStatusResponse, *problem.Problem) {
	j, ok := r.state.Job(id)
	if !ok || j.Spec.Team != team {
		return nil, unknownJob(id)
	}
	return r.jobStatus(j), nil
}

// jobStatus returns the status of a job for callers. Running tasks have an endpoint
// only if this daemon holds the job's zone.
func (r *Router) jobStatus(j *job.Job) *peerv1.JobStatusResponse {
	out := &peerv1.JobStatusResponse{Job: j.Spec.ID, Team: j.Spec.Team, Queue: j.Spec.Queue, State: "running"}
	if j.Finished() {
		out.State = finishedState(j)
	}
	term := r.localTerm(j.Zone)
	for index := range j.Tasks {
		task := &peerv1.TaskState{Index: int32(index), State: "open"}
		if o, ended := j.Outcome(index); ended {
			task.State, task.Output, task.Reason = o.State, o.Output, o.Reason
		} else if term != nil {
			task.Endpoint, _ = term.TaskEndpoint(j.Spec.ID, index)
		}
		out.Tasks = append(out.Tasks, task)
	}
	return out
}

// finishedState returns the state of a finished job: "done" if all tasks are
// done, otherwise the state of the first task that is not.
func finishedState(j *job.Job) string {
	for index := range j.Tasks {
		if o, _ := j.Outcome(index); o.State != job.StateDone {
			return o.State
		}
	}
	return job.StateDone
}

// Jobs returns the status of a team's open jobs in all zones from the local state
// of the log.
func (r *Router) Jobs(team string) []*peerv1.JobStatusResponse {
	cfg, _ := r.state.Config()
	if cfg == nil {
		return nil
	}
	var out []*peerv1.JobStatusResponse
	for _, z := range cfg.Zones {
		for _, j := range r.state.OpenJobs(z.Name) {
			if j.Spec.Team == team {
				out = append(out, r.jobStatus(j))
			}
		}
	}
	return out
}

// Cancel cancels a job or a request at the holder of its zone. It retries for up
// to cancelTimeout while there is no holder or the zone's holder has changed.
func (r *Router) Cancel(ctx context.Context, m *peerv1.CancelRequest) *problem.Problem {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		p := r.cancelOnce(ctx, m)
		if p == nil || (p.Code != problem.Moved && p.Code != problem.NoHolder) || !pause(ctx) {
			return p
		}
	}
}

// cancelOnce sends one cancellation to the zone's current holder.
func (r *Router) cancelOnce(ctx context.Context, m *peerv1.CancelRequest) *problem.Problem {
	claim, ok := r.state.Claim(m.AvailabilityZone)
	if !ok {
		return noHolder(m.AvailabilityZone)
	}
	response, err := r.clients.To(r.holderAddress(claim)).Cancel(ctx, connect.NewRequest(m))
	if err != nil {
		return problem.UnknownOutcome(problem.NoHolder, "cancel it again", "the holder of zone %q did not answer", m.AvailabilityZone)
	}
	return peer.ProblemFromWire(response.Msg.Verdict, response.Msg.Problem)
}

// CancelJob cancels a job of a team.
func (r *Router) CancelJob(ctx context.Context, id, team string) *problem.Problem {
	zone, err := zoneOfJob(id)
	if err != nil {
		return unknownJob(id)
	}
	return r.Cancel(ctx, &peerv1.CancelRequest{Job: id, Team: team, AvailabilityZone: zone})
}

// CancelRequest cancels a team's request with the given ticket.
func (r *Router) CancelRequest(ctx context.Context, t ticket.Ticket, team string) *problem.Problem {
	return r.Cancel(ctx, &peerv1.CancelRequest{Ticket: t.String(), Team: team, AvailabilityZone: t.AvailabilityZone})
}

// RequestTransfer asks the holder of zone from to transfer up to amount of a
// team's allotment to this daemon's zone. It returns the amount granted.
func (r *Router) RequestTransfer(ctx context.Context, from, team string, amount int64) (int64, error) {
	claim, ok := r.state.Claim(from)
	if !ok {
		return 0, noHolder(from)
	}
	response, err := r.clients.To(r.holderAddress(claim)).Transfer(ctx, connect.NewRequest(&peerv1.TransferRequest{
		Team:     team,
		FromZone: from,
		ToZone:   r.self.AvailabilityZone,
		Amount:   amount,
	}))
	if err != nil {
		return 0, err
	}
	if p := peer.ProblemFromWire(peerv1.Verdict_VERDICT_NOT_RUN, response.Msg.Problem); p != nil {
		return 0, p
	}
	return response.Msg.Granted, nil
}
