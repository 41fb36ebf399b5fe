// Package node implements a daemon on the platform. A daemon accepts callers'
// requests, competes with the other daemons of its cell to hold the cell, and
// asks the platform on behalf of the holder which endpoints are eligible.
//
// A cell is the set of availability zones under one log and one configuration,
// with the daemons, endpoints and jobs in them. Its holder is the daemon that
// schedules the cell at present. A term is one period of holding the cell; its
// epoch is the fencing token: a higher epoch supersedes all lower ones.
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
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// registerRetryDelay is the delay before a failed registration is retried, and
	// the least time between two registrations.
	registerRetryDelay = 300 * time.Millisecond
	// presenceCheckInterval is how often the holder looks for members from which it
	// hears nothing.
	presenceCheckInterval = time.Second
	// maxLogAge is how long ago the log may last have answered before the
	// daemon reports not ready and refuses to take the cell over, as other
	// daemons may still reach the log.
	maxLogAge = 2500 * time.Millisecond
	// handOverTimeout is the timeout for one candidate to take the cell over.
	handOverTimeout = 400 * time.Millisecond
	// handOverCheckInterval is how often a holder checks whether another daemon
	// should take over. The interval grows up to maxHandOverCheckInterval while
	// none can.
	handOverCheckInterval    = 250 * time.Millisecond
	maxHandOverCheckInterval = 2 * time.Second
	// fitnessCheckInterval is how often a holder looks for a daemon that is
	// fitter to hold the cell. Moving the cell costs about as much as a planned
	// stop.
	fitnessCheckInterval = 3 * time.Second
)

// Dependencies are the services of the platform that a daemon uses.
type Dependencies struct {
	Log keyedlog.Log
	// Cell is the partition with the daemons and terms of the cell, Jobs the
	// one in which the holder stores its jobs.
	Cell      keyedlog.Partition
	Jobs      keyedlog.Partition
	Catalogs  CatalogFeed
	Registry  RegistryFeed
	Endpoints controller.EndpointClient
	// Eligibility asks the platform from this instance which endpoints are
	// eligible.
	Eligibility eligibility.Asker
}

// Options configures a daemon.
type Options struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Processors is the processor time that the daemon may use, in cores.
	Processors float64
	// PeerAddress is the address on which the daemon serves other daemons.
	PeerAddress string
	Params      controller.Params
	// KeyBound is how long keyed requests are served without proof that no key
	// was withdrawn.
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
	presence     *leadership.Presence
	elector      *leadership.Elector
	terms        *termManager
	pool         *eligibility.Pool
	peers        *fleetpeer.Clients
	sender       *dispatch.Sender
	gateway      *gateway.Gateway
	server       *http.Server
	tomb         *tomb.Tomb
	leaving      atomic.Bool
	// nextFitnessCheck is when the holder next looks for a fitter daemon.
	nextFitnessCheck time.Duration
}

// New returns a daemon. It does nothing before Start is called.
func New(o Options, d Dependencies) *Node {
	t := new(tomb.Tomb)
	n := &Node{options: o, dependencies: d, tomb: t}
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
	n.sender = dispatch.NewSender(o.Clock, d.Endpoints, d.Eligibility, n.leaving.Load)
	n.pool = eligibility.NewPool(o.Clock.Now)
	n.catalogs = newCatalogFollower(d.Catalogs, d.Log, o.Clock, o.Logger)
	n.directory = leadership.NewDirectory(d.Log, d.Cell, o.Clock, n.self, o.Logger)
	n.terms = &termManager{
		log:         d.Log,
		jobs:        d.Jobs,
		registry:    d.Registry,
		endpoints:   d.Endpoints,
		eligibility: n.pool,
		params:      o.Params,
		clock:       o.Clock,
		logger:      o.Logger,
		catalogs:    n.catalogs,
		tomb:        t,
		self:        n.self,
		peer:        func(m leadership.Member) dispatch.Peer { return n.peers.To(m.Address) },
	}
	n.catalogs.onChange = n.terms.setCatalog
	n.catalogs.onEvacuations = n.terms.updateEvacuations
	n.presence = leadership.NewPresence()
	n.elector = leadership.NewElector(n.directory, n.peers, o.Clock, n.logLastSeen, n.terms.checkJobsReadable, n.terms.begin, o.Logger)
	n.terms.onTermEnd = n.elector.TermEnded
	n.gateway = gateway.New(n.catalogs, (*holderLocator)(n), o.Clock, o.KeyBound, o.Logger)
	return n
}

// newIncarnation returns a random id that distinguishes this process from
// earlier ones of the same name.
func newIncarnation() string {
	var b [8]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Gateway returns the gateway that admits callers' requests.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Catalog returns the configuration in force, or nil.
func (n *Node) Catalog() *catalog.Catalog { return n.catalogs.Catalog() }

// logLastSeen returns when the log last answered. While there is no
// configuration, without which a daemon can't hold the cell, it returns an
// instant in the past.
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
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: fleetpeer.MaxHeaderBytes}
	n.tomb.Go(func() error {
		if err := n.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve other daemons")
		}
		return nil
	})
	n.tomb.Go(func() error { return n.catalogs.run(n.tomb) })
	n.tomb.Go(func() error { return n.directory.Run(n.tomb) })
	n.tomb.Go(func() error { return n.elector.Run(n.tomb) })
	n.tomb.Go(n.stayRegistered)
	n.tomb.Go(n.removeSilentMembers)
	n.tomb.Go(n.handOverWhenNeeded)
	n.tomb.Go(n.followDirectory)
	n.tomb.Go(n.updateMetrics)
	return nil
}

// stayRegistered registers the daemon in the directory, and again whenever its
// record was removed, until the daemon leaves.
func (n *Node) stayRegistered() error {
	ctx := n.tomb.Context(context.Background())
	registered := false
	for n.tomb.Alive() {
		changed := n.directory.Changed()
		if !n.leaving.Load() && (!registered || n.directory.Removed()) {
			if err := n.directory.Register(ctx); err != nil {
				n.options.Logger.Warn("registration of the daemon failed, retrying", "error", err)
			} else {
				n.options.Logger.Info("registered as a member of the cell", "again", registered)
				registered = true
			}
			sleep(n.tomb, registerRetryDelay)
			continue
		}
		select {
		case <-changed:
		case <-n.tomb.Dying():
		}
	}
	return nil
}

// removeSilentMembers removes members from which this daemon, while it is the
// holder, hears nothing. It runs until the daemon stops.
func (n *Node) removeSilentMembers() error {
	ctx := n.tomb.Context(context.Background())
	for n.tomb.Alive() {
		sleep(n.tomb, presenceCheckInterval)
		t := n.terms.term()
		if t == nil || n.leaving.Load() {
			continue
		}
		silent := n.presence.Silent(n.directory.Members(), n.self.Name, t.controller.Epoch(), n.options.Clock.Now())
		if len(silent) == 0 {
			continue
		}
		if err := n.directory.Remove(ctx, silent); err != nil {
			n.options.Logger.Info("silent members can't be removed, retrying", "members", len(silent), "error", err)
			continue
		}
		metrics.MembersRemoved.Add(int64(len(silent)))
		for _, m := range silent {
			n.options.Logger.Info("member was silent and is removed", "member", m.Name, "incarnation", m.Incarnation)
		}
	}
	return nil
}

// sleep waits for d or until t is dying.
func sleep(t *tomb.Tomb, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.Dying():
	}
}

// followDirectory passes the newest claim, the members and their instances on
// whenever the directory changes.
func (n *Node) followDirectory() error {
	for {
		changed := n.directory.Changed()
		n.terms.supersede(n.directory.Current().Epoch)
		instances := n.instances()
		n.pool.SetInstances(instances)
		n.terms.setInstances(len(instances))
		n.terms.setMembers(n.directory.Members())
		metrics.Members.Set(int64(len(instances)))
		select {
		case <-changed:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

// instances returns the instances from which the platform can be asked about
// eligible endpoints: this one and those of the other daemons.
func (n *Node) instances() []eligibility.Instance {
	instances := []eligibility.Instance{{Name: n.self.Name, Asker: n.dependencies.Eligibility, Local: true}}
	for _, m := range n.directory.Members() {
		if m.Name != n.self.Name {
			instances = append(instances, eligibility.Instance{
				Name:    m.Name,
				Asker:   &remoteAsker{terms: n.terms, name: m.Name, direct: n.peers.To(m.Address)},
				Batched: func() bool { return n.terms.sendsOrders(m.Name) },
			})
		}
	}
	return instances
}

// Ready reports whether the daemon should receive callers' connections.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.catalogs.Catalog() != nil &&
		n.options.Clock.Now()-n.catalogs.ConfirmedAt() <= maxLogAge
}

// Dying returns a channel that is closed when the daemon fails or is stopped.
func (n *Node) Dying() <-chan struct{} { return n.tomb.Dying() }

// BeginStop begins a planned stop: the daemon reports not ready, stops claiming
// the cell, hands over its term if it has one, and leaves the members.
func (n *Node) BeginStop(ctx context.Context) {
	n.leaving.Store(true)
	n.elector.StopClaiming()
	n.handOver(ctx, n.successors())
	if err := n.directory.Deregister(ctx); err != nil {
		n.options.Logger.Info("the daemon's record was not removed; the holder will remove it", "error", err)
	}
}

// handOver asks the candidates in turn to claim the cell, until one does. The
// term ends once the new holder has fenced it.
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
			n.directory.ObserveClaim(claim)
			return
		}
		n.options.Logger.Debug("daemon did not take the cell over", "by", m.Name, "error", err)
	}
}

// successors returns the other daemons in the order in which they are asked to
// take over: by fitness, and equally fit ones by start, the latest first, as a
// rolling restart has already restarted those.
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

// handOverWhenNeeded hands the term over if this daemon's appends to the log fail
// and another daemon can take over, or if another daemon is fitter to hold the
// cell. It runs until the daemon stops.
func (n *Node) handOverWhenNeeded() error {
	ctx := n.tomb.Context(context.Background())
	pause := handOverCheckInterval
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
		if !t.controller.NeedsTakeover() {
			pause = handOverCheckInterval
			n.handOverToFittest(ctx)
			continue
		}
		n.options.Logger.Warn("the log takes nothing here, asking others to take over", "for", t.controller.AppendStalledFor())
		n.handOver(ctx, n.successors())
		// If none could take over, the log is probably down for all daemons.
		pause = min(2*pause, maxHandOverCheckInterval)
	}
}

// Stop stops the daemon.
func (n *Node) Stop(ctx context.Context) error {
	n.tomb.Kill(nil)
	err := n.server.Shutdown(ctx)
	if waited := n.tomb.Wait(); waited != nil {
		err = waited
	}
	n.peers.Close()
	return err
}

// handOverToFittest hands the term to a daemon that is fitter to hold the cell,
// if there is one. It checks at most once per fitnessCheckInterval.
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

// localDaemon serves the requests of other daemons.
type localDaemon Node

// Heartbeat implements fleetpeer.LocalDaemon.
func (l *localDaemon) Heartbeat(name, incarnation string) leadership.HeartbeatResponse {
	l.presence.Heard(name, incarnation, l.options.Clock.Now())
	b := leadership.HeartbeatResponse{Incarnation: l.self.Incarnation, Claim: l.directory.Current()}
	if t := l.terms.term(); t != nil {
		b.Epoch = t.controller.Epoch()
		b.Relieve = l.leaving.Load() || t.controller.NeedsTakeover()
	}
	return b
}

// TakeOver implements fleetpeer.LocalDaemon.
func (l *localDaemon) TakeOver(ctx context.Context, epoch int64) (leadership.Claim, error) {
	n := (*Node)(l)
	if n.options.Clock.Now()-n.logLastSeen() > maxLogAge {
		return leadership.Claim{}, errors.New("the log has not answered this daemon recently; ask another daemon")
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
func (l *localDaemon) Ask(ctx context.Context, step string, endpoints []string) (controller.EligibilityAnswer, error) {
	return l.dependencies.Eligibility.Ask(ctx, step, endpoints)
}

// Sender implements fleetpeer.LocalDaemon.
func (l *localDaemon) Sender() *dispatch.Sender { return l.sender }

// remoteAsker asks the platform from another instance. It sends questions in
// batches if a session with that daemon is open, and one by one otherwise.
type remoteAsker struct {
	terms  *termManager
	name   string
	direct eligibility.Asker
}

// Ask implements eligibility.Asker.
func (a *remoteAsker) Ask(ctx context.Context, step string, endpoints []string) (controller.EligibilityAnswer, error) {
	if t := a.terms.term(); t != nil {
		if answer, ok, err := t.dispatcher.Ask(ctx, a.name, step, endpoints); ok {
			return answer, err
		}
	}
	return a.direct.Ask(ctx, step, endpoints)
}

// holderLocator finds the holder for the gateway. It implements
// gateway.HolderLocator.
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

// notHolder represents this daemon while its term doesn't run. All calls fail
// with fleetpeer.ErrNotHolder.
type notHolder struct{}
