package holder

import "time"

const (
	// runWeight is the weight of a new run time in the average.
	runWeight = 0.1
	// runMargin is how many times the average run time must be left before a
	// deadline for a request to be started.
	runMargin = 1.5
	// rateWindow bounds the period over which starts are counted.
	rateWindow = 4 * time.Second
	// rateLeast and rateStarts are the time and the starts that must have been
	// seen before a wait is predicted.
	rateLeast  = 500 * time.Millisecond
	rateStarts = 16
)

// serviceRate measures how fast one team's requests in one queue are served while
// some of them wait:
//
//	run            = moving average of run times, weight runWeight
//	predicted wait = waiting * period / starts in the period
//
// The period begins when requests begin to wait, and is halved together with
// its starts whenever it exceeds rateWindow. Its use is to refuse early what
// would miss its deadline, so that under overload endpoints work only on
// requests that can still be answered.
type serviceRate struct {
	run    time.Duration
	since  time.Duration
	starts float64
}

// begin starts a new period, as when the first request begins to wait.
func (r *serviceRate) begin(now time.Duration) { r.since, r.starts = now, 0 }

// started counts a start.
func (r *serviceRate) started(now time.Duration) {
	r.starts++
	if period := now - r.since; period > rateWindow {
		r.since, r.starts = now-period/2, r.starts/2
	}
}

// finished takes in the run time of a finished request.
func (r *serviceRate) finished(ran time.Duration) {
	if r.run == 0 {
		r.run = ran
		return
	}
	r.run += time.Duration(runWeight * float64(ran-r.run))
}

// needed is the time that must be left before a deadline for a start.
func (r *serviceRate) needed() time.Duration { return time.Duration(runMargin * float64(r.run)) }

// wait predicts how long a request waits behind the given number of others;
// ok is false if too little has been seen.
func (r *serviceRate) wait(now time.Duration, waiting int) (predicted time.Duration, ok bool) {
	period := now - r.since
	if waiting == 0 || period < rateLeast || r.starts < rateStarts {
		return 0, false
	}
	return time.Duration(float64(waiting) * float64(period) / r.starts), true
}
