package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
)

const (
	// maxPlannedStarts bounds the starts that are planned and not sent. With a
	// slow log that takes 0.3 s per append, it still allows 800 starts a
	// second.
	maxPlannedStarts = 256
	// urgentStartReserve is the part of maxPlannedStarts reserved for urgent
	// work: the urgent tasks that arrive during one plan of a burst.
	urgentStartReserve = 64
	// initialWindow, minWindow and maxWindow bound the starts in flight. With
	// initialWindow, an instance with a fifth of a core gets its answers within
	// the target; maxWindow is more than a whole core can send within it.
	initialWindow = 64
	minWindow     = 8
	maxWindow     = 512
	// startLatencyTarget is the latency of starts above which fewer are sent:
	// less than a third of an order's timeout, and four times the round trip
	// between regions.
	startLatencyTarget = 120 * time.Millisecond
	// startLatencyWeight is the weight of a new sample in the smoothed latency;
	// about the last ten samples dominate.
	startLatencyWeight = 0.1
	// windowDecrease is the factor applied to the window when starts take too
	// long. windowIncrease is added to it for each result while starts take
	// less than half the target: a quarter more each time that a full window
	// was answered.
	windowDecrease = 0.7
	windowIncrease = 0.25
	// maxImmediateHolds bounds the holds in flight that endpoints answer at
	// once, such as the first ones of a term. Each costs less than a start.
	maxImmediateHolds = 48
	// maxRetriedHolds is the part of them for endpoints that did not answer the
	// last call: each of these takes a whole timeout, while the others wait to be
	// adopted or for their ends to be acknowledged.
	maxRetriedHolds = maxImmediateHolds * 3 / 4
	// maxReportStretch bounds the factor by which reports become rarer when the
	// holder is busy: even then, a lease lasts four times the interval between
	// reports.
	maxReportStretch = 4
)

// flowControl limits the orders in flight, so that none spends its time in the
// queues of this process. An order that reaches its deadline there costs a
// retry, a stop and a new connection, which adds to the load. The window of
// starts adapts to their latency, because the instances that hold a cell differ
// in capacity and the load varies.
type flowControl struct {
	window float64
	// typicalLatency is the smoothed time from sending a start to its result.
	typicalLatency time.Duration
	decreasedAt    time.Duration
	// inFlight counts the starts in flight. planned counts the starts whose
	// records are not in the log yet.
	inFlight int
	planned  int
	// immediateHolds counts the holds in flight that are answered at once, and
	// retriedHolds those of them for endpoints that did not answer the last call.
	immediateHolds int
	retriedHolds   int
	// urgent and others are the starts that may be sent, in order. The starts
	// of a gang are adjacent and are sent together.
	urgent readyStarts
	others readyStarts
	// planLimited is set if a plan had to leave out starts.
	planLimited bool
}

// readyStarts is a queue of starts that may be sent, grouped by gang.
type readyStarts struct {
	groups [][]*plannedStart
	tasks  int
}

func (q *readyStarts) push(group []*plannedStart) {
	q.groups = append(q.groups, group)
	q.tasks += len(group)
}

// pop removes and returns the next group to send, nil if there is none.
func (q *readyStarts) pop() []*plannedStart {
	if len(q.groups) == 0 {
		return nil
	}
	group := q.groups[0]
	q.groups = q.groups[1:]
	q.tasks -= len(group)
	return group
}

func newFlowControl() flowControl { return flowControl{window: initialWindow} }

// mayHold reports whether another immediate hold of an endpoint may be sent.
func (f *flowControl) mayHold(retried bool) bool {
	return f.immediateHolds < maxImmediateHolds && (!retried || f.retriedHolds < maxRetriedHolds)
}

// countHold adds n to the counts of immediate holds in flight.
func (f *flowControl) countHold(n int, retried bool) {
	f.immediateHolds += n
	if retried {
		f.retriedHolds += n
	}
}

// planCapacity returns how many more starts may be planned.
func (f *flowControl) planCapacity() int {
	return maxPlannedStarts - f.planned - f.urgent.tasks - f.others.tasks
}

// enqueue queues the starts of a committed batch for sending.
func (f *flowControl) enqueue(starts []*plannedStart) {
	f.planned -= len(starts)
	for len(starts) > 0 {
		n := 1
		for n < len(starts) && sameGang(starts[0], starts[n]) {
			n++
		}
		if starts[0].run.Priority == 0 {
			f.urgent.push(starts[:n])
		} else {
			f.others.push(starts[:n])
		}
		starts = starts[n:]
	}
}

// sameGang reports whether two starts belong to the same run of a gang.
func sameGang(a, b *plannedStart) bool {
	return a.run.Step.Spec.Gang && a.run.Step == b.run.Step && a.run.Number == b.run.Number
}

// nextGroup returns the starts to send now, nil if there are none or the window
// is full. A gang is sent as a whole as soon as the window has capacity for
// one start.
func (f *flowControl) nextGroup() []*plannedStart {
	if float64(f.inFlight) >= f.window {
		return nil
	}
	if group := f.urgent.pop(); group != nil {
		return group
	}
	return f.others.pop()
}

// recordLatency handles the result of a start that took the given time, and
// adapts the window.
func (f *flowControl) recordLatency(now, took time.Duration) {
	full := float64(f.inFlight) >= f.window/2
	f.inFlight--
	f.typicalLatency += time.Duration(startLatencyWeight * float64(took-f.typicalLatency))
	switch {
	case f.typicalLatency > startLatencyTarget:
		if now-f.decreasedAt > startLatencyTarget {
			f.window, f.decreasedAt = max(minWindow, windowDecrease*f.window), now
		}
	case full && f.typicalLatency < startLatencyTarget/2:
		f.window = min(maxWindow, f.window+windowIncrease)
	case full:
		f.window = min(maxWindow, f.window+1/f.window)
	}
}

// reportStretch returns the factor by which reports should be rarer than usual.
func (f *flowControl) reportStretch() float64 {
	return min(max(1, 2*float64(f.typicalLatency)/float64(startLatencyTarget)), maxReportStretch)
}

// sendReadyStarts sends the queued starts that the window allows.
func (c *Core) sendReadyStarts(now clock.Instant) {
	for group := c.flow.nextGroup(); group != nil; group = c.flow.nextGroup() {
		permitted := c.mayStart(now, group)
		for _, s := range group {
			c.sendStart(now, s, permitted)
		}
	}
	if c.flow.planLimited && c.flow.planCapacity() > 0 {
		c.flow.planLimited, c.planDue = false, true
	}
}
