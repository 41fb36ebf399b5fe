package standin

import "time"

// LapseForTest ends the lease of e a moment ago.
func LapseForTest(e *Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseEnd = time.Now().Add(-time.Nanosecond)
}
