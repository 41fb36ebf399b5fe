package placement

import "time"

const (
	// suspectAt is the suspicion at which an endpoint is quarantined.
	suspectAt = 2.5
	// leastTrust is the trust below which a failure says nothing about the
	// endpoint.
	leastTrust = 0.3
	// recentWorks is how many different works are remembered per endpoint, so
	// that one broken job counts once.
	recentWorks = 8
	// suspectMemory is the number of successes after the last failure for
	// which suspicions are looked at when a task is placed.
	suspectMemory = 10000
	// evidenceSize is how many outcomes are remembered per source.
	evidenceSize = 16
	// maxQuarantined is the largest part of a kind's endpoints in quarantine.
	maxQuarantined = 0.25
	// fullRelease is the number of tasks at once after which an endpoint on
	// probation counts as healthy.
	fullRelease = 16
)

// evidence is the latest outcomes of one source, to tell a broken job from a
// broken endpoint.
type evidence struct {
	endpoints [evidenceSize]*endpoint
	failed    [evidenceSize]bool
	next      int
}

func (v *evidence) add(ep *endpoint, failed bool) {
	v.endpoints[v.next] = ep
	v.failed[v.next] = failed
	v.next = (v.next + 1) % evidenceSize
}

// trust returns the part of the source's recent tasks on other endpoints that
// went well, (ok+1)/(ok+failed+2): near 0 for a job that fails everywhere.
func (v *evidence) trust(ep *endpoint) float64 {
	ok, failed := 0.0, 0.0
	for i, other := range v.endpoints {
		switch {
		case other == nil || other == ep:
		case v.failed[i]:
			failed++
		default:
			ok++
		}
	}
	return (ok + 1) / (ok + failed + 2)
}

// health is an endpoint's record of failures.
type health struct {
	suspicion float64
	// until is the end of the quarantine, 0 for none.
	until   time.Duration
	backoff time.Duration
	// probation is the number of tasks that may run at once after a
	// quarantine, 0 if there is no such limit.
	probation int
	// running counts the tasks started on probation.
	running  int
	works    [recentWorks]string
	nextWork int
}

// admits reports whether the endpoint may take another task.
func (h *health) admits(now time.Duration) bool {
	if h.until > now {
		return false
	}
	return h.probation == 0 || h.running < h.probation
}

// allowance returns how many of limit tasks the endpoint may take at once.
func (h *health) allowance(limit int64) int64 {
	if h.probation == 0 {
		return limit
	}
	return min(limit, int64(h.probation-h.running))
}

func (h *health) seen(work string) bool {
	for _, w := range h.works {
		if w == work {
			return true
		}
	}
	h.works[h.nextWork] = work
	h.nextWork = (h.nextWork + 1) % recentWorks
	return false
}

// judge takes in how a task on ep ended.
func (e *engine) judge(ep *endpoint, tk *task, now time.Duration, result Result) {
	h := &ep.health
	if tk.probe {
		h.running--
	}
	if result == ResultStopped {
		return
	}
	trust := tk.source.evidence.trust(ep)
	tk.source.evidence.add(ep, result == ResultFailed)
	if result == ResultDone {
		e.suspects = max(0, e.suspects-1)
		h.succeed()
		return
	}
	if trust < leastTrust || h.seen(tk.Work) {
		return
	}
	h.suspicion += trust
	e.suspects = suspectMemory
	if h.suspicion >= suspectAt || h.probation > 0 && trust >= typicalQuantile {
		e.quarantine(ep, now)
	}
}

// succeed halves the suspicion and widens a probation.
func (h *health) succeed() {
	h.suspicion /= 2
	if h.probation == 0 {
		return
	}
	h.probation *= 2
	if h.probation >= fullRelease {
		h.probation = 0
		h.backoff = 0
	}
}

// quarantine keeps new tasks from ep for a time that doubles with each
// relapse, unless too many endpoints are in quarantine already.
func (e *engine) quarantine(ep *endpoint, now time.Duration) {
	kind := e.fleet.kind(ep.Runner)
	inside := 0
	for _, other := range kind {
		if other.health.until > now {
			inside++
		}
	}
	if len(kind) < 2 || inside > 0 && float64(inside+1) > maxQuarantined*float64(len(kind)) {
		return
	}
	h := &ep.health
	h.backoff = min(max(2*h.backoff, e.policy.QuarantineFirst), e.policy.QuarantineMax)
	h.until = now + h.backoff
	h.probation = 1
	h.suspicion = 0
	h.works = [recentWorks]string{}
	e.quarantined = append(e.quarantined, ep)
}

// releaseQuarantined lets endpoints whose time is over take one task.
func (e *engine) releaseQuarantined() {
	kept := e.quarantined[:0]
	for _, ep := range e.quarantined {
		if ep.health.until > e.now {
			kept = append(kept, ep)
			continue
		}
		e.fleet.noteGrown(ep)
	}
	e.quarantined = kept
}
