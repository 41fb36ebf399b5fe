package holder

import "time"

const (
	// runWeight is the weight of a new run time in the average.
	runWeight = 0.1
	// runMargin is how many times the average run time must be left before a
	// deadline for a request to be started.
	runMargin = 1.5
	// paceWindow bounds the period over which starts are counted.
	paceWindow = 4 * time.Second
	// paceLeast and paceStarts are the time and the starts that must have been
	// seen before a wait is predicted.
	paceLeast  = 500 * time.Millisecond
	paceStarts = 16
)

// pace measures how fast one team's requests in one queue are served while
// some of them wait:
//
//	run            = moving average of run times, weight runWeight
//	predicted wait = waiting * period / starts in the period
//
// The period begins when requests begin to wait, and is halved together with
// its starts whenever it exceeds paceWindow. Its use is to refuse early what
// would miss its deadline, so that under overload endpoints work only on
// requests that can still be answered.
type pace struct {
	run    time.Duration
	since  time.Duration
	starts float64
}

// begin starts a new period, as when the first request begins to wait.
func (p *pace) begin(now time.Duration) { p.since, p.starts = now, 0 }

// started counts a start.
func (p *pace) started(now time.Duration) {
	p.starts++
	if period := now - p.since; period > paceWindow {
		p.since, p.starts = now-period/2, p.starts/2
	}
}

// finished takes in the run time of a finished request.
func (p *pace) finished(ran time.Duration) {
	if p.run == 0 {
		p.run = ran
		return
	}
	p.run += time.Duration(runWeight * float64(ran-p.run))
}

// needed is the time that must be left before a deadline for a start.
func (p *pace) needed() time.Duration { return time.Duration(runMargin * float64(p.run)) }

// wait predicts how long a request waits behind the given number of others;
// ok is false if too little has been seen.
func (p *pace) wait(now time.Duration, waiting int) (predicted time.Duration, ok bool) {
	period := now - p.since
	if waiting == 0 || period < paceLeast || p.starts < paceStarts {
		return 0, false
	}
	return time.Duration(float64(waiting) * float64(period) / p.starts), true
}
