package testrelay

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

// waitTimeout bounds waits that must succeed. shortWait is the duration of waits
// in which nothing may arrive, and the unit of the injected latency.
const (
	waitTimeout = 20 * time.Second
	shortWait   = 50 * time.Millisecond
)

// echoServer sends each received line back and counts the lines.
type echoServer struct {
	listener net.Listener
	lines    atomic.Int64
}

func newEchoServer(t *testing.T) *echoServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &echoServer{listener: listener}
	go s.accept()
	return s
}

func (s *echoServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *echoServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		s.lines.Add(1)
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}

// setUp returns an echo server and a relay to it. When the test ends, it checks
// that closing both leaves no goroutine.
func setUp(t *testing.T) (*echoServer, *Relay) {
	t.Helper()
	server := newEchoServer(t)
	relay, err := New(server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := relay.Close(); err != nil {
			t.Error(err)
		}
		_ = server.listener.Close()
		goleak.VerifyNone(t)
	})
	return server, relay
}

// dial connects to the relay.
func dial(t *testing.T, relay *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send writes one line.
func send(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "label\n"); err != nil {
		t.Fatal(err)
	}
}

// receive reads one echoed line, with a timeout.
func receive(conn net.Conn, within time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(conn, make([]byte, len("label\n")))
	return err
}

// eventually polls a condition until it holds, and fails the test if it doesn't
// within waitTimeout.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition did not hold in time")
		}
	}
}

// lostData reports whether any connection of the relay has lost data.
func lostData(relay *Relay) bool {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for rc := range relay.conns {
		if rc.damaged {
			return true
		}
	}
	return false
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func TestRelayForwardsWithLatency(t *testing.T) {
	_, relay := setUp(t)
	conn := dial(t, relay)
	relay.Set(Fault{Latency: 2 * shortWait})
	sent := time.Now()
	send(t, conn)
	if err := receive(conn, waitTimeout); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(sent); took < 4*shortWait {
		t.Fatalf("round trip took %v", took)
	}
}

func TestRelayCut(t *testing.T) {
	_, relay := setUp(t)
	conn := dial(t, relay)
	send(t, conn)
	if err := receive(conn, waitTimeout); err != nil {
		t.Fatal(err)
	}
	relay.Set(Fault{Cut: true})
	if err := receive(conn, waitTimeout); err == nil || isTimeout(err) {
		t.Fatalf("read on a cut link: %v", err)
	}
	// Dial may fail, because the reset may arrive before it returns.
	if fresh, err := net.Dial("tcp", relay.Addr()); err == nil {
		if err := receive(fresh, waitTimeout); err == nil || isTimeout(err) {
			t.Fatalf("read on a new connection: %v", err)
		}
		_ = fresh.Close()
	}
	relay.Heal()
	healed := dial(t, relay)
	send(t, healed)
	if err := receive(healed, waitTimeout); err != nil {
		t.Fatal(err)
	}
}

// TestRelayStalls covers the faults that stall data. It checks whether a request
// reaches the server during the fault, and that the data arrives after healing.
func TestRelayStalls(t *testing.T) {
	cases := map[string]struct {
		fault   Fault
		reaches bool
	}{
		"blackhole":   {fault: Blackhole()},
		"to target":   {fault: Fault{StallToTarget: true}},
		"from target": {fault: Fault{StallFromTarget: true}, reaches: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, relay := setUp(t)
			conn := dial(t, relay)
			send(t, conn)
			if err := receive(conn, waitTimeout); err != nil {
				t.Fatal(err)
			}
			relay.Set(c.fault)
			send(t, conn)
			if c.reaches {
				eventually(t, func() bool { return server.lines.Load() == 2 })
			}
			if err := receive(conn, shortWait); !isTimeout(err) {
				t.Fatalf("read on a stalled link: %v", err)
			}
			if !c.reaches && server.lines.Load() != 1 {
				t.Fatal("the request reached the server")
			}
			relay.Heal()
			if err := receive(conn, waitTimeout); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func TestRelayDropsAnswersOnly(t *testing.T) {
	server, relay := setUp(t)
	conn := dial(t, relay)
	relay.Set(Fault{DropFromTarget: true})
	send(t, conn)
	eventually(t, func() bool { return server.lines.Load() == 1 && lostData(relay) })
	relay.Heal()
	if err := receive(conn, waitTimeout); err == nil || isTimeout(err) {
		t.Fatalf("read on a connection that lost data: %v", err)
	}
	eventually(t, func() bool { return relay.Connections() == 0 })
}
