package standin

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// maxCommandBytes bounds the body of a command.
const maxCommandBytes = 64 << 20

// commandError is a command that the endpoint doesn't obey.
type commandError struct {
	status int
	text   string
	// fenced is the highest epoch, for endpoint.StatusFenced.
	fenced uint64
}

func (e *commandError) Error() string { return e.text }

// Handler serves the endpoint's interface.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, endpoint.PathAttach, e.attach)
	handle(mux, endpoint.PathHeartbeat, e.heartbeat)
	handle(mux, endpoint.PathStart, e.start)
	handle(mux, endpoint.PathStop, e.stop)
	handle(mux, endpoint.PathEvents, e.poll)
	handle(mux, endpoint.PathAck, e.ack)
	return e.link.wrap(mux)
}

// handle serves a command of JSON request and response.
func handle[Req, Resp any](mux *http.ServeMux, path string, act func(context.Context, *Req) (*Resp, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		req := new(Req)
		if status, err := readJSON(w, r, maxCommandBytes, req); err != nil {
			http.Error(w, err.Error(), status)
			return
		}
		resp, err := act(r.Context(), req)
		var refused *commandError
		switch {
		case err == nil:
			writeJSON(w, http.StatusOK, resp)
		case !errors.As(err, &refused):
			http.Error(w, err.Error(), http.StatusInternalServerError)
		case refused.status == endpoint.StatusFenced:
			writeJSON(w, refused.status, endpoint.FencedBody{Epoch: refused.fenced})
		default:
			http.Error(w, refused.text, refused.status)
		}
	})
}

// enterSessionLocked does what precedes every command but attach.
func (e *Endpoint) enterSessionLocked(epoch, session uint64, now time.Time) error {
	if err := e.enterLocked(epoch, now); err != nil {
		return err
	}
	if session == 0 || session != e.session {
		return &commandError{status: endpoint.StatusNotAttached, text: fmt.Sprintf("session %d has ended", session)}
	}
	return nil
}

// enterLocked notices a lapsed lease and checks the epoch of a command.
func (e *Endpoint) enterLocked(epoch uint64, now time.Time) error {
	if e.gone {
		return &commandError{status: http.StatusServiceUnavailable, text: "endpoint has ended"}
	}
	e.expireLocked(now)
	if epoch < e.epoch {
		return &commandError{status: endpoint.StatusFenced, text: "fenced", fenced: e.epoch}
	}
	if epoch > e.epoch || epoch == 0 {
		return &commandError{status: endpoint.StatusNotAttached, text: fmt.Sprintf("epoch %d has not attached", epoch)}
	}
	return nil
}

func badRequest(text string) error {
	return &commandError{status: http.StatusBadRequest, text: text}
}

// attach raises the epoch. It grants no lease and takes none away, since its
// sender can't know how long the request was under way.
func (e *Endpoint) attach(_ context.Context, req *endpoint.AttachRequest) (*endpoint.AttachResponse, error) {
	if req.Epoch == 0 {
		return nil, badRequest("epoch is 0")
	}
	if req.AvailabilityZone != e.opts.AvailabilityZone {
		return nil, badRequest("endpoint is of availability zone " + e.opts.AvailabilityZone)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	err := e.enterLocked(req.Epoch, now)
	var refused *commandError
	if errors.As(err, &refused) && refused.status != endpoint.StatusNotAttached {
		return nil, err
	}
	e.epoch = req.Epoch
	e.sessions++
	e.session, e.leased = e.sessions, false
	e.events.wake()
	resp := &endpoint.AttachResponse{
		Endpoint:         e.opts.ID,
		Incarnation:      e.incarnation,
		Kind:             e.opts.Kind,
		AvailabilityZone: e.opts.AvailabilityZone,
		Rack:             e.opts.Rack,
		Capacity:         e.claimedCapacity(),
		Tasks:            []endpoint.TaskStatus{},
		LeaseToken:       e.issueToken(now),
		Session:          e.session,
		Leaving:          e.leaving,
	}
	for _, t := range e.sortedTasksLocked() {
		resp.Tasks = append(resp.Tasks, t.status())
	}
	return resp, nil
}

// claimedCapacity is the capacity that the endpoint claims to have.
func (e *Endpoint) claimedCapacity() endpoint.Resources {
	factor := e.knobs.capacityFactor
	return endpoint.Resources{
		MilliCores:   factor.scale(e.opts.Capacity.MilliCores),
		MemoryMB:     factor.scale(e.opts.Capacity.MemoryMB),
		Accelerators: factor.scale(e.opts.Capacity.Accelerators),
		Slots:        factor.scale(e.opts.Capacity.Slots),
	}
}

// sortedTasksLocked returns all tasks in the order of their ids.
func (e *Endpoint) sortedTasksLocked() []*task {
	return slices.SortedFunc(maps.Values(e.tasks), func(a, b *task) int {
		return cmp.Compare(a.spec.ID, b.spec.ID)
	})
}

func (e *Endpoint) heartbeat(_ context.Context, req *endpoint.HeartbeatRequest) (*endpoint.HeartbeatResponse, error) {
	length := time.Duration(req.LeaseMS) * time.Millisecond
	if req.LeaseMS <= 0 || req.LeaseMS > maxLease.Milliseconds() {
		return nil, badRequest(fmt.Sprintf("lease_ms is not from 1 to %d", maxLease.Milliseconds()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.enterSessionLocked(req.Epoch, req.Session, now); err != nil {
		return nil, err
	}
	e.renewLocked(req.LeaseToken, length, now)
	return &endpoint.HeartbeatResponse{
		Incarnation: e.incarnation,
		LeaseToken:  e.issueToken(now),
		Leaving:     e.leaving,
		Usage:       e.usage.report(e.sampleLocked(now), e.knobs.usageLag.get()),
	}, nil
}

// sampleLocked returns the present usage of all running tasks.
func (e *Endpoint) sampleLocked(now time.Time) usageSample {
	sample := usageSample{at: now}
	for _, t := range e.sortedTasksLocked() {
		if t.state != endpoint.TaskRunning {
			continue
		}
		cores := float64(e.knobs.usageFactor.scale(t.spec.Size.MilliCores)) * t.speed
		sample.usage = append(sample.usage, endpoint.TaskUsage{
			ID: t.spec.ID,
			Usage: endpoint.Resources{
				MilliCores:   int64(cores),
				MemoryMB:     e.knobs.usageFactor.scale(t.spec.Size.MemoryMB),
				Accelerators: t.spec.Size.Accelerators,
				Slots:        t.spec.Size.Slots,
			},
			RanMS: now.Sub(t.started).Milliseconds(),
		})
	}
	return sample
}
