package holder

import (
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// backlogKey identifies the waiting requests that share a bound.
type backlogKey struct{ queue, team string }

// backlog counts waiting units for the bounds on them and finds the request to shed.
// Requests and tasks of jobs are counted separately, so that a large job does not
// use up the bound on requests. The term's lock guards it.
type backlog struct {
	requests int
	tasks    int
	byTeam   map[backlogKey]int
	// sheddable are batch requests in order of arrival, including some that no longer wait.
	sheddable []*unit
}

// newBacklog returns an empty backlog.
func newBacklog() backlog { return backlog{byTeam: make(map[backlogKey]int)} }

// backlogKeyOf returns the key of the bound that a request counts against.
func backlogKeyOf(u *unit) backlogKey { return backlogKey{queue: u.spec.Queue, team: u.spec.Team} }

// add counts a unit that starts to wait.
func (b *backlog) add(u *unit) {
	if u.job != nil {
		b.tasks++
		return
	}
	b.requests++
	b.byTeam[backlogKeyOf(u)]++
	if u.class == placement.ClassBatch {
		b.sheddable = append(b.sheddable, u)
	}
	metrics.Waiting.Set(int64(b.requests))
}

// remove uncounts a unit that no longer waits.
func (b *backlog) remove(u *unit) {
	if u.job != nil {
		b.tasks--
		return
	}
	b.requests--
	key := backlogKeyOf(u)
	b.byTeam[key]--
	if b.byTeam[key] <= 0 {
		delete(b.byTeam, key)
	}
	b.compact()
	metrics.Waiting.Set(int64(b.requests))
}

// compact drops the sheddable units that no longer wait, once the list is at least
// 64 long and twice as long as there are waiting requests.
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

// waiting returns the number of waiting requests of a team in a queue.
func (b *backlog) waiting(queue, team string) int {
	return b.byTeam[backlogKey{queue: queue, team: team}]
}

// popNewestBatch removes the batch request that was queued last from the list and
// returns it, or nil if none waits.
func (b *backlog) popNewestBatch() *unit {
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
