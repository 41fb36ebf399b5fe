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
	// beatInterval is the time between heartbeats to the holder, for the
	// candidates that would replace it first; each next beatRanks of them have
	// once more that time, so that the holder's work grows by the logarithm of
	// the daemons. They wait longer with their claims, too.
	beatInterval = 200 * time.Millisecond
	beatRanks    = 4
	// beatTimeout bounds one heartbeat.
	beatTimeout = 450 * time.Millisecond
	// decideInterval is how often a daemon considers a claim.
	decideInterval = 50 * time.Millisecond
	// claimPause is the least time between two claims of one daemon, as each
	// is a call of the log that others' claims make fail.
	claimPause = 250 * time.Millisecond
	// beginAllowance is how long a holder may take from its claim until its
	// term runs: it reads the cell's jobs meanwhile.
	beginAllowance = 1500 * time.Millisecond
)

// HeartbeatResponse is the answer to a heartbeat.
type HeartbeatResponse struct {
	Incarnation string
	// Epoch is that of the term that runs there, 0 if none does.
	Epoch int64
	// Relieve asks others to take over.
	Relieve bool
	// Claim is the newest claim known there.
	Claim Claim
}

// Peers sends heartbeats to other daemons.
type Peers interface {
	// Heartbeat asks a daemon for its term. gone is set with an error if
	// nothing serves the address any more.
	Heartbeat(ctx context.Context, address string) (b HeartbeatResponse, gone bool, err error)
}

// Elector watches the holder and claims the cell when it is missing. It is safe
// for concurrent use.
type Elector struct {
	directory *Directory
	peers     Peers
	clock     clock.Clock
	logger    *slog.Logger
	// logSeen returns when the log last answered this daemon.
	logSeen func() time.Duration
	// able returns an error if a term could not begin here now.
	able func(context.Context) error
	// begin is told of each claim of this daemon that came into force.
	begin func(Claim)

	mu      sync.Mutex
	watched int64
	heard   time.Duration
	// seen is when the watched claim was first known, patience how often the time
	// is doubled after which its holder is replaced. Where a holder is replaced
	// before its term has begun, so is the next one, and none ever works.
	seen     time.Duration
	patience int
	gone     time.Duration
	relieve  time.Duration
	idle     time.Duration
	begun    int64
	ended    int64
	claimed  time.Duration
	// failed is when the log last failed this daemon.
	failed   time.Duration
	claiming bool
	leaving  bool
}

// NewElector returns an elector that works once Run is called.
func NewElector(d *Directory, peers Peers, c clock.Clock, logSeen func() time.Duration, able func(context.Context) error, begin func(Claim), logger *slog.Logger) *Elector {
	return &Elector{directory: d, peers: peers, clock: c, logSeen: logSeen, able: able, begin: begin, logger: logger}
}

// Leave makes the daemon claim no more.
func (e *Elector) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Run watches and claims until t dies.
func (e *Elector) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	lastBeat := time.Duration(0)
	for {
		changed := e.directory.Changed()
		e.observe()
		now := e.clock.Now()
		if lastBeat == 0 || now-lastBeat >= e.beatPause() {
			lastBeat = now
			e.beat(t)
		}
		if replaces, due := e.due(now); due {
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

// beatPause returns the time between two heartbeats of this daemon.
func (e *Elector) beatPause() time.Duration {
	claim := e.directory.Current()
	if claim.Holder.Name == e.directory.self.Name {
		// The claim of an earlier life, which another daemon is about to replace.
		return beatInterval
	}
	rank := Rank(e.directory.Members(), e.directory.self.Name, claim.Holder.Name, claim.Epoch)
	return time.Duration(1+rank/beatRanks) * beatInterval
}

// observe takes in the newest claim of the directory.
func (e *Elector) observe() {
	claim := e.directory.Current()
	now := e.clock.Now()
	e.mu.Lock()
	if e.heard == 0 && e.directory.Loaded() {
		e.heard = now
	}
	if claim.Epoch != e.watched {
		silent := e.watched > 0 && e.gone == 0 && e.relieve == 0 && now-e.heard >= silentAfter
		if silent && e.heard-e.seen < settled {
			e.patience = min(e.patience+1, mostPatience)
		}
		e.watched, e.heard, e.seen, e.gone, e.relieve, e.idle = claim.Epoch, now, now, 0, 0, 0
	}
	if e.heard-e.seen >= settled {
		e.patience = 0
	}
	own := claim.Epoch > e.begun && claim.Holder.Name == e.directory.self.Name && claim.Holder.Incarnation == e.directory.self.Incarnation
	if own {
		e.begun = claim.Epoch
	}
	e.mu.Unlock()
	if own {
		e.begin(claim)
	}
}

// Holding reports whether this daemon's claim is the newest.
func (e *Elector) Holding() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding()
}

func (e *Elector) holding() bool {
	return e.begun > 0 && e.begun == e.watched && e.ended != e.watched
}

// beat sends a heartbeat to the holder, unless that is this daemon.
func (e *Elector) beat(t *tomb.Tomb) {
	claim := e.directory.Current()
	if claim.Epoch == 0 || e.Holding() {
		return
	}
	t.Go(func() error {
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), beatTimeout)
		defer cancel()
		b, gone, err := e.peers.Heartbeat(ctx, claim.Holder.Address)
		if err != nil && t.Alive() {
			e.logger.Info("heartbeat to the holder failed", "holder", claim.Holder.Name, "epoch", claim.Epoch, "gone", gone, "error", err)
		}
		e.take(claim, b, gone, err)
		return nil
	})
}

// take takes in the answer to a heartbeat to the holder of a claim.
func (e *Elector) take(claim Claim, b HeartbeatResponse, gone bool, err error) {
	now := e.clock.Now()
	if err == nil {
		e.directory.ObserveClaim(b.Claim)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if claim.Epoch != e.watched {
		return
	}
	switch {
	case err != nil && !gone:
	case err != nil, b.Incarnation != claim.Holder.Incarnation:
		since(&e.gone, true, now)
	default:
		e.gone = 0
		since(&e.idle, b.Epoch == 0, now)
		if e.idle == 0 || now-e.idle < beginAllowance<<e.patience {
			e.heard = now
		}
		since(&e.relieve, b.Relieve, now)
	}
}

// TermEnded tells that the term of a claim of this daemon runs no more, so
// that the cell may be claimed again.
func (e *Elector) TermEnded(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = max(e.ended, epoch)
	if e.ended == e.watched {
		since(&e.gone, true, e.clock.Now())
	}
}

// since notes from when on a condition has held.
func since(at *time.Duration, holds bool, now time.Duration) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = now
	}
}

// due reports whether a claim should be made now, and which epoch it replaces.
func (e *Elector) due(now time.Duration) (replaces int64, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || e.claiming || now-e.claimed < claimPause || e.heard == 0 || e.holding() {
		return 0, false
	}
	holder := e.directory.Current().Holder
	seen := e.logSeen()
	if seen >= 0 && now-seen > logFresh {
		e.failed = now
	}
	return e.watched, ShouldClaim(View{
		Now:       now,
		Claimed:   e.watched > 0,
		Heard:     e.heard,
		Gone:      e.gone,
		Relieve:   e.relieve,
		LogSeen:   seen,
		Patience:  e.patience,
		LogFailed: e.failed,
		Rank:      Rank(e.directory.Members(), e.directory.self.Name, holder.Name, e.watched),
	})
}

// Claim claims the cell from the holder with the epoch replaces at once, unless
// this daemon leaves or could not run a term.
func (e *Elector) Claim(ctx context.Context, replaces int64) (Claim, error) {
	e.mu.Lock()
	if e.leaving || e.claiming {
		e.mu.Unlock()
		return Claim{}, &keyedlog.Error{Kind: keyedlog.KindRefused, Op: "claim", Detail: "this daemon leaves or claims already"}
	}
	e.claiming, e.claimed = true, e.clock.Now()
	e.mu.Unlock()
	claim, err := e.claim(ctx, replaces)
	e.mu.Lock()
	e.claiming = false
	switch keyedlog.KindOf(err) {
	case keyedlog.KindRefused, keyedlog.KindUnanswered:
		e.failed = e.clock.Now()
	}
	e.mu.Unlock()
	if err != nil {
		return Claim{}, err
	}
	e.observe()
	return claim, nil
}

func (e *Elector) claim(ctx context.Context, replaces int64) (Claim, error) {
	if err := e.able(ctx); err != nil {
		return Claim{}, err
	}
	return e.directory.Claim(ctx, replaces)
}
