package holder

import (
	"context"
	"time"
)

// quiescePoll is how often a quiescing term looks for starts under way.
const quiescePoll = 5 * time.Millisecond

// Quiesce stops starting tasks and waits until no start is under way, so that
// the next holder finds every started task in an inventory.
func (t *Term) Quiesce(ctx context.Context) {
	t.mu.Lock()
	t.handingOver = true
	t.mu.Unlock()
	for ctx.Err() == nil && t.tomb.Alive() && t.starting() {
		t.pause(quiescePoll)
	}
	t.deps.Log.Info("term is quiet", "epoch", t.epoch, "after", time.Since(t.began))
}

// Resume starts tasks again after a hand-over that did not come about.
func (t *Term) Resume() {
	t.mu.Lock()
	t.handingOver = false
	t.mu.Unlock()
	t.kick()
}

// starting reports whether a start has not been answered yet.
func (t *Term) starting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.units {
		if u.phase == phaseStarting {
			return true
		}
	}
	return false
}
