package testrelay

import (
	"net"
	"sync"
	"time"
)

// relayedConn is a connection from a client and the one to the target that it is
// forwarded to.
type relayedConn struct {
	relay  *Relay
	client *net.TCPConn

	// relay.mu guards the fields below. target is nil until the connection to
	// the target is established.
	target *net.TCPConn
	// damaged is set once data has been dropped.
	damaged bool
	// closed is set, and done is closed, by reset.
	closed bool
	done   chan struct{}
}

// reset closes both sides with a TCP reset and discards buffered data. The caller
// must hold relay.mu.
func (rc *relayedConn) reset() {
	if rc.closed {
		return
	}
	rc.closed = true
	close(rc.done)
	for _, conn := range []*net.TCPConn{rc.client, rc.target} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// run connects to the target and forwards data until both directions have ended.
func (rc *relayedConn) run() error {
	defer rc.relay.remove(rc)
	if !rc.awaitUnstalled(toTarget) {
		return nil
	}
	conn, err := net.DialTimeout("tcp", rc.relay.target, dialTimeout)
	if err != nil {
		return nil //nolint:nilerr // The client sees the reset.
	}
	target := conn.(*net.TCPConn)
	if !rc.setTarget(target) {
		_ = target.Close()
		return nil
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { rc.pump(rc.client, target, toTarget) })
	pumps.Go(func() { rc.pump(target, rc.client, fromTarget) })
	pumps.Wait()
	return nil
}

// setTarget stores the connection to the target. It returns false if the relayed
// connection was reset in the meantime.
func (rc *relayedConn) setTarget(target *net.TCPConn) bool {
	rc.relay.mu.Lock()
	defer rc.relay.mu.Unlock()
	if rc.closed {
		return false
	}
	rc.target = target
	return true
}

// markDamaged records that the connection has lost data, and resets it if the fault
// has been healed in the meantime.
func (rc *relayedConn) markDamaged() {
	rc.relay.mu.Lock()
	defer rc.relay.mu.Unlock()
	rc.damaged = true
	if !rc.relay.fault.DropFromTarget {
		rc.reset()
	}
}

// direction is a direction of data flow.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// stalled reports whether the fault stalls the direction.
func (f Fault) stalled(d direction) bool {
	if d == toTarget {
		return f.StallToTarget
	}
	return f.StallFromTarget
}

// drops reports whether the fault discards the data of the direction.
func (f Fault) drops(d direction) bool { return d == fromTarget && f.DropFromTarget }

// awaitUnstalled waits until the direction isn't stalled and returns true, or false
// if the connection is reset first.
func (rc *relayedConn) awaitUnstalled(d direction) bool {
	for {
		fault, changed := rc.relay.currentFault()
		if !fault.stalled(d) {
			return true
		}
		select {
		case <-changed:
		case <-rc.done:
			return false
		}
	}
}

// chunk is data to be forwarded no earlier than due.
type chunk struct {
	data []byte
	due  time.Time
}

// pump forwards one direction. It reads ahead while another goroutine writes each
// chunk when it is due.
func (rc *relayedConn) pump(from, to *net.TCPConn, d direction) {
	chunks := make(chan chunk, chunksInFlight)
	var writer sync.WaitGroup
	writer.Go(func() { rc.write(to, chunks, d) })
	rc.read(from, chunks)
	close(chunks)
	writer.Wait()
}

// read sends the received data to chunks until the sender closes its side or the
// connection is reset.
func (rc *relayedConn) read(from *net.TCPConn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			fault, _ := rc.relay.currentFault()
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(fault.Latency)}:
			case <-rc.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write writes chunks when they are due. Once the channel is closed, it closes the
// write side of the connection.
func (rc *relayedConn) write(to *net.TCPConn, chunks <-chan chunk, d direction) {
	for c := range chunks {
		if !rc.delay(time.Until(c.due)) || !rc.awaitUnstalled(d) {
			continue
		}
		if fault, _ := rc.relay.currentFault(); fault.drops(d) {
			rc.markDamaged()
			continue
		}
		_, _ = to.Write(c.data)
	}
	if rc.awaitUnstalled(d) {
		_ = to.CloseWrite()
	}
}

// delay waits for d and returns true, or false if the connection is reset first.
func (rc *relayedConn) delay(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-rc.done:
		return false
	}
}
