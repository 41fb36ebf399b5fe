package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
)

func (e *Endpoint) start(_ context.Context, req *endpoint.StartRequest) (*endpoint.StartResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.checkSessionLocked(req.Epoch, req.Session, now); err != nil {
		return nil, err
	}
	resp := &endpoint.StartResponse{}
	for _, spec := range req.Tasks {
		if reason := e.startOneLocked(spec, now); reason != "" {
			resp.Refused = append(resp.Refused, endpoint.Refusal{ID: spec.ID, Reason: reason})
		}
	}
	return resp, nil
}

// startOneLocked starts a task. It does nothing if a task of this id has already
// been started, so that a start can be repeated. It returns the reason of a
// refusal, or "".
func (e *Endpoint) startOneLocked(spec endpoint.TaskSpec, now time.Time) string {
	if spec.ID == "" {
		return "id is empty"
	}
	if _, known := e.tasks[spec.ID]; known {
		return ""
	}
	if ended, known := e.ended.get(spec.ID); known && !ended.barred {
		return ""
	}
	reason := e.refusalReasonLocked(spec, now)
	if reason == "" {
		e.startLocked(spec, now)
		return ""
	}
	event := e.taskEvent(history.TaskRefused, spec, now)
	event.Code = reason
	e.record(event)
	return reason
}

func (e *Endpoint) stop(_ context.Context, req *endpoint.StopRequest) (*endpoint.StopResponse, error) {
	if !validAction(req.Action) {
		return nil, badRequest(fmt.Sprintf("unknown action %q", req.Action))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.checkSessionLocked(req.Epoch, req.Session, now); err != nil {
		return nil, err
	}
	resp := &endpoint.StopResponse{Tasks: []endpoint.StoppedTask{}}
	for _, id := range req.IDs {
		t, known := e.tasks[id]
		switch {
		case known:
			resp.Tasks = append(resp.Tasks, e.stopOneLocked(t, req.Action, now))
		case req.Action != endpoint.ActionThrottle:
			resp.Tasks = append(resp.Tasks, e.stopUnknownLocked(id))
		}
	}
	return resp, nil
}

// validAction reports whether endpoints support an action.
func validAction(action endpoint.StopAction) bool {
	switch action {
	case endpoint.ActionStop, endpoint.ActionCheckpoint, endpoint.ActionThrottle:
		return true
	}
	return false
}

// stopOneLocked applies an action to a task of the inventory.
func (e *Endpoint) stopOneLocked(t *task, action endpoint.StopAction, now time.Time) endpoint.StoppedTask {
	if t.state == endpoint.TaskRunning {
		switch action {
		case endpoint.ActionStop:
			e.endLocked(t, endpoint.TaskStopped, now, "stopped by command")
		case endpoint.ActionCheckpoint:
			t.checkpoint = t.progressAt(now)
			e.endLocked(t, endpoint.TaskStopped, now, "stopped at a checkpoint")
		case endpoint.ActionThrottle:
			t.setSpeed(now, throttledSpeed)
		}
	}
	return endpoint.StoppedTask{ID: t.spec.ID, State: t.state, CheckpointMS: t.checkpoint.Milliseconds()}
}

// stopUnknownLocked handles a stop of an id that isn't in the inventory. Unless
// the task has been acknowledged before, it bars the id, so that a start that
// arrives later is refused.
func (e *Endpoint) stopUnknownLocked(id string) endpoint.StoppedTask {
	ended, known := e.ended.get(id)
	if !known {
		ended = endedTask{state: endpoint.TaskStopped, barred: true}
		e.ended.put(id, ended)
	}
	return endpoint.StoppedTask{ID: id, State: ended.state, NeverRan: ended.barred}
}

// poll returns the events above the request's After. If there are none, it waits
// for events or a change of leaving, at most for the request's wait.
func (e *Endpoint) poll(ctx context.Context, req *endpoint.EventsRequest) (*endpoint.EventsResponse, error) {
	if err := e.renewFromPoll(req); err != nil {
		return nil, err
	}
	wait := min(max(time.Duration(req.WaitMS)*time.Millisecond, 0), endpoint.MaxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		resp, changed, err := e.pollOnce(req)
		if err != nil || len(resp.Events) > 0 || resp.Leaving != req.Leaving || !waiting {
			return resp, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-e.tomb.Dying():
			waiting = false
		}
	}
}

// pollOnce returns the current response to a poll, and the channel that the next
// change closes.
func (e *Endpoint) pollOnce(req *endpoint.EventsRequest) (*endpoint.EventsResponse, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSessionLocked(req.Epoch, req.Session, time.Now()); err != nil {
		return nil, nil, err
	}
	resp := e.pollLocked(req.After)
	resp.LeaseToken = e.issueToken(time.Now())
	resp.Leaving = e.leaving
	if len(resp.Events) == 0 {
		resp.Usage = e.usage.addAndReport(e.sampleUsageLocked(time.Now()), e.switches.usageLag.get())
	}
	return resp, e.events.changed, nil
}

// renewFromPoll renews the lease at the start of a poll that asks for it.
func (e *Endpoint) renewFromPoll(req *endpoint.EventsRequest) error {
	if req.LeaseMS == 0 {
		return nil
	}
	if req.LeaseMS < 0 || req.LeaseMS > maxLease.Milliseconds() {
		return badRequest(fmt.Sprintf("lease_ms is not from 0 to %d", maxLease.Milliseconds()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.checkSessionLocked(req.Epoch, req.Session, now); err != nil {
		return err
	}
	e.renewLocked(req.LeaseToken, time.Duration(req.LeaseMS)*time.Millisecond, now)
	return nil
}

// ack removes finished tasks from the inventory. Their ids are kept in e.ended,
// so that a delayed repetition of their start has no effect.
func (e *Endpoint) ack(_ context.Context, req *endpoint.AckRequest) (*struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSessionLocked(req.Epoch, req.Session, time.Now()); err != nil {
		return nil, err
	}
	for _, id := range req.IDs {
		t, known := e.tasks[id]
		if !known || t.state == endpoint.TaskRunning {
			continue
		}
		delete(e.tasks, id)
		e.events.removeTask(id)
		e.ended.put(id, endedTask{state: t.state})
	}
	e.events.wake()
	return &struct{}{}, nil
}
