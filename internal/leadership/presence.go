package leadership

import (
	"sync"
	"time"
)

const (
	// minMemberSilence is the least time without a heartbeat after which a
	// member counts as gone. It exceeds what a slow or busy instance takes.
	minMemberSilence = 5 * time.Second
	// missedHeartbeats is how many heartbeats of its rank a member must have
	// missed to count as gone.
	missedHeartbeats = 6
	// maxPresenceGap is the longest time between two calls of Silent. After a
	// longer one, this process was paused itself and heard nobody.
	maxPresenceGap = 3 * time.Second
)

// Presence records when the holder last heard from each member. A member whose
// machine was lost can't remove its own record, so that the holder has to. It
// is safe for concurrent use.
type Presence struct {
	mu sync.Mutex
	// epoch is the term for which members are watched, checkedAt the time of the
	// last call of Silent.
	epoch     int64
	checkedAt time.Duration
	heard     map[string]sighting
}

// sighting is when an incarnation of a member was last heard or first known.
type sighting struct {
	incarnation string
	at          time.Duration
}

// NewPresence returns a Presence that has heard nobody.
func NewPresence() *Presence { return &Presence{heard: make(map[string]sighting)} }

// Heard records a heartbeat of an incarnation of a member.
func (p *Presence) Heard(name, incarnation string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[name] = sighting{incarnation: incarnation, at: now}
}

// Silent returns the members, other than the holder, that count as gone in the
// holder's term. It is called regularly during a term. Members that were not
// known before, and all members at the beginning of a term, count as heard.
func (p *Presence) Silent(members []Member, holder string, epoch int64, now time.Duration) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := epoch != p.epoch || now-p.checkedAt > maxPresenceGap
	p.epoch, p.checkedAt = epoch, now
	heard := make(map[string]sighting, len(members))
	for _, m := range members {
		s, known := p.heard[m.Name]
		if !known || s.incarnation != m.Incarnation || paused {
			s = sighting{incarnation: m.Incarnation, at: now}
		}
		heard[m.Name] = s
	}
	p.heard = heard
	var silent []Member
	for rank, m := range candidatesByRank(members, holder, epoch) {
		if now-heard[m.Name].at > maxMemberSilence(rank) {
			silent = append(silent, m)
		}
	}
	return silent
}

// maxMemberSilence returns the time without a heartbeat after which a candidate
// of the given rank counts as gone.
func maxMemberSilence(rank int) time.Duration {
	return max(minMemberSilence, missedHeartbeats*heartbeatPauseOf(rank))
}
