package endpoint

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellstile/bluebellstile/internal/testrelay"
)

// TestPoolDropsHalfOpenConnection checks that the ping detects a connection that
// was cut without a reset: its commands fail long before their timeout, and the
// next command uses a new connection.
func TestPoolDropsHalfOpenConnection(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	relay, err := testrelay.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	pool := newPool(20*time.Millisecond, 200*time.Millisecond)
	t.Cleanup(func() {
		pool.Close()
		if err := relay.Close(); err != nil {
			t.Error(err)
		}
		server.Close()
		goleak.VerifyNone(t)
	})
	client := NewClient(relay.Addr(), WithPool(pool), WithTimeout(time.Hour))
	if err := client.Ack(context.Background(), &AckRequest{}); err != nil {
		t.Fatal(err)
	}
	relay.Set(testrelay.Blackhole())
	if err := client.Ack(context.Background(), &AckRequest{}); KindOf(err) != KindUnreachable || !MaybeDelivered(err) {
		t.Fatalf("command on a half-open connection: %v", err)
	}
	relay.Heal()
	if err := client.Ack(context.Background(), &AckRequest{}); err != nil {
		t.Fatal(err)
	}
	if sent := pool.commands.Get(PathAck).String(); sent != "3" {
		t.Fatalf("%s commands counted", sent)
	}
}
