package leadership

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silentAfter is how long a holder goes unheard before it is replaced. It
	// exceeds what a busy or slow instance takes for one heartbeat; a claim
	// that came too early costs only a hand-over.
	silentAfter = 800 * time.Millisecond
	// goneAfter is how long a holder's process is known to be gone before it
	// is replaced, so that the news reaches all.
	goneAfter = 40 * time.Millisecond
	// rankStagger is how much longer each next candidate waits, so that they
	// don't all claim at once.
	rankStagger = 120 * time.Millisecond
	// firstWait is how long a cell that nobody has ever claimed is left alone,
	// so that all daemons have registered: they start within 0.3 s of each
	// other, and who claims first should be the one that fits best.
	firstWait = 600 * time.Millisecond
	// settled is how long a holder has to be heard of for its term to count as
	// one that lasts, and mostPatience bounds the doublings of silentAfter while
	// terms don't: 12.8 s, which is longer than a term may take to begin.
	settled      = 10 * time.Second
	mostPatience = 4
	// logFresh is the age of the last sign of the log up to which a candidate
	// may claim: one that can't write would only disturb.
	logFresh = 2500 * time.Millisecond
	// logSettle is how long after its last failure the log must have worked for a
	// daemon to claim, besides its place among the candidates. After an outage
	// all are due at once, and the first to reach the log would hold the cell.
	logSettle = 250 * time.Millisecond
)

// View is what a daemon knows when it decides whether to claim the cell.
type View struct {
	Now time.Duration
	// Claimed is false while nobody has ever claimed the cell.
	Claimed bool
	// Heard is when the holder last confirmed that its term runs, or when it
	// was first looked for.
	Heard time.Duration
	// Gone is since when the holder's process is known to be gone, or its
	// term ended; 0 if it isn't.
	Gone time.Duration
	// Relieve is since when the holder asks to be replaced; 0 if it doesn't.
	Relieve time.Duration
	// LogSeen is when the log last answered this daemon.
	LogSeen time.Duration
	// Patience is how often the time is doubled after which a silent holder is
	// replaced.
	Patience int
	// LogFailed is when the log last failed this daemon; 0 if it has not.
	LogFailed time.Duration
	// Rank is this daemon's place among the candidates, from 0.
	Rank int
}

// ShouldClaim reports whether the daemon should claim the cell.
func ShouldClaim(v View) bool {
	if v.Now-v.LogSeen > logFresh {
		return false
	}
	stagger := time.Duration(v.Rank) * rankStagger
	if v.LogFailed > 0 && v.Now-v.LogFailed < logSettle+stagger {
		return false
	}
	switch {
	case !v.Claimed:
		return v.Now-v.Heard >= firstWait+stagger
	case v.Gone > 0:
		return v.Now-v.Gone >= goneAfter+stagger
	case v.Relieve > 0:
		return v.Now-v.Relieve >= goneAfter+stagger
	default:
		return v.Now-v.Heard >= silentAfter<<v.Patience+stagger
	}
}

// Rank returns a daemon's place among the members that may replace a holder:
// those that fit best first. Among equals the order differs by epoch, so that one bad candidate does not
// always come first.
func Rank(members []Member, self, holder string, epoch int64) int {
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
		return turn(a.Name, epoch) < turn(b.Name, epoch)
	})
	for i, m := range candidates {
		if m.Name == self {
			return i
		}
	}
	return len(candidates)
}

// turn gives a member a place that differs by epoch.
func turn(name string, epoch int64) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatInt(epoch, 10))
}
