package endpoint

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the connections to endpoints.
const (
	// MaxConnsPerEndpoint bounds the connections to one endpoint.
	MaxConnsPerEndpoint = 60

	// pingAfter is the silence after which a connection is probed, so that
	// one that was cut without a reset isn't used for ever.
	pingAfter      = 2 * time.Second
	pingTimeout    = 2 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
)

// Pool holds the HTTP/2 connections to all endpoints of a process.
type Pool struct {
	transport *http.Transport
	client    *http.Client
}

// NewPool returns an empty pool.
func NewPool() *Pool {
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
	return &Pool{transport: transport, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// sharedPool is the pool of clients that name none.
var sharedPool = sync.OnceValue(NewPool)

// SharedPool returns the pool that the process's clients share by default.
func SharedPool() *Pool { return sharedPool() }
