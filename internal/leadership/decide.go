package leadership

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silenceTimeout is the time without a heartbeat answer after which a
	// holder is replaced. It exceeds the time that a busy or slow instance
	// takes for one heartbeat. A premature claim costs only a handover.
	silenceTimeout = 800 * time.Millisecond
	// goneDelay is how long a holder's process must be known to be gone before
	// the holder is replaced, so that all daemons have noticed.
	goneDelay = 40 * time.Millisecond
	// rankStagger is the additional delay of each next candidate, so that the
	// candidates don't all claim at once.
	rankStagger = 120 * time.Millisecond
	// firstClaimDelay is how long a cell that was never claimed is left
	// unclaimed, so that all daemons have registered. They start within 0.3 s
	// of each other, and the fittest of them should claim first.
	firstClaimDelay = 600 * time.Millisecond
	// stableTermTime is how long a holder must have answered heartbeats for
	// its term to count as stable. While terms are not stable, silenceTimeout
	// doubles with each of them. maxBackoffDoublings bounds the doublings:
	// 12.8 s, which is longer than a term may take to begin.
	stableTermTime      = 10 * time.Second
	maxBackoffDoublings = 4
	// maxLogSilence is the age of the log's latest answer up to which a
	// candidate may claim. A daemon that can't write to the log would only
	// disrupt the cell.
	maxLogSilence = 2500 * time.Millisecond
	// logRecoveryTime is how long the log must have worked since its last
	// failure before a daemon claims, in addition to the delay for its rank.
	// After an outage the delays of all candidates have passed, and otherwise
	// the first to reach the log would hold the cell.
	logRecoveryTime = 250 * time.Millisecond
)

// View is what a daemon knows when it decides whether to claim the cell.
type View struct {
	Now time.Duration
	// Claimed is false while the cell was never claimed.
	Claimed bool
	// LastHeard is when the holder last answered that its term runs or may
	// still be starting, or when this daemon began to watch it.
	LastHeard time.Duration
	// GoneSince is when the holder's process was first known to be gone or its
	// term to have ended; 0 if neither is the case.
	GoneSince time.Duration
	// RelieveSince is when the holder first asked to be replaced; 0 if it does
	// not ask.
	RelieveSince time.Duration
	// LogAnsweredAt is when the log last answered this daemon.
	LogAnsweredAt time.Duration
	// BackoffDoublings is how often silenceTimeout is doubled.
	BackoffDoublings int
	// LogFailedAt is when the log last failed for this daemon; 0 if it has not.
	LogFailedAt time.Duration
	// Rank is this daemon's position among the candidates, starting at 0.
	Rank int
}

// ShouldClaim reports whether the daemon should claim the cell.
func ShouldClaim(v View) bool {
	if v.Now-v.LogAnsweredAt > maxLogSilence {
		return false
	}
	stagger := time.Duration(v.Rank) * rankStagger
	if v.LogFailedAt > 0 && v.Now-v.LogFailedAt < logRecoveryTime+stagger {
		return false
	}
	switch {
	case !v.Claimed:
		return v.Now-v.LastHeard >= firstClaimDelay+stagger
	case v.GoneSince > 0:
		return v.Now-v.GoneSince >= goneDelay+stagger
	case v.RelieveSince > 0:
		return v.Now-v.RelieveSince >= goneDelay+stagger
	default:
		return v.Now-v.LastHeard >= silenceTimeout<<v.BackoffDoublings+stagger
	}
}

// Rank returns a daemon's position among the members that may replace a holder,
// fittest first. The order of equally fit members depends on the epoch, so that
// a bad candidate does not always come first. It returns the number of
// candidates if self is not one of them.
func Rank(members []Member, self, holder string, epoch int64) int {
	candidates := candidatesByRank(members, holder, epoch)
	for i, m := range candidates {
		if m.Name == self {
			return i
		}
	}
	return len(candidates)
}

// candidatesByRank returns the members that may replace a holder, in the order of
// their ranks.
func candidatesByRank(members []Member, holder string, epoch int64) []Member {
	var candidates []Member
	for _, m := range members {
		if m.Name != holder {
			candidates = append(candidates, m)
		}
	}
	fitness := FitnessAmong(candidates)
	sort.SliceStable(candidates, func(i, k int) bool {
		a, b := candidates[i], candidates[k]
		if f, g := fitness(a), fitness(b); f != g {
			return f.Before(g)
		}
		return tieBreak(a.Name, epoch) < tieBreak(b.Name, epoch)
	})
	return candidates
}

// tieBreak returns a sort key for a member that differs by epoch.
func tieBreak(name string, epoch int64) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatInt(epoch, 10))
}
