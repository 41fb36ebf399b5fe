package holder

import (
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// backlogKey names the waiting requests that share one bound.
type backlogKey struct{ queue, team string }

// backlog counts waiting units against their bounds and finds the one to shed.
// Requests and tasks of jobs are counted apart, so that a large job does not
// keep callers out. The term's lock guards it.
type backlog struct {
	requests int
	tasks    int
	byTeam   map[backlogKey]int
	// sheddable are batch requests in order of arrival; some wait no longer.
	sheddable []*unit
}

// newBacklog returns an empty backlog.
func newBacklog() backlog { return backlog{byTeam: make(map[backlogKey]int)} }

// keyOfUnit is the bound that a request counts against.
func keyOfUnit(u *unit) backlogKey { return backlogKey{queue: u.spec.Queue, team: u.spec.Team} }

// add counts a unit that begins to wait.
func (b *backlog) add(u *unit) {
	if u.job != nil {
		b.tasks++
		return
	}
	b.requests++
	b.byTeam[keyOfUnit(u)]++
	if u.class == placement.ClassBatch {
		b.sheddable = append(b.sheddable, u)
	}
	metrics.Waiting.Set(int64(b.requests))
}

// remove counts a unit that waits no longer.
func (b *backlog) remove(u *unit) {
	if u.job != nil {
		b.tasks--
		return
	}
	b.requests--
	key := keyOfUnit(u)
	b.byTeam[key]--
	if b.byTeam[key] <= 0 {
		delete(b.byTeam, key)
	}
	b.compact()
	metrics.Waiting.Set(int64(b.requests))
}

// compact drops sheddable units that wait no longer once they are the most.
func (b *backlog) compact() {
	if len(b.sheddable) < 64 || len(b.sheddable) < 2*b.requests {
		return
	}
	kept := b.sheddable[:0]
	for _, u := range b.sheddable {
		if u.phase == phaseWaiting {
			kept = append(kept, u)
		}
	}
	clear(b.sheddable[len(kept):])
	b.sheddable = kept
}

// of counts the waiting requests of a team in a queue.
func (b *backlog) of(queue, team string) int { return b.byTeam[backlogKey{queue: queue, team: team}] }

// newest removes and returns the batch request that came last, or nil.
func (b *backlog) newest() *unit {
	for len(b.sheddable) > 0 {
		last := len(b.sheddable) - 1
		u := b.sheddable[last]
		b.sheddable = b.sheddable[:last]
		if u.phase == phaseWaiting {
			return u
		}
	}
	return nil
}
