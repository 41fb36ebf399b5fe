package intake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestGuardedServerAnswersBesideACrowd plays the load of many clients that stop
// short of the end of their bodies, more of them than there is room for, on a
// server whose handler knows nothing of the guard.
func TestGuardedServerAnswersBesideACrowd(t *testing.T) {
	const clients, connections, body = 60, 20, 10_000
	limits := Limits{Bytes: 8 * body, Connections: connections, AnswerTimeout: time.Minute}
	g := NewGuard(limits, func(Cause, string, string) {})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))}
	g.Attach(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	for range clients {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		// The server may have closed it already.
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n"+strings.Repeat("x", body-100))
		if bytes, n := g.Held(); bytes > limits.Bytes || n > limits.Connections {
			t.Fatalf("%d bytes and %d connections are held, at most %+v are allowed", bytes, n, limits)
		}
	}
	response, err := http.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", body)))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("an ordinary request is answered with %d", response.StatusCode)
	}
}
