package intake

import (
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// TestFramingEndsWithTheConnection plays the load of a customer that has used up its framing:
// a body that waits for more of it ends once its connection is given up.
func TestFramingEndsWithTheConnection(t *testing.T) {
	ends := map[string]func(*Guard, *Conn){
		"overdrawn":              func(g *Guard, c *Conn) { g.cutOff(c.entry, CauseBytes) },
		"closed":                 func(g *Guard, c *Conn) { g.close(c.entry, CauseConnections) },
		"before the wait":        nil,
		"overdrawn, then closed": func(g *Guard, c *Conn) { g.cutOff(c.entry, CauseBytes); g.close(c.entry, CauseStop) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(Limits{Bytes: 1 << 20, Connections: 2, AnswerTimeout: time.Minute}, func(Cause, string, string) {})
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			c := g.take(near)
			f := NewFraming(1)
			// A day's framing is taken.
			for range 24 * 60 * 60 / framingBurst {
				f.limiter("c").ReserveN(time.Now(), framingBurst)
			}
			body := f.Body(t.Context(), strings.NewReader("x"), c, "c")
			c.received.Add(100)
			if end == nil {
				g.mu.Lock()
				g.cutOff(c.entry, CauseBytes)
				g.unlock()
			}
			read := make(chan error)
			go func() {
				_, err := body.Read(make([]byte, 1))
				read <- err
			}()
			if end != nil {
				time.Sleep(10 * time.Millisecond)
				g.mu.Lock()
				end(g, c)
				g.unlock()
			}
			select {
			case err := <-read:
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the body ends with %v", err)
				}
			case <-time.After(time.Minute):
				t.Error("the body still waits")
			}
		})
	}
}
