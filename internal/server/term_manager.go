package server

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/claimant"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/holder"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

const (
	// liveWithin is the silence after which a daemon is no successor.
	liveWithin = time.Second
	// handOverTimeout bounds one attempt to hand the zone over.
	handOverTimeout = 2 * time.Second
	// handOverPause is the pause between two attempts.
	handOverPause = 300 * time.Millisecond
)

// termManager runs a term while the log says that this daemon holds its zone.
type termManager struct {
	server *Server

	mu   sync.Mutex
	term *holder.Term
	// last is the latest term that has ended here. It answers for its tickets
	// until it is replaced.
	last *holder.Term
	// ended are terms that are being stopped.
	ended sync.WaitGroup
}

// newTermManager returns a manager without a term.
func newTermManager(s *Server) *termManager { return &termManager{server: s} }

// current returns the running term, nil if there is none.
func (k *termManager) current() *holder.Term {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term
}

// endedTerm returns the latest ended term if it has the given epoch.
func (k *termManager) endedTerm(epoch uint64) *holder.Term {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.last == nil || k.last.Epoch() != epoch {
		return nil
	}
	return k.last
}

// observe follows the claims on the zone in log order and passes every effect
// to the running term.
func (k *termManager) observe(effect cell.Effect) {
	if effect.Kind == record.KindClaim && effect.Zone == k.server.self.AvailabilityZone && effect.Valid {
		k.follow()
	}
	if effect.SnapshotInstalled || effect.StateDropped {
		k.follow()
	}
	if term := k.current(); term != nil {
		term.Observe(effect)
	}
}

// follow starts or ends the term that the current claim asks for.
func (k *termManager) follow() {
	claim, held := k.server.journal.State().Epoch(k.server.self.AvailabilityZone)
	mine := held && claim.Holder == k.server.self.HolderName()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term != nil && (!mine || k.term.Epoch() != claim.Epoch) {
		k.end(holder.ErrSuperseded)
	}
	if mine && k.term == nil && !k.server.leaving.Load() {
		k.server.report.recorder.SetEpoch(claim.Epoch, time.Now())
		k.term = k.newTerm(claim)
		k.term.Start()
		term := k.term
		k.ended.Go(func() { k.watch(term) })
	}
}

// end stops the running term in the background; the caller holds the lock.
func (k *termManager) end(reason error) {
	term := k.term
	k.term, k.last = nil, term
	k.server.report.recorder.SetEpoch(0, time.Now())
	k.ended.Go(func() { term.Stop(reason) })
}

// newTerm makes a term under a claim.
func (k *termManager) newTerm(claim zone.Claim) *holder.Term {
	s := k.server
	return holder.NewTerm(holder.Settings{
		AvailabilityZone: s.self.AvailabilityZone,
		Holder:           s.self.HolderName(),
		Lease:            s.settings.Zone.Lease,
		Heartbeat:        s.settings.Zone.Heartbeat,
	}, holder.Dependencies{
		Journal:   s.journal,
		Directory: s.directory,
		Dial:      func(address string) holder.EndpointClient { return endpoint.NewClient(address) },
		Authorize: s.guard.Recheck,
		RequestTransfer: func(ctx context.Context, from, team string, amount int64) (int64, error) {
			return s.router.RequestTransfer(ctx, from, team, amount)
		},
		MaxWaiting: s.waitingLimit,
		Observer:   s.report.collector,
		Log:        s.log,
	}, placement.New(), claim)
}

// watch drops a term that ends by itself, as when an endpoint showed a higher
// epoch.
func (k *termManager) watch(term *holder.Term) {
	<-term.Dying()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term == term {
		k.end(holder.ErrSuperseded)
	}
}

// handOver claims the zone for another daemon of it, so that there is no gap,
// and waits until the log shows that. While the log does not take the claim
// the term goes on placing. Without a successor the zone stays with this
// daemon until it ends.
func (k *termManager) handOver(ctx context.Context) {
	if k.current() == nil {
		return
	}
	k.server.report.record(ctx, reportGrace)
	for term := k.current(); term != nil && ctx.Err() == nil; term = k.current() {
		successor, ok := k.successor()
		if !ok || k.pass(ctx, term, successor) {
			return
		}
		waitFor(ctx, handOverPause)
	}
}

// successor is a live daemon of the zone that does not stop itself.
func (k *termManager) successor() (membership.Member, bool) {
	s := k.server
	for _, m := range s.table.Live(s.self.AvailabilityZone, liveWithin) {
		if m.Instance != s.self.Instance && m.Address != "" {
			return m, true
		}
	}
	return membership.Member{}, false
}

// pass quiets the term and appends the successor's claim; it reports whether
// the claim's effect is known.
func (k *termManager) pass(ctx context.Context, term *holder.Term, m membership.Member) bool {
	s := k.server
	term.Quiesce(ctx)
	name := m.Instance + "/" + m.Incarnation
	appendCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	effect, err := s.journal.Append(appendCtx, claimant.ClaimRecord(s.self.AvailabilityZone, name, m.Address, term.Epoch()))
	if err != nil {
		s.log.Warn("hand-over not confirmed; the term goes on", "to", name, "error", err)
		term.Resume()
		return false
	}
	s.log.Info("zone handed over", "to", name, "epoch", effect.Offset, "valid", effect.Valid)
	return true
}

// stop ends the running term, if any, and waits for all terms to end.
func (k *termManager) stop() {
	k.mu.Lock()
	if k.term != nil {
		k.end(holder.ErrSuperseded)
	}
	k.mu.Unlock()
	k.ended.Wait()
}
