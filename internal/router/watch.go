package router

import (
	"context"
	"sync"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// claimTracker tracks the latest claim on each zone. When a later claim is read
// from the log, it ends the context of the earlier one, so that calls to the
// previous holder end and are repeated at the new holder at once. It is safe for
// concurrent use.
type claimTracker struct {
	mu      sync.Mutex
	current map[string]trackedClaim
}

// trackedClaim is a claim with a context that ends when a later claim is known.
type trackedClaim struct {
	claim zone.Claim
	// previous is the claim that this one replaced, if it was read here.
	previous zone.Claim
	ctx      context.Context
	cancel   context.CancelFunc
}

// contextFor returns a context that ends when a later claim on the same zone than
// the given one is known.
func (t *claimTracker) contextFor(claim zone.Claim) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		t.current = make(map[string]trackedClaim)
	}
	tracked, ok := t.current[claim.Zone]
	if ok && tracked.claim.Epoch >= claim.Epoch {
		return tracked.ctx
	}
	if ok {
		tracked.cancel()
		tracked.previous = tracked.claim
	}
	tracked.claim = claim
	tracked.ctx, tracked.cancel = context.WithCancel(context.Background())
	t.current[claim.Zone] = tracked
	return tracked.ctx
}

// previous returns the claim before the current one. It returns false if that
// claim does not have the given epoch.
func (t *claimTracker) previous(zoneName string, epoch uint64) (zone.Claim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.current[zoneName]
	return tracked.previous, epoch != 0 && tracked.previous.Epoch == epoch
}

// Observe processes an effect of the log. Calls must be in log order.
func (r *Router) Observe(effect cell.Effect) {
	if effect.Kind != record.KindClaim || !effect.Valid {
		return
	}
	if claim, ok := r.state.Claim(effect.Zone); ok {
		r.claims.contextFor(claim)
	}
}
