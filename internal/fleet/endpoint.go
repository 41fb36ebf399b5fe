package fleet

import (
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Registration is what an endpoint has registered about itself.
type Registration struct {
	ID string
	// Incarnation distinguishes restarts of an endpoint with the same id. It is
	// the wall-clock time of the start, in milliseconds.
	Incarnation int64
	// Address is the IP address and port on which the endpoint takes orders.
	Address string
	// Instance is the machine that the endpoint runs on.
	Instance string
	// Pool is the pool of endpoints to which it belongs; an endpoint runs only
	// the tasks of its pool.
	Pool             string
	AvailabilityZone string
	Rack             string
	Labels           []string
	Capacity         resource.Vector
	// Draining is set if the endpoint takes no new tasks and leaves soon.
	Draining bool
	// ColdLeft is for how much longer the endpoint says that it stays slow.
	ColdLeft time.Duration
}

// Described reports whether the incarnation has registered. Of one that only its reports tell
// of, nothing is known but its address: it may be of another kind than the one before.
func (r *Registration) Described() bool { return r.Pool != "" }

// HasLabel reports whether the endpoint has a label. The empty label matches
// every endpoint.
func (r *Registration) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// OffersSame reports whether two registrations offer the same to tasks.
func (r *Registration) OffersSame(o *Registration) bool {
	return r.Pool == o.Pool && r.Capacity == o.Capacity && r.AvailabilityZone == o.AvailabilityZone && r.Rack == o.Rack && slices.Equal(r.Labels, o.Labels)
}

// Endpoint is one incarnation of an endpoint: its runs, its lease and its
// health. An endpoint may work on its runs only while it has a lease, which the
// holder's orders extend.
type Endpoint struct {
	Registration

	// Adopted is set once the endpoint has accepted this term's epoch and its
	// list of runs has been processed. No task is placed on it before that.
	Adopted bool
	// Listed is set while the endpoint is in the registry.
	Listed bool
	// Remaining is the least time for which a draining endpoint stays, as
	// reported at RemainingAt.
	Remaining   time.Duration
	RemainingAt time.Duration

	// Acked is the number of the last ended run that the endpoint may forget.
	Acked int64

	// Clock is the newest reading of the endpoint's clock.
	Clock ClockReading
	// grantedUntil is the latest lease deadline, on the endpoint's clock, that
	// any order to the endpoint may have carried.
	grantedUntil time.Duration
	// leaseEnd is the instant by which the lease has certainly ended; 0 if no
	// lease is known to have been granted.
	leaseEnd time.Duration

	// LastAnswered is when the endpoint last answered. Failures is the number
	// of calls without an answer since then.
	LastAnswered time.Duration
	Failures     int
	// AvoidUntil is the instant before which no task is placed on the endpoint,
	// after a refusal or repeated failures.
	AvoidUntil time.Duration

	runs  []*Run
	used  resource.Vector
	fleet *Fleet
	// History holds the results of the endpoint's runs.
	History RunHistory
	cold    coldness
}

// Runs returns the runs on the endpoint in the order in which they were added.
// The caller must not modify the slice.
func (e *Endpoint) Runs() []*Run { return e.runs }

// Used returns the resources that the runs occupy.
func (e *Endpoint) Used() resource.Vector { return e.used }

// Free returns the unused capacity, which is negative if the endpoint is
// overcommitted.
func (e *Endpoint) Free() resource.Vector { return e.Capacity.Sub(e.used) }

// Grant records that an order may extend the lease to a deadline on the
// endpoint's clock.
func (e *Endpoint) Grant(deadline time.Duration) {
	if deadline <= e.grantedUntil {
		return
	}
	e.grantedUntil = deadline
	e.leaseEnd = max(e.leaseEnd, e.Clock.LatestLocalTime(deadline))
}

// Deadline returns the deadline, on the endpoint's clock, of a lease that lasts
// for length from now on.
func (e *Endpoint) Deadline(now, length time.Duration) time.Duration {
	return e.Clock.Estimate(now) + length
}

// SetLeaseEnd sets the instant by which every lease granted so far has ended.
// The caller derives it from the log, or from the endpoint's refusal of earlier
// terms.
func (e *Endpoint) SetLeaseEnd(at time.Duration) { e.leaseEnd = at }

// ExtendLeaseEnd records that orders that Grant did not record, such as those of
// other terms, may have extended the lease up to an instant.
func (e *Endpoint) ExtendLeaseEnd(at time.Duration) { e.leaseEnd = max(e.leaseEnd, at) }

// LeaseLapsed reports whether every lease that the endpoint may have has
// certainly ended. It returns true for an endpoint that never had a lease.
func (e *Endpoint) LeaseLapsed(now time.Duration) bool { return now > e.leaseEnd }

// LeaseEnd returns the instant by which the lease has certainly ended.
func (e *Endpoint) LeaseEnd() time.Duration { return e.leaseEnd }

// RecordAnswer records an answer with its reading of the endpoint's clock.
// Older readings than the newest one are ignored. It reports whether the clock
// is certainly another one than before, that of a later incarnation.
func (e *Endpoint) RecordAnswer(r ClockReading) (otherClock bool) {
	e.Failures = 0
	if r.Received <= e.LastAnswered && e.Clock.Known() {
		return false
	}
	otherClock = e.Clock.Known() && !r.follows(e.Clock)
	if otherClock {
		// Deadlines on the earlier clock say nothing of later ones.
		e.grantedUntil = 0
	}
	e.LastAnswered = r.Received
	e.Clock = r
	return otherClock
}

// RecordFailure records a call without an answer.
func (e *Endpoint) RecordFailure() { e.Failures++ }

// Add adds a run to the endpoint, where it occupies resources.
func (e *Endpoint) Add(r *Run) {
	r.Endpoint = e
	e.runs = append(e.runs, r)
	e.used = e.used.Add(r.Charge)
	e.fleet.occupy(r)
}

// Remove removes a run from the endpoint and frees its resources.
func (e *Endpoint) Remove(r *Run) {
	i := slices.Index(e.runs, r)
	if i < 0 {
		return
	}
	e.runs = slices.Delete(e.runs, i, i+1)
	e.used = e.used.Sub(r.Charge)
	e.fleet.release(r)
}
