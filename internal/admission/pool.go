package admission

import (
	"math"
	"time"
)

const (
	// initialDrain is the part of a pool that is taken to work on waiting work before
	// it was seen how much starts; leastDrain is the least that counts for a class, and
	// mostDrain the most: callers may state far too long run times.
	initialDrain = 0.8
	leastDrain   = 0.2
	mostDrain    = 20
	// drainWindow is the time constant of the averages of what starts. A burst of better
	// work that is shorter takes the room of other work for a moment only.
	drainWindow = 10 * time.Second
	// drainKept is how long what was seen of a pool is kept while it has room.
	drainKept = time.Minute
	// releaseSlots is the number of intervals of releaseSlot for which the ends of runs
	// are counted.
	releaseSlots = 64
	releaseSlot  = 250 * time.Millisecond
)

// Class orders waiting work: a lower class is served first.
type Class struct {
	// Excess work goes behind all other, and within a priority that of customers over
	// their shares.
	Excess    bool
	Priority  int
	OverShare bool
}

// before reports whether work of class c is served before work of class o.
func (c Class) before(o Class) bool {
	if c.Excess != o.Excess {
		return o.Excess
	}
	if c.Priority != o.Priority {
		return c.Priority < o.Priority
	}
	return !c.OverShare && o.OverShare
}

// Load is an amount of work.
type Load struct {
	// Share is the part of the pool that the work takes at a time, Seconds how long it
	// takes the whole pool.
	Share   float64
	Seconds float64
	// Late is the part of Seconds that can't meet its objective any more.
	Late float64
}

func (l Load) add(o Load) Load {
	return Load{Share: l.Share + o.Share, Seconds: l.Seconds + o.Seconds, Late: l.Late + o.Late}
}

// Pool is the state of a pool of endpoints after a plan that left work without room.
type Pool struct {
	// Free is the part of the capacity that is free, from 0 to 1.
	Free float64
	// waiting is the waiting work by class and customer.
	waiting map[Class]map[string]Load
	// weights are the weights of the customers that have waiting work.
	weights map[string]float64
	// started is the work that the plan started, in seconds of the pool by class, and
	// released the part of the pool that the ends of runs are expected to free in each
	// interval.
	started  map[Class]float64
	released [releaseSlots]float64
	drains   *drains
}

// NewPool returns the state of a pool without work.
func NewPool(free float64) *Pool {
	return &Pool{Free: free, waiting: make(map[Class]map[string]Load), weights: make(map[string]float64), started: make(map[Class]float64)}
}

// AddWaiting adds waiting work of a customer.
func (p *Pool) AddWaiting(class Class, customer string, weight float64, l Load) {
	if p.waiting[class] == nil {
		p.waiting[class] = make(map[string]Load)
	}
	p.waiting[class][customer] = p.waiting[class][customer].add(l)
	p.weights[customer] = boundedWeight(weight)
}

// AddStarted adds work that the plan started, in seconds of the whole pool.
func (p *Pool) AddStarted(class Class, seconds float64) { p.started[class] += seconds }

// AddRunning adds a run that takes a part of the pool and is expected to end in a time.
func (p *Pool) AddRunning(share float64, endsIn time.Duration) {
	if slot := endsIn / releaseSlot; slot >= 0 && slot < releaseSlots {
		p.released[slot] += share
	}
}

// Wait returns how long new work of a class, which takes a share of the pool at a time, is
// expected to wait for what goes before it.
func (p *Pool) Wait(class Class, share float64) time.Duration {
	ahead, _ := p.ahead(class, "")
	drained := ahead.Seconds / p.drain(class)
	return time.Duration(min(max(drained, p.freedIn(ahead.Share+share)), maxWait.Seconds()) * float64(time.Second))
}

// ahead returns the waiting work that goes before new work of a class, and a customer's
// part of it.
func (p *Pool) ahead(class Class, customer string) (all, own Load) {
	for other, byCustomer := range p.waiting {
		if class.before(other) {
			continue
		}
		for name, l := range byCustomer {
			all = all.add(l)
			if name == customer {
				own = own.add(l)
			}
		}
	}
	return all, own
}

// drain returns how much work of a class and those after it the pool takes in, in seconds of
// the whole pool a second. Better work takes the rest.
func (p *Pool) drain(class Class) float64 {
	if p.drains == nil {
		return initialDrain
	}
	return min(max(p.drains.of(class), leastDrain), mostDrain)
}

// freedIn returns in how many seconds the present runs will have freed a part of the
// pool; 0 if they are not expected to free that much.
func (p *Pool) freedIn(part float64) float64 {
	sum := p.Free
	for slot, share := range p.released {
		if sum >= part {
			return float64(slot) * releaseSlot.Seconds()
		}
		sum += share
	}
	return 0
}

// lasts reports whether much of the work that goes before a class, or with it, is late.
func (p *Pool) lasts(class Class) bool {
	all, _ := p.ahead(class, "")
	return all.Late > 0 && all.Late >= lateShare*all.Seconds
}

// isSmall reports whether a customer has a small part of the waiting work that goes before a
// class, for its weight.
func (p *Pool) isSmall(class Class, customer string, weight float64) bool {
	all, own := p.ahead(class, customer)
	weights := 0.0
	for name, w := range p.weights {
		if name != customer {
			weights += w
		}
	}
	weight = boundedWeight(weight)
	return own.Seconds < smallShare*weight/(weights+weight)*all.Seconds
}

// boundedWeight returns a customer's weight; one without a usable weight counts as 1.
func boundedWeight(weight float64) float64 {
	const most = 1e6
	if !(weight > 0) {
		return 1
	}
	return min(weight, most)
}

// drains holds averages of the work that a pool takes in while other work waits for room, in
// seconds of the pool a second. They tell what the endpoints really take: runs that take longer
// than stated, that are lost or that leave gaps show in them.
type drains struct {
	at time.Duration
	// blocked is set if work was left without room at the last plan.
	blocked bool
	// assumed is what is left of initialDrain.
	assumed float64
	seen    map[Class]float64
}

func newDrains() *drains { return &drains{assumed: initialDrain, seen: make(map[Class]float64)} }

// observe adds what a plan started, nil if it found room for all.
func (d *drains) observe(now time.Duration, p *Pool) {
	if p == nil {
		d.blocked = false
		return
	}
	if d.blocked {
		kept := math.Exp(-(now - d.at).Seconds() / drainWindow.Seconds())
		d.assumed *= kept
		for class := range d.seen {
			d.seen[class] *= kept
		}
		for class, seconds := range p.started {
			d.seen[class] += seconds / drainWindow.Seconds()
		}
	}
	d.at, d.blocked = now, true
}

// of returns the average for a class and those after it.
func (d *drains) of(class Class) float64 {
	sum := d.assumed
	for other, seconds := range d.seen {
		if !other.before(class) {
			sum += seconds
		}
	}
	return sum
}
