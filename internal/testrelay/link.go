package testrelay

import (
	"net"
	"sync"
	"time"
)

// link is one relayed connection.
type link struct {
	relay  *Relay
	client *net.TCPConn

	// The relay's lock covers the fields below.
	target *net.TCPConn
	// damaged is set once data was lost.
	damaged bool
	// closed is set, and done closed, by the reset of both sides.
	closed bool
	done   chan struct{}
}

// reset closes both sides at once, without sending what is buffered. The
// relay's lock must be held.
func (l *link) reset() {
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	for _, conn := range []*net.TCPConn{l.client, l.target} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// run relays both directions until both have ended.
func (l *link) run() error {
	defer l.relay.forget(l)
	if !l.await(toTarget) {
		return nil
	}
	conn, err := net.DialTimeout("tcp", l.relay.target, dialTimeout)
	if err != nil {
		return nil //nolint:nilerr // The client sees the reset.
	}
	target := conn.(*net.TCPConn)
	if !l.setTarget(target) {
		_ = target.Close()
		return nil
	}
	var both sync.WaitGroup
	both.Go(func() { l.pump(l.client, target, toTarget) })
	both.Go(func() { l.pump(target, l.client, fromTarget) })
	both.Wait()
	return nil
}

// setTarget keeps the connection to the target, unless the link was reset.
func (l *link) setTarget(target *net.TCPConn) bool {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	if l.closed {
		return false
	}
	l.target = target
	return true
}

// damage marks the link as having lost data, and resets it if the fault has
// been healed since.
func (l *link) damage() {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	l.damaged = true
	if !l.relay.fault.DropFromTarget {
		l.reset()
	}
}

// direction is one way of a link.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// stalled reports whether the fault holds the direction back.
func (f Fault) stalled(d direction) bool {
	if d == toTarget {
		return f.StallToTarget
	}
	return f.StallFromTarget
}

// drops reports whether the fault loses the direction's data.
func (f Fault) drops(d direction) bool { return d == fromTarget && f.DropFromTarget }

// await returns true once the direction isn't stalled, or false if the link
// was reset.
func (l *link) await(d direction) bool {
	for {
		fault, changed := l.relay.current()
		if !fault.stalled(d) {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// chunk is data that is due at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// pump relays one direction: it reads ahead, and another goroutine writes
// each chunk when it is due.
func (l *link) pump(from, to *net.TCPConn, d direction) {
	chunks := make(chan chunk, chunksInFlight)
	var writer sync.WaitGroup
	writer.Go(func() { l.write(to, chunks, d) })
	l.read(from, chunks)
	close(chunks)
	writer.Wait()
}

// read passes on what arrives until the sender closes or the link is reset.
func (l *link) read(from *net.TCPConn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			fault, _ := l.relay.current()
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(fault.Latency)}:
			case <-l.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write sends chunks when they are due, then closes its side.
func (l *link) write(to *net.TCPConn, chunks <-chan chunk, d direction) {
	for c := range chunks {
		if !l.delay(time.Until(c.due)) || !l.await(d) {
			continue
		}
		if fault, _ := l.relay.current(); fault.drops(d) {
			l.damage()
			continue
		}
		_, _ = to.Write(c.data)
	}
	if l.await(d) {
		_ = to.CloseWrite()
	}
}

// delay waits and returns false if the link is reset meanwhile.
func (l *link) delay(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}
