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
)

// backlog tells how long a new job would wait: a cell that accepts more than it
// can begin makes all jobs late, and none is served in time.
type backlog struct {
	// waiting counts the steps that have not begun, as of the last plan.
	waiting int
	// begun counts the steps that have begun since the last turn, rate is how
	// many do a second.
	begun int
	rate  float64
	at    time.Duration
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
