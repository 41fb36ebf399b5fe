// Package fleetpeer implements the calls between the daemons of a cell on the
// platform, over the Connect protocol.
//
// A cell is the set of availability zones under one log and one configuration,
// with the daemons, endpoints and jobs in them. Its holder is the daemon that
// schedules the cell at present. A term is one period of holding the cell; its
// epoch, which increases from term to term, is the fencing token.
package fleetpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	fleetv1 "github.com/bluebellstile/bluebellstile/internal/gen/fleet/v1"
	"github.com/bluebellstile/bluebellstile/internal/gen/fleet/v1/fleetv1connect"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/transport"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the setup of a connection; the longest path between
	// regions takes some tens of milliseconds.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose peer acknowledges no sent data.
	unackedTimeout = time.Second
	// requestConnections bounds the connections to one daemon for callers'
	// requests.
	requestConnections = 32
	// controlConnections bounds those for heartbeats and handovers, which must
	// not queue behind callers' requests: a holder that doesn't answer
	// heartbeats is replaced.
	controlConnections = 2
	// orderConnections bounds those for the orders that a daemon passes on to
	// endpoints for this one: the calls of a session, and one to open the next
	// session.
	orderConnections = 4
	// idleTimeout closes unused connections.
	idleTimeout = 30 * time.Second
	// maxMessageBytes bounds a message; a job takes a few kilobytes.
	maxMessageBytes = 4 << 20
	// messageTimeout bounds the time in which a message arrives. Callers wait
	// for less.
	messageTimeout = 10 * time.Second
	// MaxHeaderBytes bounds the header of a call and of its answer.
	MaxHeaderBytes = 16 << 10
)

// Errors of calls between daemons.
var (
	// ErrNotHolder means that the called daemon is not the holder. The call had
	// no effect.
	ErrNotHolder = errors.New("the daemon does not hold the cell; ask the current holder")
	// ErrNotSent means that the call was never sent and had no effect.
	ErrNotSent = errors.New("the daemon can't be reached and the call was not sent; try again")
	// ErrUnanswered means that the call got no valid response and may have taken
	// effect.
	ErrUnanswered = errors.New("the daemon did not answer and the call may have taken effect; repeat it")
)

// Clients returns clients by address, which share connections. It is safe for
// concurrent use.
type Clients struct {
	// Each kind of call has its own connections.
	requests *http.Client
	control  *http.Client
	orders   *http.Client

	mu      sync.Mutex
	clients map[string]*Client
}

// NewClients returns Clients without connections. wrap, if not nil, wraps each
// new connection, for example to count its bytes.
func NewClients(wrap func(address string, c net.Conn) net.Conn) *Clients {
	client := func(maxPerHost int) *http.Client {
		return transport.NewClient(transport.Options{
			DialTimeout:    dialTimeout,
			UnackedTimeout: unackedTimeout,
			MaxPerHost:     maxPerHost,
			IdleTimeout:    idleTimeout,
			MaxHeaderBytes: MaxHeaderBytes,
			WrapConn:       wrap,
		})
	}
	return &Clients{
		requests: client(requestConnections),
		control:  client(controlConnections),
		orders:   client(orderConnections),
		clients:  make(map[string]*Client),
	}
}

// Close closes idle connections.
func (c *Clients) Close() {
	c.requests.CloseIdleConnections()
	c.control.CloseIdleConnections()
	c.orders.CloseIdleConnections()
}

// To returns the client for a daemon's address.
func (c *Clients) To(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		rpc := func(h *http.Client) fleetv1connect.FleetServiceClient {
			return fleetv1connect.NewFleetServiceClient(h, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
		}
		client = &Client{requests: rpc(c.requests), control: rpc(c.control), orders: rpc(c.orders)}
		c.clients[address] = client
	}
	return client
}

// Heartbeat implements leadership.Peers.
func (c *Clients) Heartbeat(ctx context.Context, address string, self leadership.Member) (leadership.HeartbeatResponse, bool, error) {
	var sent transport.SendTracker
	request := &fleetv1.HeartbeatRequest{Name: self.Name, Incarnation: self.Incarnation}
	r, err := c.To(address).control.Heartbeat(sent.Observe(ctx), connect.NewRequest(request))
	if err != nil {
		return leadership.HeartbeatResponse{}, transport.IsConnectionRefused(err), errors.WithMessagef(err, "after waiting %s for a connection", sent.Waited().Round(time.Millisecond))
	}
	return leadership.HeartbeatResponse{
		Incarnation: r.Msg.Incarnation,
		Epoch:       r.Msg.Epoch,
		Relieve:     r.Msg.Relieve,
		Claim:       claimFromWire(r.Msg.Claim),
	}, false, nil
}

func claimFromWire(c *fleetv1.Claim) leadership.Claim {
	return leadership.Claim{Epoch: c.GetEpoch(), Holder: leadership.Member{
		Name:             c.GetName(),
		Incarnation:      c.GetIncarnation(),
		Address:          c.GetAddress(),
		AvailabilityZone: c.GetAvailabilityZone(),
		Region:           c.GetRegion(),
	}}
}

func claimToWire(c leadership.Claim) *fleetv1.Claim {
	return &fleetv1.Claim{
		Epoch:            c.Epoch,
		Name:             c.Holder.Name,
		Incarnation:      c.Holder.Incarnation,
		Address:          c.Holder.Address,
		AvailabilityZone: c.Holder.AvailabilityZone,
		Region:           c.Holder.Region,
	}
}

// Client calls one daemon. Its errors are ErrNotHolder, ErrNotSent and
// ErrUnanswered, wrapped with the cause.
type Client struct {
	requests fleetv1connect.FleetServiceClient
	control  fleetv1connect.FleetServiceClient
	orders   fleetv1connect.FleetServiceClient
}

// call makes a call and returns a failure as ErrNotHolder, ErrNotSent or
// ErrUnanswered.
func call[Req, Res any](ctx context.Context, f func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), request *Req) (*Res, error) {
	var sent transport.SendTracker
	r, err := f(sent.Observe(ctx), connect.NewRequest(request))
	switch {
	case err == nil:
		return r.Msg, nil
	case connect.CodeOf(err) == connect.CodeFailedPrecondition:
		return nil, errors.WithMessage(ErrNotHolder, err.Error())
	case !sent.MayHaveBeenSent():
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	default:
		return nil, errors.WithMessage(ErrUnanswered, err.Error())
	}
}

// TakeOver asks the daemon to claim the cell from the term with the epoch.
func (c *Client) TakeOver(ctx context.Context, epoch int64) (leadership.Claim, error) {
	r, err := call(ctx, c.control.TakeOver, &fleetv1.TakeOverRequest{Epoch: epoch})
	if err != nil {
		return leadership.Claim{}, err
	}
	return claimFromWire(r.Claim), nil
}

// Submit submits a job to the daemon. If both results are nil, the job is
// accepted and stored.
func (c *Client) Submit(ctx context.Context, job *workload.Job, version int64) (*problem.Problem, error) {
	admission, err := job.EncodeAdmission()
	if err != nil {
		return nil, err
	}
	r, err := call(ctx, c.requests.Submit, &fleetv1.SubmitRequest{Id: string(job.ID), Admission: admission, ConfigVersion: version})
	if err != nil {
		return nil, err
	}
	return problemFromWire(r.Problem), nil
}

// Status returns the state of a job, or "" if the customer has no job with the
// id.
func (c *Client) Status(ctx context.Context, id workload.ID, customer string) (workload.State, error) {
	r, err := call(ctx, c.requests.Status, &fleetv1.StatusRequest{Id: string(id), Customer: customer})
	if err != nil {
		return "", err
	}
	return workload.State(r.State), nil
}

// Cancel cancels a job and reports whether there is such a job.
func (c *Client) Cancel(ctx context.Context, id workload.ID, customer string) (bool, error) {
	r, err := call(ctx, c.requests.Cancel, &fleetv1.CancelRequest{Id: string(id), Customer: customer})
	if err != nil {
		return false, err
	}
	return r.Found, nil
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (c *Client) Waiting(ctx context.Context, queue string) (int, error) {
	r, err := call(ctx, c.requests.Waiting, &fleetv1.WaitingRequest{Queue: queue})
	if err != nil {
		return 0, err
	}
	return int(r.Count), nil
}

// Ask makes the daemon query which of the endpoints may run a step.
func (c *Client) Ask(ctx context.Context, step string, endpoints []string) (controller.EligibilityAnswer, error) {
	r, err := call(ctx, c.requests.Ask, &fleetv1.AskRequest{Step: step, Endpoints: endpoints})
	if err != nil {
		return controller.EligibilityAnswer{}, err
	}
	return controller.EligibilityAnswer{Permits: r.Permits, Valid: time.Duration(r.ValidMs) * time.Millisecond}, nil
}

// problemFromWire converts a problem. The wire form has no verdict, as the holder
// returns a problem only for a job that it refuses.
func problemFromWire(p *fleetv1.Problem) *problem.Problem {
	if p == nil {
		return nil
	}
	return &problem.Problem{
		Code:       problem.Code(p.Code),
		Verdict:    problem.NotRun,
		Detail:     p.Detail,
		Remedy:     p.Remedy,
		RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond,
	}
}

func problemToWire(p *problem.Problem) *fleetv1.Problem {
	if p == nil {
		return nil
	}
	return &fleetv1.Problem{
		Code:         string(p.Code),
		Detail:       p.Detail,
		Remedy:       p.Remedy,
		RetryAfterMs: p.RetryAfter.Milliseconds(),
	}
}
