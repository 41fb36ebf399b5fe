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

// blockedHolder holds the cell and answers no caller's request until release is
// closed.
type blockedHolder struct {
	Holder
	calls   atomic.Int64
	release chan struct{}
}

func (h *blockedHolder) Waiting(context.Context, string) (int, error) {
	h.calls.Add(1)
	<-h.release
	return 0, nil
}

// daemon is a LocalDaemon on which holder runs.
type daemon struct{ holder Holder }

func (d daemon) Heartbeat(name, incarnation string) leadership.HeartbeatResponse {
	return leadership.HeartbeatResponse{Incarnation: "answers " + name + "/" + incarnation, Epoch: 7}
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

// TestControlCallsPassBlockedRequests checks that heartbeats, handovers and the
// calls of sessions are answered while blocked requests use up the connections
// for callers' requests.
func TestControlCallsPassBlockedRequests(t *testing.T) {
	holder := &blockedHolder{release: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(daemon{holder}))
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	clients := NewClients(nil)
	defer clients.Close()

	const requests = requestConnections + 8
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan error, requests)
	for range requests {
		go func() {
			_, err := clients.To(address).Waiting(ctx, "queue")
			done <- err
		}()
	}
	for holder.calls.Load() < requestConnections && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	shortCtx, cancelShort := context.WithTimeout(ctx, time.Second)
	defer cancelShort()
	self := leadership.Member{Name: "caller", Incarnation: "x"}
	if b, _, err := clients.Heartbeat(shortCtx, address, self); err != nil || b.Epoch != 7 || b.Incarnation != "answers caller/x" {
		t.Errorf("a heartbeat beside %d requests: %+v, %v", requests, b, err)
	}
	if claim, err := clients.To(address).TakeOver(shortCtx, 7); err != nil || claim.Epoch != 8 {
		t.Errorf("a handover beside %d requests: epoch %d, %v", requests, claim.Epoch, err)
	}
	if session, _, err := clients.To(address).OpenSession(shortCtx, 7); err != nil || session == "" {
		t.Errorf("a session beside %d requests: %v", requests, err)
	}
	if _, _, err := clients.To(address).Exchange(shortCtx, "none", 0, nil); !errors.Is(err, ErrNotHolder) {
		t.Errorf("orders beside %d requests: %v", requests, err)
	}
	close(holder.release)
	for range requests {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
