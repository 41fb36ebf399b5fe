package standin

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// maxLease limits the duration of a lease.
const maxLease = 10 * time.Minute

// leaseLapsed is the reason given for tasks that end because the lease lapses.
const leaseLapsed = "lease lapsed"

// issueToken returns a lease token, which encodes now as its time of issue.
func (e *Endpoint) issueToken(now time.Time) uint64 { return uint64(now.Sub(e.tokenBase)) + 1 }

// issuedAt returns the time at which a token was issued, or false if this
// incarnation can't have issued it.
func (e *Endpoint) issuedAt(token uint64, now time.Time) (time.Time, bool) {
	if token == 0 || token > e.issueToken(now) {
		return time.Time{}, false
	}
	return e.tokenBase.Add(time.Duration(token - 1)), true
}

// renewLocked extends the lease until length after the time at which token was
// issued. It never shortens the lease.
func (e *Endpoint) renewLocked(token uint64, length time.Duration, now time.Time) {
	issued, ok := e.issuedAt(token, now)
	if !ok {
		return
	}
	end := issued.Add(length)
	if end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
	e.sessionLeased = e.sessionLeased || end.After(now)
	select {
	case e.leaseRenewed <- struct{}{}:
	default:
	}
}

// expireLocked ends all running tasks if the lease has lapsed by now. Their time
// of end is the end of the lease, even if the lapse is noticed late, since
// nothing that they do takes effect after it. A session that had been granted
// the lease ends too, so that its delayed commands have no effect.
func (e *Endpoint) expireLocked(now time.Time) {
	if now.Before(e.leaseEnd) {
		return
	}
	for _, t := range e.tasks {
		e.endLocked(t, endpoint.TaskStopped, e.leaseEnd, leaseLapsed)
	}
	if e.sessionLeased {
		e.session, e.sessionLeased = 0, false
	}
}

// watchLease ends the running tasks when the lease lapses, until the endpoint
// ends.
func (e *Endpoint) watchLease() error {
	for {
		e.mu.Lock()
		left := time.Until(e.leaseEnd)
		e.mu.Unlock()
		timer := time.NewTimer(max(left, 0))
		// After a lapse the loop waits for the next renewal.
		expired := timer.C
		if left <= 0 {
			expired = nil
		}
		select {
		case <-expired:
			e.lapse()
		case <-e.leaseRenewed:
		case <-e.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// lapse ends the running tasks if the lease has lapsed. The switch "pause" delays
// it, as it would in a stopped process.
func (e *Endpoint) lapse() {
	e.link.gate.wait(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.expireLocked(time.Now())
	}
}
