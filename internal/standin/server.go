package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
	"gopkg.in/tomb.v2"
)

// shutdownTimeout bounds how long a stop waits for requests under way.
const shutdownTimeout = 2 * time.Second

// errDied ends a server by the switch "die".
var errDied = errors.New("died by fault switch")

// Service is a stand-in that Serve offers.
type Service interface {
	Handler() http.Handler
	Faults() *Faults
}

// Admin is a Service with admin pages beside the fault switches.
type Admin interface {
	AdminHandler() http.Handler
}

// Limited is a Service that bounds the connections that it serves at a time.
type Limited interface {
	MaxConnections() int
}

// Server offers a stand-in on one address and its fault switches on another.
type Server struct {
	tomb    tomb.Tomb
	main    *http.Server
	admin   *http.Server
	address string
	// adminAddress is empty if there is no admin address.
	adminAddress string
	cancel       context.CancelFunc
}

// Serve listens on listen, and on admin unless it is empty. Port 0 picks a
// free port.
func Serve(service Service, listen, admin string) (*Server, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if limited, ok := service.(Limited); ok {
		listener = netutil.LimitListener(listener, limited.MaxConnections())
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{address: listener.Addr().String(), cancel: cancel}
	s.main = newHTTPServer(ctx, service.Handler())
	if admin != "" {
		adminListener, err := net.Listen("tcp", admin)
		if err != nil {
			cancel()
			_ = listener.Close()
			return nil, errors.Wrap(err, "listen for admin")
		}
		s.adminAddress = adminListener.Addr().String()
		s.admin = newHTTPServer(ctx, adminHandler(service))
		s.tomb.Go(func() error { return serve(s.admin, adminListener) })
	}
	s.tomb.Go(func() error { return serve(s.main, listener) })
	s.tomb.Go(s.closeWhenDying)
	service.Faults().OnDie(func() { s.tomb.Kill(errDied) })
	return s, nil
}

// adminHandler joins the fault switches and the service's own admin pages.
func adminHandler(service Service) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(PathFault, service.Faults().Handler())
	if pages, ok := service.(Admin); ok {
		mux.Handle("/", pages.AdminHandler())
	}
	return mux
}

// newHTTPServer returns a server for HTTP/1.1 and for HTTP/2 without TLS,
// whose requests end with ctx.
func newHTTPServer(ctx context.Context, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ReadHeaderTimeout: 10 * time.Second,
	}
}

// serve runs server until it is closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// Addr returns the address of the service, host:port.
func (s *Server) Addr() string { return s.address }

// URL returns the base URL of the service.
func (s *Server) URL() string { return "http://" + s.address }

// AdminAddr returns the address of the fault switches, or "".
func (s *Server) AdminAddr() string { return s.adminAddress }

// Dead is closed when the server has ended.
func (s *Server) Dead() <-chan struct{} { return s.tomb.Dead() }

// Died reports whether the server was ended by the switch "die".
func (s *Server) Died() bool { return errors.Is(s.tomb.Err(), errDied) }

// Close ends the server after the requests under way and waits for it.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	err := s.tomb.Wait()
	if errors.Is(err, errDied) {
		return nil
	}
	return err
}

// closeWhenDying closes the HTTP servers. After the switch "die" the service
// breaks off its requests, and only the admin address answers the one that
// set the switch.
func (s *Server) closeWhenDying() error {
	<-s.tomb.Dying()
	s.cancel()
	if !errors.Is(s.tomb.Err(), errDied) {
		shutdown(s.main)
	}
	_ = s.main.Close()
	if s.admin != nil {
		shutdown(s.admin)
		_ = s.admin.Close()
	}
	return nil
}

// shutdown lets requests under way finish within shutdownTimeout.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}
