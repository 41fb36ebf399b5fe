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
	epoch  uint64
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
	if ok && watched.epoch >= claim.Epoch {
		return watched.ctx
	}
	if ok {
		watched.cancel()
	}
	watched.epoch = claim.Epoch
	watched.ctx, watched.cancel = context.WithCancel(context.Background())
	w.zones[claim.Zone] = watched
	return watched.ctx
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
