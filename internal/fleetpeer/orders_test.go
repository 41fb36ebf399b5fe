package fleetpeer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/dispatch"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	fleetv1 "github.com/bluebellstile/bluebellstile/internal/gen/fleet/v1"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

func testKey(t *testing.T) fleet.Key {
	t.Helper()
	task, ok := workload.ParseTaskID("5c0e7a21d94b36f8.0.1.17")
	if !ok {
		t.Fatal("no task")
	}
	return fleet.Key{Task: task, Number: 3}
}

func TestOrdersRoundTrip(t *testing.T) {
	key := testKey(t)
	target := controller.Target{ID: "e", Incarnation: 12, Address: "10.0.0.1:80"}
	for _, o := range []dispatch.Order{
		{Number: 1, Start: &controller.StartOrder{Target: target, Key: key, Payload: "x", Checkpoint: "c", Permit: "p", Deadline: 3 * time.Second}},
		{Number: 2, Stop: &controller.StopOrder{Target: target, Key: key}},
		{Number: 3, Pace: &controller.PaceOrder{Target: target, Key: key, Percent: 40}},
		{Number: 4, Hold: &controller.HoldOrder{Target: target, Deadline: time.Second, Acked: 57, Wait: time.Millisecond}},
		{Number: 5, Ask: &dispatch.Question{Step: "s", Endpoints: []string{"e", "f"}, Wait: time.Second}},
	} {
		got, err := orderFromWire(orderToWire(&o))
		if err != nil || !reflect.DeepEqual(got, o) {
			t.Errorf("%+v became %+v, %v", o, got, err)
		}
	}
}

func TestOrderOfUnknownKindIsRejected(t *testing.T) {
	for _, o := range []*fleetv1.Order{
		{Number: 1},
		{Number: 2, Order: &fleetv1.Order_Stop{Stop: &fleetv1.RunKey{Task: "none"}}},
		{Number: 3, Order: &fleetv1.Order_Start{Start: &fleetv1.StartOrder{}}},
	} {
		if got, err := orderFromWire(o); err == nil {
			t.Errorf("order %d was read as %+v", o.Number, got)
		}
	}
}

func TestResultsRoundTrip(t *testing.T) {
	key := testKey(t)
	for _, r := range []dispatch.Result{
		{Number: 1, Outcome: controller.Outcome{
			Fate: controller.FateRefused, Reason: controller.ReasonPermit, Detail: "d",
			Reading: fleet.ClockReading{Clock: time.Hour}, Connecting: time.Millisecond, Took: time.Second,
		}},
		{Number: 2, Report: controller.Report{
			Incarnation: 9, Partial: true, Draining: true, Remaining: time.Second,
			Running: []controller.RunningRow{{Key: key, Checkpoint: "c", Progress: 0.5, Load: 7}},
			Ended:   []controller.EndedRow{{Number: 4, Key: key, End: workload.EndAlone, Checkpoint: "c"}},
		}},
		{Number: 3, Answer: controller.EligibilityAnswer{Permits: map[string]string{"e": "token"}, Valid: time.Second}},
	} {
		got, err := resultFromWire(resultToWire(&r))
		if err != nil || !reflect.DeepEqual(got, r) {
			t.Errorf("%+v became %+v, %v", r, got, err)
		}
	}
}

// TestFailedExchangeReportsWhetherSent checks that a failed exchange reports
// whether the call may have reached the sender, since the sender may then have
// executed the orders.
func TestFailedExchangeReportsWhetherSent(t *testing.T) {
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	closeConn := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = conn.Close()
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(daemon{}))
	clients := NewClients(nil)
	defer clients.Close()
	for name, c := range map[string]struct {
		address string
		sent    bool
	}{
		"nothing listens":       {closedAddress, false},
		"no such session":       {serve(mux), false},
		"cut without an answer": {serve(closeConn), true},
		"a malformed answer":    {serve(http.NotFoundHandler()), true},
	} {
		_, sent, err := clients.To(c.address).Exchange(context.Background(), "none", time.Hour, []dispatch.Order{{Number: 1, Hold: &controller.HoldOrder{}}})
		if err == nil || sent != c.sent {
			t.Errorf("%s: sent %t, %v", name, sent, err)
		}
	}
}
