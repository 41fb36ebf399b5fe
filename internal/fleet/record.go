package fleet

import "time"

// Figures of what is learned about an endpoint.
const (
	// maxOutcomes is how many ended runs are remembered: enough to tell an
	// endpoint that fails everything from one that met some broken tasks.
	maxOutcomes = 8
	// quarantineFailures is how many of the last runs, all of different jobs,
	// have to fail before an endpoint rests; one broken job can't do it alone.
	quarantineFailures = 3
	// slowdownWeight is the weight of a new observation of an endpoint's pace; the
	// last five or so decide, as endpoints turn slow within seconds.
	slowdownWeight = 0.2
)

// RunHistory is what an endpoint's runs have taught about it.
type RunHistory struct {
	outcomes []outcome
	// slowdown is how long tasks take here relative to their estimate, 1 if like
	// all others; 0 means unknown.
	slowdown float64
}

type outcome struct {
	job    string
	failed bool
}

// ObserveEnd notes the end of a run.
func (r *RunHistory) ObserveEnd(job string, failed bool) {
	r.outcomes = append(r.outcomes, outcome{job: job, failed: failed})
	if len(r.outcomes) > maxOutcomes {
		r.outcomes = r.outcomes[1:]
	}
}

// Failing reports whether the last runs, of different jobs, have all failed.
func (r *RunHistory) Failing() bool {
	jobs := make(map[string]bool)
	for i := len(r.outcomes) - 1; i >= 0; i-- {
		if !r.outcomes[i].failed {
			return false
		}
		jobs[r.outcomes[i].job] = true
		if len(jobs) >= quarantineFailures {
			return true
		}
	}
	return false
}

// FailedShare is the share of the remembered runs that failed.
func (r *RunHistory) FailedShare() float64 {
	failed := 0
	for _, o := range r.outcomes {
		if o.failed {
			failed++
		}
	}
	return float64(failed) / float64(max(len(r.outcomes), 2))
}

// Reset drops what was learned, as after a quarantine.
func (r *RunHistory) Reset() { *r = RunHistory{} }

// ObserveDuration notes how long a run took relative to what was expected of it.
func (r *RunHistory) ObserveDuration(actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(actual) / float64(expected)
	if r.slowdown == 0 {
		r.slowdown = ratio
		return
	}
	r.slowdown += slowdownWeight * (ratio - r.slowdown)
}

// Slowdown is how long tasks take here relative to what is expected of them; 1
// while nothing is known.
func (r *RunHistory) Slowdown() float64 {
	if r.slowdown == 0 {
		return 1
	}
	return r.slowdown
}
