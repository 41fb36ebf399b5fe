package router

import (
	"context"
	"sync"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// claimWatch ends calls of a holder when another claim on its zone is read, so
// that they are repeated at the new holder at once. It is safe for concurrent
// use.
type claimWatch struct {
	mu    sync.Mutex
	zones map[string]watchedClaim
}

// watchedClaim is a context that lasts as long as a claim.
type watchedClaim struct {
	claim zone.Claim
	// before is the claim that this one ended, as far as it was read here.
	before zone.Claim
	ctx    context.Context
	cancel context.CancelFunc
}

// until returns a context that ends when a later claim than the given one is
// known.
func (w *claimWatch) until(claim zone.Claim) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.zones == nil {
		w.zones = make(map[string]watchedClaim)
	}
	watched, ok := w.zones[claim.Zone]
	if ok && watched.claim.Epoch >= claim.Epoch {
		return watched.ctx
	}
	if ok {
		watched.cancel()
		watched.before = watched.claim
	}
	watched.claim = claim
	watched.ctx, watched.cancel = context.WithCancel(context.Background())
	w.zones[claim.Zone] = watched
	return watched.ctx
}

// previous returns the claim before the current one if it has the given epoch.
func (w *claimWatch) previous(zoneName string, epoch uint64) (zone.Claim, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	watched := w.zones[zoneName]
	return watched.before, epoch != 0 && watched.before.Epoch == epoch
}

// Observe follows the claims in log order.
func (r *Router) Observe(effect cell.Effect) {
	if effect.Kind != record.KindClaim || !effect.Valid {
		return
	}
	if claim, ok := r.state.Epoch(effect.Zone); ok {
		r.claims.until(claim)
	}
}
