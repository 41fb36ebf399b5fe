package placement

import "time"

// Policy holds the durations that configure the engine's rules. They are
// measured on the clock that the caller passes in.
type Policy struct {
	// ShareHorizon is the time over which a team's deficit is repaid.
	ShareHorizon time.Duration
	// HistoryHalfLife is the half-life of a team's deficit.
	HistoryHalfLife time.Duration
	// ReserveAfter is how long a gang or a large task waits before capacity is
	// reserved for it.
	ReserveAfter time.Duration
	// ReservationTimeout is how long a reservation lasts. Each expiry doubles it
	// for the work concerned.
	ReservationTimeout time.Duration
	// StarveAfter is the age at which a team's oldest work is overdue and goes
	// before all work that is not urgent.
	StarveAfter time.Duration
	// PromoteInterval is the minimum time between two starts of overdue work of
	// one team.
	PromoteInterval time.Duration
	// ServicePreemptAfter is how long service work waits before it preempts
	// batch work.
	ServicePreemptAfter time.Duration
	// ReclaimAfter is how long work of a team below its fair share waits before
	// it preempts work of teams above theirs.
	ReclaimAfter time.Duration
	// PreemptTimeout is how long a preempted task may take to stop before it
	// can be selected for preemption again.
	PreemptTimeout time.Duration
	// QuarantineMin and QuarantineMax bound the time for which a failing
	// endpoint gets no tasks. The time doubles with each further quarantine.
	QuarantineMin time.Duration
	QuarantineMax time.Duration
}

// DefaultPolicy returns the policy that New uses without options.
func DefaultPolicy() Policy {
	return Policy{
		ShareHorizon:        time.Minute,
		HistoryHalfLife:     10 * time.Minute,
		ReserveAfter:        2 * time.Second,
		ReservationTimeout:  10 * time.Minute,
		StarveAfter:         15 * time.Minute,
		PromoteInterval:     time.Minute,
		ServicePreemptAfter: 5 * time.Second,
		ReclaimAfter:        30 * time.Second,
		PreemptTimeout:      30 * time.Second,
		QuarantineMin:       30 * time.Second,
		QuarantineMax:       30 * time.Minute,
	}
}

// Option changes how New builds an engine.
type Option func(*engine)

// WithPolicy replaces the default policy.
func WithPolicy(p Policy) Option {
	return func(e *engine) { e.policy = p }
}
