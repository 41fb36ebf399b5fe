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
	// freeShare is the part of a pool that is free from which nobody is refused.
	freeShare = 0.2
	// smallShare is the fraction of its part by weight of the waiting work up to which
	// a customer is not refused: others fill the queue.
	smallShare = 0.5
	// waitMargin is the part by which a wait may exceed what is expected: work that goes
	// first comes meanwhile, and run times differ. Without it the door would hold an
	// overload where all that it accepts ends at the last moment, and half of it later.
	waitMargin = 0.25
	// lateShare is the part of the waiting work that is late from which an overload counts
	// as one that lasts.
	lateShare = 0.25
	// minRetry and maxRetry bound the time after which a refused caller may return, and
	// retrySpread is the fraction of it over which the callers are spread.
	minRetry    = 500 * time.Millisecond
	maxRetry    = 8 * time.Second
	retrySpread = 0.5
	// maxRemembered bounds the refusals whose outcome is still open.
	maxRemembered = 4096
	// maxAge is the age from which the state of the pools tells nothing of their room.
	maxAge = time.Second
	// maxWait bounds expected waits, so that sums of them stay in range.
	maxWait = 24 * time.Hour
)

// Job is a job that asks to be accepted.
type Job struct {
	// ID spreads the callers that may return.
	ID       string
	Pool     string
	Class    Class
	Customer string
	Weight   float64
	Load     Load
	// Runs is how long the job runs once it has begun. From now on its end meets its
	// objective for Objective, and is of use to its caller for Useful.
	Runs      time.Duration
	Objective time.Duration
	Useful    time.Duration
	// HasRoom reports whether the endpoints have room for the job now, nil if they have
	// none. It is asked last, as it looks at all of them.
	HasRoom func() bool
}

// Verdict is the decision on a job.
type Verdict struct {
	Refused bool
	// Wait is the expected wait; RetryAfter is when a refused caller may return.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Door decides on jobs by the pools of the last plan. The zero value knows no pool and
// refuses nobody. It is not safe for concurrent use.
type Door struct {
	pools   map[string]*Pool
	drains  map[string]*drains
	at      time.Duration
	refused []refusal
}

// refusal is a refused job whose outcome is still open: it could have been served if its
// pool has room by latest.
type refusal struct {
	pool   string
	latest time.Duration
}

// Update sets the state of the pools that have no room after a plan. It returns how many of
// the jobs that were refused before could have been served, as their pools have room in time.
func (d *Door) Update(now time.Duration, blocked map[string]*Pool) (servable int) {
	if d.drains == nil {
		d.drains = make(map[string]*drains)
	}
	for name, p := range blocked {
		if d.drains[name] == nil {
			d.drains[name] = newDrains()
		}
		p.drains = d.drains[name]
	}
	for name, seen := range d.drains {
		p := blocked[name]
		if p != nil && p.Free >= freeShare {
			// What starts while there is room is what comes, not what the pool can take.
			p = nil
		}
		if seen.observe(now, p); now-seen.at > drainKept {
			delete(d.drains, name)
		}
	}
	d.pools, d.at = blocked, now
	open := d.refused[:0]
	for _, r := range d.refused {
		switch p := blocked[r.pool]; {
		case now > r.latest:
		case p == nil || p.Free >= freeShare:
			servable++
		default:
			open = append(open, r)
		}
	}
	d.refused = open
	return servable
}

// Judges reports whether the door knows that a pool has no room.
func (d *Door) Judges(now time.Duration, pool string) bool {
	p := d.pools[pool]
	return p != nil && p.Free < freeShare && now-d.at <= maxAge
}

// Decide decides on a job. Nobody is refused while there is room, be it kept for other work,
// nor a customer that has a small part of the waiting work. While an overload lasts, jobs are
// accepted up to what meets their objectives: late work goes behind what is not, so that what
// would be late could wait until the overload is over. The work of an accepted job counts as waiting at once: many jobs
// may ask between two plans.
func (d *Door) Decide(now time.Duration, j Job) Verdict {
	if !d.Judges(now, j.Pool) {
		return Verdict{}
	}
	p := d.pools[j.Pool]
	v := Verdict{Wait: p.Wait(j.Class, j.Load.Share)}
	useful := j.Useful
	if p.lasts(j.Class) {
		useful = min(useful, j.Objective)
	}
	over := time.Duration((1+waitMargin)*float64(v.Wait)) + j.Runs - useful
	if over <= 0 || p.isSmall(j.Class, j.Customer, j.Weight) || j.HasRoom != nil && j.HasRoom() {
		p.AddWaiting(j.Class, j.Customer, j.Weight, j.Load)
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
