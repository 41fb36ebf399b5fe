// Package peer carries the calls between daemons over connect.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/bluebellstile/bluebellstile/internal/gen/peer/v1/peerv1connect"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/transport"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the time to connect to another daemon.
	dialTimeout = time.Second
	// pingInterval is after how much silence a connection is checked.
	pingInterval = 3 * time.Second
	// pingTimeout closes a connection whose check is not answered.
	pingTimeout = time.Second
	// maxMessageBytes bounds what one message may carry.
	maxMessageBytes = 16 << 20
)

// Clients hands out clients by address and shares their connections. It is
// safe for concurrent use.
type Clients struct {
	http   *http.Client
	scheme string

	mu      sync.Mutex
	clients map[string]peerv1connect.PeerServiceClient
}

// LinkOf labels the link to an address for the byte counters.
type LinkOf func(address string) string

// NewClients returns clients that use HTTP/2 without TLS if tlsConfig is nil.
func NewClients(tlsConfig *tls.Config, link LinkOf) *Clients {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	transport := &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: tlsConfig,
		DialContext:     countingDialer(link),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
			PingTimeout:     pingTimeout,
		},
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Clients{
		http:    &http.Client{Transport: transport},
		scheme:  scheme,
		clients: make(map[string]peerv1connect.PeerServiceClient),
	}
}

// To returns the client for a daemon's peer address.
func (c *Clients) To(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = peerv1connect.NewPeerServiceClient(c.http, c.scheme+"://"+address, connect.WithReadMaxBytes(maxMessageBytes))
		c.clients[address] = client
	}
	return client
}

// Close closes idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// NeverSent reports whether a failed call certainly did not reach the other
// daemon, because no connection could be made.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// countingDialer dials TCP and counts the bytes of each connection by link.
func countingDialer(link LinkOf) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		name := link(address)
		count := func(bytes int) { metrics.PeerBytes.Add(name, int64(bytes)) }
		return transport.Count(conn, count, count), nil
	}
}
