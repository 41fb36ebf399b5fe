package fleetpeer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/dispatch"
	fleetv1 "github.com/bluebellstile/bluebellstile/internal/gen/fleet/v1"
	"github.com/bluebellstile/bluebellstile/internal/gen/fleet/v1/fleetv1connect"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
)

// Holder is the term that runs in this daemon while it is the holder.
type Holder interface {
	// Submit accepts a job. If both results are nil, the job is stored. After an
	// error other than ErrNotHolder and ErrNotSent, it may be stored.
	Submit(ctx context.Context, job *workload.Job, version int64) (*problem.Problem, error)
	// Status returns the state of a job, or "" if there certainly is none.
	Status(ctx context.Context, id workload.ID, customer string) (workload.State, error)
	// Cancel cancels a job. found is false if there certainly is none.
	Cancel(ctx context.Context, id workload.ID, customer string) (found bool, err error)
	// Waiting returns the number of a queue's jobs of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
}

// LocalDaemon is the daemon that serves the calls of other daemons.
type LocalDaemon interface {
	// Heartbeat returns the response to a heartbeat of another daemon. The name is
	// empty if the caller does not identify itself.
	Heartbeat(name, incarnation string) leadership.HeartbeatResponse
	// TakeOver claims the cell from the term with the epoch.
	TakeOver(ctx context.Context, epoch int64) (leadership.Claim, error)
	// Holder returns the term that runs here, or nil if there is none.
	Holder() Holder
	// Ask queries which of the endpoints may run a step.
	Ask(ctx context.Context, step string, endpoints []string) (controller.EligibilityAnswer, error)
	// Sender returns the sender, which executes orders for the holder.
	Sender() *dispatch.Sender
}

// NewHandler returns the path and handler of the daemon's service.
func NewHandler(local LocalDaemon) (string, http.Handler) {
	path, h := fleetv1connect.NewFleetServiceHandler(&server{local: local}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil))
	return path, boundBodies(h)
}

// boundBodies bounds the time in which a message must arrive.
func boundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(messageTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

type server struct{ local LocalDaemon }

// errNotHolder returns the wire form of ErrNotHolder.
func errNotHolder() error { return connect.NewError(connect.CodeFailedPrecondition, ErrNotHolder) }

// holderError returns the wire form of a failure of the holder. The call may or
// may not have taken effect.
func holderError(err error) error {
	if errors.Is(err, controller.ErrTermEnded) {
		return connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// Heartbeat implements the service.
func (s *server) Heartbeat(_ context.Context, r *connect.Request[fleetv1.HeartbeatRequest]) (*connect.Response[fleetv1.HeartbeatResponse], error) {
	b := s.local.Heartbeat(r.Msg.Name, r.Msg.Incarnation)
	return connect.NewResponse(&fleetv1.HeartbeatResponse{
		Incarnation: b.Incarnation,
		Epoch:       b.Epoch,
		Relieve:     b.Relieve,
		Claim:       claimToWire(b.Claim),
	}), nil
}

// TakeOver implements the service.
func (s *server) TakeOver(ctx context.Context, r *connect.Request[fleetv1.TakeOverRequest]) (*connect.Response[fleetv1.TakeOverResponse], error) {
	claim, err := s.local.TakeOver(ctx, r.Msg.Epoch)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&fleetv1.TakeOverResponse{Claim: claimToWire(claim)}), nil
}

// Submit implements the service.
func (s *server) Submit(ctx context.Context, r *connect.Request[fleetv1.SubmitRequest]) (*connect.Response[fleetv1.SubmitResponse], error) {
	h := s.local.Holder()
	if h == nil {
		return nil, errNotHolder()
	}
	id, ok := workload.ParseID(r.Msg.Id)
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("%q is not a job id", r.Msg.Id))
	}
	job, err := workload.DecodeAdmission(id, r.Msg.Admission)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	p, err := h.Submit(ctx, job, r.Msg.ConfigVersion)
	if err != nil {
		return nil, holderError(err)
	}
	return connect.NewResponse(&fleetv1.SubmitResponse{Problem: problemToWire(p)}), nil
}

// Status implements the service.
func (s *server) Status(ctx context.Context, r *connect.Request[fleetv1.StatusRequest]) (*connect.Response[fleetv1.StatusResponse], error) {
	h := s.local.Holder()
	if h == nil {
		return nil, errNotHolder()
	}
	state, err := h.Status(ctx, workload.ID(r.Msg.Id), r.Msg.Customer)
	if err != nil {
		return nil, holderError(err)
	}
	return connect.NewResponse(&fleetv1.StatusResponse{State: string(state)}), nil
}

// Cancel implements the service.
func (s *server) Cancel(ctx context.Context, r *connect.Request[fleetv1.CancelRequest]) (*connect.Response[fleetv1.CancelResponse], error) {
	h := s.local.Holder()
	if h == nil {
		return nil, errNotHolder()
	}
	found, err := h.Cancel(ctx, workload.ID(r.Msg.Id), r.Msg.Customer)
	if err != nil {
		return nil, holderError(err)
	}
	return connect.NewResponse(&fleetv1.CancelResponse{Found: found}), nil
}

// Waiting implements the service.
func (s *server) Waiting(ctx context.Context, r *connect.Request[fleetv1.WaitingRequest]) (*connect.Response[fleetv1.WaitingResponse], error) {
	h := s.local.Holder()
	if h == nil {
		return nil, errNotHolder()
	}
	n, err := h.Waiting(ctx, r.Msg.Queue)
	if err != nil {
		return nil, holderError(err)
	}
	return connect.NewResponse(&fleetv1.WaitingResponse{Count: int64(n)}), nil
}

// Ask implements the service.
func (s *server) Ask(ctx context.Context, r *connect.Request[fleetv1.AskRequest]) (*connect.Response[fleetv1.AskResponse], error) {
	answer, err := s.local.Ask(ctx, r.Msg.Step, r.Msg.Endpoints)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&fleetv1.AskResponse{Permits: answer.Permits, ValidMs: answer.Valid.Milliseconds()}), nil
}
