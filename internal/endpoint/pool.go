package endpoint

import (
	"expvar"
	"net/http"
	"sync"
	"time"
)

// Bounds of the connections to endpoints.
const (
	// MaxConnsPerEndpoint bounds the connections to one endpoint.
	MaxConnsPerEndpoint = 60

	// pingAfter is the time without received data after which a connection is
	// pinged. Without pings, a connection that was cut without a reset would
	// stay in use.
	pingAfter      = 2 * time.Second
	pingTimeout    = 2 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
)

// Metric names within a pool's expvar map.
const (
	// MetricCommands counts commands sent, by path.
	MetricCommands = "commands"
	// MetricFailures counts commands that failed, by kind.
	MetricFailures = "failures"
	// MetricBytesSent counts bytes of request bodies.
	MetricBytesSent = "bytes_sent"
	// MetricBytesReceived counts bytes of response bodies.
	MetricBytesReceived = "bytes_received"
	// MetricInvalidEvents counts events dropped as invalid.
	MetricInvalidEvents = "events_invalid"
)

// Pool holds the HTTP/2 connections to all endpoints of a process.
type Pool struct {
	transport *http.Transport
	client    *http.Client

	metrics  *expvar.Map
	commands *expvar.Map
	failures *expvar.Map
}

// NewPool returns an empty pool.
func NewPool() *Pool { return newPool(pingAfter, pingTimeout) }

// newPool returns a pool that pings a connection on which nothing was received
// for pingAfter, and closes it if no reply arrives within pingTimeout.
func newPool(pingAfter, pingTimeout time.Duration) *Pool {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:              protocols,
		MaxConnsPerHost:        MaxConnsPerEndpoint,
		MaxIdleConnsPerHost:    MaxConnsPerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	p := &Pool{
		transport: transport,
		client:    &http.Client{Transport: transport},
		metrics:   new(expvar.Map).Init(),
		commands:  new(expvar.Map).Init(),
		failures:  new(expvar.Map).Init(),
	}
	p.metrics.Set(MetricCommands, p.commands)
	p.metrics.Set(MetricFailures, p.failures)
	for _, name := range []string{MetricBytesSent, MetricBytesReceived, MetricInvalidEvents} {
		p.metrics.Add(name, 0)
	}
	return p
}

// Metrics returns the pool's metrics, which the caller publishes.
func (p *Pool) Metrics() *expvar.Map { return p.metrics }

// Close closes idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// sharedPool returns the pool of clients without WithPool.
var sharedPool = sync.OnceValue(NewPool)

// SharedPool returns the pool that the process's clients share by default.
func SharedPool() *Pool { return sharedPool() }
