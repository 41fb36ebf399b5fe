package intake

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestHeaderScanFindsTheEnd reads headers in pieces of any size.
func TestHeaderScanFindsTheEnd(t *testing.T) {
	for _, header := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\nHost: x\n\n",
		"\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nX: \r\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
	} {
		rapid.Check(t, func(t *rapid.T) {
			rest := header + "body\r\n\r\nmore\n\n"
			var s headerScan
			found := 0
			for len(rest) > 0 {
				n := rapid.IntRange(1, len(rest)).Draw(t, "read")
				found += s.of([]byte(rest[:n]))
				rest = rest[n:]
			}
			if found != len(header) {
				t.Fatalf("the header of %q has %d bytes, found %d", header, len(header), found)
			}
		})
	}
}

// TestBodyReadWithTheHeaderCountsAsBody guards against requests whose body is charged as
// header: it comes with the header, or behind one that was read with the request before.
func TestBodyReadWithTheHeaderCountsAsBody(t *testing.T) {
	g := NewGuard(Limits{Bytes: 1 << 20, Connections: 2}, func(Cause, string, string) {})
	server := new(http.Server)
	g.Attach(server)
	ours, theirs := net.Pipe()
	defer func() { _, _ = ours.Close(), theirs.Close() }()
	c := g.take(ours)
	const header, body = "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 3000
	g.charge(c, []byte(header+strings.Repeat("x", body)))
	want := int64(len(header)*headerCost + body)
	if bytes, _ := g.Held(); bytes != want {
		t.Errorf("%d bytes are charged, want %d", bytes, want)
	}
	server.ConnState(c, http.StateIdle)
	c.Admitted("")
	g.charge(c, []byte(strings.Repeat("x", body)))
	if bytes, _ := g.Held(); bytes != body {
		t.Errorf("%d bytes are charged for a body, want %d", bytes, body)
	}
}
