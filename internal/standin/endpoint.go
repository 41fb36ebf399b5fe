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
	// DefaultPartBytes is the size of the parts that outputs are split into.
	DefaultPartBytes = 16 << 10
	// DefaultMaxConnections limits the connections that an endpoint serves at a
	// time.
	DefaultMaxConnections = 60
	// maxEndedTasks limits the ids of acknowledged and barred tasks that are
	// kept.
	maxEndedTasks = 1 << 16
)

// EndpointOptions configures an Endpoint.
type EndpointOptions struct {
	ID               string
	Kind             endpoint.Kind
	AvailabilityZone string
	Rack             string
	Capacity         endpoint.Resources
	// History receives the events of the endpoint and of its tasks; nil discards
	// them.
	History *history.Writer
	// PartBytes is the size of the parts of an output; 0 means DefaultPartBytes.
	PartBytes int
	// ServiceTime is added to the run time of each task.
	ServiceTime time.Duration
	// UsageLag is the age of the usage that is reported.
	UsageLag time.Duration
	// MaxConnections limits the connections that are served at a time; further
	// connections wait. 0 means DefaultMaxConnections.
	MaxConnections int
	// Seed makes the order of shuffled parts reproducible.
	Seed uint64
}

// Endpoint is a stand-in for a worker or a service runner. It has one lease
// for all of its tasks: when the lease lapses without a heartbeat or poll that
// renews it, the endpoint stops them. The holder, the daemon that schedules
// the work of an availability zone, attaches with its epoch, the number of its
// term as holder; the endpoint rejects commands of any epoch but the highest
// that has attached. An incarnation is one run of the endpoint's process, and
// a session lasts from one attach to the next or to the lapse of the lease.
type Endpoint struct {
	opts        EndpointOptions
	incarnation string
	// tokenBase is the time from which lease tokens count nanoseconds.
	tokenBase time.Time
	tomb      tomb.Tomb
	ctx       context.Context
	faults    *Faults
	link      *linkFaults
	switches  endpointSwitches

	mu    sync.Mutex
	rand  *rand.Rand
	epoch uint64
	// session is the number of the current session, 0 if there is none.
	// lastSession is the last number that was assigned. It starts at a random
	// value, so that incarnations don't share session numbers.
	session     uint64
	lastSession uint64
	// sessionLeased is set once the current session has been granted a lease.
	sessionLeased bool
	leaseEnd      time.Time
	// leaseRenewed wakes watchLease after each renewal.
	leaseRenewed chan struct{}
	used         endpoint.Resources
	tasks        map[string]*task
	ended        *endedTasks
	events       eventLog
	usage        usageHistory
	leaving      bool
	// closed is set when the endpoint ends. Nothing has an effect after that.
	closed bool
}

// endpointSwitches holds the fault switches that only an Endpoint has.
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

// NewEndpoint starts an endpoint. The caller must end it by Close or Kill.
func NewEndpoint(opts EndpointOptions) *Endpoint {
	if opts.PartBytes <= 0 {
		opts.PartBytes = DefaultPartBytes
	}
	if opts.MaxConnections <= 0 {
		opts.MaxConnections = DefaultMaxConnections
	}
	e := &Endpoint{
		opts:         opts,
		incarnation:  newIncarnation(),
		tokenBase:    time.Now(),
		faults:       newFaults(),
		rand:         rand.New(rand.NewPCG(opts.Seed, 0)),
		lastSession:  rand.Uint64() >> 1,
		leaseRenewed: make(chan struct{}, 1),
		tasks:        make(map[string]*task),
		ended:        newEndedTasks(maxEndedTasks),
		events:       newEventLog(),
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

// registerSwitches registers the switches that only an Endpoint has.
func (e *Endpoint) registerSwitches() {
	f := e.faults
	e.switches = endpointSwitches{
		serviceTime:    f.addDuration("service_time", "add to the run time of each task", e.opts.ServiceTime),
		usageLag:       f.addDuration("usage_lag", "report usage of this long ago", e.opts.UsageLag),
		partBytes:      f.addInt("part_bytes", "cut outputs into parts of this size", int64(e.opts.PartBytes)),
		failTasks:      f.addBool("fail_tasks", "fail every task"),
		shuffleParts:   f.addBool("shuffle_parts", "deliver parts out of order"),
		duplicateParts: f.addBool("duplicate_parts", "deliver every part twice"),
		lateParts:      f.addDuration("late_parts", "deliver every other part this much later", 0),
		overcommit:     f.addBool("overcommit", "accept tasks over the capacity"),
		usageFactor:    f.addFactor("usage_factor", "use this much of the declared size"),
		capacityFactor: f.addFactor("capacity_factor", "report this much of the true capacity"),
	}
	f.add("leaving", &faultSwitch{
		usage: "accept no new task; true or false",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, e.SetLeaving) },
		get:   func() any { return e.isLeaving() },
		clear: func() { e.SetLeaving(false) },
	})
	f.OnDie(e.Kill)
}

// Faults returns the endpoint's fault switches.
func (e *Endpoint) Faults() *Faults { return e.faults }

// MaxConnections implements ConnectionLimiter.
func (e *Endpoint) MaxConnections() int { return e.opts.MaxConnections }

// Incarnation returns the id of this incarnation of the endpoint.
func (e *Endpoint) Incarnation() string { return e.incarnation }

// SetLeaving sets whether the endpoint refuses new tasks because it is about to
// leave.
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

// Drain makes the endpoint refuse new tasks, and waits until all of its tasks
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
	if !e.closed {
		now := time.Now()
		e.expireLocked(now)
		for _, t := range e.tasks {
			e.endLocked(t, endpoint.TaskStopped, now, "endpoint was closed")
		}
		e.closed = true
		e.record(history.Event{Kind: history.EndpointDown})
	}
	e.mu.Unlock()
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}

// Kill ends the endpoint as a crash does: no events report the end of its tasks.
// The history gets the injected fault and an event that the endpoint is down,
// from which a checker knows that the tasks no longer run.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	for _, t := range e.tasks {
		t.cancel()
	}
	e.record(history.Event{Kind: history.FaultInjected, Fault: "die"})
	e.record(history.Event{Kind: history.EndpointDown})
	e.tomb.Kill(nil)
}

// record writes an event of this endpoint to the history. The caller holds e.mu,
// except in NewEndpoint. A write error ends the endpoint, since a test run with
// an incomplete history proves nothing.
func (e *Endpoint) record(event history.Event) {
	event.Source = e.opts.ID
	event.Endpoint = e.opts.ID
	event.Incarnation = e.incarnation
	if err := e.opts.History.Write(event); err != nil {
		e.closed = true
		e.tomb.Kill(err)
	}
}

// newIncarnation returns a random id for an incarnation.
func newIncarnation() string { return cryptorand.Text() }
