package standin

import "time"

// LapseForTest sets the end of the lease of e to 1 ns ago.
func LapseForTest(e *Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseEnd = time.Now().Add(-time.Nanosecond)
}
