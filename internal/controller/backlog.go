package controller

import "time"

const (
	// minBacklog is the number of waiting steps up to which no job is refused
	// for its expected wait. An outage of a few seconds leaves fewer, and right
	// after one the start rate is not known.
	minBacklog = 500
	// maxExpectedWait is the expected wait above which new jobs are refused.
	// Callers count a job that takes three times its objective as failed, and
	// objectives are a few seconds.
	maxExpectedWait = 8 * time.Second
	// backlogWindow is the interval over which started steps are counted,
	// backlogWeight the weight of a new count in the smoothed rate.
	backlogWindow = time.Second
	backlogWeight = 0.3
	// smallSharePercent is the percentage of an even share of the backlog below
	// which a customer's jobs are not refused.
	smallSharePercent = 50
	percent           = 100
)

// backlog estimates how long a new job would wait, so that jobs can be refused
// in time: a cell that accepts more than it can start makes all jobs late.
type backlog struct {
	// waiting is the number of steps that had not started at the last plan,
	// byCustomer the same by customer.
	waiting    int
	byCustomer map[string]int
	// begun counts the steps started since rateUpdatedAt, rate is the smoothed
	// number of starts per second.
	begun         int
	rate          float64
	rateUpdatedAt time.Duration
}

// reset clears the counts of waiting steps before a plan.
func (b *backlog) reset() { b.waiting, b.byCustomer = 0, make(map[string]int) }

// add counts a step with waiting tasks, unless one of its tasks was placed
// already. Steps of jobs beyond a customer's rate are left out, because those
// jobs have a limit of their own.
func (b *backlog) add(e *stepEntry) {
	if e.begun || e.jobEntry.job.Excess {
		return
	}
	b.waiting++
	b.byCustomer[e.jobEntry.job.Customer]++
}

// refuses reports whether a customer's new job would wait too long, and the
// expected wait. In an overlong backlog, a customer with a small share is not
// refused: its jobs are served before most others, which may be waiting for
// resources that no endpoint has.
func (b *backlog) refuses(customer string) (wait time.Duration, refused bool) {
	wait = b.expectedWait()
	if wait <= maxExpectedWait {
		return wait, false
	}
	own := b.byCustomer[customer]
	return wait, own*len(b.byCustomer) >= smallSharePercent*b.waiting/percent
}

// updateRate updates the smoothed start rate once per backlogWindow.
func (b *backlog) updateRate(now time.Duration) {
	if b.rateUpdatedAt == 0 {
		b.rateUpdatedAt = now
	}
	passed := now - b.rateUpdatedAt
	if passed < backlogWindow {
		return
	}
	b.rate += backlogWeight * (float64(b.begun)/passed.Seconds() - b.rate)
	b.begun, b.rateUpdatedAt = 0, now
}

// expectedWait returns how long the present backlog takes to start; 0 if it is
// short.
func (b *backlog) expectedWait() time.Duration {
	if b.waiting <= minBacklog {
		return 0
	}
	const minRate = 1.0
	return time.Duration(float64(b.waiting) / max(b.rate, minRate) * float64(time.Second))
}
