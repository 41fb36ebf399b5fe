package leadership

import "time"

const (
	// strongShare is the part of the strongest member's processors from which on
	// a member counts as strong. Among instances of one kind all are, and one of
	// less than half would be full where the strongest has room for as much
	// again.
	strongShare = 0.5
	// logStep is the difference of LogTime that counts: regions are further
	// apart, and availability zones of one region nearer.
	logStep = 8 * time.Millisecond
)

// Fitness tells how well a member would hold the cell beside others. The holder
// places all work: one that is too weak for it delays everything by seconds,
// while a long way to the log costs each job two of them.
type Fitness struct {
	// Weak is set if another member has far more processors.
	Weak bool
	// Steps is how long a call of the log takes, in steps that count.
	Steps int
}

// Before reports whether a member fits better than another.
func (f Fitness) Before(o Fitness) bool {
	if f.Weak != o.Weak {
		return !f.Weak
	}
	return f.Steps < o.Steps
}

// FitnessAmong returns a function that tells the fitness of each of the members.
func FitnessAmong(members []Member) func(Member) Fitness {
	strongest := 0.0
	for _, m := range members {
		strongest = max(strongest, m.Processors)
	}
	return func(m Member) Fitness {
		return Fitness{Weak: m.Processors < strongShare*strongest, Steps: int(m.LogTime / logStep)}
	}
}
