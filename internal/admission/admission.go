// Package admission decides which jobs are refused because they can't be served in a time
// that is of use to their callers. It answers overload that lasts: accepted jobs then all
// wait too long, and each that is useless by the time it runs takes room from others. It
// performs no I/O and reads no clock.
package admission

import (
	"hash/fnv"
	"time"
)

const (
	// utilization is the part of a pool that is expected to work on waiting work.
	utilization = 0.8
	// smallShare is the fraction of its part by weight of the waiting work up to which
	// a customer is not refused: others fill the queue.
	smallShare = 0.5
	// freeShare is the part of a pool that is free from which nobody is refused.
	freeShare = 0.2
	// minRetry and maxRetry bound the time after which a refused caller may return, and
	// retrySpread is the fraction of it over which the callers are spread.
	minRetry    = 500 * time.Millisecond
	maxRetry    = 8 * time.Second
	retrySpread = 0.5
	// maxRemembered bounds the refusals whose outcome is still open.
	maxRemembered = 4096
)

// Class orders waiting work: a lower class is served first.
type Class struct {
	// Excess work goes behind all other.
	Excess   bool
	Priority int
}

// before reports whether work of class c is served before work of class o, or beside it.
func (c Class) before(o Class) bool {
	if c.Excess != o.Excess {
		return o.Excess
	}
	return c.Priority <= o.Priority
}

// Pool is the state of a pool of endpoints at a plan.
type Pool struct {
	// Free is the part of the capacity that is free, from 0 to 1.
	Free float64
	// Blocked is set if the plan left work for which there was no room.
	Blocked bool
	// waiting is the waiting work by class and customer, in seconds of the whole pool.
	waiting map[Class]map[string]float64
	// weights are the weights of the customers that have waiting work.
	weights map[string]float64
}

// Add adds waiting work of a customer, in seconds of the whole pool.
func (p *Pool) Add(class Class, customer string, weight, seconds float64) {
	if p.waiting == nil {
		p.waiting, p.weights = make(map[Class]map[string]float64), make(map[string]float64)
	}
	if p.waiting[class] == nil {
		p.waiting[class] = make(map[string]float64)
	}
	p.waiting[class][customer] += seconds
	p.weights[customer] = max(weight, 0)
}

// Wait returns how long new work of a class is expected to wait for what goes before it.
func (p *Pool) Wait(class Class) time.Duration {
	total := 0.0
	for other, byCustomer := range p.waiting {
		if !other.before(class) {
			continue
		}
		for _, seconds := range byCustomer {
			total += seconds
		}
	}
	return time.Duration(min(total/utilization, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds expected waits, so that sums of them stay in range.
const maxWait = 24 * time.Hour

// isSmall reports whether a customer has a small part of the waiting work that goes before a
// class, for its weight.
func (p *Pool) isSmall(class Class, customer string) bool {
	own, total, weights := 0.0, 0.0, 0.0
	for other, byCustomer := range p.waiting {
		if !other.before(class) {
			continue
		}
		for name, seconds := range byCustomer {
			total += seconds
			if name == customer {
				own += seconds
			}
		}
	}
	for _, weight := range p.weights {
		weights += weight
	}
	part := 1 / float64(max(len(p.weights), 1))
	if weights > 0 {
		part = p.weights[customer] / weights
	}
	return own < smallShare*part*total
}

// Job is a job that asks to be accepted.
type Job struct {
	// ID spreads the callers that may return.
	ID       string
	Pool     string
	Class    Class
	Customer string
	// Runs is how long the job runs once it has begun, Useful how long from now its end is
	// of use to its caller.
	Runs   time.Duration
	Useful time.Duration
}

// Verdict is the decision on a job.
type Verdict struct {
	Refused bool
	// Wait is the expected wait; RetryAfter is when a refused caller may return.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Door decides on jobs by the pools of the last plan. It is not safe for concurrent use.
type Door struct {
	pools   map[string]*Pool
	refused []refusal
}

// refusal is a refused job whose outcome is still open: it could have been served if its
// pool has room by latest.
type refusal struct {
	pool   string
	latest time.Duration
}

// Update sets the state of the pools at a plan; nil if nothing waits. It returns how many of the jobs that were
// refused before could have been served, as their pools have room in time.
func (d *Door) Update(now time.Duration, pools map[string]*Pool) (servable int) {
	d.pools = pools
	open := d.refused[:0]
	for _, r := range d.refused {
		p := pools[r.pool]
		switch {
		case now > r.latest:
		case pools == nil, p != nil && !p.Blocked:
			servable++
		default:
			open = append(open, r)
		}
	}
	d.refused = open
	return servable
}

// Decide decides on a job. Nobody is refused while there is room, nor a customer that has a
// small part of the waiting work.
func (d *Door) Decide(now time.Duration, j Job) Verdict {
	p := d.pools[j.Pool]
	if p == nil || !p.Blocked || p.Free >= freeShare {
		return Verdict{}
	}
	v := Verdict{Wait: p.Wait(j.Class)}
	over := v.Wait + j.Runs - j.Useful
	if over <= 0 || p.isSmall(j.Class, j.Customer) {
		return v
	}
	v.Refused = true
	v.RetryAfter = spread(j.ID, min(max(over, minRetry), maxRetry))
	if len(d.refused) < maxRemembered {
		d.refused = append(d.refused, refusal{pool: j.Pool, latest: now + j.Useful - j.Runs})
	}
	return v
}

// spread returns a time from pause to retrySpread more of it, which follows from id: callers
// that were refused together don't return together.
func spread(id string, pause time.Duration) time.Duration {
	h := fnv.New32a()
	// Write never fails; see hash.Hash.
	_, _ = h.Write([]byte(id))
	part := float64(h.Sum32()) / (1 << 32)
	return pause + time.Duration(part*retrySpread*float64(pause))
}
