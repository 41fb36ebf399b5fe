package fleet

import (
	"math"
	"time"
)

const (
	// maxOutcomes is how many ended runs are remembered: enough to distinguish
	// an endpoint that fails all runs from one that ran some faulty tasks.
	maxOutcomes = 8
	// minFailedJobs is the number of different jobs whose runs must have failed
	// in a row before no tasks are placed on an endpoint for a while. A single
	// faulty job is not enough.
	minFailedJobs = 3
	// slowdownWeight is the weight of a new observation in the moving average
	// of an endpoint's slowdown. About the last five observations dominate, as
	// endpoints become slow within seconds.
	slowdownWeight = 0.2
	// slowdownSpread is the standard deviation of the logarithm of the endpoints'
	// slowdowns that is assumed in weighing an observation that is itself uncertain.
	slowdownSpread = 0.3
)

// RunHistory summarizes the results of an endpoint's recent runs. The zero
// value is an empty history.
type RunHistory struct {
	outcomes []outcome
	// slowdown is the moving average of how long runs take on the endpoint
	// relative to their estimate: 1 is as estimated, 0 means unknown.
	slowdown float64
}

// outcome is the end of a run.
type outcome struct {
	job    string
	failed bool
}

// ObserveEnd records the end of a run of a job.
func (r *RunHistory) ObserveEnd(job string, failed bool) {
	r.outcomes = append(r.outcomes, outcome{job: job, failed: failed})
	if len(r.outcomes) > maxOutcomes {
		r.outcomes = r.outcomes[1:]
	}
}

// Failing reports whether the last runs have all failed, and were of at least
// minFailedJobs different jobs.
func (r *RunHistory) Failing() bool {
	jobs := make(map[string]bool)
	for i := len(r.outcomes) - 1; i >= 0; i-- {
		if !r.outcomes[i].failed {
			return false
		}
		jobs[r.outcomes[i].job] = true
		if len(jobs) >= minFailedJobs {
			return true
		}
	}
	return false
}

// FailedShare returns the fraction of the remembered runs that failed. It
// divides by at least 2, so that a single failure counts half.
func (r *RunHistory) FailedShare() float64 {
	failed := 0
	for _, o := range r.outcomes {
		if o.failed {
			failed++
		}
	}
	return float64(failed) / float64(max(len(r.outcomes), 2))
}

// Reset clears the history, as when a backoff of the endpoint begins.
func (r *RunHistory) Reset() { *r = RunHistory{} }

// ObserveDuration records how long a run took and how long it was expected to
// take. It ignores runs without an expectation.
func (r *RunHistory) ObserveDuration(actual, expected time.Duration) {
	r.ObserveUncertain(actual, expected, 0)
}

// ObserveUncertain is ObserveDuration for an expectation that may be off: spread is the
// standard deviation of the logarithm of run times around what is expected. The larger it
// is, the less a run tells of its endpoint.
func (r *RunHistory) ObserveUncertain(actual, expected time.Duration, spread float64) {
	if expected <= 0 {
		return
	}
	ratio, weight := float64(actual)/float64(expected), slowdownWeight
	if spread > 0 {
		// The mean of a log-normal ratio exceeds its median.
		ratio *= math.Exp(-spread * spread / 2)
		weight *= slowdownSpread * slowdownSpread / (slowdownSpread*slowdownSpread + spread*spread)
	}
	if r.slowdown == 0 {
		if spread <= 0 {
			r.slowdown = ratio
			return
		}
		r.slowdown = 1
	}
	r.slowdown += weight * (ratio - r.slowdown)
}

// Slowdown returns how long runs take on the endpoint relative to their
// estimate, or 1 if that is unknown.
func (r *RunHistory) Slowdown() float64 {
	if r.slowdown == 0 {
		return 1
	}
	return r.slowdown
}
