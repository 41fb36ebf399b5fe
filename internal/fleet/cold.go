package fleet

import "time"

const (
	// ColdSlowdown is how much longer a task is assumed to take on an endpoint that says
	// that it is cold. Endpoints don't say how slow they are.
	ColdSlowdown = 2.0
	// MaxCold bounds how long an endpoint passes for cold after it began to say so.
	MaxCold = 5 * time.Minute
)

// coldness is what an endpoint has said about being cold, slow for a while after its start
// or after it was idle. The zero value is that of an endpoint that never was.
type coldness struct {
	// told is the time left as said last. from and until are when the last cold time began
	// and when it ends.
	told, from, until time.Duration
	// exceeded is set once the endpoint has said that it stays cold beyond MaxCold.
	exceeded bool
}

// ObserveCold records for how much longer an endpoint says that it stays cold. The time
// counts down: hearing the same again, as from an entry that is read twice, doesn't prolong
// it. It returns true when the endpoint first claims more than MaxCold.
func (e *Endpoint) ObserveCold(now, left time.Duration) (exceeds bool) {
	c := &e.cold
	told := c.told
	c.told = max(left, 0)
	switch {
	case left <= 0:
		c.until, c.exceeded = min(c.until, now), false
		return false
	case told == 0:
		c.from, c.until = now, 0
	}
	until := now + min(left, c.from+MaxCold-now)
	if c.until > 0 && left <= told {
		until = min(until, c.until)
	}
	c.until = until
	exceeds = left > c.from+MaxCold-now && !c.exceeded
	c.exceeded = c.exceeded || exceeds
	return exceeds
}

// Cold reports whether the endpoint is slow at present because it is cold.
func (e *Endpoint) Cold(now time.Duration) bool { return now < e.cold.until }

// WasCold reports whether the endpoint was cold at some time between two instants.
func (e *Endpoint) WasCold(from, to time.Duration) bool {
	return from < e.cold.until && to > e.cold.from
}

// RunTime returns how long a task takes on the endpoint if it begins now and would take the
// given time at the usual speed.
func (e *Endpoint) RunTime(usual, now time.Duration) time.Duration {
	warm := float64(usual) * e.History.Slowdown()
	cold := float64(max(e.cold.until-max(now, e.cold.from), 0))
	return time.Duration(min(warm*ColdSlowdown, warm+cold*(1-1/ColdSlowdown)))
}
