package placement

import "time"

const (
	// quarantineThreshold is the suspicion at which an endpoint is quarantined.
	quarantineThreshold = 2.5
	// minSuccessRate is the success rate of a queue on other endpoints below
	// which a failure is not attributed to the endpoint.
	minSuccessRate = 0.3
	// failedWorkHistory is the number of failed units of work that are remembered
	// per endpoint, so that a broken job counts only once.
	failedWorkHistory = 8
	// suspicionLifetime is the number of successful tasks after the last failure
	// for which avoidFailing considers suspicions when a task is placed.
	suspicionLifetime = 10000
	// outcomeHistorySize is the number of outcomes that are remembered per queue.
	outcomeHistorySize = 16
	// maxQuarantinedFraction is the largest fraction of the endpoints of a kind
	// that may be in quarantine. One endpoint of at least two always may.
	maxQuarantinedFraction = 0.25
	// probationTasks is the number of concurrent tasks at which the probation of
	// an endpoint ends.
	probationTasks = 16
)

// outcomeHistory holds the latest outcomes of the tasks of one queue. It serves to
// distinguish a broken job from a broken endpoint.
type outcomeHistory struct {
	endpoints [outcomeHistorySize]*endpoint
	failed    [outcomeHistorySize]bool
	next      int
}

func (v *outcomeHistory) add(ep *endpoint, failed bool) {
	v.endpoints[v.next] = ep
	v.failed[v.next] = failed
	v.next = (v.next + 1) % outcomeHistorySize
}

// successRate returns the smoothed fraction of the queue's recent tasks on other
// endpoints than ep that succeeded, (ok+1)/(ok+failed+2). It is near 0 for a job
// that fails everywhere.
func (v *outcomeHistory) successRate(ep *endpoint) float64 {
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

// health holds the failure record and the quarantine of an endpoint.
type health struct {
	// suspicion grows with each failure that is attributed to the endpoint and
	// halves with each success.
	suspicion float64
	// quarantinedUntil is the end of the quarantine, 0 if there was none.
	quarantinedUntil time.Duration
	backoff          time.Duration
	// probation is the number of tasks that may run concurrently after a
	// quarantine, 0 if there is no such limit.
	probation int
	// probationRunning is the number of running tasks that were started on
	// probation.
	probationRunning int
	failedWork       [failedWorkHistory]string
	nextFailedWork   int
}

// admits reports whether the endpoint may take another task.
func (h *health) admits(now time.Duration) bool {
	if h.quarantinedUntil > now {
		return false
	}
	return h.probation == 0 || h.probationRunning < h.probation
}

// allowance returns how many more tasks the endpoint may take, at most limit.
func (h *health) allowance(limit int64) int64 {
	if h.probation == 0 {
		return limit
	}
	return min(limit, int64(h.probation-h.probationRunning))
}

// failedBefore reports whether a failure of the work is remembered already. If
// not, it is remembered.
func (h *health) failedBefore(work string) bool {
	for _, w := range h.failedWork {
		if w == work {
			return true
		}
	}
	h.failedWork[h.nextFailedWork] = work
	h.nextFailedWork = (h.nextFailedWork + 1) % failedWorkHistory
	return false
}

// recordOutcome updates the health of ep and the outcomes of the task's queue after
// a task on ep has ended, and quarantines ep if necessary.
func (e *engine) recordOutcome(ep *endpoint, tk *task, now time.Duration, result Result) {
	h := &ep.health
	if tk.onProbation {
		h.probationRunning--
	}
	if result == ResultStopped {
		return
	}
	rate := tk.stats.outcomes.successRate(ep)
	tk.stats.outcomes.add(ep, result == ResultFailed)
	if result == ResultDone {
		e.suspicionCountdown = max(0, e.suspicionCountdown-1)
		h.recordSuccess()
		return
	}
	if rate < minSuccessRate || h.failedBefore(tk.Work) {
		return
	}
	h.suspicion += rate
	e.suspicionCountdown = suspicionLifetime
	if h.suspicion >= quarantineThreshold || h.probation > 0 && rate >= typicalQuantile {
		e.quarantine(ep, now)
	}
}

// recordSuccess halves the suspicion and doubles the task limit of a probation.
func (h *health) recordSuccess() {
	h.suspicion /= 2
	if h.probation == 0 {
		return
	}
	h.probation *= 2
	if h.probation >= probationTasks {
		h.probation = 0
		h.backoff = 0
	}
}

// quarantine keeps new tasks away from ep for a time that doubles with each
// quarantine until a probation has ended well. It does nothing if too many
// endpoints of the kind are in quarantine already.
func (e *engine) quarantine(ep *endpoint, now time.Duration) {
	kind := e.endpoints.byKind(ep.Runner)
	count := 0
	for _, other := range kind {
		if other.health.quarantinedUntil > now {
			count++
		}
	}
	if len(kind) < 2 || count > 0 && float64(count+1) > maxQuarantinedFraction*float64(len(kind)) {
		return
	}
	h := &ep.health
	h.backoff = min(max(2*h.backoff, e.policy.QuarantineMin), e.policy.QuarantineMax)
	h.quarantinedUntil = now + h.backoff
	h.probation = 1
	h.suspicion = 0
	h.failedWork = [failedWorkHistory]string{}
	e.quarantined = append(e.quarantined, ep)
}

// releaseQuarantined makes endpoints whose quarantine has ended available for
// one task, with which their probation begins.
func (e *engine) releaseQuarantined() {
	kept := e.quarantined[:0]
	for _, ep := range e.quarantined {
		if ep.health.quarantinedUntil > e.now {
			kept = append(kept, ep)
			continue
		}
		e.endpoints.markCapacityGained(ep)
	}
	e.quarantined = kept
}
