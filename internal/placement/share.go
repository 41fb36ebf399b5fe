package placement

import (
	"math"
	"time"
)

// accrueInterval is the minimum time between two updates of the deficits.
const accrueInterval = 100 * time.Millisecond

// maxAccrualStep bounds the time that one update accounts for, so that a pause of
// the process does not count as time in which teams were below their share.
const maxAccrualStep = 10 * time.Second

// classCount is the number of classes.
const classCount = 3

// team holds the queues, the usage and the fair-share state of a team.
//
// With s the team's dominant share of the zone, w its weight and d its deficit
// (the share-seconds by which it was below its entitlement while its own work
// was waiting), work of the team with the lowest
//
//	shareKey = (s - clamp(d/ShareHorizon, -entitled, entitled)) / w
//
// goes first within a class.
type team struct {
	Team
	queues       [classCount]teamQueue
	statsByQueue map[string]*queueStats
	waiting      int
	running      int
	// heldTasks is the number of waiting tasks for which capacity is held.
	heldTasks int
	used      Resources
	// preemptedUsage is the sum of what the tasks that are being preempted
	// are charged.
	preemptedUsage Resources
	// queued is the sum of the sizes of the waiting tasks.
	queued Resources
	// share is the dominant share s of used.
	share float64
	// deficit is d in share-seconds. entitled is the share to which the team
	// was entitled at the last update.
	deficit  float64
	entitled float64
	// contending is set if the team waited for capacity at the last update.
	contending bool
	shareKey   float64
	// lastOverdueStart is when overdue work of the team was last started.
	lastOverdueStart time.Duration
}

func (t *team) weight() float64 { return float64(max(1, t.Weight)) }

// remainingTasks returns the number of tasks that the team may still start.
func (t *team) remainingTasks() int {
	return int(min(max(0, t.MaxRunning-int64(t.running)), math.MaxInt32))
}

// updateShareKey updates the share and the shareKey of t after its usage has
// changed.
func (e *engine) updateShareKey(t *team) {
	t.share = dominantShare(t.used, e.endpoints.inverseTotal)
	repay := t.deficit / e.policy.ShareHorizon.Seconds()
	repay = max(-t.entitled, min(t.entitled, repay))
	t.shareKey = (t.share - repay) / t.weight()
}

// hasBlockedWork reports whether t waits for capacity rather than for its task
// limit.
func (t *team) hasBlockedWork() bool {
	if t.waiting == 0 || t.remainingTasks() == 0 {
		return false
	}
	for c := range t.queues {
		for _, b := range t.queues[c].buckets {
			if len(b.items) > 0 && b.shape.blocked {
				return true
			}
		}
	}
	return false
}

// accrueDeficits adds to each team's deficit by how much the team was below its
// entitlement since the last update. It runs after placement, when the capacity
// of ended tasks has been assigned again.
//
// Only teams that wait for capacity take part, so that a team is not charged
// later for using idle capacity. The sum P of their shares is divided by water
// filling: with the level L at which the entitlements add up to P, team i, whose
// used and queued resources have the dominant share a_i, is entitled to
//
//	e_i = min(a_i, L * w_i)
//
// and d_i grows by (e_i - s_i)*dt after decaying by 2^(-dt/HistoryHalfLife).
func (e *engine) accrueDeficits() {
	dt := e.now - e.lastAccrual
	if dt < accrueInterval {
		return
	}
	e.lastAccrual = e.now
	dt = min(dt, maxAccrualStep)
	e.assignEntitlements(e.markContending())
	decay := math.Exp2(-dt.Seconds() / e.policy.HistoryHalfLife.Seconds())
	for _, t := range e.teamList {
		t.deficit *= decay
		if t.contending {
			t.deficit += (t.entitled - t.share) * dt.Seconds()
		}
		e.updateShareKey(t)
	}
}

// markContending marks the teams that wait for capacity, returns the sums of their
// shares and weights, and updates contendingLevel and activeLevel.
func (e *engine) markContending() (pool, weights float64) {
	allShares, allWeights := 0.0, 0.0
	for _, t := range e.teamList {
		if t.running > 0 || t.waiting > 0 {
			allShares += t.share
			allWeights += t.weight()
		}
		t.contending = t.hasBlockedWork()
		if t.contending {
			pool += t.share
			weights += t.weight()
		}
	}
	e.activeLevel = allShares / max(1, allWeights)
	e.contendingLevel = 0
	if weights > 0 {
		e.contendingLevel = pool / weights
	}
	return pool, weights
}

// assignEntitlements divides pool among the teams that wait for capacity. Teams
// that request less than their weighted part get what they request, and the
// remainder is divided again among the others.
func (e *engine) assignEntitlements(pool, weights float64) {
	open := e.scratch.teams[:0]
	for _, t := range e.teamList {
		if t.contending {
			open = append(open, t)
		}
	}
	for settled := false; !settled && len(open) > 0; {
		settled = true
		level := pool / weights
		rest := open[:0]
		for _, t := range open {
			asked := dominantShare(t.used.Add(t.queued), e.endpoints.inverseTotal)
			t.entitled = level * t.weight()
			if asked > t.entitled {
				rest = append(rest, t)
				continue
			}
			t.entitled = asked
			pool -= asked
			weights -= t.weight()
			settled = false
		}
		open = rest
	}
	e.scratch.teams = open
}
