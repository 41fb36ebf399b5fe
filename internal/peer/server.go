package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/gen/peer/v1/peerv1connect"
	"github.com/bluebellstile/bluebellstile/internal/holder"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/bluebellstile/bluebellstile/operator"
)

const (
	// maxTailRecords is the largest number of records in one relayed page.
	maxTailRecords = 512
	// maxTailWait is the longest time that a relayed read waits for records.
	maxTailWait = 2 * time.Second
)

// CurrentTerm returns the term that runs in this daemon, or nil if none does.
type CurrentTerm func() *holder.Term

// EndedTerm returns the ended term of this daemon that had the given epoch, or nil
// if it is no longer kept. An ended term can still answer queries about its tickets.
type EndedTerm func(epoch uint64) *holder.Term

// Server serves the calls of other daemons.
type Server struct {
	peerv1connect.UnimplementedPeerServiceHandler
	heartbeater *Heartbeater
	table       *membership.Table
	journal     *journal.Journal
	term        CurrentTerm
	ended       EndedTerm
	zone        string
	// jobs reads jobs from the local state.
	jobs JobReader
}

// JobReader returns the status of a team's job, or a problem if it can't be read.
type JobReader func(id, team string) (*peerv1.JobStatusResponse, *problem.Problem)

// NewServer returns a server for a daemon of the given zone.
func NewServer(heartbeater *Heartbeater, table *membership.Table, j *journal.Journal, term CurrentTerm, ended EndedTerm, zone string, jobs JobReader) *Server {
	return &Server{heartbeater: heartbeater, table: table, journal: j, term: term, ended: ended, zone: zone, jobs: jobs}
}

// Handler returns the path prefix and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return peerv1connect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// Heartbeat records a received heartbeat and responds with this daemon's own. The
// proofs of freshness in the request are ignored, since the request may have been in
// flight for any length of time; only those in a response count.
func (s *Server) Heartbeat(_ context.Context, r *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	m := r.Msg
	s.table.RecordHeartbeat(membership.Heartbeat{
		Instance:         m.Instance,
		Incarnation:      m.Incarnation,
		AvailabilityZone: m.AvailabilityZone,
		Address:          m.Address,
		Applied:          m.Applied,
		FreshAgeMS:       -1,
		AllZonesAgeMS:    -1,
		Leaving:          m.Leaving,
		Claims:           m.Claims,
	}, time.Now())
	b := s.heartbeater.Compose()
	return connect.NewResponse(&peerv1.HeartbeatResponse{
		Instance:         b.Instance,
		Incarnation:      b.Incarnation,
		AvailabilityZone: b.AvailabilityZone,
		Applied:          b.Applied,
		FreshAgeMs:       b.FreshAgeMS,
		FreshOffset:      b.FreshOffset,
		Leaving:          b.Leaving,
		Claims:           b.Claims,
		AllZonesAgeMs:    b.AllZonesAgeMS,
	}), nil
}

// notHolder returns the problem with which a daemon refuses a call that only the
// zone's holder can serve.
func (s *Server) notHolder(zone string) *problem.Problem {
	return problem.Refuse(problem.Moved, "ask the zone's current holder", "this daemon does not hold zone %q", zone)
}

// heldTerm returns the running term if this daemon holds the zone, or nil.
func (s *Server) heldTerm(zone string) *holder.Term {
	if zone != s.zone {
		return nil
	}
	return s.term()
}

// Run runs a forwarded request on the zone's term or, if the request asks for it,
// bars its ticket. If no term runs, an ended term of the request's epoch answers.
func (s *Server) Run(ctx context.Context, r *connect.Request[peerv1.RunRequest]) (*connect.Response[peerv1.RunResponse], error) {
	term := s.heldTerm(r.Msg.AvailabilityZone)
	if term == nil && r.Msg.AvailabilityZone == s.zone {
		term = s.ended(r.Msg.Epoch)
	}
	if term == nil {
		return connect.NewResponse(runProblem(s.notHolder(r.Msg.AvailabilityZone))), nil
	}
	if r.Msg.Bar {
		return connect.NewResponse(barTicket(ctx, term, r.Msg)), nil
	}
	request, err := s.requestFromWire(r.Msg)
	if err != nil {
		return connect.NewResponse(runProblem(problem.From(err, problem.NotRun))), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Msg.DeadlineMs)*time.Millisecond)
	defer cancel()
	return connect.NewResponse(RunOnTerm(ctx, term, request)), nil
}

// barTicket bars a ticket, so that its request never runs. The verdict is unknown if
// the request may have run already.
func barTicket(ctx context.Context, term *holder.Term, m *peerv1.RunRequest) *peerv1.RunResponse {
	t, err := ticket.Parse(m.Ticket)
	if err != nil {
		return runProblem(problem.From(err, problem.NotRun))
	}
	if !term.BarTicket(ctx, t, m.NotStartedEpoch) {
		return &peerv1.RunResponse{Verdict: peerv1.Verdict_VERDICT_UNKNOWN, Epoch: term.Epoch(), NotStartedEpoch: term.TicketNotStartedThrough(t)}
	}
	return &peerv1.RunResponse{Verdict: peerv1.Verdict_VERDICT_NOT_RUN, Epoch: term.Epoch()}
}

// RunOnTerm runs a request on a term of this daemon and converts its result.
func RunOnTerm(ctx context.Context, term *holder.Term, request *holder.Request) *peerv1.RunResponse {
	result := term.Run(ctx, request)
	if result.Problem == nil {
		return &peerv1.RunResponse{
			Verdict:  peerv1.Verdict_VERDICT_DONE,
			Output:   result.Output,
			QueuedMs: result.Queued.Milliseconds(),
			Epoch:    term.Epoch(),
		}
	}
	response := runProblem(result.Problem)
	response.Epoch = term.Epoch()
	if result.Problem.Code == problem.Moved && result.Problem.Verdict == problem.NotRun {
		response.NotStartedEpoch = term.NotStartedThrough(request)
	}
	return response
}

// runProblem returns the response to a request that a problem ended.
func runProblem(p *problem.Problem) *peerv1.RunResponse {
	verdict, body := ProblemToWire(p)
	return &peerv1.RunResponse{Verdict: verdict, Problem: body}
}

// requestFromWire converts a request. It takes the queue's policy from the
// configuration that is active in this daemon.
func (s *Server) requestFromWire(m *peerv1.RunRequest) (*holder.Request, error) {
	parsed, err := ticket.Parse(m.Ticket)
	if err != nil {
		return nil, err
	}
	queue, ok := s.queue(m.Queue)
	if !ok {
		return nil, problem.Refuse(problem.UnknownQueue, "retry when the configuration is in force in every zone", "queue %q is not known in zone %q", m.Queue, s.zone)
	}
	return &holder.Request{
		Ticket:          parsed,
		Team:            m.Team,
		Queue:           queue,
		KeyID:           m.KeyId,
		Idempotent:      m.Idempotent,
		Command:         m.Command,
		Input:           m.Input,
		Size:            SizeFromWire(m.Size),
		NotStartedEpoch: m.NotStartedEpoch,
		Sole:            m.Sole,
	}, nil
}

// queue returns a queue of the active configuration, and false if there is none of
// that name.
func (s *Server) queue(name string) (operator.Queue, bool) {
	cfg, _ := s.journal.State().Config()
	if cfg == nil {
		return operator.Queue{}, false
	}
	for _, q := range cfg.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return operator.Queue{}, false
}

// SizeFromWire converts a size from the wire protocol; nil gives the empty size.
func SizeFromWire(m *peerv1.Size) endpoint.Resources {
	return endpoint.Resources{
		MilliCores:   m.GetMilliCores(),
		MemoryMB:     m.GetMemoryMb(),
		Accelerators: m.GetAccelerators(),
		Slots:        m.GetSlots(),
	}
}

// SizeToWire converts a size to the wire protocol.
func SizeToWire(r endpoint.Resources) *peerv1.Size {
	return &peerv1.Size{
		MilliCores:   r.MilliCores,
		MemoryMb:     r.MemoryMB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
	}
}

// SubmitJob submits a forwarded job to the zone's term.
func (s *Server) SubmitJob(ctx context.Context, r *connect.Request[peerv1.SubmitJobRequest]) (*connect.Response[peerv1.SubmitJobResponse], error) {
	term := s.heldTerm(r.Msg.AvailabilityZone)
	if term == nil {
		return connect.NewResponse(submitProblem(s.notHolder(r.Msg.AvailabilityZone))), nil
	}
	queue, ok := s.queue(r.Msg.Queue)
	if !ok {
		return connect.NewResponse(submitProblem(problem.Refuse(problem.UnknownQueue, "retry when the configuration is in force in every zone", "queue %q is not known in zone %q", r.Msg.Queue, s.zone))), nil
	}
	return connect.NewResponse(SubmitToTerm(ctx, term, r.Msg, queue)), nil
}

// SubmitToTerm submits a job to a term of this daemon.
func SubmitToTerm(ctx context.Context, term *holder.Term, m *peerv1.SubmitJobRequest, queue operator.Queue) *peerv1.SubmitJobResponse {
	id, p := term.SubmitJob(ctx, jobFromWire(m), queue)
	if p != nil {
		return submitProblem(p)
	}
	return &peerv1.SubmitJobResponse{Verdict: peerv1.Verdict_VERDICT_DONE, Job: id}
}

// submitProblem returns the response to a job that was not accepted.
func submitProblem(p *problem.Problem) *peerv1.SubmitJobResponse {
	verdict, body := ProblemToWire(p)
	return &peerv1.SubmitJobResponse{Verdict: verdict, Problem: body}
}

// jobFromWire converts a job submission to the record of the job.
func jobFromWire(m *peerv1.SubmitJobRequest) record.Job {
	return record.Job{
		ID:           holder.JobID(m.Ticket),
		Ticket:       m.Ticket,
		Team:         m.Team,
		Queue:        m.Queue,
		Command:      m.Command,
		Inputs:       m.Inputs,
		Idempotent:   m.Idempotent,
		Gang:         m.Gang,
		MilliCores:   m.Size.GetMilliCores(),
		MemoryMB:     m.Size.GetMemoryMb(),
		Accelerators: m.Size.GetAccelerators(),
		Slots:        m.Size.GetSlots(),
		RunTimeMS:    m.RunTimeMs,
	}
}

// Cancel cancels a job, or a request if the call names no job.
func (s *Server) Cancel(_ context.Context, r *connect.Request[peerv1.CancelRequest]) (*connect.Response[peerv1.CancelResponse], error) {
	term := s.heldTerm(r.Msg.AvailabilityZone)
	if term == nil {
		return connect.NewResponse(cancelResponse(s.notHolder(r.Msg.AvailabilityZone))), nil
	}
	if r.Msg.Job != "" {
		return connect.NewResponse(cancelResponse(term.CancelJob(r.Msg.Job, r.Msg.Team))), nil
	}
	return connect.NewResponse(cancelResponse(term.CancelRequest(r.Msg.Ticket, r.Msg.Team))), nil
}

// cancelResponse converts the outcome of a cancellation; nil means success.
func cancelResponse(p *problem.Problem) *peerv1.CancelResponse {
	if p == nil {
		return &peerv1.CancelResponse{Verdict: peerv1.Verdict_VERDICT_DONE}
	}
	verdict, body := ProblemToWire(p)
	return &peerv1.CancelResponse{Verdict: verdict, Problem: body}
}

// JobStatus returns the status of a job according to the local state.
func (s *Server) JobStatus(_ context.Context, r *connect.Request[peerv1.JobStatusRequest]) (*connect.Response[peerv1.JobStatusResponse], error) {
	status, p := s.jobs(r.Msg.Job, r.Msg.Team)
	if p != nil {
		_, body := ProblemToWire(p)
		status = &peerv1.JobStatusResponse{Problem: body}
	}
	return connect.NewResponse(status), nil
}

// Transfer transfers a part of a team's allotment in this zone to another zone.
// An allotment is the part of the team's upper limit that a zone may use.
func (s *Server) Transfer(ctx context.Context, r *connect.Request[peerv1.TransferRequest]) (*connect.Response[peerv1.TransferResponse], error) {
	term := s.heldTerm(r.Msg.FromZone)
	if term == nil {
		_, body := ProblemToWire(s.notHolder(r.Msg.FromZone))
		return connect.NewResponse(&peerv1.TransferResponse{Problem: body}), nil
	}
	granted, p := term.TransferAllotment(ctx, r.Msg.Team, r.Msg.ToZone, r.Msg.Amount)
	response := &peerv1.TransferResponse{Granted: granted}
	if p != nil {
		_, response.Problem = ProblemToWire(p)
	}
	return connect.NewResponse(response), nil
}

// Tail serves a relayed read of the log. It waits until the first requested record
// has been applied here, for at most maxTailWait, and fails with CodeOutOfRange if
// the records are no longer retained here.
func (s *Server) Tail(ctx context.Context, r *connect.Request[peerv1.TailRequest]) (*connect.Response[peerv1.TailResponse], error) {
	wait := min(time.Duration(r.Msg.WaitMs)*time.Millisecond, maxTailWait)
	if err := s.journal.WaitApplied(ctx, r.Msg.From, wait); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	first, _ := s.journal.Retained()
	response := &peerv1.TailResponse{FreshAgeMs: -1, First: first}
	if age, end, ok := s.journal.Fresh(); ok {
		response.FreshAgeMs, response.End = age.Milliseconds()+1, end
	}
	if s.journal.State().Applied() < r.Msg.From {
		return connect.NewResponse(response), nil
	}
	records, ok := s.journal.Recent(r.Msg.From, min(max(int(r.Msg.Limit), 0), maxTailRecords))
	if !ok {
		return nil, connect.NewError(connect.CodeOutOfRange, errNotRetained)
	}
	for _, rec := range records {
		response.Records = append(response.Records, &peerv1.LogRecord{Offset: rec.Offset, Id: rec.ID, Data: rec.Data})
	}
	return connect.NewResponse(response), nil
}

// ZoneStatus describes the zone's term and how far this daemon has read the log.
func (s *Server) ZoneStatus(_ context.Context, r *connect.Request[peerv1.ZoneStatusRequest]) (*connect.Response[peerv1.ZoneStatusResponse], error) {
	_, version := s.journal.State().Config()
	response := &peerv1.ZoneStatusResponse{
		AvailabilityZone: s.zone,
		ConfigVersion:    version,
		Applied:          s.journal.State().Applied(),
	}
	term := s.heldTerm(r.Msg.AvailabilityZone)
	if term == nil {
		_, response.Problem = ProblemToWire(s.notHolder(r.Msg.AvailabilityZone))
		return connect.NewResponse(response), nil
	}
	response.Epoch = term.Epoch()
	term.FillStatus(response)
	return connect.NewResponse(response), nil
}
