package fleet

import (
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// Registration is what an endpoint says of itself.
type Registration struct {
	ID string
	// Incarnation tells lives of an endpoint with the same id apart. It is the
	// time of day of the start in milliseconds.
	Incarnation int64
	// Address is the IP number and port of its interface.
	Address string
	// Instance is the machine that the endpoint runs on.
	Instance string
	// Pool is the service whose tasks the endpoint runs.
	Pool             string
	AvailabilityZone string
	Rack             string
	Labels           []string
	Capacity         resource.Vector
	// Draining endpoints take no new task and leave soon.
	Draining bool
}

// HasLabel reports whether the endpoint has a label; every endpoint has "".
func (r *Registration) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// Endpoint is one incarnation of an endpoint and what occupies it.
type Endpoint struct {
	Registration

	// Adopted is set once the endpoint has obeyed this term's epoch and its
	// list of runs was taken in. Nothing is placed on it before.
	Adopted bool
	// Listed is false while the registry lacks the endpoint.
	Listed bool
	// Remaining is the least time for which a draining endpoint stays, as it
	// said at RemainingAt.
	Remaining   time.Duration
	RemainingAt time.Duration

	// Acked is the number of the last end that may be forgotten.
	Acked int64

	// Clock is the newest reading of the endpoint's clock.
	Clock ClockReading
	// grantedUntil is the latest deadline, on the endpoint's clock, that any order
	// to it may have carried.
	grantedUntil time.Duration
	// leaseEnd is the instant by which the lease has certainly ended; 0 means
	// that none can be given yet.
	leaseEnd time.Duration

	// LastAnswered is when the endpoint last answered, Failures counts the calls
	// without an answer since.
	LastAnswered time.Duration
	Failures     int
	// AvoidUntil keeps new tasks away after a refusal.
	AvoidUntil time.Duration

	runs  []*Run
	used  resource.Vector
	fleet *Fleet
	// History learns how the endpoint does.
	History RunHistory
}

// Runs returns the runs on the endpoint in the order in which they came. The
// caller doesn't change the slice.
func (e *Endpoint) Runs() []*Run { return e.runs }

// Used returns what the runs occupy.
func (e *Endpoint) Used() resource.Vector { return e.used }

// Free returns what is left of the capacity; it may be negative.
func (e *Endpoint) Free() resource.Vector { return e.Capacity.Sub(e.used) }

// Grant notes that an order may extend the lease to a deadline of the
// endpoint's clock.
func (e *Endpoint) Grant(deadline time.Duration) {
	if deadline <= e.grantedUntil {
		return
	}
	e.grantedUntil = deadline
	e.leaseEnd = max(e.leaseEnd, e.Clock.LatestLocalTime(deadline))
}

// Deadline returns the deadline, on the endpoint's clock, of a lease that runs
// for hold from now on.
func (e *Endpoint) Deadline(now, hold time.Duration) time.Duration {
	return e.Clock.Estimate(now) + hold
}

// SetLeaseEnd sets the instant by which every lease has ended that was granted so
// far, as the log has told it.
func (e *Endpoint) SetLeaseEnd(at time.Duration) { e.leaseEnd = at }

// ExtendLeaseEnd notes that orders of others may keep the lease up to an instant.
func (e *Endpoint) ExtendLeaseEnd(at time.Duration) { e.leaseEnd = max(e.leaseEnd, at) }

// LeaseLapsed reports whether every lease that the endpoint may have has certainly
// ended. It takes an endpoint that never had one as lapsed.
func (e *Endpoint) LeaseLapsed(now time.Duration) bool { return now > e.leaseEnd }

// LeaseEnd returns the instant by which the lease has certainly ended.
func (e *Endpoint) LeaseEnd() time.Duration { return e.leaseEnd }

// RecordAnswer notes an answer that showed the endpoint's clock.
func (e *Endpoint) RecordAnswer(r ClockReading) {
	e.Failures = 0
	if r.Received <= e.LastAnswered && e.Clock.Known() {
		return
	}
	e.LastAnswered = r.Received
	e.Clock = r
}

// RecordFailure notes a call without an answer.
func (e *Endpoint) RecordFailure() { e.Failures++ }

// Add puts a run on the endpoint.
func (e *Endpoint) Add(r *Run) {
	r.Endpoint = e
	e.runs = append(e.runs, r)
	e.used = e.used.Add(r.Charge)
	e.fleet.occupy(r)
}

// Remove takes a run off the endpoint, which frees its room.
func (e *Endpoint) Remove(r *Run) {
	i := slices.Index(e.runs, r)
	if i < 0 {
		return
	}
	e.runs = slices.Delete(e.runs, i, i+1)
	e.used = e.used.Sub(r.Charge)
	e.fleet.release(r)
}
