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

// headerTimeout bounds how long a stand-in reads the headers of a request.
const headerTimeout = 10 * time.Second

// meter counts the bytes and requests that pass through the listeners of
// stand-ins. It is safe for concurrent use.
type meter struct {
	bytes atomic.Int64

	mu    sync.Mutex
	paths map[string]int64
	// firstRequest is the time of the first request of each path and server
	// since the last reset.
	firstRequest map[serverPath]time.Time
}

// serverPath is a URL path that was requested from a server.
type serverPath struct{ server, path string }

// newMeter returns a meter with all counts at zero.
func newMeter() *meter {
	return &meter{paths: make(map[string]int64), firstRequest: make(map[serverPath]time.Time)}
}

// count records a request.
func (m *meter) count(server, path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths[path]++
	if _, ok := m.firstRequest[serverPath{server, path}]; !ok {
		m.firstRequest[serverPath{server, path}] = time.Now()
	}
}

// resetFirstRequests forgets the times of the first requests.
func (m *meter) resetFirstRequests() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firstRequest = make(map[serverPath]time.Time)
}

// firstRequests returns how many servers received a request for path since the
// last reset, and the earliest and the latest time of their first requests.
func (m *meter) firstRequests(path string) (n int, earliest, latest time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, at := range m.firstRequest {
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

// requestCount returns the number of requests for path so far, or for all paths
// if path is empty.
func (m *meter) requestCount(path string) int64 {
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

// meteredServer serves a handler on a loopback address through a meter.
type meteredServer struct {
	http    *http.Server
	address string
	cancel  context.CancelFunc
}

// serveMetered serves h on a free loopback port. name distinguishes the servers
// that share a meter.
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

// close stops the server and cancels its requests.
func (s *meteredServer) close() {
	s.cancel()
	_ = s.http.Close()
}

// meteredListener is a listener whose connections count their bytes.
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

// meteredConn counts the bytes that are read and written.
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

// Write implements net.Conn. It counts the bytes before it writes them, so that they are
// counted when the peer has read them.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.meter.bytes.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n - len(b)))
	return n, err
}
