// Package testrelay provides a TCP relay that injects faults into the link between
// two processes under test. Only tests and test harnesses may import it.
package testrelay

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// Limits of a relayed connection.
const (
	// chunkBytes is the size of the read buffer.
	chunkBytes = 32 << 10
	// chunksInFlight is the maximum number of chunks buffered per direction.
	chunksInFlight = 64
	// dialTimeout bounds the connection attempt to the target.
	dialTimeout = 5 * time.Second
)

// Fault describes the faults of a link. The zero value is a healthy link.
type Fault struct {
	// Latency delays all data in each direction.
	Latency time.Duration
	// Cut resets all existing and new connections.
	Cut bool
	// StallToTarget and StallFromTarget delay all data in one direction until
	// the fault is healed, as packet loss does. While StallToTarget is set, new
	// connections are accepted but not connected to the target.
	StallToTarget   bool
	StallFromTarget bool
	// DropFromTarget discards data from the target, so that requests take
	// effect but their answers are lost. When it is healed, connections that
	// have lost data are reset.
	DropFromTarget bool
}

// Blackhole returns the fault of a link that passes no data in either direction
// but resets no connection, so that both sides see a half-open connection.
func Blackhole() Fault { return Fault{StallToTarget: true, StallFromTarget: true} }

// Relay forwards TCP connections to a target and applies a Fault to them. It is
// safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	tomb     tomb.Tomb

	// mu guards the fields below and those of relayedConn that say so.
	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced whenever the fault changes.
	changed chan struct{}
	conns   map[*relayedConn]struct{}
}

// New starts a relay to target that listens on a free port of the loopback
// address.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{
		target:   target,
		listener: listener,
		changed:  make(chan struct{}),
		conns:    make(map[*relayedConn]struct{}),
	}
	r.tomb.Go(r.accept)
	r.tomb.Go(r.closeOnKill)
	return r, nil
}

// Addr returns the address of the relay. Clients connect to it instead of the
// target.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set replaces the fault of the link for existing and new connections.
func (r *Relay) Set(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	close(r.changed)
	r.changed = make(chan struct{})
	for rc := range r.conns {
		if fault.Cut || rc.damaged && !fault.DropFromTarget {
			rc.reset()
		}
	}
}

// Heal removes the fault of the link.
func (r *Relay) Heal() { r.Set(Fault{}) }

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close resets all connections, stops the relay and waits for its goroutines.
func (r *Relay) Close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// closeOnKill waits until Close is called or accepting fails. It then closes the
// listener and resets all connections, so that the other goroutines end.
func (r *Relay) closeOnKill() error {
	<-r.tomb.Dying()
	err := r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for rc := range r.conns {
		rc.reset()
	}
	return err
}

// currentFault returns the fault and a channel that is closed when the fault
// changes.
func (r *Relay) currentFault() (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault, r.changed
}

// accept accepts connections until the relay is closed.
func (r *Relay) accept() error {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if r.tomb.Alive() {
				return errors.Wrap(err, "accept")
			}
			return nil
		}
		if rc := r.register(conn.(*net.TCPConn)); rc != nil {
			r.tomb.Go(rc.run)
		}
	}
}

// register adds a connection to the relay. If the link is cut or the relay is
// closing, it resets the connection and returns nil.
func (r *Relay) register(client *net.TCPConn) *relayedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	rc := &relayedConn{relay: r, client: client, done: make(chan struct{})}
	if r.fault.Cut || !r.tomb.Alive() {
		rc.reset()
		return nil
	}
	r.conns[rc] = struct{}{}
	return rc
}

// remove removes a connection that has ended, and closes both of its sides.
func (r *Relay) remove(rc *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, rc)
	rc.reset()
}
