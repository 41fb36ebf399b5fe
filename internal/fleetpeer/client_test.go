package fleetpeer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/dispatch"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/pkg/errors"
)

// stuckHolder holds the cell and answers no caller's request until release.
type stuckHolder struct {
	Holder
	asked   atomic.Int64
	release chan struct{}
}

func (h *stuckHolder) Waiting(context.Context, string) (int, error) {
	h.asked.Add(1)
	<-h.release
	return 0, nil
}

// daemon is a daemon on which a holder's term runs.
type daemon struct{ holder Holder }

func (d daemon) Heartbeat() leadership.HeartbeatResponse {
	return leadership.HeartbeatResponse{Epoch: 7}
}

func (d daemon) TakeOver(context.Context, int64) (leadership.Claim, error) {
	return leadership.Claim{Epoch: 8}, nil
}

func (d daemon) Holder() Holder { return d.holder }

func (d daemon) Ask(context.Context, string, []string) (controller.EligibilityAnswer, error) {
	return controller.EligibilityAnswer{}, nil
}

func (d daemon) Sender() *dispatch.Sender {
	return dispatch.NewSender(clock.System(), nil, nil, func() bool { return false })
}

// TestHeartbeatWaitsBehindRequests uses up the connections for callers' work:
// a heartbeat and a hand-over are answered nevertheless.
func TestHeartbeatWaitsBehindRequests(t *testing.T) {
	holder := &stuckHolder{release: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(daemon{holder}))
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	clients := NewClients(nil)
	defer clients.Close()

	const requests = maxConnections + 8
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan error, requests)
	for range requests {
		go func() {
			_, err := clients.To(address).Waiting(ctx, "queue")
			done <- err
		}()
	}
	for holder.asked.Load() < maxConnections && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	soon, cancelSoon := context.WithTimeout(ctx, time.Second)
	defer cancelSoon()
	if b, _, err := clients.Heartbeat(soon, address); err != nil || b.Epoch != 7 {
		t.Errorf("a heartbeat beside %d requests: epoch %d, %v", requests, b.Epoch, err)
	}
	if claim, err := clients.To(address).TakeOver(soon, 7); err != nil || claim.Epoch != 8 {
		t.Errorf("a hand-over beside %d requests: epoch %d, %v", requests, claim.Epoch, err)
	}
	if session, _, err := clients.To(address).OpenSession(soon, 7); err != nil || session == "" {
		t.Errorf("a session beside %d requests: %v", requests, err)
	}
	if _, _, err := clients.To(address).Exchange(soon, "none", 0, nil); !errors.Is(err, ErrNotHolder) {
		t.Errorf("orders beside %d requests: %v", requests, err)
	}
	close(holder.release)
	for range requests {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
