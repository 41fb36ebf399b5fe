package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
)

const (
	// mostPlanned bounds the starts that were decided on and not sent: while a
	// slow log takes 0.3 s for an append, 800 tasks a second still start.
	mostPlanned = 256
	// urgentStarts of them are left to urgent work: what arrives during one
	// plan of a burst.
	urgentStarts = 64
	// firstWindow, leastWindow and mostWindow bound the starts under way. With
	// the first one, an instance of a fifth of a core answers within the
	// target; the last one is more than a core can send within it.
	firstWindow = 64
	leastWindow = 8
	mostWindow  = 512
	// answerTarget is how long a start may take to its result before fewer are
	// sent: less than a third of what an order may take, and four times the way
	// over regions and back.
	answerTarget = 120 * time.Millisecond
	// answerWeight is the weight of a new result in the typical time; the last
	// ten or so decide.
	answerWeight = 0.1
	// windowCut is what is left of the window when starts take too long, and
	// windowGrowth is what each result adds to it while they take less than
	// half the target: a quarter more each time that all were answered.
	windowCut    = 0.7
	windowGrowth = 0.25
	// mostLooks bounds the holds under way that are answered at once, such as
	// the first ones of a term. Each is less work than a start.
	mostLooks = 48
	// mostStretch bounds how much rarer reports are asked for when the holder
	// is busy: leases last four times as long as the rarest.
	mostStretch = 4
)

// flow bounds the orders that are under way, so that none of them spends its
// time in the queues of this process: one that runs into its deadline there
// costs a repetition, a stop and a connection, which makes the process busier
// still. The bound on starts follows the time that they take to their result,
// as the instances that hold a cell differ in strength, and so does the load.
type flow struct {
	window float64
	// typical is how long a start takes to its result.
	typical time.Duration
	cutAt   time.Duration
	// starts and looks count what is under way, planned the starts whose
	// records don't stand in the log yet.
	starts  int
	looks   int
	planned int
	// urgent and others are the starts that may be sent, in order; those of a
	// gang stand together and are sent together.
	urgent readyStarts
	others readyStarts
	// limited is set if a plan had to leave out starts.
	limited bool
}

// readyStarts are starts that wait for their turn.
type readyStarts struct {
	groups [][]*plannedStart
	tasks  int
}

func (q *readyStarts) put(group []*plannedStart) {
	q.groups = append(q.groups, group)
	q.tasks += len(group)
}

// take returns what is to be sent next, nil if there is nothing.
func (q *readyStarts) take() []*plannedStart {
	if len(q.groups) == 0 {
		return nil
	}
	group := q.groups[0]
	q.groups = q.groups[1:]
	q.tasks -= len(group)
	return group
}

func newFlow() flow { return flow{window: firstWindow} }

// mayPlan returns how many starts may be decided on.
func (f *flow) mayPlan() int { return mostPlanned - f.planned - f.urgent.tasks - f.others.tasks }

// ready takes over the starts of a batch that stands in the log.
func (f *flow) ready(starts []*plannedStart) {
	f.planned -= len(starts)
	for len(starts) > 0 {
		n := 1
		for n < len(starts) && sameGang(starts[0], starts[n]) {
			n++
		}
		if starts[0].run.Priority == 0 {
			f.urgent.put(starts[:n])
		} else {
			f.others.put(starts[:n])
		}
		starts = starts[n:]
	}
}

// sameGang reports whether two starts belong to one run of a gang.
func sameGang(a, b *plannedStart) bool {
	return a.run.Step.Spec.Gang && a.run.Step == b.run.Step && a.run.Number == b.run.Number
}

// next returns the starts to send now, nil if there are none or enough are under
// way. A gang is sent as a whole once anything may be.
func (f *flow) next() []*plannedStart {
	if float64(f.starts) >= f.window {
		return nil
	}
	if group := f.urgent.take(); group != nil {
		return group
	}
	return f.others.take()
}

// answered takes in that a start was under way until its result for that long.
func (f *flow) answered(now, took time.Duration) {
	full := float64(f.starts) >= f.window/2
	f.starts--
	f.typical += time.Duration(answerWeight * float64(took-f.typical))
	switch {
	case f.typical > answerTarget:
		if now-f.cutAt > answerTarget {
			f.window, f.cutAt = max(leastWindow, windowCut*f.window), now
		}
	case full && f.typical < answerTarget/2:
		f.window = min(mostWindow, f.window+windowGrowth)
	case full:
		f.window = min(mostWindow, f.window+1/f.window)
	}
}

// stretch returns how much rarer than usual reports should be asked for.
func (f *flow) stretch() float64 {
	return min(max(1, 2*float64(f.typical)/float64(answerTarget)), mostStretch)
}

// sendReady sends the starts that may go now.
func (c *Core) sendReady(now clock.Instant) {
	for group := c.flow.next(); group != nil; group = c.flow.next() {
		expired := false
		for _, s := range group {
			expired = expired || s.expires > 0 && now.Steady+sendAllowance > s.expires
		}
		for _, s := range group {
			c.sendStart(now, s, expired)
		}
	}
	if c.flow.limited && c.flow.mayPlan() > 0 {
		c.flow.limited, c.planDue = false, true
	}
}
