package endpoint_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// newClient starts an HTTP/2 server without TLS and returns it with a client.
func newClient(t *testing.T, handler http.HandlerFunc) (*endpoint.Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	pool := endpoint.NewPool()
	t.Cleanup(func() {
		pool.Close()
		server.Close()
		goleak.VerifyNone(t)
	})
	address := strings.TrimPrefix(server.URL, "http://")
	return endpoint.NewClient(address, endpoint.WithPool(pool), endpoint.WithTimeout(time.Minute)), server
}

// TestErrors checks the kind of each failure and whether it counts as possibly
// delivered.
func TestErrors(t *testing.T) {
	cases := map[string]struct {
		status    int
		body      string
		kind      endpoint.ErrorKind
		delivered bool
	}{
		"fenced":            {status: endpoint.StatusFenced, body: `{"epoch":7}`, kind: endpoint.KindFenced},
		"fenced, no epoch":  {status: endpoint.StatusFenced, body: `conflict`, kind: endpoint.KindMalformed},
		"not attached":      {status: endpoint.StatusNotAttached, kind: endpoint.KindNotAttached},
		"refused":           {status: http.StatusBadRequest, kind: endpoint.KindRefused},
		"server error":      {status: http.StatusBadGateway, kind: endpoint.KindUnreachable, delivered: true},
		"malformed":         {status: http.StatusOK, body: `{"refused":`, kind: endpoint.KindMalformed, delivered: true},
		"of another type":   {status: http.StatusOK, body: `[]`, kind: endpoint.KindMalformed, delivered: true},
		"over the size cap": {status: http.StatusOK, body: strings.Repeat(" ", endpoint.MaxResponseBytes+1), kind: endpoint.KindMalformed, delivered: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, _ := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				if r.ProtoMajor != 2 {
					t.Errorf("request by %s", r.Proto)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})
			_, err := client.Start(context.Background(), &endpoint.StartRequest{Epoch: 1})
			if endpoint.KindOf(err) != c.kind || endpoint.MaybeDelivered(err) != c.delivered {
				t.Fatalf("error %v", err)
			}
			if epoch, fenced := endpoint.FencedBy(err); fenced && epoch != 7 {
				t.Fatalf("fenced by %d", epoch)
			}
		})
	}
}

func TestAttachRefusesMalformedInventory(t *testing.T) {
	for _, body := range []string{
		`{}`,
		`{"endpoint":"w1","incarnation":"i","capacity":{"slots":-1}}`,
		`{"endpoint":"w1","incarnation":"i","tasks":[{"task":{"id":"a","size":{"memory_mb":-5}}}]}`,
		`{"endpoint":"w1","incarnation":"i","tasks":[{"task":{}}]}`,
	} {
		t.Run(body, func(t *testing.T) {
			client, _ := newClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
			_, err := client.Attach(context.Background(), &endpoint.AttachRequest{Epoch: 1})
			if endpoint.KindOf(err) != endpoint.KindMalformed {
				t.Fatalf("error %v", err)
			}
		})
	}
}

func TestUnreachable(t *testing.T) {
	client, server := newClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := client.Ack(ctx, &endpoint.AckRequest{})
	if endpoint.KindOf(err) != endpoint.KindUnreachable || !endpoint.MaybeDelivered(err) {
		t.Fatalf("timeout: %v", err)
	}
	server.CloseClientConnections()
	server.Close()
	fresh := endpoint.NewPool()
	defer fresh.Close()
	client = endpoint.NewClient(client.Address(), endpoint.WithPool(fresh))
	err = client.Ack(context.Background(), &endpoint.AckRequest{})
	if endpoint.KindOf(err) != endpoint.KindUnreachable || endpoint.MaybeDelivered(err) {
		t.Fatalf("closed port: %v", err)
	}
}
