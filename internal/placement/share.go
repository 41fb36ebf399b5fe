package placement

import (
	"math"
	"time"
)

// accrueInterval is how often deficits are brought up to date.
const accrueInterval = 100 * time.Millisecond

// maxAccrual bounds what one step adds, so that a pause of the process is not
// taken for time in which teams were short.
const maxAccrual = 10 * time.Second

// classes is the number of work classes.
const classes = 3

// team is a team's queues, usage and account of its share.
//
// With s the team's dominant share of the zone, w its weight and d its deficit
// (share-seconds that it was short of its entitlement while work of its own
// was waiting), work of the team with the least
//
//	key = (s - clamp(d/ShareHorizon, -entitled, entitled)) / w
//
// goes first within a class.
type team struct {
	Team
	queues  [classes]teamQueue
	sources map[string]*source
	waiting int
	running int
	// held counts the waiting tasks that have room held.
	held int
	used Resources
	// leaving sums what the tasks that are being preempted are charged.
	leaving Resources
	// queued sums the sizes of the waiting tasks.
	queued Resources
	// share is the dominant share s of used.
	share float64
	// deficit is d in share-seconds; entitled is the share that the team
	// was last due.
	deficit  float64
	entitled float64
	hungry   bool
	key      float64
	// promotedAt is when the team's oldest work last went first.
	promotedAt time.Duration
}

func (t *team) weight() float64 { return float64(max(1, t.Weight)) }

// room is the number of tasks that the team may still start.
func (t *team) room() int { return int(min(max(0, t.MaxRunning-int64(t.running)), math.MaxInt32)) }

// rescore renews the share and key of t after its usage has changed.
func (e *engine) rescore(t *team) {
	t.share = dominant(t.used, e.fleet.scale)
	repay := t.deficit / e.policy.ShareHorizon.Seconds()
	repay = max(-t.entitled, min(t.entitled, repay))
	t.key = (t.share - repay) / t.weight()
}

// blockedWork reports whether t waits for room rather than for its bound.
func (t *team) blockedWork() bool {
	if t.waiting == 0 || t.room() == 0 {
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

// accrue adds what each team was short of its entitlement since the last time
// to its deficit. It runs after placement, when the room of ended tasks has
// been given out again.
//
// Only teams that wait for room take part, so usage of idle room is not held
// against anyone later. The sum P of their shares is divided by water filling:
// with the level L at which the entitlements add up to P, team i with share and
// queued work a_i is entitled to
//
//	e_i = min(a_i, L * w_i)
//
// and d_i grows by (e_i - s_i)*dt after decaying by 2^(-dt/HistoryHalfLife).
func (e *engine) accrue() {
	dt := e.now - e.accruedAt
	if dt < accrueInterval {
		return
	}
	e.accruedAt = e.now
	dt = min(dt, maxAccrual)
	e.entitle(e.contenders())
	decay := math.Exp2(-dt.Seconds() / e.policy.HistoryHalfLife.Seconds())
	for _, t := range e.teamList {
		t.deficit *= decay
		if t.hungry {
			t.deficit += (t.entitled - t.share) * dt.Seconds()
		}
		e.rescore(t)
	}
}

// contenders marks the teams that wait for room and sums their shares and
// weights.
func (e *engine) contenders() (pool, weights float64) {
	allShares, allWeights := 0.0, 0.0
	for _, t := range e.teamList {
		if t.running > 0 || t.waiting > 0 {
			allShares += t.share
			allWeights += t.weight()
		}
		t.hungry = t.blockedWork()
		if t.hungry {
			pool += t.share
			weights += t.weight()
		}
	}
	e.activeLevel = allShares / max(1, allWeights)
	e.level = 0
	if weights > 0 {
		e.level = pool / weights
	}
	return pool, weights
}

// entitle divides pool among the teams that wait for room: those that ask for
// less than their weighted part get what they ask for, and the rest is divided
// again among the others.
func (e *engine) entitle(pool, weights float64) {
	open := e.scratch.teams[:0]
	for _, t := range e.teamList {
		if t.hungry {
			open = append(open, t)
		}
	}
	for settled := false; !settled && len(open) > 0; {
		settled = true
		level := pool / weights
		rest := open[:0]
		for _, t := range open {
			asked := dominant(t.used.Add(t.queued), e.fleet.scale)
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
