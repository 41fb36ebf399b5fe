// Package peer implements the calls between daemons: heartbeats, forwarded
// requests and jobs, and relayed reads of the log. It uses the Connect protocol.
//
// Each availability zone has a holder, the daemon that has claimed the zone in
// the log and schedules its work. A term is one period of holding the zone; its
// epoch is the fencing token.
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
	// dialTimeout limits how long connecting to another daemon may take.
	dialTimeout = time.Second
	// pingInterval is how long a connection may be silent before it is checked
	// with an HTTP/2 ping.
	pingInterval = 3 * time.Second
	// pingTimeout is how long a ping may stay unanswered before its connection
	// is closed.
	pingTimeout = time.Second
	// maxMessageBytes is the largest size of a received message.
	maxMessageBytes = 16 << 20
)

// Clients provides one client per address; all share a connection pool. It is
// safe for concurrent use.
type Clients struct {
	http   *http.Client
	scheme string

	mu      sync.Mutex
	clients map[string]peerv1connect.PeerServiceClient
}

// LinkLabel returns the label under which the bytes exchanged with an address are
// counted.
type LinkLabel func(address string) string

// NewClients returns clients that use HTTP/2, without TLS if tlsConfig is nil.
func NewClients(tlsConfig *tls.Config, link LinkLabel) *Clients {
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

// To returns the client for the peer address of a daemon.
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

// Close closes the idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// NotSent reports whether a failed call certainly did not reach the other
// daemon because no connection could be established.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// countingDialer returns a dial function that counts the bytes of each connection
// under its link's label.
func countingDialer(link LinkLabel) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		name := link(address)
		count := func(bytes int) { metrics.PeerBytes.Add(name, int64(bytes)) }
		return transport.CountBytes(conn, count, count), nil
	}
}
