package controller

import "time"

const (
	// leastBacklog is the number of waiting steps up to which nothing is
	// refused for its wait: an outage of a few seconds leaves fewer, and the
	// rate at which they begin is not known after it.
	leastBacklog = 500
	// longestWait is the expected wait beyond which new jobs are refused:
	// callers count a job that takes three times its objective as failed, and
	// objectives are seconds.
	longestWait = 8 * time.Second
	// backlogWindow is the span over which begun steps are counted, and
	// backlogWeight the weight of a new count.
	backlogWindow = time.Second
	backlogWeight = 0.3
	// littleShare is the part of an even share of the queue, in percent, below
	// which a customer has little in it.
	littleShare = 50
	percent     = 100
)

// backlog tells how long a new job would wait: a cell that accepts more than it
// can begin makes all jobs late, and none is served in time.
type backlog struct {
	// waiting counts the steps that have not begun, as of the last plan, all of
	// them and by customer.
	waiting    int
	byCustomer map[string]int
	// begun counts the steps that have begun since the last turn, rate is how
	// many do a second.
	begun int
	rate  float64
	at    time.Duration
}

// reset begins the count of what waits.
func (b *backlog) reset() { b.waiting, b.byCustomer = 0, make(map[string]int) }

// count takes in a step with tasks that wait. What a customer submits beyond
// its rate has a bound of its own.
func (b *backlog) count(e *stepEntry) {
	if e.begun || e.entry.job.Excess {
		return
	}
	b.waiting++
	b.byCustomer[e.entry.job.Customer]++
}

// refuses reports whether a customer's new job would wait too long, and how
// long. Of a queue that is too long, a customer with little in it is not
// refused: its jobs go before most, and the others may wait for what no endpoint
// has.
func (b *backlog) refuses(customer string) (wait time.Duration, refused bool) {
	wait = b.wait()
	if wait <= longestWait {
		return wait, false
	}
	own := b.byCustomer[customer]
	return wait, own*len(b.byCustomer) >= littleShare*b.waiting/percent
}

// turn takes the count of a window into the rate.
func (b *backlog) turn(now time.Duration) {
	if b.at == 0 {
		b.at = now
	}
	passed := now - b.at
	if passed < backlogWindow {
		return
	}
	b.rate += backlogWeight * (float64(b.begun)/passed.Seconds() - b.rate)
	b.begun, b.at = 0, now
}

// wait returns how long what waits takes to begin; 0 if little waits.
func (b *backlog) wait() time.Duration {
	if b.waiting <= leastBacklog {
		return 0
	}
	const least = 1.0
	return time.Duration(float64(b.waiting) / max(b.rate, least) * float64(time.Second))
}
