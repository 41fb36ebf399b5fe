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

// shutdownTimeout limits how long a shutdown waits for requests in flight.
const shutdownTimeout = 2 * time.Second

// errDied is the error of a server that the fault switch "die" has ended.
var errDied = errors.New("died by fault switch")

// Service is a stand-in that can be run by Serve.
type Service interface {
	Handler() http.Handler
	Faults() *Faults
}

// AdminService is a Service that serves more on the admin address than the
// fault switches.
type AdminService interface {
	AdminHandler() http.Handler
}

// ConnectionLimiter is a Service that limits its concurrent connections.
type ConnectionLimiter interface {
	MaxConnections() int
}

// Server serves a stand-in on one address and its fault switches on another.
type Server struct {
	tomb    tomb.Tomb
	main    *http.Server
	admin   *http.Server
	address string
	// adminAddress is empty if there is no admin address.
	adminAddress string
	cancel       context.CancelFunc
}

// Serve starts a server for service on the address listen, and for its fault
// switches on the address admin unless that is empty. Port 0 picks a free port.
func Serve(service Service, listen, admin string) (*Server, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if limited, ok := service.(ConnectionLimiter); ok {
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

// adminHandler combines the handlers of the fault switches and, if there is
// one, of the AdminService.
func adminHandler(service Service) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(PathFault, service.Faults().Handler())
	if pages, ok := service.(AdminService); ok {
		mux.Handle("/", pages.AdminHandler())
	}
	return mux
}

// newHTTPServer returns a server for HTTP/1.1 and for HTTP/2 without TLS.
// Cancelling ctx cancels the contexts of its requests.
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

// Dead returns a channel that is closed when the server has ended.
func (s *Server) Dead() <-chan struct{} { return s.tomb.Dead() }

// Died reports whether the fault switch "die" has ended the server.
func (s *Server) Died() bool { return errors.Is(s.tomb.Err(), errDied) }

// Close shuts the server down and waits until it has ended. It cancels the
// contexts of requests in flight, which have shutdownTimeout to finish.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	err := s.tomb.Wait()
	if errors.Is(err, errDied) {
		return nil
	}
	return err
}

// closeWhenDying closes the HTTP servers once the tomb is dying. After the
// switch "die" it aborts the requests to the service at once, as a crash does.
// Requests to the admin address may still finish, since one of them has set
// the switch.
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

// shutdown stops server and waits up to shutdownTimeout for requests in flight.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}
