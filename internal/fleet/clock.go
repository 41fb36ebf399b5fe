package fleet

import "time"

// maxDrift is the largest difference in rate between an endpoint's clock and
// the local clock, as a fraction. The protocol of the endpoints guarantees it.
const maxDrift = 0.02

// ClockReading is a reading of an endpoint's clock, taken from a response.
type ClockReading struct {
	// Sent and Received are when, on the local clock, the request was sent and
	// the response received. The reading was taken between the two.
	Sent     time.Duration
	Received time.Duration
	// Clock is the time on the endpoint's clock.
	Clock time.Duration
}

// Known reports whether there is a reading; the zero value is none.
func (r ClockReading) Known() bool { return r.Received > 0 }

// Estimate returns the approximate time on the endpoint's clock at the local
// instant now.
func (r ClockReading) Estimate(now time.Duration) time.Duration {
	return r.Clock + now - r.Received
}

// maxReadingDelay is how long an answer may be on its way, beyond which its reading can't
// be compared.
const maxReadingDelay = time.Second

// follows reports whether two readings, the other one earlier, can be of one clock. A
// reading is taken at some time between the request and the answer.
func (r ClockReading) follows(earlier ClockReading) bool {
	passed := r.Received - earlier.Received
	off := r.Clock - earlier.Estimate(r.Received)
	tolerance := maxReadingDelay + max(r.Received-r.Sent, 0) + time.Duration(2*maxDrift*float64(passed))
	return -tolerance <= off && off <= tolerance
}

// LatestLocalTime returns the local instant by which the endpoint's clock has
// certainly passed a deadline, even if it runs slow by maxDrift.
func (r ClockReading) LatestLocalTime(deadline time.Duration) time.Duration {
	left := deadline - r.Clock
	if left <= 0 {
		return r.Received
	}
	return r.Received + time.Duration(float64(left)/(1-maxDrift))
}
