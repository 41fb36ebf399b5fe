package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
)

// throttledSpeed is the speed of a throttled task, relative to full speed.
const throttledSpeed = 0.5

// task is one task of an endpoint. Its endpoint's lock covers it.
type task struct {
	spec  endpoint.TaskSpec
	state endpoint.TaskState
	// epoch is the one under which the task was started.
	epoch   uint64
	started time.Time
	// progress is the run time at full speed that was done until since.
	progress   time.Duration
	since      time.Time
	speed      float64
	checkpoint time.Duration
	cancel     context.CancelFunc
	// retimed wakes the task's run after a change of speed.
	retimed chan struct{}
}

// done returns the run time at full speed that is done at now.
func (t *task) done(now time.Time) time.Duration {
	return t.progress + time.Duration(float64(now.Sub(t.since))*t.speed)
}

// setSpeed changes the speed from now on.
func (t *task) setSpeed(now time.Time, speed float64) {
	t.progress = t.done(now)
	t.since = now
	t.speed = speed
	select {
	case t.retimed <- struct{}{}:
	default:
	}
}

// status returns the inventory's entry of t.
func (t *task) status() endpoint.TaskStatus {
	return endpoint.TaskStatus{Task: t.spec, State: t.state, CheckpointMS: t.checkpoint.Milliseconds()}
}

// startLocked runs a task that has been admitted.
func (e *Endpoint) startLocked(spec endpoint.TaskSpec, now time.Time) {
	ctx, cancel := context.WithCancel(e.ctx)
	t := &task{
		spec:     spec,
		state:    endpoint.TaskRunning,
		epoch:    e.epoch,
		started:  now,
		progress: time.Duration(max(spec.ResumeMS, 0)) * time.Millisecond,
		since:    now,
		speed:    1,
		cancel:   cancel,
		retimed:  make(chan struct{}, 1),
	}
	e.tasks[spec.ID] = t
	e.used = add(e.used, spec.Size)
	event := e.taskEvent(history.TaskStarted, spec, now)
	event.InputSum = history.Sum(spec.Input)
	e.record(event)
	e.tomb.Go(func() error {
		defer cancel()
		e.run(ctx, t)
		return nil
	})
}

// run carries out a task and ends it unless something else has ended it.
func (e *Endpoint) run(ctx context.Context, t *task) {
	output, err := e.execute(ctx, t)
	if ctx.Err() != nil {
		return
	}
	e.link.gate.wait(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
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

// execute spends the task's run time and computes its output.
func (e *Endpoint) execute(ctx context.Context, t *task) ([]byte, error) {
	program, ok := commands[t.spec.Command]
	if !ok {
		return nil, errors.Errorf("unknown command %q", t.spec.Command)
	}
	total := e.knobs.serviceTime.get()
	if program.duration != nil {
		d, err := program.duration(t.spec.Input)
		if err != nil {
			return nil, err
		}
		total += d
	}
	e.spend(ctx, t, total)
	if e.knobs.failTasks.Load() {
		return nil, errors.New("endpoint fails every task")
	}
	return program.run(t.spec.Input)
}

// spend returns once the task has done total of run time or ctx is done.
func (e *Endpoint) spend(ctx context.Context, t *task, total time.Duration) {
	for ctx.Err() == nil {
		e.mu.Lock()
		left := time.Duration(float64(total-t.done(time.Now())) / t.speed)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-t.retimed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// finishLocked ends a task that has an output.
func (e *Endpoint) finishLocked(t *task, output []byte, now time.Time) {
	e.releaseLocked(t, endpoint.TaskDone, now)
	event := e.taskEvent(history.TaskEnded, t.spec, now)
	event.OutputSum = history.Sum(output)
	event.State = string(endpoint.TaskDone)
	e.record(event)
	e.publishLocked(e.cut(t, output, now))
}

// endLocked ends a running task that has no output. The time at may lie back.
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

// releaseLocked makes the task's state final and frees its resources.
func (e *Endpoint) releaseLocked(t *task, state endpoint.TaskState, at time.Time) {
	t.progress = t.done(at)
	t.since = at
	t.state = state
	t.cancel()
	e.used = subtract(e.used, t.spec.Size)
}

// taskEvent returns a history event about a task at a time.
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

// admitLocked returns why a task can't be started, or "".
func (e *Endpoint) admitLocked(spec endpoint.TaskSpec, now time.Time) string {
	switch {
	case e.ended.barred(spec.ID):
		return "stopped before its start"
	case e.leaving:
		return "endpoint is leaving"
	case !now.Before(e.leaseEnd):
		return "no lease; send a heartbeat with the last lease token first"
	case !validSize(spec.Size):
		return "size is negative or empty"
	case !e.knobs.overcommit.Load() && !fits(add(e.used, spec.Size), e.opts.Capacity):
		return "over capacity"
	}
	return ""
}

// validSize reports whether a task of this size asks for something.
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
