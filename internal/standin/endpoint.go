package standin

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
)

// Defaults of an Endpoint.
const (
	// DefaultPartBytes is the size of the parts that outputs are cut into.
	DefaultPartBytes = 16 << 10
	// DefaultMaxConnections bounds the connections that an endpoint serves.
	DefaultMaxConnections = 60
	// maxEnded bounds the ids of acknowledged and barred tasks that are kept.
	maxEnded = 1 << 16
)

// EndpointOptions configures an Endpoint.
type EndpointOptions struct {
	ID               string
	Kind             endpoint.Kind
	AvailabilityZone string
	Rack             string
	Capacity         endpoint.Resources
	// History receives what happens to tasks; nil drops it.
	History *history.Writer
	// PartBytes is the size of a part of an output; 0 means DefaultPartBytes.
	PartBytes int
	// ServiceTime is added to the run time of each task.
	ServiceTime time.Duration
	// UsageLag is how far reported usage lies back.
	UsageLag time.Duration
	// MaxConnections bounds the connections; more wait. 0 means
	// DefaultMaxConnections.
	MaxConnections int
	// Seed makes the order of shuffled parts repeatable.
	Seed uint64
}

// Endpoint is a worker or a service runner. It runs its tasks while their
// common lease lasts, and obeys only the highest epoch that has attached.
type Endpoint struct {
	opts        EndpointOptions
	incarnation string
	// base is the moment from which lease tokens count.
	base   time.Time
	tomb   tomb.Tomb
	ctx    context.Context
	faults *Faults
	link   *linkFaults
	knobs  endpointSwitches

	mu    sync.Mutex
	rand  *rand.Rand
	epoch uint64
	// session is the current one, 0 if none; sessions is the last one given.
	// It starts at random, so that incarnations share no numbers.
	session  uint64
	sessions uint64
	// leased is set once the current session has been granted the lease.
	leased   bool
	leaseEnd time.Time
	// leaseMoved wakes the watchdog after each heartbeat.
	leaseMoved chan struct{}
	used       endpoint.Resources
	tasks      map[string]*task
	ended      *endedTasks
	events     eventLog
	usage      usageHistory
	leaving    bool
	// gone is set at the end of the endpoint; nothing has an effect then.
	gone bool
}

// endpointSwitches are the fault switches of an Endpoint's own.
type endpointSwitches struct {
	serviceTime    *durationSwitch
	usageLag       *durationSwitch
	partBytes      *atomic.Int64
	failTasks      *atomic.Bool
	shuffleParts   *atomic.Bool
	duplicateParts *atomic.Bool
	lateParts      *durationSwitch
	overcommit     *atomic.Bool
	usageFactor    *factorSwitch
	capacityFactor *factorSwitch
}

// NewEndpoint starts an endpoint. It must be ended by Close or Kill.
func NewEndpoint(opts EndpointOptions) *Endpoint {
	if opts.PartBytes <= 0 {
		opts.PartBytes = DefaultPartBytes
	}
	if opts.MaxConnections <= 0 {
		opts.MaxConnections = DefaultMaxConnections
	}
	e := &Endpoint{
		opts:        opts,
		incarnation: newIncarnation(),
		base:        time.Now(),
		faults:      newFaults(),
		rand:        rand.New(rand.NewPCG(opts.Seed, 0)),
		sessions:    rand.Uint64() >> 1,
		leaseMoved:  make(chan struct{}, 1),
		tasks:       make(map[string]*task),
		ended:       newEndedTasks(maxEnded),
		events:      newEventLog(),
	}
	e.link = newLinkFaults(e.faults)
	e.registerSwitches()
	e.ctx = e.tomb.Context(context.Background())
	e.tomb.Go(e.watchLease)
	e.record(history.Event{
		Kind:         history.EndpointUp,
		MilliCores:   opts.Capacity.MilliCores,
		MemoryMB:     opts.Capacity.MemoryMB,
		Accelerators: opts.Capacity.Accelerators,
		Slots:        opts.Capacity.Slots,
	})
	return e
}

// registerSwitches adds the endpoint's own fault switches.
func (e *Endpoint) registerSwitches() {
	f := e.faults
	e.knobs = endpointSwitches{
		serviceTime:    f.duration("service_time", "add to the run time of each task", e.opts.ServiceTime),
		usageLag:       f.duration("usage_lag", "report usage of this long ago", e.opts.UsageLag),
		partBytes:      f.integer("part_bytes", "cut outputs into parts of this size", int64(e.opts.PartBytes)),
		failTasks:      f.boolean("fail_tasks", "fail every task"),
		shuffleParts:   f.boolean("shuffle_parts", "deliver parts out of order"),
		duplicateParts: f.boolean("duplicate_parts", "deliver every part twice"),
		lateParts:      f.duration("late_parts", "deliver every other part this much later", 0),
		overcommit:     f.boolean("overcommit", "accept tasks over the capacity"),
		usageFactor:    f.factor("usage_factor", "use this much of the declared size"),
		capacityFactor: f.factor("capacity_factor", "claim this much of the true capacity"),
	}
	f.add("leaving", &fault{
		usage: "accept no new task; true or false",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, e.SetLeaving) },
		get:   func() any { return e.isLeaving() },
		clear: func() { e.SetLeaving(false) },
	})
	f.OnDie(e.Kill)
}

// Faults returns the endpoint's fault switches.
func (e *Endpoint) Faults() *Faults { return e.faults }

// MaxConnections returns how many connections are served at a time.
func (e *Endpoint) MaxConnections() int { return e.opts.MaxConnections }

// Incarnation returns the id of this run of the endpoint.
func (e *Endpoint) Incarnation() string { return e.incarnation }

// SetLeaving makes the endpoint refuse new tasks, or accept them again.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving && !e.leaving {
		e.record(history.Event{Kind: history.EndpointLeaving})
	}
	e.leaving = leaving
	e.events.wake()
}

func (e *Endpoint) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Drain makes the endpoint refuse new tasks and waits until all of its tasks
// have ended and been acknowledged, or ctx is done.
func (e *Endpoint) Drain(ctx context.Context) {
	e.SetLeaving(true)
	for {
		e.mu.Lock()
		empty, changed := len(e.tasks) == 0, e.events.changed
		e.mu.Unlock()
		if empty {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Close stops all tasks and ends the endpoint.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	if !e.gone {
		now := time.Now()
		e.expireLocked(now)
		for _, t := range e.tasks {
			e.endLocked(t, endpoint.TaskStopped, now, "endpoint was closed")
		}
		e.gone = true
		e.record(history.Event{Kind: history.EndpointDown})
	}
	e.mu.Unlock()
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}

// Kill ends the endpoint as a crash does: tasks vanish without an event of
// their own. The history names the fault and then says that the endpoint is
// down, so that a checker knows that they run no more.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return
	}
	e.gone = true
	for _, t := range e.tasks {
		t.cancel()
	}
	e.record(history.Event{Kind: history.FaultInjected, Fault: "die"})
	e.record(history.Event{Kind: history.EndpointDown})
	e.tomb.Kill(nil)
}

// record appends an event of this endpoint to the history, under its lock. A history that
// can't be written ends the endpoint, since its run proves nothing.
func (e *Endpoint) record(event history.Event) {
	event.Source = e.opts.ID
	event.Endpoint = e.opts.ID
	event.Incarnation = e.incarnation
	if err := e.opts.History.Write(event); err != nil {
		e.gone = true
		e.tomb.Kill(err)
	}
}

// newIncarnation returns a random id.
func newIncarnation() string { return cryptorand.Text() }
