package leadership

import "time"

const (
	// strongShare is the share of the strongest member's processors below which
	// a member counts as weak. Members on equal instances all count as strong.
	// A member with less than half would be full while the strongest could take
	// the same load again.
	strongShare = 0.5
	// logLatencyStep is the smallest difference of LogLatency that counts. The
	// latency between regions exceeds it; the latency between availability
	// zones of a region does not.
	logLatencyStep = 8 * time.Millisecond
)

// Fitness describes how well a member would hold the cell compared with others.
// The holder places all work: if it is too weak, everything is delayed by
// seconds. A high latency to the log delays each job by twice that latency.
type Fitness struct {
	// Weak is set if another member has far more processors.
	Weak bool
	// LatencySteps is the member's LogLatency in units of logLatencyStep.
	LatencySteps int
}

// Before reports whether f is fitter than o.
func (f Fitness) Before(o Fitness) bool {
	if f.Weak != o.Weak {
		return !f.Weak
	}
	return f.LatencySteps < o.LatencySteps
}

// FitnessAmong returns a function that returns the fitness of each of the
// members.
func FitnessAmong(members []Member) func(Member) Fitness {
	strongest := 0.0
	for _, m := range members {
		strongest = max(strongest, m.Processors)
	}
	return func(m Member) Fitness {
		return Fitness{Weak: m.Processors < strongShare*strongest, LatencySteps: int(m.LogLatency / logLatencyStep)}
	}
}
