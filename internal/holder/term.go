// Package holder places the work of one availability zone while its daemon
// holds the zone. A Term is one period of holding, under one epoch; it starts
// with nothing but the log's state and rebuilds the rest from the endpoints.
package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/bluebellstile/bluebellstile/internal/zone"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
)

// Settings of a term.
type Settings struct {
	AvailabilityZone string
	// Holder identifies this daemon process in claims.
	Holder string
	// Lease is how long tasks run on without a heartbeat from their holder.
	Lease time.Duration
	// Heartbeat is the interval at which silent endpoints are looked for and
	// sent a heartbeat; polls for events renew the lease otherwise.
	Heartbeat time.Duration
}

// EndpointClient sends commands to one endpoint.
type EndpointClient interface {
	Attach(context.Context, *endpoint.AttachRequest) (*endpoint.AttachResponse, error)
	Heartbeat(context.Context, *endpoint.HeartbeatRequest) (*endpoint.HeartbeatResponse, error)
	Start(context.Context, *endpoint.StartRequest) (*endpoint.StartResponse, error)
	Stop(context.Context, *endpoint.StopRequest) (*endpoint.StopResponse, error)
	Events(context.Context, *endpoint.EventsRequest) (*endpoint.EventsResponse, error)
	Ack(context.Context, *endpoint.AckRequest) error
}

// Dependencies are what a term needs from its daemon.
type Dependencies struct {
	Journal   *journal.Journal
	Directory *membership.Directory
	Dial      func(address string) EndpointClient
	// Authorize checks the key of waiting work again when it is started.
	Authorize func(keyID, team, queue string) *problem.Problem
	// RequestTransfer asks another zone's holder for allotment.
	RequestTransfer func(ctx context.Context, from, team string, amount int64) (granted int64, err error)
	// MaxWaiting is the bound on waiting requests; it may change at run time.
	MaxWaiting func() int
	// Observer is told of starts and outcomes, for the service-level report.
	Observer Observer
	Log      *slog.Logger
}

// Observer receives what the service-level report counts.
type Observer interface {
	Started(team, queue string, waited time.Duration, cause string)
	Answered(team, queue string, verdict problem.Verdict, code problem.Code)
}

// Term is one period of holding the zone. It is safe for concurrent use.
//
// Locks: mu guards the engine, the units, the ledger and the gate; each session
// and the registry has its own. A goroutine that holds mu may take a session's
// lock, never the reverse.
type Term struct {
	settings Settings
	deps     Dependencies
	epoch    uint64
	previous uint64
	began    time.Time
	tomb     *tomb.Tomb
	log      *slog.Logger
	wake     chan struct{}

	mu       sync.Mutex
	engine   placement.Engine
	units    map[string]*unit
	jobs     map[string]*jobState
	sessions map[string]*session
	gate     gate
	backlog  backlog
	rates    map[backlogKey]*serviceRate
	// barred counts the tickets that are barred.
	barred int
	// overSince is since when a team runs more than its bound.
	overSince   map[string]time.Time
	handingOver bool
	teams       map[string]bool

	ledger        *team.Ledger
	registry      *registry
	jobLog        *batcher[jobEntry]
	outcomes      *batcher[outcomeEntry]
	rosters       *batcher[rosterEntry]
	transfers     *batcher[*transferEntry]
	transferLimit *rate.Limiter
}

// ErrSuperseded ends a term when a higher epoch has been seen.
var ErrSuperseded = errors.New("another daemon holds the zone under a higher epoch")

// NewTerm prepares a term under a claim, which must be the current one in the
// journal's state.
func NewTerm(settings Settings, deps Dependencies, engine placement.Engine, claim zone.Claim) *Term {
	t := &Term{
		settings:      settings,
		deps:          deps,
		epoch:         claim.Epoch,
		previous:      claim.Previous,
		began:         time.Now(),
		tomb:          new(tomb.Tomb),
		log:           deps.Log.With("zone", settings.AvailabilityZone, "epoch", claim.Epoch),
		wake:          make(chan struct{}, 1),
		engine:        engine,
		units:         make(map[string]*unit),
		jobs:          make(map[string]*jobState),
		sessions:      make(map[string]*session),
		teams:         make(map[string]bool),
		backlog:       newBacklog(),
		rates:         make(map[backlogKey]*serviceRate),
		overSince:     make(map[string]time.Time),
		registry:      newRegistry(),
		transferLimit: rate.NewLimiter(transferRate, transferBurst),
	}
	t.ledger = team.NewLedger(func(name string) int64 {
		return deps.Journal.State().Allotment(name, settings.AvailabilityZone)
	})
	t.jobLog = newBatcher(jobsGap, t.commitJobs)
	t.outcomes = newBatcher(outcomesGap, t.commitOutcomes)
	t.rosters = newBatcher(0, t.commitRoster)
	t.transfers = newBatcher(0, t.commitTransfers)
	return t
}

// Start begins the term's goroutines.
func (t *Term) Start() {
	state := t.deps.Journal.State()
	t.mu.Lock()
	t.gate.begin(state.Roster(t.settings.AvailabilityZone), t.began)
	t.refreshBounds()
	for _, j := range state.OpenJobs(t.settings.AvailabilityZone) {
		t.inheritJob(j)
	}
	if t.gate.isOpen() {
		t.openGate()
	}
	t.mu.Unlock()
	metrics.HolderEpoch.Set(int64(t.epoch))
	t.log.Info("term begins", "roster", len(t.gate.pending))
	for _, run := range []func() error{
		t.runScheduler, t.runSessions, t.runAllotments, t.runRegistry,
		func() error { return t.jobLog.run(t.tomb) },
		func() error { return t.outcomes.run(t.tomb) },
		func() error { return t.rosters.run(t.tomb) },
		func() error { return t.transfers.run(t.tomb) },
	} {
		t.tomb.Go(run)
	}
}

// Stop ends the term: waiting work that never started is answered as moved.
func (t *Term) Stop(reason error) {
	t.tomb.Kill(reason)
	t.release()
	_ = t.tomb.Wait()
	metrics.HolderEpoch.Set(0)
	t.log.Info("term ends", "reason", reason)
}

// Dead is closed when the term has ended.
func (t *Term) Dead() <-chan struct{} { return t.tomb.Dead() }

// Dying is closed when the term begins to end.
func (t *Term) Dying() <-chan struct{} { return t.tomb.Dying() }

// Epoch is the epoch of the term.
func (t *Term) Epoch() uint64 { return t.epoch }

// Generation is the current ticket generation.
func (t *Term) Generation() uint64 { return t.registry.generation(t.now()) }

// now is the term's monotonic clock, which the engine uses.
func (t *Term) now() time.Duration { return time.Since(t.began) }

// superseded ends the term because an endpoint or the log showed a higher epoch.
func (t *Term) superseded(epoch uint64) {
	metrics.Fenced.Add(1)
	t.log.Warn("superseded", "higher_epoch", epoch)
	t.tomb.Kill(ErrSuperseded)
}

// kick wakes the scheduler.
func (t *Term) kick() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Observe takes in the effect of a log record; it is called in log order.
func (t *Term) Observe(effect cell.Effect) {
	if !effect.Valid {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeJobs(effect)
	t.observeBounds(effect)
}

// release answers everything that never started, so that front doors can
// bring it to the next holder.
func (t *Term) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handingOver = true
	for _, u := range t.units {
		if u.request == nil || u.phase == phaseFinal {
			continue
		}
		t.releaseUnit(u)
	}
}

// releaseUnit tells a unit's waiters to go on at the next holder.
func (t *Term) releaseUnit(u *unit) {
	if u.phase == phaseWaiting && !u.ran {
		t.settle(u, failed(problem.Refuse(problem.Moved, "the front door tries the next holder", "the zone's holder changed before the work started")))
		return
	}
	t.settle(u, failed(problem.UnknownOutcome(problem.Moved, "retry with the same ticket", "the zone's holder changed while the work was running")))
}
