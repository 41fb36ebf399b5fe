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

// maxCommandBytes limits the body of a command.
const maxCommandBytes = 64 << 20

// commandError is the error of a command that the endpoint rejects.
type commandError struct {
	status int
	text   string
	// highestEpoch is the highest epoch that has attached. It is set only for
	// endpoint.StatusFenced.
	highestEpoch uint64
}

func (e *commandError) Error() string { return e.text }

// Handler returns the handler of the endpoint's HTTP interface.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	handleJSON(mux, endpoint.PathAttach, e.attach)
	handleJSON(mux, endpoint.PathHeartbeat, e.heartbeat)
	handleJSON(mux, endpoint.PathStart, e.start)
	handleJSON(mux, endpoint.PathStop, e.stop)
	handleJSON(mux, endpoint.PathEvents, e.poll)
	handleJSON(mux, endpoint.PathAck, e.ack)
	return e.link.wrap(mux)
}

// handleJSON registers act for a command whose request and response are JSON.
func handleJSON[Req, Resp any](mux *http.ServeMux, path string, act func(context.Context, *Req) (*Resp, error)) {
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
			writeJSON(w, refused.status, endpoint.FencedBody{Epoch: refused.highestEpoch})
		default:
			http.Error(w, refused.text, refused.status)
		}
	})
}

// checkSessionLocked checks the epoch and the session of a command. Every command
// but attach calls it before it acts.
func (e *Endpoint) checkSessionLocked(epoch, session uint64, now time.Time) error {
	if err := e.checkEpochLocked(epoch, now); err != nil {
		return err
	}
	if session == 0 || session != e.session {
		return &commandError{status: endpoint.StatusNotAttached, text: fmt.Sprintf("session %d has ended", session)}
	}
	return nil
}

// checkEpochLocked ends the tasks if the lease has lapsed. It returns an error if
// the endpoint has ended or the epoch of a command isn't the current one.
func (e *Endpoint) checkEpochLocked(epoch uint64, now time.Time) error {
	if e.closed {
		return &commandError{status: http.StatusServiceUnavailable, text: "endpoint has ended"}
	}
	e.expireLocked(now)
	if epoch < e.epoch {
		return &commandError{status: endpoint.StatusFenced, text: "fenced", highestEpoch: e.epoch}
	}
	if epoch > e.epoch || epoch == 0 {
		return &commandError{status: endpoint.StatusNotAttached, text: fmt.Sprintf("epoch %d has not attached", epoch)}
	}
	return nil
}

func badRequest(text string) error {
	return &commandError{status: http.StatusBadRequest, text: text}
}

// attach sets the epoch and begins a session. It neither grants nor revokes the
// lease, since its sender can't know how long the request was in transit.
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
	err := e.checkEpochLocked(req.Epoch, now)
	var refused *commandError
	if errors.As(err, &refused) && refused.status != endpoint.StatusNotAttached {
		return nil, err
	}
	e.epoch = req.Epoch
	e.lastSession++
	e.session, e.sessionLeased = e.lastSession, false
	e.events.wake()
	resp := &endpoint.AttachResponse{
		Endpoint:         e.opts.ID,
		Incarnation:      e.incarnation,
		Kind:             e.opts.Kind,
		AvailabilityZone: e.opts.AvailabilityZone,
		Rack:             e.opts.Rack,
		Capacity:         e.advertisedCapacity(),
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

// advertisedCapacity returns the capacity that the endpoint reports, which is
// wrong if the switch "capacity_factor" is set.
func (e *Endpoint) advertisedCapacity() endpoint.Resources {
	factor := e.switches.capacityFactor
	return endpoint.Resources{
		MilliCores:   factor.scale(e.opts.Capacity.MilliCores),
		MemoryMB:     factor.scale(e.opts.Capacity.MemoryMB),
		Accelerators: factor.scale(e.opts.Capacity.Accelerators),
		Slots:        factor.scale(e.opts.Capacity.Slots),
	}
}

// sortedTasksLocked returns all tasks, sorted by id.
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
	if err := e.checkSessionLocked(req.Epoch, req.Session, now); err != nil {
		return nil, err
	}
	e.renewLocked(req.LeaseToken, length, now)
	return &endpoint.HeartbeatResponse{
		Incarnation: e.incarnation,
		LeaseToken:  e.issueToken(now),
		Leaving:     e.leaving,
		Usage:       e.usage.addAndReport(e.sampleUsageLocked(now), e.switches.usageLag.get()),
	}, nil
}

// sampleUsageLocked returns the current usage of all running tasks.
func (e *Endpoint) sampleUsageLocked(now time.Time) usageSample {
	sample := usageSample{at: now}
	for _, t := range e.sortedTasksLocked() {
		if t.state != endpoint.TaskRunning {
			continue
		}
		milliCores := float64(e.switches.usageFactor.scale(t.spec.Size.MilliCores)) * t.speed
		sample.usage = append(sample.usage, endpoint.TaskUsage{
			ID: t.spec.ID,
			Usage: endpoint.Resources{
				MilliCores:   int64(milliCores),
				MemoryMB:     e.switches.usageFactor.scale(t.spec.Size.MemoryMB),
				Accelerators: t.spec.Size.Accelerators,
				Slots:        t.spec.Size.Slots,
			},
			RanMS: now.Sub(t.started).Milliseconds(),
		})
	}
	return sample
}
