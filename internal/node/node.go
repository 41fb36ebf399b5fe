// Package node runs a daemon on the platform: a front door for callers, a
// candidate for holding the cell, and a lane for questions about endpoints.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/dispatch"
	"github.com/bluebellstile/bluebellstile/internal/eligibility"
	"github.com/bluebellstile/bluebellstile/internal/fleetpeer"
	"github.com/bluebellstile/bluebellstile/internal/gateway"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// registerRetryDelay is the pause before a failed registration is repeated.
	registerRetryDelay = 300 * time.Millisecond
	// maxLogAge is the age of the last sign of the log at which a daemon
	// calls itself not ready: another one may do better.
	maxLogAge = 2500 * time.Millisecond
	// handOverTimeout bounds the wait for a successor at a planned stop.
	handOverTimeout = 400 * time.Millisecond
	// reliefInterval is how often a holder looks whether it wants relief; the
	// pause grows to relieveMax while nobody can take over.
	reliefInterval    = 250 * time.Millisecond
	maxReliefInterval = 2 * time.Second
	// fitnessCheckInterval is how often a holder looks for a daemon that would hold the
	// cell better; a move costs about as much as a planned stop.
	fitnessCheckInterval = 3 * time.Second
)

// Dependencies are what a daemon uses of the platform.
type Dependencies struct {
	Log keyedlog.Log
	// Cell is where the daemons and terms of the cell are recorded, Jobs where
	// the holder keeps its jobs.
	Cell      keyedlog.Partition
	Jobs      keyedlog.Partition
	Catalogs  CatalogFeed
	Registry  RegistryFeed
	Endpoints controller.Endpoints
	// Eligibility puts questions from this instance.
	Eligibility eligibility.Asker
}

// Options describe a daemon.
type Options struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Processors is how many cores' work the daemon may do.
	Processors float64
	// PeerAddress is where other daemons reach this one.
	PeerAddress string
	Bounds      controller.Bounds
	// KeyBound is how long keyed requests are served without proof that no
	// key was withdrawn.
	KeyBound time.Duration
	Clock    clock.Clock
	Logger   *slog.Logger
}

// Node is a daemon on the platform.
type Node struct {
	options      Options
	dependencies Dependencies
	self         leadership.Member
	catalogs     *catalogFollower
	directory    *leadership.Directory
	elector      *leadership.Elector
	terms        *termManager
	pool         *eligibility.Pool
	peers        *fleetpeer.Clients
	sender       *dispatch.Sender
	gateway      *gateway.Gateway
	server       *http.Server
	tomb         *tomb.Tomb
	leaving      atomic.Bool
	// nextFitnessCheck is when a daemon that fits better is looked for next.
	nextFitnessCheck time.Duration
}

// New returns a daemon that works once Start is called.
func New(o Options, p Dependencies) *Node {
	t := new(tomb.Tomb)
	n := &Node{options: o, dependencies: p, tomb: t}
	n.self = leadership.Member{
		Name:             o.Name,
		Incarnation:      newIncarnation(),
		Address:          o.PeerAddress,
		AvailabilityZone: o.AvailabilityZone,
		Region:           o.Region,
		Started:          o.Clock.Wall(),
		Processors:       o.Processors,
	}
	n.peers = fleetpeer.NewClients(nil)
	n.sender = dispatch.NewSender(o.Clock, p.Endpoints, p.Eligibility, n.leaving.Load)
	n.pool = eligibility.NewPool(o.Clock.Now)
	n.catalogs = &catalogFollower{feed: p.Catalogs, log: p.Log, clock: o.Clock, logger: o.Logger}
	n.directory = leadership.NewDirectory(p.Log, p.Cell, o.Clock, n.self, o.Logger)
	n.terms = &termManager{
		log:         p.Log,
		jobs:        p.Jobs,
		registry:    p.Registry,
		endpoints:   p.Endpoints,
		eligibility: n.pool,
		bounds:      o.Bounds,
		clock:       o.Clock,
		logger:      o.Logger,
		catalogs:    n.catalogs,
		tomb:        t,
		self:        n.self,
		peer:        func(m leadership.Member) dispatch.Peer { return n.peers.To(m.Address) },
	}
	n.catalogs.onChange = n.terms.setCatalog
	n.elector = leadership.NewElector(n.directory, n.peers, o.Clock, n.logLastSeen, n.terms.checkJobsReadable, n.terms.begin, o.Logger)
	n.terms.onTermEnd = n.elector.TermEnded
	n.gateway = gateway.New(n.catalogs, (*holderLocator)(n), o.Clock, o.KeyBound, o.Logger)
	return n
}

// newIncarnation returns a random id for this life of the process.
func newIncarnation() string {
	var b [8]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Gateway returns the front door.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Catalog returns the configuration in force, or nil.
func (n *Node) Catalog() *catalog.Catalog { return n.catalogs.Catalog() }

// logLastSeen returns when the log last answered; 0 while there is no
// configuration, without which nothing can be held.
func (n *Node) logLastSeen() time.Duration {
	if n.catalogs.Catalog() == nil {
		return -time.Hour
	}
	return n.catalogs.ConfirmedAt()
}

// Start starts the daemon.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.options.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on %s for other daemons; check the settings", n.options.PeerAddress)
	}
	mux := http.NewServeMux()
	mux.Handle(fleetpeer.NewHandler((*localDaemon)(n)))
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
	n.tomb.Go(func() error {
		if err := n.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve other daemons")
		}
		return nil
	})
	n.tomb.Go(func() error { return n.catalogs.run(n.tomb) })
	n.tomb.Go(func() error { return n.directory.Run(n.tomb) })
	n.tomb.Go(func() error { return n.elector.Run(n.tomb) })
	n.tomb.Go(n.register)
	n.tomb.Go(n.handOverOnRelief)
	n.tomb.Go(n.followDirectory)
	n.tomb.Go(n.updateMetrics)
	return nil
}

// register announces the daemon until it is known.
func (n *Node) register() error {
	ctx := n.tomb.Context(context.Background())
	for n.tomb.Alive() {
		err := n.directory.Register(ctx)
		if err == nil {
			return nil
		}
		n.options.Logger.Warn("not registered with the other daemons yet", "error", err)
		timer := time.NewTimer(registerRetryDelay)
		select {
		case <-timer.C:
		case <-n.tomb.Dying():
			timer.Stop()
		}
	}
	return nil
}

// followDirectory keeps the lanes and the term in step with the directory.
func (n *Node) followDirectory() error {
	for {
		changed := n.directory.Changed()
		n.terms.supersede(n.directory.Current().Epoch)
		lanes := n.lanes()
		n.pool.SetLanes(lanes)
		n.terms.setLanes(len(lanes))
		n.terms.setMembers(n.directory.Members())
		select {
		case <-changed:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

// lanes returns the instances through which questions can be put.
func (n *Node) lanes() []eligibility.Lane {
	lanes := []eligibility.Lane{{Name: n.self.Name, Asker: n.dependencies.Eligibility, Local: true}}
	for _, m := range n.directory.Members() {
		if m.Name != n.self.Name {
			lanes = append(lanes, eligibility.Lane{
				Name:    m.Name,
				Asker:   &remoteAsker{terms: n.terms, name: m.Name, direct: n.peers.To(m.Address)},
				Grouped: func() bool { return n.terms.sendsOrders(m.Name) },
			})
		}
	}
	return lanes
}

// Ready reports whether the daemon should get callers' connections.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.catalogs.Catalog() != nil &&
		n.options.Clock.Now()-n.catalogs.ConfirmedAt() <= maxLogAge
}

// Dying returns a channel that is closed when the daemon has failed.
func (n *Node) Dying() <-chan struct{} { return n.tomb.Dying() }

// Leave begins a planned stop: the daemon is not ready any more, claims no
// more and hands a term over.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	n.elector.Leave()
	n.handOver(ctx, n.successors())
}

// handOver asks other daemons in turn to claim the cell; the term ends once one
// of them has fenced it.
func (n *Node) handOver(ctx context.Context, candidates []leadership.Member) {
	t := n.terms.term()
	if t == nil {
		return
	}
	for _, m := range candidates {
		if ctx.Err() != nil {
			return
		}
		attempt, cancel := context.WithTimeout(ctx, handOverTimeout)
		claim, err := n.peers.To(m.Address).TakeOver(attempt, t.controller.Epoch())
		cancel()
		if err == nil {
			n.options.Logger.Info("cell handed over", "to", m.Name, "epoch", claim.Epoch)
			n.directory.Learn(claim)
			return
		}
		n.options.Logger.Debug("cell not taken over", "by", m.Name, "error", err)
	}
}

// successors returns the other daemons in the order in which they are asked to
// take over: those that fit best first, and of these those that started last, as
// a rolling restart has passed them already.
func (n *Node) successors() []leadership.Member {
	members := n.directory.Members()
	fitness := leadership.FitnessAmong(members)
	others := slices.DeleteFunc(members, func(m leadership.Member) bool { return m.Name == n.self.Name })
	sort.SliceStable(others, func(i, k int) bool {
		if a, b := fitness(others[i]), fitness(others[k]); a != b {
			return a.Before(b)
		}
		return others[i].Started.After(others[k].Started)
	})
	return others
}

// handOverOnRelief hands a term over whose log takes nothing, if another daemon's does.
func (n *Node) handOverOnRelief() error {
	ctx := n.tomb.Context(context.Background())
	pause := reliefInterval
	for {
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-n.tomb.Dying():
			timer.Stop()
			return nil
		}
		t := n.terms.term()
		if t == nil {
			continue
		}
		if !t.controller.WantsRelief() {
			pause = reliefInterval
			n.handOverToFittest(ctx)
			continue
		}
		n.options.Logger.Warn("the log takes nothing here, asking others to take over", "for", t.controller.StuckFor())
		n.handOver(ctx, n.successors())
		// If nobody could, the log is down for all.
		pause = min(2*pause, maxReliefInterval)
	}
}

// Stop ends the daemon.
func (n *Node) Stop(ctx context.Context) error {
	n.tomb.Kill(nil)
	err := n.server.Shutdown(ctx)
	if waited := n.tomb.Wait(); waited != nil {
		err = waited
	}
	n.peers.Close()
	return err
}

// handOverToFittest hands the term to a daemon that would hold the cell better, if
// there is one, at most once in a while.
func (n *Node) handOverToFittest(ctx context.Context) {
	now := n.options.Clock.Now()
	if now < n.nextFitnessCheck {
		return
	}
	n.nextFitnessCheck = now + fitnessCheckInterval
	fitness := leadership.FitnessAmong(n.directory.Members())
	own := fitness(n.directory.Self())
	fitter := slices.DeleteFunc(n.successors(), func(m leadership.Member) bool { return !fitness(m).Before(own) })
	if len(fitter) > 0 {
		n.handOver(ctx, fitter)
	}
}

// localDaemon answers other daemons.
type localDaemon Node

// Heartbeat implements fleetpeer.LocalDaemon.
func (l *localDaemon) Heartbeat() leadership.Beat {
	b := leadership.Beat{Incarnation: l.self.Incarnation, Claim: l.directory.Current()}
	if t := l.terms.term(); t != nil {
		b.Epoch = t.controller.Epoch()
		b.Relieve = l.leaving.Load() || t.controller.WantsRelief()
	}
	return b
}

// TakeOver implements fleetpeer.LocalDaemon.
func (l *localDaemon) TakeOver(ctx context.Context, epoch int64) (leadership.Claim, error) {
	n := (*Node)(l)
	if n.options.Clock.Now()-n.logLastSeen() > maxLogAge {
		return leadership.Claim{}, errors.New("the log has not answered here; ask another daemon")
	}
	claim, err := n.elector.Claim(ctx, epoch)
	if err == nil {
		n.options.Logger.Info("taking the cell over", "from epoch", epoch, "epoch", claim.Epoch)
	}
	return claim, err
}

// Holder implements fleetpeer.LocalDaemon.
func (l *localDaemon) Holder() fleetpeer.Holder {
	if t := l.terms.term(); t != nil {
		return t
	}
	return nil
}

// Ask implements fleetpeer.LocalDaemon.
func (l *localDaemon) Ask(ctx context.Context, step string, endpoints []string) (controller.Answer, error) {
	return l.dependencies.Eligibility.Ask(ctx, step, endpoints)
}

// Sender implements fleetpeer.LocalDaemon.
func (l *localDaemon) Sender() *dispatch.Sender { return l.sender }

// remoteAsker puts questions from another instance, in groups where a session
// with it is open.
type remoteAsker struct {
	terms  *termManager
	name   string
	direct eligibility.Asker
}

// Ask implements eligibility.Asker.
func (a *remoteAsker) Ask(ctx context.Context, step string, endpoints []string) (controller.Answer, error) {
	if t := a.terms.term(); t != nil {
		if answer, ok, err := t.dispatcher.Ask(ctx, a.name, step, endpoints); ok {
			return answer, err
		}
	}
	return a.direct.Ask(ctx, step, endpoints)
}

// holderLocator finds the holder for the gateway.
type holderLocator Node

// Current implements gateway.HolderLocator.
func (h *holderLocator) Current() leadership.Claim { return h.directory.Current() }

// Changed implements gateway.HolderLocator.
func (h *holderLocator) Changed() <-chan struct{} { return h.directory.Changed() }

// HolderOf implements gateway.HolderLocator.
func (h *holderLocator) HolderOf(claim leadership.Claim) fleetpeer.Holder {
	if claim.Holder.Name != h.self.Name {
		return h.peers.To(claim.Holder.Address)
	}
	if t := h.terms.term(); t != nil && t.controller.Epoch() == claim.Epoch {
		return t
	}
	return notHolder{}
}

// notHolder stands for a holder whose term doesn't run.
type notHolder struct{}
