package holder

import (
	"context"
	"time"
)

// quiescePollInterval is the interval at which Quiesce looks for starts in flight.
const quiescePollInterval = 5 * time.Millisecond

// Quiesce stops starting tasks and waits until no start is in flight, ctx ends or the
// term does. The next holder then finds every started task in an inventory.
func (t *Term) Quiesce(ctx context.Context) {
	t.mu.Lock()
	t.handingOver = true
	t.mu.Unlock()
	for ctx.Err() == nil && t.tomb.Alive() && t.startsInFlight() {
		t.sleep(quiescePollInterval)
	}
	t.deps.Log.Info("term has stopped starting tasks", "epoch", t.epoch, "after", time.Since(t.startedAt))
}

// Resume starts tasks again after a handover that has failed.
func (t *Term) Resume() {
	t.mu.Lock()
	t.handingOver = false
	t.mu.Unlock()
	t.wakeScheduler()
}

// startsInFlight reports whether an endpoint has not yet answered a start.
func (t *Term) startsInFlight() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.units {
		if u.phase == phaseStarting {
			return true
		}
	}
	return false
}
