// Package server composes a daemon from its parts and runs it.
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
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' connections that are not used.
	idleTimeout = 2 * time.Minute
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 30 * time.Second
	// relayStale is the age of freshness at which a daemon reads the log
	// itself instead of through another.
	relayStale = 2 * time.Second
	// lameDuck is how long a stopping daemon that reports itself not ready
	// still takes callers, for the balancer to notice.
	lameDuck = time.Second
	// finalAnswerMargin is how long before the drain timeout requests in flight are
	// answered with what is known.
	finalAnswerMargin = time.Second
	// handOverPart is the part of the drain timeout, in percent, that a
	// hand-over may take.
	handOverPart = 60
	// peerGrace is how long a stopping daemon waits for its answers to other
	// daemons to go out.
	peerGrace = 500 * time.Millisecond
)

// Server is a daemon. Create it with New, then Start it and Stop it once.
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
	termManager *termManager
	report      *reporter
	claimant    *claimant.Claimant
	maxWaiting  atomic.Int64
	leaving     atomic.Bool
	// refusing is set once the balancer has had time to notice the leaving.
	refusing atomic.Bool

	api   *listener
	peer  *listener
	admin *listener
}

// New composes a daemon. Its listeners are bound, so that their addresses are
// known, but nothing runs before Start.
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
	srv.compose(tlsClient)
	srv.serve(tlsServer)
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

// compose makes the parts and connects them.
func (s *Server) compose(tlsClient *tls.Config) {
	s.platform = loglist.NewClient(s.settings.Platform.LogURL, s.settings.Platform.ListURL,
		loglist.WithTimeout(s.settings.Platform.AppendTimeout), loglist.WithMetrics(metrics.Platform))
	metrics.PublishPool(endpoint.SharedPool().Metrics())
	s.directory = membership.NewDirectory(s.platform, s.self.AvailabilityZone, s.log)
	s.table = membership.NewTable()
	s.journal = journal.New(s.platform, cell.New(), s.log, journal.WithReadWait(s.settings.Platform.ReadWait))
	s.clients = peer.NewClients(tlsClient, s.linkOf)
	s.heartbeater = peer.NewHeartbeater(s.self, s.journal, s.table, s.directory, s.clients, s.standing)
	s.relay = peer.NewRelay(s.self, s.platform, s.clients, s.table, s.directory, relayStale, s.journal.Fresh)
	s.guard = auth.NewGuard(s.journal.State(), s.configStaleness, s.settings.Freshness.KeyBound)
	s.report = newReporter(s)
	s.termManager = newTermManager(s)
	s.router = router.New(s.self, s.journal.State(), s.directory, s.table, s.clients, s.heartbeater, s.termManager.current, s.log)
	s.claimant = claimant.New(s.self, s.settings.Zone.TakeoverAfter, s.journal, s.table, s.standing, s.log)
	s.journal.Observe(s.termManager.observe)
	s.journal.Observe(s.router.Observe)
	s.journal.Observe(s.claimant.Observe)
	s.journal.Observe(s.report.observe)
}

// serve makes the HTTP servers.
func (s *Server) serve(tlsServer *tls.Config) {
	limits := api.Limits{
		MaxBodyBytes:   int64(s.settings.Limits.MaxBodyBytes),
		MaxInFlight:    s.waitingLimit,
		RequestTimeout: s.settings.Limits.RequestTimeout,
	}
	callers := api.New(s.report.doors, s.guard, s.router, limits, api.ShutdownState{Leaving: s.leaving.Load, Refusing: s.refusing.Load}, s.log)
	s.api.http = &http.Server{
		Handler:           callers.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.settings.Limits.MaxHeaderBytes,
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewServer(s.heartbeater, s.table, s.journal, s.termManager.current, s.termManager.endedTerm, s.self.AvailabilityZone, s.router.LocalJob).Handler())
	s.peer.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, Protocols: peerProtocols(tlsServer), TLSConfig: tlsServer}
	operators := admin.New(admin.Dependencies{
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
	s.admin.http = &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: headerTimeout}
}

// peerProtocols is HTTP/2, without TLS if there is no configuration for it.
func peerProtocols(tlsServer *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(tlsServer != nil)
	p.SetUnencryptedHTTP2(tlsServer == nil)
	return p
}

// Start runs the daemon's parts.
func (s *Server) Start() {
	for _, run := range []func() error{
		func() error { return s.directory.Run(s.tomb) },
		func() error { return s.journal.Run(s.tomb, s.relay.Choose) },
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

// Addresses are where the daemon listens.
func (s *Server) Addresses() (apiAddress, peerAddress, adminAddress string) {
	return s.api.address(), s.peer.address(), s.admin.address()
}

// Dying is closed when the daemon fails or is stopped.
func (s *Server) Dying() <-chan struct{} { return s.tomb.Dying() }

// Stop shuts the daemon down gracefully: it takes no new callers, hands the
// zone over, finishes what is in flight within the drain timeout and ends.
func (s *Server) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	s.log.Info("daemon stops", "drain_timeout", s.settings.Limits.DrainTimeout)
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.DrainTimeout)
	defer cancel()
	noticed := time.AfterFunc(lameDuck, func() { s.refusing.Store(true) })
	defer noticed.Stop()
	began := time.Now()
	s.handOver(ctx)
	waitFor(ctx, lameDuck-time.Since(began))
	err := s.finishCallers(ctx)
	s.report.record(ctx, reportGrace)
	s.termManager.stop()
	s.tomb.Kill(nil)
	s.closePeers(ctx)
	_ = s.admin.http.Close()
	_ = s.peer.http.Close()
	_ = s.api.http.Close()
	if waitErr := s.tomb.Wait(); err == nil {
		err = waitErr
	}
	s.clients.Close()
	return errors.Wrap(err, "graceful shutdown")
}

// handOver hands the zone over in time for the requests in flight to end.
func (s *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.DrainTimeout*handOverPart/100)
	defer cancel()
	s.termManager.handOver(ctx)
}

// finishCallers lets the requests in flight end by themselves. Those that have
// not when the drain timeout is near are answered with what is known of them.
func (s *Server) finishCallers(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	patience, cancel := context.WithDeadline(ctx, deadline.Add(-finalAnswerMargin))
	defer cancel()
	if err := s.api.http.Shutdown(patience); err == nil {
		return nil
	}
	s.router.Close()
	return s.api.http.Shutdown(ctx)
}

// closePeers lets answers to other daemons go out, then closes their
// connections, which they keep open for as long as they can.
func (s *Server) closePeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerGrace)
	defer cancel()
	_ = s.peer.http.Shutdown(ctx)
}

// waitFor waits for d or the end of ctx.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Reload takes over the settings that can change at run time.
func (s *Server) Reload(next *settings.Settings) {
	merged, restart := s.settings.Reload(next)
	s.settings = merged
	s.level.Set(merged.Log.Level)
	s.maxWaiting.Store(int64(merged.Limits.MaxWaiting))
	s.log.Info("settings reloaded", "need_restart", restart)
}

// listener is one bound address and its HTTP server.
type listener struct {
	net  net.Listener
	http *http.Server
}

// address is where the listener is bound.
func (l *listener) address() string { return l.net.Addr().String() }

// serve answers connections until the server is shut down.
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
