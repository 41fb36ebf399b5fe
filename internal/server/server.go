// Package server assembles a daemon from its components and runs it.
//
// A daemon is one instance of the scheduler. The daemons of an availability zone
// elect a holder by appending claims to the platform's log. A valid claim starts a
// term, and its log offset is the term's epoch. The holder's term schedules the
// zone's work; the other daemons forward requests to it.
package server

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/admin"
	"github.com/bluebellstile/bluebellstile/internal/api"
	"github.com/bluebellstile/bluebellstile/internal/auth"
	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/claimant"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/intake"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/router"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// headerTimeout limits how long reading a request's headers may take.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an unused client connection stays open.
	idleTimeout = 2 * time.Minute
	// bodyTimeout limits how long reading a whole request may take.
	bodyTimeout = 30 * time.Second
	// relayMaxStaleness is the age of the freshness proof from which on a
	// daemon reads the log directly instead of through another daemon.
	relayMaxStaleness = 2 * time.Second
	// unreadyPeriod is how long a stopping daemon still accepts requests
	// after it reports itself not ready, so that the load balancer notices.
	unreadyPeriod = time.Second
	// finalAnswerMargin is how long before the drain timeout the requests
	// that are still in flight are answered with what is known about them.
	finalAnswerMargin = time.Second
	// handOverPercent is the share of the drain timeout that handing the
	// zone over may take.
	handOverPercent = 60
	// peerShutdownTimeout is how long a stopping daemon waits until its
	// responses to other daemons have been sent.
	peerShutdownTimeout = 500 * time.Millisecond
)

// Server is a daemon. Create it with New, call Start once, then Stop once.
type Server struct {
	settings *settings.Settings
	level    *slog.LevelVar
	log      *slog.Logger
	self     peer.Identity
	tomb     *tomb.Tomb

	platform    *loglist.Client
	journal     *journal.Journal
	directory   *membership.Directory
	table       *membership.Table
	clients     *peer.Clients
	heartbeater *peer.Heartbeater
	relay       *peer.Relay
	router      *router.Router
	guard       *auth.Guard
	intake      *intake.Guard
	termManager *termManager
	report      *reporter
	claimant    *claimant.Claimant
	maxWaiting  atomic.Int64
	leaving     atomic.Bool
	// refusing is set once the load balancer has had time to notice that the
	// daemon is leaving; new requests are then refused.
	refusing atomic.Bool

	api   *listener
	peer  *listener
	admin *listener
}

// New assembles a daemon. It binds the listeners, so that their addresses are
// known, but runs nothing before Start.
func New(s *settings.Settings, level *slog.LevelVar, logger *slog.Logger) (*Server, error) {
	tlsServer, tlsClient, err := peerTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	srv := &Server{settings: s, level: level, tomb: new(tomb.Tomb)}
	srv.maxWaiting.Store(int64(s.Limits.MaxWaiting))
	if err := srv.bind(); err != nil {
		return nil, err
	}
	srv.self = peer.Identity{
		Instance:         s.Instance.ID,
		Incarnation:      journal.NewID(),
		AvailabilityZone: s.Instance.Zone,
		Region:           s.Instance.Region,
		Address:          srv.peer.address(),
	}
	srv.log = logger.With("instance", srv.self.Instance, "incarnation", srv.self.Incarnation)
	srv.buildComponents(tlsClient)
	srv.configureHTTP(tlsServer)
	return srv, nil
}

// bind opens the listeners.
func (s *Server) bind() error {
	for _, l := range []struct {
		to      **listener
		address string
	}{{&s.api, s.settings.Listen.API}, {&s.peer, s.settings.Listen.Peer}, {&s.admin, s.settings.Listen.Admin}} {
		bound, err := net.Listen("tcp", l.address)
		if err != nil {
			s.closeListeners()
			return errors.Wrapf(err, "listen on %s; choose a free address in [listen]", l.address)
		}
		*l.to = &listener{net: bound}
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (s *Server) closeListeners() {
	for _, l := range []*listener{s.api, s.peer, s.admin} {
		if l != nil {
			_ = l.net.Close()
		}
	}
}

// buildComponents creates the daemon's components and connects them.
func (s *Server) buildComponents(tlsClient *tls.Config) {
	s.platform = loglist.NewClient(s.settings.Platform.LogURL, s.settings.Platform.ListURL,
		loglist.WithTimeout(s.settings.Platform.AppendTimeout), loglist.WithMetrics(metrics.Platform))
	metrics.PublishPool(endpoint.SharedPool().Metrics())
	s.directory = membership.NewDirectory(s.platform, s.self.AvailabilityZone, s.log)
	s.table = membership.NewTable()
	s.journal = journal.New(s.platform, cell.New(), s.log, journal.WithReadWait(s.settings.Platform.ReadWait))
	s.clients = peer.NewClients(tlsClient, s.linkLabel)
	s.heartbeater = peer.NewHeartbeater(s.self, s.journal, s.table, s.directory, s.clients, s.termStatus)
	s.relay = peer.NewRelay(s.self, s.platform, s.clients, s.table, s.directory, relayMaxStaleness, s.journal.Fresh)
	s.guard = auth.NewGuard(s.journal.State(), s.configStaleness, s.settings.Freshness.KeyBound)
	s.report = newReporter(s)
	s.termManager = newTermManager(s)
	s.router = router.New(s.self, s.journal.State(), s.directory, s.table, s.clients, s.heartbeater, s.termManager.current, s.log)
	s.claimant = claimant.New(s.self, s.settings.Zone.TakeoverAfter, s.journal, s.table, s.termStatus, s.log)
	s.journal.Observe(s.termManager.observe)
	s.journal.Observe(s.router.Observe)
	s.journal.Observe(s.claimant.Observe)
	s.journal.Observe(s.report.observe)
}

// configureHTTP creates the HTTP servers for clients, for other daemons and for
// operators.
func (s *Server) configureHTTP(tlsServer *tls.Config) {
	limits := api.Limits{
		MaxBodyBytes:   int64(s.settings.Limits.MaxBodyBytes),
		MaxInFlight:    s.waitingLimit,
		RequestTimeout: s.settings.Limits.RequestTimeout,
	}
	clientAPI := api.New(s.report.frontDoorCollector, s.guard, s.router, limits, api.ShutdownState{Leaving: s.leaving.Load, Refusing: s.refusing.Load}, s.log)
	s.api.http = &http.Server{
		Handler:           intake.Handler(clientAPI.Handler()),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.settings.Limits.MaxHeaderBytes,
	}
	s.guardCallers()
	mux := http.NewServeMux()
	mux.Handle(peer.NewServer(s.heartbeater, s.table, s.journal, s.termManager.current, s.termManager.endedTerm, s.self.AvailabilityZone, s.router.LocalJob).Handler())
	s.peer.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, Protocols: peerProtocols(tlsServer), TLSConfig: tlsServer}
	adminAPI := admin.New(admin.Dependencies{
		Self:           s.self,
		Journal:        s.journal,
		Guard:          s.guard,
		Directory:      s.directory,
		Clients:        s.clients,
		NotReadyReason: s.notReady,
		Report:         s.report.view,
		Level:          s.level,
		Log:            s.log,
	})
	s.admin.http = &http.Server{
		Handler:           adminAPI.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.settings.Limits.MaxHeaderBytes,
	}
}

// guardCallers bounds what callers make the daemon hold.
func (s *Server) guardCallers() {
	reporter := intake.NewReporter(s.log)
	s.intake = intake.NewGuard(intake.Limits{
		Bytes:         max(int64(s.settings.Limits.UnfinishedMB)<<20, 2*int64(s.settings.Limits.MaxBodyBytes)),
		Connections:   s.settings.Limits.MaxConnections,
		AnswerTimeout: s.settings.Limits.AnswerTimeout,
	}, func(cause intake.Cause, address, detail string) { reporter.Report(cause, "", address, detail) })
	s.intake.Attach(s.api.http)
	s.api.net = s.intake.Listener(s.api.net)
}

// peerProtocols returns the protocols of the peer interface: HTTP/1 and HTTP/2,
// where HTTP/2 is unencrypted if tlsServer is nil.
func peerProtocols(tlsServer *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(tlsServer != nil)
	p.SetUnencryptedHTTP2(tlsServer == nil)
	return p
}

// Start runs the daemon's components in the background.
func (s *Server) Start() {
	for _, run := range []func() error{
		func() error { return s.directory.Run(s.tomb) },
		func() error { return s.journal.Run(s.tomb, s.relay.SelectSources) },
		func() error { return s.heartbeater.Run(s.tomb) },
		func() error { return s.claimant.Run(s.tomb) },
		func() error { return s.runGauges(s.tomb) },
		func() error { return s.runSnapshots(s.tomb) },
		func() error { return s.runReport(s.tomb) },
		s.api.serve, s.peer.serve, s.admin.serve,
	} {
		s.tomb.Go(run)
	}
	s.log.Info("daemon started", "zone", s.self.AvailabilityZone, "api", s.api.address(), "peer", s.peer.address(), "admin", s.admin.address())
}

// Addresses returns the addresses on which the daemon listens.
func (s *Server) Addresses() (apiAddress, peerAddress, adminAddress string) {
	return s.api.address(), s.peer.address(), s.admin.address()
}

// Dying returns a channel that is closed when the daemon fails or is stopped.
func (s *Server) Dying() <-chan struct{} { return s.tomb.Dying() }

// Stop shuts the daemon down gracefully within the drain timeout: it hands the
// zone over, refuses new requests once the load balancer has had time to notice,
// finishes the requests in flight and stops all components.
func (s *Server) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	s.log.Info("daemon stops", "drain_timeout", s.settings.Limits.DrainTimeout)
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.DrainTimeout)
	defer cancel()
	refuse := time.AfterFunc(unreadyPeriod, func() { s.refusing.Store(true) })
	defer refuse.Stop()
	began := time.Now()
	s.handOver(ctx)
	sleep(ctx, unreadyPeriod-time.Since(began))
	err := s.drainRequests(ctx)
	s.report.record(ctx, finalReportTimeout)
	s.termManager.stop()
	s.tomb.Kill(nil)
	s.shutdownPeerServer(ctx)
	_ = s.admin.http.Close()
	_ = s.peer.http.Close()
	_ = s.api.http.Close()
	if waitErr := s.tomb.Wait(); err == nil {
		err = waitErr
	}
	s.clients.Close()
	return errors.Wrap(err, "graceful shutdown")
}

// handOver hands the zone over to another daemon. It is limited to a part of the
// drain timeout, so that the requests in flight can still finish afterwards.
func (s *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.DrainTimeout*handOverPercent/100)
	defer cancel()
	s.termManager.handOver(ctx)
}

// drainRequests waits for the requests in flight. Those that are unfinished
// shortly before the drain timeout are answered with what is known about them.
func (s *Server) drainRequests(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	drainCtx, cancel := context.WithDeadline(ctx, deadline.Add(-finalAnswerMargin))
	defer cancel()
	// What is complete by then has the other half of the time for its answer.
	go s.intake.Drain(drainCtx, time.Until(deadline)/2)
	if err := s.api.http.Shutdown(drainCtx); err == nil {
		return nil
	}
	s.router.Close()
	return s.api.http.Shutdown(ctx)
}

// shutdownPeerServer lets pending responses to other daemons be sent. The timeout
// is needed because the other daemons keep their connections open.
func (s *Server) shutdownPeerServer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerShutdownTimeout)
	defer cancel()
	_ = s.peer.http.Shutdown(ctx)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Reload applies the settings that can change at run time and logs those that
// need a restart.
func (s *Server) Reload(next *settings.Settings) {
	merged, restart := s.settings.Reload(next)
	s.settings = merged
	s.level.Set(merged.Log.Level)
	s.maxWaiting.Store(int64(merged.Limits.MaxWaiting))
	s.log.Info("settings reloaded", "need_restart", restart)
}

// listener is a bound address and its HTTP server.
type listener struct {
	net  net.Listener
	http *http.Server
}

// address returns the address to which the listener is bound.
func (l *listener) address() string { return l.net.Addr().String() }

// serve accepts connections until the server is shut down.
func (l *listener) serve() error {
	var err error
	if l.http.TLSConfig != nil {
		err = l.http.ServeTLS(l.net, "", "")
	} else {
		err = l.http.Serve(l.net)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
