// Package holder schedules the work of one availability zone while the daemon
// holds the zone.
//
// A daemon becomes the holder of a zone by a claim record in the log; the claim's
// offset is the epoch, which serves as fencing token. A Term is one period of
// holding the zone, under one epoch. It starts from the log's state and rebuilds
// everything else from the inventories of the zone's endpoints. The roster is the
// log's list of the endpoint incarnations that a holder of the zone may have given
// tasks to. A team's allotment is the part of its limit on running tasks that the
// log assigns to the zone. A front door is a daemon that receives callers'
// requests, whether or not it holds their zone, and sends them to the holder.
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

// Settings are the settings of a term.
type Settings struct {
	AvailabilityZone string
	// Holder identifies this daemon process in claims.
	Holder string
	// Lease is how long an endpoint runs its tasks without a heartbeat or a
	// poll from the holder.
	Lease time.Duration
	// Heartbeat is the interval at which a session checks its lease and sends a
	// heartbeat to an endpoint that has been silent. Otherwise the polls for
	// events renew the lease.
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
	// Dial returns a client for the endpoint at an address.
	Dial func(address string) EndpointClient
	// Authorize checks the key of a waiting request again just before its start.
	Authorize func(keyID, team, queue string) *problem.Problem
	// RequestTransfer asks another zone's holder to transfer allotment. It
	// returns the number of tasks that were granted.
	RequestTransfer func(ctx context.Context, from, team string, amount int64) (granted int64, err error)
	// MaxWaiting returns the bound on waiting requests, which may change at run time.
	MaxWaiting func() int
	// Observer receives starts and outcomes for the service-level report; it may be nil.
	Observer Observer
	Log      *slog.Logger
}

// Observer receives the events that the service-level report counts.
type Observer interface {
	// Started reports the first start of a task, how long it waited and the
	// cause: "failover", "limit" or "queueing".
	Started(team, queue string, waited time.Duration, cause string)
	// Answered reports the outcome of a request; code is empty if it succeeded.
	Answered(team, queue string, verdict problem.Verdict, code problem.Code)
}

// Term is one period of holding the zone, under one epoch. It is safe for
// concurrent use.
//
// Lock order: mu guards the engine, the units, the ledger and the gate. Each
// session, each batcher and the ticket registry has a lock of its own. A
// goroutine that holds mu may take a session's lock, never the reverse.
type Term struct {
	settings Settings
	deps     Dependencies
	epoch    uint64
	// previousEpoch is the epoch of the previous holder's claim, 0 if there is none.
	previousEpoch uint64
	startedAt     time.Time
	tomb          *tomb.Tomb
	log           *slog.Logger
	// wake wakes the scheduler.
	wake chan struct{}

	mu           sync.Mutex
	engine       placement.Engine
	units        map[string]*unit
	jobs         map[string]*jobState
	sessions     map[string]*session
	gate         gate
	backlog      backlog
	serviceRates map[backlogKey]*serviceRate
	// closedTickets counts the closed tickets that are still remembered.
	closedTickets map[ticketClosing]int
	// overBoundSince holds the time since which a team has run more tasks than its bound.
	overBoundSince map[string]time.Time
	// handingOver is set while the term starts no more tasks because it hands over or ends.
	handingOver bool
	// teams are the teams that the engine knows.
	teams map[string]bool

	ledger          *team.Ledger
	registry        *ticketRegistry
	jobBatcher      *batcher[jobEntry]
	outcomeBatcher  *batcher[outcomeEntry]
	rosterBatcher   *batcher[rosterEntry]
	transferBatcher *batcher[*transferEntry]
	transferLimit   *rate.Limiter
}

// ErrSuperseded ends a term after an endpoint or the log has shown a higher epoch.
var ErrSuperseded = errors.New("another daemon holds the zone under a higher epoch")

// NewTerm returns a term under a claim, which must be the zone's current claim in
// the journal's state. The term is idle until Start.
func NewTerm(settings Settings, deps Dependencies, engine placement.Engine, claim zone.Claim) *Term {
	t := &Term{
		settings:       settings,
		deps:           deps,
		epoch:          claim.Epoch,
		previousEpoch:  claim.Previous,
		startedAt:      time.Now(),
		tomb:           new(tomb.Tomb),
		log:            deps.Log.With("zone", settings.AvailabilityZone, "epoch", claim.Epoch),
		wake:           make(chan struct{}, 1),
		engine:         engine,
		units:          make(map[string]*unit),
		jobs:           make(map[string]*jobState),
		sessions:       make(map[string]*session),
		teams:          make(map[string]bool),
		backlog:        newBacklog(),
		serviceRates:   make(map[backlogKey]*serviceRate),
		overBoundSince: make(map[string]time.Time),
		closedTickets:  make(map[ticketClosing]int),
		registry:       newTicketRegistry(),
		transferLimit:  rate.NewLimiter(transferRate, transferBurst),
	}
	t.ledger = team.NewLedger(func(name string) int64 {
		return deps.Journal.State().Allotment(name, settings.AvailabilityZone)
	})
	t.jobBatcher = newBatcher(jobsCommitInterval, t.commitJobs)
	t.outcomeBatcher = newBatcher(outcomesCommitInterval, t.commitOutcomes)
	t.rosterBatcher = newBatcher(0, t.commitRoster)
	t.transferBatcher = newBatcher(0, t.commitTransfers)
	return t
}

// Start restores the open jobs and the roster from the log's state and starts the
// term's goroutines.
func (t *Term) Start() {
	state := t.deps.Journal.State()
	t.mu.Lock()
	t.gate.init(state.Roster(t.settings.AvailabilityZone), t.startedAt)
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
		func() error { return t.jobBatcher.run(t.tomb) },
		func() error { return t.outcomeBatcher.run(t.tomb) },
		func() error { return t.rosterBatcher.run(t.tomb) },
		func() error { return t.transferBatcher.run(t.tomb) },
	} {
		t.tomb.Go(run)
	}
}

// Stop ends the term and waits for its goroutines. Requests that have not started
// are answered as moved with verdict "not run", all others with verdict "unknown".
func (t *Term) Stop(reason error) {
	t.tomb.Kill(reason)
	t.releaseRequests()
	_ = t.tomb.Wait()
	metrics.HolderEpoch.Set(0)
	t.log.Info("term ends", "reason", reason)
}

// Dead returns a channel that is closed when the term has ended.
func (t *Term) Dead() <-chan struct{} { return t.tomb.Dead() }

// Dying returns a channel that is closed when the term begins to end.
func (t *Term) Dying() <-chan struct{} { return t.tomb.Dying() }

// Epoch returns the epoch of the term.
func (t *Term) Epoch() uint64 { return t.epoch }

// Generation returns the current ticket generation.
func (t *Term) Generation() uint64 { return t.registry.generation(t.now()) }

// now returns the time since the start of the term, the clock that the engine uses.
func (t *Term) now() time.Duration { return time.Since(t.startedAt) }

// endSuperseded ends the term because an endpoint or the log has shown a higher epoch.
func (t *Term) endSuperseded(epoch uint64) {
	metrics.FencedCommands.Add(1)
	t.log.Warn("superseded", "higher_epoch", epoch)
	t.tomb.Kill(ErrSuperseded)
}

// wakeScheduler makes the scheduler run soon. It does not block.
func (t *Term) wakeScheduler() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Observe applies the effect of a log record to the term. It must be called in log order.
func (t *Term) Observe(effect cell.Effect) {
	if !effect.Valid {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeJobs(effect)
	t.observeBounds(effect)
}

// releaseRequests answers all requests that have no result yet, so that front
// doors can send them to the next holder.
func (t *Term) releaseRequests() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handingOver = true
	for _, u := range t.units {
		if u.request == nil || u.phase == phaseFinal {
			continue
		}
		t.answerMoved(u)
	}
}

// answerMoved answers a request as moved: "not run" if it waits and no attempt may
// have run, otherwise "unknown".
func (t *Term) answerMoved(u *unit) {
	if u.phase == phaseWaiting && !u.mayHaveRun {
		t.settle(u, problemResult(problem.Refuse(problem.Moved, "the front door tries the next holder", "the zone's holder changed before the work started")))
		return
	}
	t.settle(u, problemResult(problem.UnknownOutcome(problem.Moved, "retry with the same ticket", "the zone's holder changed while the work was running")))
}
