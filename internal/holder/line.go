package holder

import (
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// lineKey names the waiting requests that share one bound.
type lineKey struct{ queue, team string }

// line counts waiting units against their bounds and finds the one to shed.
// Requests and tasks of jobs are counted apart, so that a large job does not
// keep callers out. The term's lock guards it.
type line struct {
	requests int
	tasks    int
	byTeam   map[lineKey]int
	// sheddable are batch requests in order of arrival; some wait no longer.
	sheddable []*unit
}

// newLine returns an empty line.
func newLine() line { return line{byTeam: make(map[lineKey]int)} }

// keyOfUnit is the bound that a request counts against.
func keyOfUnit(u *unit) lineKey { return lineKey{queue: u.spec.Queue, team: u.spec.Team} }

// add counts a unit that begins to wait.
func (l *line) add(u *unit) {
	if u.job != nil {
		l.tasks++
		return
	}
	l.requests++
	l.byTeam[keyOfUnit(u)]++
	if u.class == placement.ClassBatch {
		l.sheddable = append(l.sheddable, u)
	}
	metrics.Waiting.Set(int64(l.requests))
}

// remove counts a unit that waits no longer.
func (l *line) remove(u *unit) {
	if u.job != nil {
		l.tasks--
		return
	}
	l.requests--
	key := keyOfUnit(u)
	l.byTeam[key]--
	if l.byTeam[key] <= 0 {
		delete(l.byTeam, key)
	}
	l.compact()
	metrics.Waiting.Set(int64(l.requests))
}

// compact drops sheddable units that wait no longer once they are the most.
func (l *line) compact() {
	if len(l.sheddable) < 64 || len(l.sheddable) < 2*l.requests {
		return
	}
	kept := l.sheddable[:0]
	for _, u := range l.sheddable {
		if u.phase == phaseWaiting {
			kept = append(kept, u)
		}
	}
	clear(l.sheddable[len(kept):])
	l.sheddable = kept
}

// of counts the waiting requests of a team in a queue.
func (l *line) of(queue, team string) int { return l.byTeam[lineKey{queue: queue, team: team}] }

// newest removes and returns the batch request that came last, or nil.
func (l *line) newest() *unit {
	for len(l.sheddable) > 0 {
		last := len(l.sheddable) - 1
		u := l.sheddable[last]
		l.sheddable = l.sheddable[:last]
		if u.phase == phaseWaiting {
			return u
		}
	}
	return nil
}
