package placement

import "time"

// Policy holds the durations that the engine's rules use. All are on the clock
// that the caller passes in.
type Policy struct {
	// ShareHorizon is the time in which a team's deficit is worked off.
	ShareHorizon time.Duration
	// HistoryHalfLife is the time after which half of a deficit is forgotten.
	HistoryHalfLife time.Duration
	// ReserveAfter is how long a gang or a large task waits before room is
	// reserved for it.
	ReserveAfter time.Duration
	// HoldLimit bounds a reservation; each expiry doubles it for that work.
	HoldLimit time.Duration
	// StarveAfter is the age at which a team's oldest work goes before all
	// work but urgent.
	StarveAfter time.Duration
	// PromoteInterval is the least time between two such starts of one team.
	PromoteInterval time.Duration
	// ServicePreemptAfter is how long service work waits before it preempts
	// batch work.
	ServicePreemptAfter time.Duration
	// ReclaimAfter is how long work of a team below its share waits before it
	// preempts work of teams above theirs.
	ReclaimAfter time.Duration
	// PreemptTimeout is how long a preempted task may take to stop.
	PreemptTimeout time.Duration
	// QuarantineFirst and QuarantineMax bound the time for which a failing
	// endpoint gets no task; it doubles from the first to the last.
	QuarantineFirst time.Duration
	QuarantineMax   time.Duration
}

// DefaultPolicy returns the policy that New uses without options.
func DefaultPolicy() Policy {
	return Policy{
		ShareHorizon:        time.Minute,
		HistoryHalfLife:     10 * time.Minute,
		ReserveAfter:        2 * time.Second,
		HoldLimit:           10 * time.Minute,
		StarveAfter:         15 * time.Minute,
		PromoteInterval:     time.Minute,
		ServicePreemptAfter: 5 * time.Second,
		ReclaimAfter:        30 * time.Second,
		PreemptTimeout:      30 * time.Second,
		QuarantineFirst:     30 * time.Second,
		QuarantineMax:       30 * time.Minute,
	}
}

// Option changes how New builds an engine.
type Option func(*engine)

// WithPolicy replaces the default policy.
func WithPolicy(p Policy) Option {
	return func(e *engine) { e.policy = p }
}
