package standin

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// maxLease bounds the length of a lease.
const maxLease = 10 * time.Minute

// leaseLapsed is the reason of tasks that end with their lease.
const leaseLapsed = "lease lapsed"

// issueToken returns a lease token, which encodes the time of its issue.
func (e *Endpoint) issueToken(now time.Time) uint64 { return uint64(now.Sub(e.base)) + 1 }

// issuedAt returns when a token was issued, or false if this endpoint can't
// have issued it.
func (e *Endpoint) issuedAt(token uint64, now time.Time) (time.Time, bool) {
	if token == 0 || token > e.issueToken(now) {
		return time.Time{}, false
	}
	return e.base.Add(time.Duration(token - 1)), true
}

// renewLocked extends the lease to length after the issue of token. A lease
// is never shortened.
func (e *Endpoint) renewLocked(token uint64, length time.Duration, now time.Time) {
	issued, ok := e.issuedAt(token, now)
	if !ok {
		return
	}
	end := issued.Add(length)
	if end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
	e.leased = e.leased || end.After(now)
	select {
	case e.leaseMoved <- struct{}{}:
	default:
	}
}

// expireLocked ends all running tasks if the lease has lapsed by now. They
// count as ended at the lapse, since nothing of theirs takes effect after it,
// however late the lapse is noticed. A session that had the lease ends with
// it, so that none of its commands takes effect later.
func (e *Endpoint) expireLocked(now time.Time) {
	if now.Before(e.leaseEnd) {
		return
	}
	for _, t := range e.tasks {
		e.endLocked(t, endpoint.TaskStopped, e.leaseEnd, leaseLapsed)
	}
	if e.leased {
		e.session, e.leased = 0, false
	}
}

// watchLease ends tasks when the lease lapses.
func (e *Endpoint) watchLease() error {
	for {
		e.mu.Lock()
		left := time.Until(e.leaseEnd)
		e.mu.Unlock()
		timer := time.NewTimer(max(left, 0))
		lapse := timer.C
		if left <= 0 {
			lapse = nil
		}
		select {
		case <-lapse:
			e.lapse()
		case <-e.leaseMoved:
		case <-e.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// lapse ends tasks if the lease has lapsed.
func (e *Endpoint) lapse() {
	e.link.gate.wait(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.gone {
		e.expireLocked(time.Now())
	}
}
