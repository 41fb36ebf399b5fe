package holder

import "time"

const (
	// runTimeWeight is the weight of a new run time in the moving average.
	runTimeWeight = 0.1
	// runTimeMargin is how many average run times must be left before its deadline for
	// a request to be started.
	runTimeMargin = 1.5
	// maxRatePeriod bounds the period over which starts are counted.
	maxRatePeriod = 4 * time.Second
	// minRatePeriod and minRateStarts are the least period and number of starts
	// from which a wait is predicted.
	minRatePeriod = 500 * time.Millisecond
	minRateStarts = 16
)

// serviceRate measures how fast the requests of one team in one queue are served while
// some of them wait:
//
//	average run time = moving average of run times, weight runTimeWeight
//	predicted wait   = waiting * period / starts in the period
//
// The period starts when requests begin to wait, and is halved together with its
// starts whenever it exceeds maxRatePeriod. The prediction serves to refuse early
// what would miss its deadline, so that endpoints under overload work only on
// requests that can still be answered in time.
type serviceRate struct {
	averageRunTime time.Duration
	periodStart    time.Duration
	starts         float64
}

// reset starts a new period, as when the first request begins to wait.
func (r *serviceRate) reset(now time.Duration) { r.periodStart, r.starts = now, 0 }

// recordStart counts a start.
func (r *serviceRate) recordStart(now time.Duration) {
	r.starts++
	if period := now - r.periodStart; period > maxRatePeriod {
		r.periodStart, r.starts = now-period/2, r.starts/2
	}
}

// recordRunTime adds the run time of a finished request to the average.
func (r *serviceRate) recordRunTime(ran time.Duration) {
	if r.averageRunTime == 0 {
		r.averageRunTime = ran
		return
	}
	r.averageRunTime += time.Duration(runTimeWeight * float64(ran-r.averageRunTime))
}

// requiredTime returns the time that must be left before its deadline for a request to be started.
func (r *serviceRate) requiredTime() time.Duration {
	return time.Duration(runTimeMargin * float64(r.averageRunTime))
}

// predictWait predicts how long a request waits behind the given number of others. It
// returns ok false if too few starts have been seen.
func (r *serviceRate) predictWait(now time.Duration, waiting int) (predicted time.Duration, ok bool) {
	period := now - r.periodStart
	if waiting == 0 || period < minRatePeriod || r.starts < minRateStarts {
		return 0, false
	}
	return time.Duration(float64(waiting) * float64(period) / r.starts), true
}
