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
	// successorMaxSilence is how long ago a daemon's last heartbeat may be for
	// the zone to be handed over to it.
	successorMaxSilence = time.Second
	// handOverTimeout limits one attempt to hand the zone over.
	handOverTimeout = 2 * time.Second
	// handOverPause is the pause between two attempts.
	handOverPause = 300 * time.Millisecond
)

// termManager runs a term while, according to the log, this daemon holds its zone.
// A term is one period of holding a zone, under one epoch.
type termManager struct {
	server *Server

	mu   sync.Mutex
	term *holder.Term
	// lastEnded is the latest term that has ended here. It answers queries about
	// its tickets until another term ends.
	lastEnded *holder.Term
	// goroutines counts the goroutines that watch or stop a term.
	goroutines sync.WaitGroup
}

// newTermManager returns a manager that runs no term yet.
func newTermManager(s *Server) *termManager { return &termManager{server: s} }

// current returns the running term, or nil if there is none.
func (m *termManager) current() *holder.Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

// endedTerm returns the latest ended term if it has the given epoch, or nil.
func (m *termManager) endedTerm(epoch uint64) *holder.Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastEnded == nil || m.lastEnded.Epoch() != epoch {
		return nil
	}
	return m.lastEnded
}

// observe starts or ends the term when a record changes who holds the zone, and
// passes every effect to the running term. It is called in log order.
func (m *termManager) observe(effect cell.Effect) {
	if effect.Kind == record.KindClaim && effect.Zone == m.server.self.AvailabilityZone && effect.Valid {
		m.reconcile()
	}
	if effect.SnapshotInstalled || effect.StateDropped {
		m.reconcile()
	}
	if term := m.current(); term != nil {
		term.Observe(effect)
	}
}

// reconcile makes the running term match the zone's current claim: it ends a term
// that the claim does not name and starts one if the claim names this daemon.
func (m *termManager) reconcile() {
	claim, held := m.server.journal.State().Claim(m.server.self.AvailabilityZone)
	mine := held && claim.Holder == m.server.self.HolderName()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != nil && (!mine || m.term.Epoch() != claim.Epoch) {
		m.endLocked(holder.ErrSuperseded)
	}
	if mine && m.term == nil && !m.server.leaving.Load() {
		m.server.report.recorder.SetEpoch(claim.Epoch, time.Now())
		m.term = m.newTerm(claim)
		m.term.Start()
		term := m.term
		m.goroutines.Go(func() { m.awaitEnd(term) })
	}
}

// endLocked stops the running term in the background; the caller holds mu.
func (m *termManager) endLocked(reason error) {
	term := m.term
	m.term, m.lastEnded = nil, term
	m.server.report.recorder.SetEpoch(0, time.Now())
	m.goroutines.Go(func() { term.Stop(reason) })
}

// newTerm creates the term that belongs to a claim.
func (m *termManager) newTerm(claim zone.Claim) *holder.Term {
	s := m.server
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

// awaitEnd waits for the term to end and removes it if it is still the current
// one. A term ends by itself, for example, when an endpoint reports a higher epoch.
func (m *termManager) awaitEnd(term *holder.Term) {
	<-term.Dying()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == term {
		m.endLocked(holder.ErrSuperseded)
	}
}

// handOver appends a claim on the zone for another of its daemons, so that the
// zone is never without a holder, and waits until the log confirms it. As long as
// the log does not accept the claim, the term continues to place runs. Without a
// successor this daemon holds the zone until it stops.
func (m *termManager) handOver(ctx context.Context) {
	if m.current() == nil {
		return
	}
	m.server.report.record(ctx, finalReportTimeout)
	for term := m.current(); term != nil && ctx.Err() == nil; term = m.current() {
		successor, ok := m.successor()
		if !ok || m.appendHandOver(ctx, term, successor) {
			return
		}
		sleep(ctx, handOverPause)
	}
}

// successor returns another live daemon of the zone that is not leaving.
func (m *termManager) successor() (membership.Member, bool) {
	s := m.server
	for _, member := range s.table.Live(s.self.AvailabilityZone, successorMaxSilence) {
		if member.Instance != s.self.Instance && member.Address != "" {
			return member, true
		}
	}
	return membership.Member{}, false
}

// appendHandOver quiesces the term and appends the successor's claim. It reports
// whether the claim's effect is known; if it is not, the term resumes.
func (m *termManager) appendHandOver(ctx context.Context, term *holder.Term, to membership.Member) bool {
	s := m.server
	term.Quiesce(ctx)
	name := to.Instance + "/" + to.Incarnation
	appendCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	effect, err := s.journal.Append(appendCtx, claimant.ClaimRecord(s.self.AvailabilityZone, name, to.Address, term.Epoch()))
	if err != nil {
		s.log.Warn("hand-over was not confirmed; the term continues", "to", name, "error", err)
		term.Resume()
		return false
	}
	s.log.Info("zone handed over", "to", name, "epoch", effect.Offset, "valid", effect.Valid)
	return true
}

// stop ends the running term, if any, and waits until all terms have stopped.
func (m *termManager) stop() {
	m.mu.Lock()
	if m.term != nil {
		m.endLocked(holder.ErrSuperseded)
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}
