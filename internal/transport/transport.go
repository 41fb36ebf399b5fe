// Package transport makes HTTP clients that notice dead connections.
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
// bytes may stay unacknowledged before the connection is given up.
const tcpUserTimeout = 18

// Options describe a client's connections.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// UnackedTimeout ends a connection whose peer acknowledges nothing.
	UnackedTimeout time.Duration
	// MaxPerHost bounds the connections to one address; idle ones are kept.
	MaxPerHost int
	// IdleTimeout closes a connection that was not used for that long.
	IdleTimeout time.Duration
	// Dialed, if set, is told of each new connection.
	Dialed func(address string)
	// WrapConn, if set, wraps each new connection, as to count its bytes.
	WrapConn func(address string, c net.Conn) net.Conn
}

// NewClient returns an HTTP/1.1 client. A call that runs into its deadline
// closes its connection, so that the next call gets another one.
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
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

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

// control sets the socket options before the connection is made.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return errors.Wrap(failed, "set TCP_USER_TIMEOUT")
}

// SendTracker observes whether a request had a connection to be written to. A
// request without one certainly never reached the other side.
type SendTracker struct {
	got    bool
	began  time.Time
	waited time.Duration
}

// Observe returns a context whose request is observed from now on.
func (s *SendTracker) Observe(ctx context.Context) context.Context {
	s.began = time.Now()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.got, s.waited = true, time.Since(s.began) },
	})
}

// Waited returns how long the request waited for its connection, up to now if
// it has none.
func (s *SendTracker) Waited() time.Duration {
	if s.got {
		return s.waited
	}
	return time.Since(s.began)
}

// MayHaveBeenSent reports whether the request may have reached the other side.
func (s *SendTracker) MayHaveBeenSent() bool { return s.got }

// IsConnectionRefused reports whether nothing listens at the address that was
// dialled.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
