// Package transport creates HTTP clients that detect lost connections.
package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux: how long sent
// bytes may stay unacknowledged before the kernel closes the connection.
const tcpUserTimeout = 18

// Options configures a client's connections.
type Options struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// UnackedTimeout closes a connection whose peer has acknowledged no sent
	// data for that long.
	UnackedTimeout time.Duration
	// MaxPerHost bounds the connections to one address; idle ones are kept.
	MaxPerHost int
	// IdleTimeout closes a connection that has been idle for that long.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of an answer; 0 is net/http's default.
	MaxHeaderBytes int64
	// Dialed, if set, is called with the address of each new connection.
	Dialed func(address string)
	// WrapConn, if set, wraps each new connection, for example to count bytes.
	WrapConn func(address string, c net.Conn) net.Conn
}

// NewClient returns an HTTP/1.1 client. A call that exceeds its deadline
// closes its connection, so that the next call uses another one.
func NewClient(o Options) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			Protocols:           protocols,
			DialContext:         dialer(o),
			MaxConnsPerHost:     o.MaxPerHost,
			MaxIdleConnsPerHost: o.MaxPerHost,
			IdleConnTimeout:     o.IdleTimeout,
			DisableCompression:  true,
			WriteBufferSize:     4 << 10,
			ReadBufferSize:      4 << 10,

			MaxResponseHeaderBytes: o.MaxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialer returns the DialContext function of the transport.
func dialer(o Options) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: o.DialTimeout, Control: o.control}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if o.Dialed != nil {
			o.Dialed(address)
		}
		if o.WrapConn != nil {
			conn = o.WrapConn(address, conn)
		}
		return conn, nil
	}
}

// control sets the socket options before the connection is established.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return errors.Wrap(sockErr, "set TCP_USER_TIMEOUT")
}

// SendTracker records whether a request was given a connection and how long it waited
// for one. A request without a connection can't have reached the server.
type SendTracker struct {
	connected bool
	start     time.Time
	connWait  time.Duration
}

// Observe returns a context to send the observed request with. The wait for a
// connection is measured from this call.
func (s *SendTracker) Observe(ctx context.Context) context.Context {
	s.start = time.Now()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected, s.connWait = true, time.Since(s.start) },
	})
}

// Waited returns how long the request waited for a connection, or has waited
// so far if it has none.
func (s *SendTracker) Waited() time.Duration {
	if s.connected {
		return s.connWait
	}
	return time.Since(s.start)
}

// MayHaveBeenSent reports whether the request may have reached the server.
func (s *SendTracker) MayHaveBeenSent() bool { return s.connected }

// IsConnectionRefused reports whether err is a refused connection: nothing listens at the
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
