// Package eligibility distributes the questions to the platform's eligibility
// service, which names the endpoints that may run a step, over the instances of the
// cell, that is, its daemons. The service processes one call per instance at a time.
package eligibility

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/pkg/errors"
)

const (
	// responseAllowance is how long a question may take beyond the processing
	// time of the service. It covers latency between regions and a busy
	// instance.
	responseAllowance = 600 * time.Millisecond
	// failureBackoff is how long an instance is not used after a failure. It
	// doubles with each further one, up to maxFailureBackoff: an instance on a
	// machine that is gone times out each time.
	failureBackoff    = time.Second
	maxFailureBackoff = 8 * time.Second
	// maxAttempts bounds the attempts to ask one question.
	maxAttempts = 3
	// maxUrgentPerInstance bounds the urgent questions in flight per instance. It
	// is above 1 because they are short: with one at a time, the service would be
	// idle during the network round trip.
	maxUrgentPerInstance = 3
	// unbatchedCost is the additional cost in flight up to which a batched
	// instance is preferred to an unbatched one: two urgent questions.
	unbatchedCost = 20 * time.Millisecond
)

// Asker asks the service one question.
type Asker interface {
	// Ask asks which of the endpoints are eligible for a step.
	Ask(ctx context.Context, step string, endpoints []string) (controller.EligibilityAnswer, error)
}

// Instance is an instance of the cell through which questions can be asked.
type Instance struct {
	// Name identifies the instance.
	Name  string
	Asker Asker
	// Local is set for this daemon's own instance, which takes urgent questions
	// only while other instances are usable.
	Local bool
	// Batched, if set, reports whether questions are sent to the instance in a
	// batch with other calls, which costs the holder less.
	Batched func() bool
}

// Pool asks each question through the available instance with the lowest load.
// Instances that failed the last question are used last. Questions wait while no
// instance is available. It is safe for concurrent use.
type Pool struct {
	now func() time.Duration

	mu        sync.Mutex
	instances map[string]*instance
	urgent    []*waiter
	normal    []*waiter
}

// instance is the pool's state of an Instance.
type instance struct {
	Instance
	// inFlightCost is the total cost of the questions in flight, inFlight their
	// number and inFlightNormal the number of those that are not urgent.
	inFlightCost   time.Duration
	inFlight       int
	inFlightNormal int
	// failures counts the backoffs since the last answer.
	failures     int
	backoffUntil time.Duration
}

// waiter is a question that waits for an instance. exclude are the instances
// that have failed it.
type waiter struct {
	assigned chan *instance
	cost     time.Duration
	exclude  map[string]bool
}

// NewPool returns a pool without instances. now is a monotonic clock.
func NewPool(now func() time.Duration) *Pool {
	return &Pool{now: now, instances: make(map[string]*instance)}
}

// SetInstances replaces the instances, which are identified by name. Instances
// that remain keep their state.
func (p *Pool) SetInstances(instances []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*instance, len(instances))
	for _, inst := range instances {
		if known := p.instances[inst.Name]; known != nil {
			known.Instance = inst
			next[inst.Name] = known
			continue
		}
		next[inst.Name] = &instance{Instance: inst}
	}
	p.instances = next
	p.assignWaiters()
}

// Ask implements controller.Eligibility. If a call fails, it tries another
// instance, maxAttempts in total, and returns the last error.
func (p *Pool) Ask(ctx context.Context, o *controller.AskOrder) (controller.EligibilityAnswer, error) {
	exclude := make(map[string]bool)
	var last error
	for range maxAttempts {
		inst, err := p.acquire(ctx, o, exclude)
		if err != nil {
			if last != nil {
				err = last
			}
			return controller.EligibilityAnswer{}, err
		}
		answer, err := p.ask(ctx, inst, o)
		p.finish(inst, o, err)
		if err == nil {
			return answer, nil
		}
		exclude[inst.Name] = true
		last = errors.WithMessagef(err, "through %s", inst.Name)
	}
	return controller.EligibilityAnswer{}, last
}

// ask asks a question through an instance, with a timeout.
func (p *Pool) ask(ctx context.Context, inst *instance, o *controller.AskOrder) (controller.EligibilityAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Cost+responseAllowance)
	defer cancel()
	return inst.Asker.Ask(ctx, o.Step, o.Endpoints)
}

// acquire waits until an instance is available and reserves it for the question.
func (p *Pool) acquire(ctx context.Context, o *controller.AskOrder, exclude map[string]bool) (*instance, error) {
	p.mu.Lock()
	if inst := p.choose(o.Urgent, exclude); inst != nil {
		inst.reserve(o.Urgent, o.Cost)
		p.mu.Unlock()
		return inst, nil
	}
	w := &waiter{assigned: make(chan *instance, 1), cost: o.Cost, exclude: exclude}
	if o.Urgent {
		p.urgent = append(p.urgent, w)
	} else {
		p.normal = append(p.normal, w)
	}
	p.mu.Unlock()
	select {
	case inst := <-w.assigned:
		return inst, nil
	case <-ctx.Done():
		p.cancelWait(w, o)
		return nil, ctx.Err()
	}
}

// cancelWait removes a waiter. An instance that was assigned to it in the
// meantime is released.
func (p *Pool) cancelWait(w *waiter, o *controller.AskOrder) {
	p.mu.Lock()
	p.urgent = removeWaiter(p.urgent, w)
	p.normal = removeWaiter(p.normal, w)
	p.mu.Unlock()
	select {
	case inst := <-w.assigned:
		p.mu.Lock()
		p.release(inst, o)
		p.mu.Unlock()
	default:
	}
}

func removeWaiter(list []*waiter, w *waiter) []*waiter {
	for i := range list {
		if list[i] == w {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// reserve counts a question as in flight.
func (inst *instance) reserve(urgent bool, cost time.Duration) {
	inst.inFlight++
	inst.inFlightCost += cost
	if !urgent {
		inst.inFlightNormal++
	}
}

// finish ends a question that was asked through an instance. After an error the
// instance is not used for some time.
func (p *Pool) finish(inst *instance, o *controller.AskOrder, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.backOff(inst)
	} else {
		inst.failures = 0
	}
	p.release(inst, o)
}

// backOff begins the backoff of an instance that failed. Further questions in
// flight that fail during the backoff don't extend it. The local instance is
// reachable at all times, so that its backoff does not grow.
func (p *Pool) backOff(inst *instance) {
	now := p.now()
	if now < inst.backoffUntil {
		return
	}
	pause := failureBackoff
	if !inst.Local {
		pause = min(failureBackoff<<inst.failures, maxFailureBackoff)
	}
	if pause < maxFailureBackoff {
		inst.failures++
	}
	inst.backoffUntil = now + pause
	time.AfterFunc(pause, p.resumeWaiters)
}

// release ends the reservation of a question on an instance and assigns
// available instances to waiters. The caller holds p.mu.
func (p *Pool) release(inst *instance, o *controller.AskOrder) {
	inst.inFlight--
	inst.inFlightCost -= o.Cost
	if !o.Urgent {
		inst.inFlightNormal--
	}
	p.assignWaiters()
}

// resumeWaiters assigns instances to waiters after a backoff has ended.
func (p *Pool) resumeWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assignWaiters()
}

// assignWaiters assigns available instances to waiters, urgent ones first.
func (p *Pool) assignWaiters() {
	p.urgent = p.assignList(p.urgent, true)
	p.normal = p.assignList(p.normal, false)
}

func (p *Pool) assignList(list []*waiter, urgent bool) []*waiter {
	for len(list) > 0 {
		w := list[0]
		inst := p.choose(urgent, w.exclude)
		if inst == nil {
			return list
		}
		inst.reserve(urgent, w.cost)
		w.assigned <- inst
		list = list[1:]
	}
	return list
}

// choose returns the best instance that may take a question now, or nil.
// Instances in exclude are used only if there is no other.
func (p *Pool) choose(urgent bool, exclude map[string]bool) *instance {
	if inst := p.leastLoaded(urgent, exclude); inst != nil || len(exclude) == 0 {
		return inst
	}
	return p.leastLoaded(urgent, nil)
}

func (p *Pool) leastLoaded(urgent bool, exclude map[string]bool) *instance {
	now := p.now()
	var best *instance
	for _, inst := range p.instances {
		if now < inst.backoffUntil || exclude[inst.Name] || !p.hasCapacity(inst, urgent, len(exclude) > 0) {
			continue
		}
		if best == nil || inst.before(best) {
			best = inst
		}
	}
	return best
}

// hasCapacity reports whether an instance may take a question now. Urgent
// questions share an instance with each other but not with normal ones. The
// local instance takes a normal question if another instance has failed it.
func (p *Pool) hasCapacity(inst *instance, urgent, retried bool) bool {
	if urgent {
		return inst.inFlightNormal == 0 && inst.inFlight < maxUrgentPerInstance
	}
	return inst.inFlight == 0 && (!inst.Local || retried || p.onlyLocal())
}

// onlyLocal reports whether this daemon's own instance is the only usable one.
func (p *Pool) onlyLocal() bool {
	now := p.now()
	for _, inst := range p.instances {
		if !inst.Local && now >= inst.backoffUntil {
			return false
		}
	}
	return true
}

// load returns the cost in flight on an instance, plus unbatchedCost if its
// calls are not batched.
func (inst *instance) load() time.Duration {
	if inst.Batched != nil && inst.Batched() {
		return inst.inFlightCost
	}
	return inst.inFlightCost + unbatchedCost
}

// before reports whether inst is preferred to o: one whose last question was
// answered, then the lower load, then the local instance, which has the lowest
// latency, then the lower name.
func (inst *instance) before(o *instance) bool {
	if a, b := inst.failures > 0, o.failures > 0; a != b {
		return b
	}
	if a, b := inst.load(), o.load(); a != b {
		return a < b
	}
	if inst.Local != o.Local {
		return inst.Local
	}
	return inst.Name < o.Name
}
