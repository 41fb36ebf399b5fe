package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
)

// throttledSpeed is the speed of a throttled task as a fraction of full speed.
const throttledSpeed = 0.5

// task is a task of an endpoint. Endpoint.mu guards it.
type task struct {
	spec  endpoint.TaskSpec
	state endpoint.TaskState
	// epoch is the epoch of the command that started the task.
	epoch   uint64
	started time.Time
	// progress is the work done until since, in run time at full speed. After
	// since the task runs at speed, 1 being full speed.
	progress time.Duration
	since    time.Time
	speed    float64
	// checkpoint is the progress at which ActionCheckpoint stopped the task, or 0.
	checkpoint time.Duration
	cancel     context.CancelFunc
	// speedChanged wakes waitForRunTime after a change of speed.
	speedChanged chan struct{}
}

// progressAt returns the work done until now, in run time at full speed.
func (t *task) progressAt(now time.Time) time.Duration {
	return t.progress + time.Duration(float64(now.Sub(t.since))*t.speed)
}

// setSpeed changes the speed as of now.
func (t *task) setSpeed(now time.Time, speed float64) {
	t.progress = t.progressAt(now)
	t.since = now
	t.speed = speed
	select {
	case t.speedChanged <- struct{}{}:
	default:
	}
}

// status returns the entry of t in the inventory.
func (t *task) status() endpoint.TaskStatus {
	return endpoint.TaskStatus{Task: t.spec, State: t.state, CheckpointMS: t.checkpoint.Milliseconds()}
}

// startLocked starts a task that has been admitted.
func (e *Endpoint) startLocked(spec endpoint.TaskSpec, now time.Time) {
	ctx, cancel := context.WithCancel(e.ctx)
	t := &task{
		spec:         spec,
		state:        endpoint.TaskRunning,
		epoch:        e.epoch,
		started:      now,
		progress:     time.Duration(max(spec.ResumeMS, 0)) * time.Millisecond,
		since:        now,
		speed:        1,
		cancel:       cancel,
		speedChanged: make(chan struct{}, 1),
	}
	e.tasks[spec.ID] = t
	e.used = add(e.used, spec.Size)
	event := e.taskEvent(history.TaskStarted, spec, now)
	event.InputSum = history.Checksum(spec.Input)
	e.record(event)
	e.tomb.Go(func() error {
		defer cancel()
		e.run(ctx, t)
		return nil
	})
}

// run executes a task and ends it, unless it has been ended meanwhile.
func (e *Endpoint) run(ctx context.Context, t *task) {
	output, err := e.execute(ctx, t)
	if ctx.Err() != nil {
		return
	}
	e.link.gate.wait(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	now := time.Now()
	e.expireLocked(now)
	if t.state != endpoint.TaskRunning {
		return
	}
	if err != nil {
		e.endLocked(t, endpoint.TaskFailed, now, err.Error())
		return
	}
	e.finishLocked(t, output, now)
}

// execute waits for the task's run time and then computes its output.
func (e *Endpoint) execute(ctx context.Context, t *task) ([]byte, error) {
	program, ok := commands[t.spec.Command]
	if !ok {
		return nil, errors.Errorf("unknown command %q", t.spec.Command)
	}
	total := e.switches.serviceTime.get()
	if program.duration != nil {
		d, err := program.duration(t.spec.Input)
		if err != nil {
			return nil, err
		}
		total += d
	}
	e.waitForRunTime(ctx, t, total)
	if e.switches.failTasks.Load() {
		return nil, errors.New("endpoint fails every task")
	}
	return program.run(t.spec.Input)
}

// waitForRunTime blocks until the task has run for total, counted at full speed,
// or ctx is done.
func (e *Endpoint) waitForRunTime(ctx context.Context, t *task, total time.Duration) {
	for ctx.Err() == nil {
		e.mu.Lock()
		left := time.Duration(float64(total-t.progressAt(time.Now())) / t.speed)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-t.speedChanged:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// finishLocked ends a task as done and publishes its output.
func (e *Endpoint) finishLocked(t *task, output []byte, now time.Time) {
	e.releaseLocked(t, endpoint.TaskDone, now)
	event := e.taskEvent(history.TaskEnded, t.spec, now)
	event.OutputSum = history.Checksum(output)
	event.State = string(endpoint.TaskDone)
	e.record(event)
	e.publishLocked(e.splitOutput(t, output, now))
}

// endLocked ends a running task without an output. The time at may be in the
// past.
func (e *Endpoint) endLocked(t *task, state endpoint.TaskState, at time.Time, reason string) {
	if t.state != endpoint.TaskRunning {
		return
	}
	e.releaseLocked(t, state, at)
	event := e.taskEvent(history.TaskEnded, t.spec, at)
	event.State = string(state)
	event.Code = reason
	e.record(event)
	end := endpoint.Event{ID: t.spec.ID, State: state, Parts: 1, Reason: reason, RanMS: at.Sub(t.started).Milliseconds()}
	e.publishLocked([]endpoint.Event{end})
}

// releaseLocked sets the final state of a task and frees its resources.
func (e *Endpoint) releaseLocked(t *task, state endpoint.TaskState, at time.Time) {
	t.progress = t.progressAt(at)
	t.since = at
	t.state = state
	t.cancel()
	e.used = subtract(e.used, t.spec.Size)
}

// taskEvent returns a history event of a task at a time.
func (e *Endpoint) taskEvent(kind history.Kind, spec endpoint.TaskSpec, at time.Time) history.Event {
	work := spec.Ticket
	if spec.Job != "" {
		work = fmt.Sprintf("%s/%d", spec.Job, spec.Index)
	}
	return history.Event{
		UnixNano:     at.UnixNano(),
		Kind:         kind,
		Epoch:        e.epoch,
		MilliCores:   spec.Size.MilliCores,
		MemoryMB:     spec.Size.MemoryMB,
		Accelerators: spec.Size.Accelerators,
		Slots:        spec.Size.Slots,
		Work:         work,
		Task:         spec.ID,
		Team:         spec.Team,
		Queue:        spec.Queue,
		Ticket:       spec.Ticket,
		Idempotent:   spec.Idempotent,
	}
}

// refusalReasonLocked returns the reason to refuse a task, or "" if it can be
// started.
func (e *Endpoint) refusalReasonLocked(spec endpoint.TaskSpec, now time.Time) string {
	switch {
	case e.ended.barred(spec.ID):
		return "stopped before its start"
	case e.leaving:
		return "endpoint is leaving"
	case !now.Before(e.leaseEnd):
		return "no lease; send a heartbeat with the last lease token first"
	case !validSize(spec.Size):
		return "size is negative or empty"
	case !e.switches.overcommit.Load() && !fits(add(e.used, spec.Size), e.opts.Capacity):
		return "over capacity"
	}
	return ""
}

// validSize reports whether a size has no negative part and isn't empty.
func validSize(r endpoint.Resources) bool {
	negative := r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || r.Slots < 0
	return !negative && r != (endpoint.Resources{})
}

// fits reports whether used is within capacity.
func fits(used, capacity endpoint.Resources) bool {
	return used.MilliCores <= capacity.MilliCores &&
		used.MemoryMB <= capacity.MemoryMB &&
		used.Accelerators <= capacity.Accelerators &&
		used.Slots <= capacity.Slots
}

func add(a, b endpoint.Resources) endpoint.Resources {
	return endpoint.Resources{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
		Slots:        a.Slots + b.Slots,
	}
}

func subtract(a, b endpoint.Resources) endpoint.Resources {
	return endpoint.Resources{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryMB:     a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators,
		Slots:        a.Slots - b.Slots,
	}
}
