package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"gopkg.in/tomb.v2"
)

const (
	// heartbeatInterval is the interval of the heartbeats that the first
	// ranksPerInterval candidates send to the holder. The interval grows by
	// heartbeatInterval for each further ranksPerInterval ranks, so that the
	// holder's load grows with the logarithm of the number of daemons.
	// Lower-ranked candidates also wait longer before they claim.
	heartbeatInterval = 200 * time.Millisecond
	ranksPerInterval  = 4
	// heartbeatTimeout is the timeout of one heartbeat.
	heartbeatTimeout = 450 * time.Millisecond
	// decideInterval is how often a daemon decides whether to claim.
	decideInterval = 50 * time.Millisecond
	// minClaimInterval is the minimum time between two claims of one daemon.
	// Each claim is a call to the log, and claims of other daemons make it
	// fail.
	minClaimInterval = 250 * time.Millisecond
	// termStartGrace is how long a holder may take from its claim until its
	// term runs. It reads the cell's jobs during that time.
	termStartGrace = 1500 * time.Millisecond
)

// HeartbeatResponse is the answer to a heartbeat.
type HeartbeatResponse struct {
	Incarnation string
	// Epoch is the epoch of the term that runs on the callee, 0 if none does.
	Epoch int64
	// Relieve asks the other daemons to take over.
	Relieve bool
	// Claim is the newest claim known to the callee.
	Claim Claim
}

// Peers sends heartbeats to other daemons.
type Peers interface {
	// Heartbeat asks the daemon at an address for its term, and tells it that
	// this daemon is alive. On an error, gone is set if nothing listens at the
	// address any more.
	Heartbeat(ctx context.Context, address string, self Member) (resp HeartbeatResponse, gone bool, err error)
}

// Elector monitors the holder and claims the cell when the holder has failed or
// asks to be replaced. It is safe for concurrent use.
type Elector struct {
	directory *Directory
	peers     Peers
	clock     clock.Clock
	logger    *slog.Logger
	// logAnsweredAt returns when the log last answered this daemon.
	logAnsweredAt func() time.Duration
	// canRunTerm returns an error if this daemon could not begin a term now.
	canRunTerm func(context.Context) error
	// beginTerm is called with each claim of this daemon that took effect.
	beginTerm func(Claim)

	mu sync.Mutex
	// watchedEpoch is the epoch of the claim whose holder is monitored;
	// lastHeard is as in View.
	watchedEpoch int64
	lastHeard    time.Duration
	// claimSeenAt is when the watched claim was first known. backoffDoublings
	// is how often silenceTimeout is doubled. If a holder were replaced before
	// its term has begun, so would be the next, and no term would ever run.
	claimSeenAt      time.Duration
	backoffDoublings int
	// goneSince and relieveSince are as in View. idleSince is when the holder
	// was first found without a running term; 0 if its term runs.
	goneSince    time.Duration
	relieveSince time.Duration
	idleSince    time.Duration
	// begunEpoch and endedEpoch are the newest epochs for which a term of this
	// daemon has begun and ended.
	begunEpoch int64
	endedEpoch int64
	// claimedAt is when this daemon last tried to claim.
	claimedAt time.Duration
	// logFailedAt is when the log last failed for this daemon.
	logFailedAt time.Duration
	// claiming is set while a claim is in flight. leaving stops further claims.
	claiming bool
	leaving  bool
}

// NewElector returns an Elector that does nothing until Run is called.
// logAnsweredAt returns when the log last answered, canRunTerm an error if a
// term could not begin here, and beginTerm is called with each claim that took
// effect.
func NewElector(d *Directory, peers Peers, c clock.Clock, logAnsweredAt func() time.Duration, canRunTerm func(context.Context) error, beginTerm func(Claim), logger *slog.Logger) *Elector {
	return &Elector{directory: d, peers: peers, clock: c, logAnsweredAt: logAnsweredAt, canRunTerm: canRunTerm, beginTerm: beginTerm, logger: logger}
}

// StopClaiming stops the daemon from claiming the cell.
func (e *Elector) StopClaiming() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Run monitors the holder and claims until t dies.
func (e *Elector) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	lastHeartbeat := time.Duration(0)
	for {
		changed := e.directory.Changed()
		e.observe()
		now := e.clock.Now()
		if lastHeartbeat == 0 || now-lastHeartbeat >= e.heartbeatPause() {
			lastHeartbeat = now
			e.sendHeartbeat(t)
		}
		if replaces, due := e.claimDue(now); due {
			t.Go(func() error {
				ctx := t.Context(context.Background())
				_, err := e.Claim(ctx, replaces)
				if err != nil && t.Alive() {
					e.logger.Info("claim of the cell failed", "error", err)
				}
				return nil
			})
		}
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		case <-changed:
		}
	}
}

// heartbeatPause returns the time between two heartbeats of this daemon.
func (e *Elector) heartbeatPause() time.Duration {
	claim := e.directory.Current()
	if claim.Holder.Name == e.directory.self.Name {
		// The newest claim is from an earlier incarnation of this daemon. Another
		// daemon is about to replace it.
		return heartbeatInterval
	}
	rank := Rank(e.directory.Members(), e.directory.self.Name, claim.Holder.Name, claim.Epoch)
	return heartbeatPauseOf(rank)
}

// heartbeatPauseOf returns the time between two heartbeats of a candidate.
func heartbeatPauseOf(rank int) time.Duration {
	return time.Duration(1+rank/ranksPerInterval) * heartbeatInterval
}

// observe applies the directory's newest claim and begins a term if it is this
// daemon's.
func (e *Elector) observe() {
	claim := e.directory.Current()
	now := e.clock.Now()
	e.mu.Lock()
	if e.lastHeard == 0 && e.directory.Loaded() {
		e.lastHeard = now
	}
	if claim.Epoch != e.watchedEpoch {
		silent := e.watchedEpoch > 0 && e.goneSince == 0 && e.relieveSince == 0 && now-e.lastHeard >= silenceTimeout
		if silent && e.lastHeard-e.claimSeenAt < stableTermTime {
			e.backoffDoublings = min(e.backoffDoublings+1, maxBackoffDoublings)
		}
		e.watchedEpoch, e.lastHeard, e.claimSeenAt, e.goneSince, e.relieveSince, e.idleSince = claim.Epoch, now, now, 0, 0, 0
	}
	if e.lastHeard-e.claimSeenAt >= stableTermTime {
		e.backoffDoublings = 0
	}
	own := claim.Epoch > e.begunEpoch && claim.Holder.Name == e.directory.self.Name && claim.Holder.Incarnation == e.directory.self.Incarnation
	if own {
		e.begunEpoch = claim.Epoch
	}
	e.mu.Unlock()
	if own {
		e.beginTerm(claim)
	}
}

// Holding reports whether the newest claim is this daemon's and its term has
// not ended.
func (e *Elector) Holding() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding()
}

// holding is like Holding; the caller holds e.mu.
func (e *Elector) holding() bool {
	return e.begunEpoch > 0 && e.begunEpoch == e.watchedEpoch && e.endedEpoch != e.watchedEpoch
}

// sendHeartbeat sends a heartbeat to the holder, unless that is this daemon.
func (e *Elector) sendHeartbeat(t *tomb.Tomb) {
	claim := e.directory.Current()
	if claim.Epoch == 0 || e.Holding() {
		return
	}
	t.Go(func() error {
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), heartbeatTimeout)
		defer cancel()
		resp, gone, err := e.peers.Heartbeat(ctx, claim.Holder.Address, e.directory.Self())
		if err != nil && t.Alive() {
			e.logger.Info("heartbeat to the holder failed", "holder", claim.Holder.Name, "epoch", claim.Epoch, "gone", gone, "error", err)
		}
		e.handleHeartbeat(claim, resp, gone, err)
		return nil
	})
}

// handleHeartbeat processes the response to a heartbeat to the holder of a
// claim.
func (e *Elector) handleHeartbeat(claim Claim, resp HeartbeatResponse, gone bool, err error) {
	now := e.clock.Now()
	if err == nil {
		e.directory.ObserveClaim(resp.Claim)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if claim.Epoch != e.watchedEpoch {
		return
	}
	switch {
	case err != nil && !gone:
	case err != nil, resp.Incarnation != claim.Holder.Incarnation:
		trackSince(&e.goneSince, true, now)
	default:
		e.goneSince = 0
		trackSince(&e.idleSince, resp.Epoch == 0, now)
		if e.idleSince == 0 || now-e.idleSince < termStartGrace<<e.backoffDoublings {
			e.lastHeard = now
		}
		trackSince(&e.relieveSince, resp.Relieve, now)
	}
}

// TermEnded reports that the term of a claim of this daemon has ended, so that
// the cell may be claimed again.
func (e *Elector) TermEnded(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endedEpoch = max(e.endedEpoch, epoch)
	if e.endedEpoch == e.watchedEpoch {
		trackSince(&e.goneSince, true, e.clock.Now())
	}
}

// trackSince sets at to the time since which a condition has held, or to 0 if
// it does not hold.
func trackSince(at *time.Duration, holds bool, now time.Duration) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = now
	}
}

// claimDue reports whether a claim should be made now and which epoch it would
// replace.
func (e *Elector) claimDue(now time.Duration) (replaces int64, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || e.claiming || now-e.claimedAt < minClaimInterval || e.lastHeard == 0 || e.holding() {
		return 0, false
	}
	holder := e.directory.Current().Holder
	answered := e.logAnsweredAt()
	if answered >= 0 && now-answered > maxLogSilence {
		e.logFailedAt = now
	}
	return e.watchedEpoch, ShouldClaim(View{
		Now:              now,
		Claimed:          e.watchedEpoch > 0,
		LastHeard:        e.lastHeard,
		GoneSince:        e.goneSince,
		RelieveSince:     e.relieveSince,
		LogAnsweredAt:    answered,
		BackoffDoublings: e.backoffDoublings,
		LogFailedAt:      e.logFailedAt,
		Rank:             Rank(e.directory.Members(), e.directory.self.Name, holder.Name, e.watchedEpoch),
	})
}

// Claim claims the cell at once from the holder whose epoch is replaces, unless
// this daemon is leaving, is claiming already or could not run a term.
func (e *Elector) Claim(ctx context.Context, replaces int64) (Claim, error) {
	e.mu.Lock()
	if e.leaving || e.claiming {
		e.mu.Unlock()
		return Claim{}, &keyedlog.Error{Kind: keyedlog.KindRefused, Op: "claim", Detail: "this daemon is leaving or already claiming"}
	}
	e.claiming, e.claimedAt = true, e.clock.Now()
	e.mu.Unlock()
	claim, err := e.claim(ctx, replaces)
	e.mu.Lock()
	e.claiming = false
	switch keyedlog.KindOf(err) {
	case keyedlog.KindRefused, keyedlog.KindUnanswered:
		e.logFailedAt = e.clock.Now()
	}
	e.mu.Unlock()
	if err != nil {
		return Claim{}, err
	}
	e.observe()
	return claim, nil
}

func (e *Elector) claim(ctx context.Context, replaces int64) (Claim, error) {
	if err := e.canRunTerm(ctx); err != nil {
		return Claim{}, err
	}
	return e.directory.Claim(ctx, replaces)
}
