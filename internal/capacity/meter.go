package capacity

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout bounds the reading of a request's headers by a stand-in.
const headerTimeout = 10 * time.Second

// meter counts what passes through the listeners of stand-ins.
type meter struct {
	bytes atomic.Int64

	mu    sync.Mutex
	paths map[string]int64
	// first is the instant of the first request of each path and server since
	// the last reset.
	first map[seen]time.Time
}

// seen is a path that was asked for at a server.
type seen struct{ server, path string }

// newMeter returns a meter that has counted nothing.
func newMeter() *meter {
	return &meter{paths: make(map[string]int64), first: make(map[seen]time.Time)}
}

// count notes a request.
func (m *meter) count(server, path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths[path]++
	if _, ok := m.first[seen{server, path}]; !ok {
		m.first[seen{server, path}] = time.Now()
	}
}

// reset forgets the first requests.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.first = make(map[seen]time.Time)
}

// firsts returns how many servers were asked for a path since the last reset,
// and the instants of the earliest and the latest of their first requests.
func (m *meter) firsts(path string) (n int, earliest, latest time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, at := range m.first {
		if s.path != path {
			continue
		}
		n++
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
		if at.After(latest) {
			latest = at
		}
	}
	return n, earliest, latest
}

// requests is the number of requests of a path so far, or of all paths.
func (m *meter) requests(path string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if path != "" {
		return m.paths[path]
	}
	total := int64(0)
	for _, n := range m.paths {
		total += n
	}
	return total
}

// meteredServer serves a handler on loopback through a meter.
type meteredServer struct {
	http    *http.Server
	address string
	cancel  context.CancelFunc
}

// serveMetered serves h on a free port. name distinguishes servers of a meter.
func serveMetered(name string, h http.Handler, m *meter) (*meteredServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in")
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithCancel(context.Background())
	s := &meteredServer{address: l.Addr().String(), cancel: cancel}
	s.http = &http.Server{
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			m.count(name, r.URL.Path)
			h.ServeHTTP(w, r)
		}),
	}
	go func() { _ = s.http.Serve(&meteredListener{Listener: l, meter: m}) }()
	return s, nil
}

// close ends the server and its requests.
func (s *meteredServer) close() {
	s.cancel()
	_ = s.http.Close()
}

// meteredListener counts the bytes of its connections.
type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: l.meter}, nil
}

// meteredConn counts the bytes of both directions.
type meteredConn struct {
	net.Conn
	meter *meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}
