package server

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/api"
)

// TestStopWithUnfinishedRequests stops the daemons, as every test of a cell does, while
// clients hold requests open that never end: they must not keep a daemon from ending in
// order. What was admitted is refused as not run, and may come again.
func TestStopWithUnfinishedRequests(t *testing.T) {
	var open, admitted []net.Conn
	t.Cleanup(func() {
		for _, c := range admitted {
			text, _ := io.ReadAll(c)
			for _, want := range []string{"503 Service Unavailable", `"overloaded"`, `"not run"`, "Retry-After"} {
				if !strings.Contains(string(text), want) {
					t.Errorf("the answer to an unfinished request lacks %s: %s", want, text)
				}
			}
		}
		for _, c := range open {
			_ = c.Close()
		}
	})
	c := startCell(t)
	const body = "\r\nContent-Length: 100\r\n\r\nshort"
	submission := "POST /v1/queues/labels/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + inkSecret + "\r\n" + api.HeaderCommand + ": echo" + body
	for _, text := range []string{"", "POST / HTTP/1.1\r\nHost: ", submission} {
		for _, d := range c.daemons {
			address, _, _ := d.Addresses()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, conn)
			if text == submission {
				admitted = append(admitted, conn)
			}
			if _, err := io.WriteString(conn, text); err != nil {
				t.Fatal(err)
			}
		}
	}
}
