// Package testrelay is a TCP relay that injects faults on one link between
// two processes under test. No product package may import it.
package testrelay

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// Bounds of a relayed connection.
const (
	// chunkBytes is the most that is read at once.
	chunkBytes = 32 << 10
	// chunksInFlight bounds what one direction holds back.
	chunksInFlight = 64
	dialTimeout    = 5 * time.Second
)

// Fault is the state of a link. The zero Fault is a healthy link.
type Fault struct {
	// Latency delays all data, each way.
	Latency time.Duration
	// Cut resets connections, present and new.
	Cut bool
	// StallToTarget and StallFromTarget hold data back in one direction, as
	// lost packets do; it flows on once healed. New connections are accepted
	// but get no further while the way to the target stalls.
	StallToTarget   bool
	StallFromTarget bool
	// DropFromTarget loses data from the target for good, so that requests
	// take effect and answers get lost. Connections that lost data are reset
	// when it is healed.
	DropFromTarget bool
}

// Blackhole returns the fault of a link that is cut without a reset: both
// sides see a connection that is half open.
func Blackhole() Fault { return Fault{StallToTarget: true, StallFromTarget: true} }

// Relay forwards TCP connections to a target.
type Relay struct {
	target   string
	listener net.Listener
	tomb     tomb.Tomb

	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced whenever the fault changes.
	changed chan struct{}
	links   map[*link]struct{}
}

// New starts a relay to target on a free port of the loopback address.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{
		target:   target,
		listener: listener,
		changed:  make(chan struct{}),
		links:    make(map[*link]struct{}),
	}
	r.tomb.Go(r.accept)
	r.tomb.Go(r.closeWhenDying)
	return r, nil
}

// Addr returns the address to connect to instead of the target's.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set changes the state of the link, for present and new connections.
func (r *Relay) Set(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	close(r.changed)
	r.changed = make(chan struct{})
	for l := range r.links {
		if fault.Cut || l.damaged && !fault.DropFromTarget {
			l.reset()
		}
	}
}

// Heal makes the link healthy.
func (r *Relay) Heal() { r.Set(Fault{}) }

// Connections returns the number of connections that are open.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Close resets all connections and ends the relay.
func (r *Relay) Close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// closeWhenDying closes what the relay's goroutines wait on.
func (r *Relay) closeWhenDying() error {
	<-r.tomb.Dying()
	err := r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.reset()
	}
	return err
}

// current returns the fault and the channel that its next change closes.
func (r *Relay) current() (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault, r.changed
}

// accept takes connections until the relay is closed.
func (r *Relay) accept() error {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if r.tomb.Alive() {
				return errors.Wrap(err, "accept")
			}
			return nil
		}
		if l := r.open(conn.(*net.TCPConn)); l != nil {
			r.tomb.Go(l.run)
		}
	}
}

// open registers a connection, or resets it if the link is cut.
func (r *Relay) open(client *net.TCPConn) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &link{relay: r, client: client, done: make(chan struct{})}
	if r.fault.Cut || !r.tomb.Alive() {
		l.reset()
		return nil
	}
	r.links[l] = struct{}{}
	return l
}

// forget drops a connection that has ended.
func (r *Relay) forget(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
	l.reset()
}
