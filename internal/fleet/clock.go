package fleet

import "time"

// maxDrift is how much faster or slower than ours an endpoint's clock may run;
// the endpoints' interface states it.
const maxDrift = 0.02

// ClockReading is what an answer told of an endpoint's clock.
type ClockReading struct {
	// Sent and Received bracket, on our clock, the instant of the reading.
	Sent     time.Duration
	Received time.Duration
	// Clock is what the endpoint's clock showed.
	Clock time.Duration
}

// Known reports whether there is a reading at all.
func (r ClockReading) Known() bool { return r.Received > 0 }

// Estimate returns about what the endpoint's clock shows at an instant of ours.
func (r ClockReading) Estimate(now time.Duration) time.Duration {
	return r.Clock + now - r.Received
}

// LatestLocalTime returns the instant of our clock at which the endpoint's clock has
// certainly passed a deadline, however slow it runs.
func (r ClockReading) LatestLocalTime(deadline time.Duration) time.Duration {
	left := deadline - r.Clock
	if left <= 0 {
		return r.Received
	}
	return r.Received + time.Duration(float64(left)/(1-maxDrift))
}
