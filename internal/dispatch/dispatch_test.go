package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gopkg.in/tomb.v2"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// offsetClock is the system clock with an offset, so that the clocks of two
// daemons differ.
type offsetClock struct {
	clock.Clock
	by time.Duration
}

func (s offsetClock) Now() time.Duration { return s.Clock.Now() + s.by }

// fakeEndpoints counts the orders that it executes.
type fakeEndpoints struct {
	starts atomic.Int64
	// silent makes orders go unanswered. blocked makes start orders wait until
	// the channel is closed.
	silent  atomic.Bool
	blocked atomic.Pointer[chan struct{}]
	epoch   atomic.Int64
}

func (e *fakeEndpoints) outcome(epoch int64) controller.Outcome {
	e.epoch.Store(epoch)
	if e.silent.Load() {
		return controller.Outcome{Fate: controller.FateUnanswered, Detail: "no answer"}
	}
	return controller.Outcome{Fate: controller.FateDone, Reading: fleet.ClockReading{Sent: 1, Received: 2, Clock: time.Hour}}
}

func (e *fakeEndpoints) Start(_ context.Context, epoch int64, _ *controller.StartOrder) controller.Outcome {
	e.starts.Add(1)
	if blocked := e.blocked.Load(); blocked != nil {
		<-*blocked
	}
	return e.outcome(epoch)
}

func (e *fakeEndpoints) Stop(_ context.Context, epoch int64, _ *controller.StopOrder) controller.Outcome {
	return e.outcome(epoch)
}

func (e *fakeEndpoints) Pace(_ context.Context, epoch int64, _ *controller.PaceOrder) controller.Outcome {
	return e.outcome(epoch)
}

func (e *fakeEndpoints) Hold(_ context.Context, epoch int64, o *controller.HoldOrder) (controller.Report, controller.Outcome) {
	time.Sleep(o.Wait)
	return controller.Report{Incarnation: 5}, e.outcome(epoch)
}

// Ask implements eligibility.Asker.
func (e *fakeEndpoints) Ask(_ context.Context, step string, ids []string) (controller.EligibilityAnswer, error) {
	if e.silent.Load() {
		return controller.EligibilityAnswer{}, errors.New("no answer")
	}
	return controller.EligibilityAnswer{Permits: map[string]string{ids[0]: step}, Valid: time.Second}, nil
}

// fakeDaemon is a sender that is called without a network.
type fakeDaemon struct {
	*fakeEndpoints
	sender  *Sender
	leaving atomic.Bool
	// down makes the daemon refuse connections. lossy makes it execute orders
	// and lose the responses.
	down  atomic.Bool
	lossy atomic.Bool
	// delay is how long orders are in flight to the daemon.
	delay atomic.Int64
	calls atomic.Int64
}

var errNetwork = errors.New("the network is down")

func newDaemon() *fakeDaemon {
	d := &fakeDaemon{fakeEndpoints: &fakeEndpoints{}}
	d.sender = NewSender(offsetClock{clock.System(), 1000 * time.Hour}, d.fakeEndpoints, d.fakeEndpoints, d.leaving.Load)
	return d
}

func (d *fakeDaemon) OpenSession(_ context.Context, epoch int64) (string, time.Duration, error) {
	if d.down.Load() {
		return "", 0, errNetwork
	}
	return d.sender.OpenSession(epoch)
}

func (d *fakeDaemon) Exchange(ctx context.Context, session string, freshUntil time.Duration, orders []Order) (ExchangeResponse, bool, error) {
	if d.down.Load() {
		return ExchangeResponse{}, false, errNetwork
	}
	d.calls.Add(1)
	time.Sleep(time.Duration(d.delay.Load()))
	answer, err := d.sender.Exchange(ctx, session, freshUntil, orders)
	if err != nil {
		return ExchangeResponse{}, false, err
	}
	if d.lossy.Load() {
		return ExchangeResponse{}, true, errNetwork
	}
	return answer, true, nil
}

// testCell is a holder with other daemons.
type testCell struct {
	*Dispatcher
	own     *fakeEndpoints
	daemons map[string]*fakeDaemon
	tomb    *tomb.Tomb
}

// newCell returns a holder in zone z1 with daemons, given as a map from name to
// zone, and endpoints in each of the zones.
func newCell(t *testing.T, daemons map[string]string, endpointsByZone map[string]int) *testCell {
	t.Helper()
	c := &testCell{own: &fakeEndpoints{}, daemons: make(map[string]*fakeDaemon), tomb: new(tomb.Tomb)}
	self := leadership.Member{Name: "holder", AvailabilityZone: "z1", Region: "g1", Processors: 0.1}
	members := []leadership.Member{self}
	for name, zone := range daemons {
		c.daemons[name] = newDaemon()
		members = append(members, leadership.Member{Name: name, AvailabilityZone: zone, Region: "g" + zone[1:], Processors: 0.1})
	}
	c.Dispatcher = New(c.tomb, Options{
		Epoch:  7,
		Self:   self,
		Clock:  clock.System(),
		Direct: c.own,
		Peer:   func(m leadership.Member) Peer { return c.daemons[m.Name] },
		Logger: slog.New(slog.DiscardHandler),
	})
	c.SetMembers(members)
	for zone, n := range endpointsByZone {
		for i := range n {
			c.EndpointListed(fleet.Registration{ID: fmt.Sprintf("%s-%d", zone, i), AvailabilityZone: zone})
		}
	}
	// The tomb runs until the test ends, as that of a term does until the term ends.
	c.tomb.Go(func() error { <-c.tomb.Dying(); return nil })
	t.Cleanup(func() {
		c.tomb.Kill(nil)
		_ = c.tomb.Wait()
	})
	return c
}

func (c *testCell) start(endpoint string) controller.Outcome {
	ctx := c.tomb.Context(context.Background())
	return c.Start(ctx, 7, &controller.StartOrder{Target: controller.Target{ID: endpoint}})
}

// targetEndpoints is the number of endpoints of a zone to which startMany gives
// orders.
const targetEndpoints = 10

// startMany gives n orders to each of ten endpoints concurrently and counts the
// fates.
func (c *testCell) startMany(zone string, n int) map[controller.Fate]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	fates := make(map[controller.Fate]int)
	for i := range targetEndpoints * n {
		all.Go(func() {
			out := c.start(fmt.Sprintf("%s-%d", zone, i%targetEndpoints))
			mu.Lock()
			defer mu.Unlock()
			fates[out.Fate]++
		})
	}
	all.Wait()
	return fates
}

func TestSmallFleetIsServedByTheHolder(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 16})
	if out := c.start("z1-0"); out.Fate != controller.FateDone || c.own.starts.Load() != 1 {
		t.Errorf("outcome %+v, %d orders sent by the holder", out, c.own.starts.Load())
	}
}

func TestOrdersGoToTheZoneOfTheirEndpoint(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20, "z2": 20})
	for zone, name := range map[string]string{"z1": "a", "z2": "b"} {
		if fates := c.startMany(zone, 5); fates[controller.FateDone] != 50 {
			t.Errorf("zone %s: fates %v", zone, fates)
		}
		d := c.daemons[name]
		if got := d.starts.Load(); got != 50 {
			t.Errorf("%s sent %d orders, want 50", name, got)
		}
		if epoch := d.epoch.Load(); epoch != 7 {
			t.Errorf("%s sent under epoch %d, want 7", name, epoch)
		}
		// A separate call for each order would make 50 calls or more.
		if calls := d.calls.Load(); calls > 25 {
			t.Errorf("%s received 50 orders and returned their results in %d calls, want at most 25", name, calls)
		}
	}
	if n := c.own.starts.Load(); n != 0 {
		t.Errorf("the holder sent %d orders, want 0", n)
	}
}

func TestReadingIsOnTheHoldersClock(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	before := clock.System().Now()
	out := c.start("z1-0")
	r := out.Reading
	if r.Clock != time.Hour || r.Sent < before || r.Received < r.Sent || r.Received > clock.System().Now() {
		t.Errorf("reading %+v, the order was submitted at %s", r, before)
	}
}

func TestOrdersOfALostSenderAreUnanswered(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	c.daemons["a"].lossy.Store(true)
	if fates := c.startMany("z1", 1); fates[controller.FateUnanswered] != 10 {
		t.Errorf("fates %v, want all unanswered because their results are lost", fates)
	}
	// Without a sender the holder sends the orders itself.
	if out := c.start("z1-0"); out.Fate != controller.FateDone || c.own.starts.Load() == 0 {
		t.Errorf("outcome %+v, %d orders sent by the holder", out, c.own.starts.Load())
	}
}

func TestOrdersThatReachNoSenderAreNotSent(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20})
	c.daemons["a"].down.Store(true)
	// Orders submitted before the failure is noticed are not sent; the others
	// go to a daemon further away.
	first := c.startMany("z1", 1)
	if first[controller.FateNotSent] == 0 || first[controller.FateNotSent]+first[controller.FateDone] != 10 {
		t.Errorf("fates %v", first)
	}
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != 10 {
		t.Errorf("fates %v", fates)
	}
	if n := int(c.daemons["b"].starts.Load()); n != 10+first[controller.FateDone] {
		t.Errorf("b sent %d orders", n)
	}
}

func TestExpiredOrderIsNotExecuted(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	d := c.daemons["a"]
	d.delay.Store(int64(maxOrderAge + 200*time.Millisecond))
	sent := d.starts.Load()
	if out := c.start("z1-0"); out.Fate == controller.FateDone {
		t.Errorf("outcome %+v", out)
	}
	time.Sleep(maxOrderAge + 400*time.Millisecond)
	if n := d.starts.Load() - sent; n != 0 {
		t.Errorf("%d orders were executed after %s in flight", n, time.Duration(d.delay.Load()))
	}
}

func TestSenderThatReachesNoEndpointIsReplaced(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20})
	c.daemons["a"].silent.Store(true)
	for range 2 {
		c.startMany("z1", 1)
	}
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != 10 {
		t.Errorf("fates %v", fates)
	}
}

func TestLeavingSenderGetsNoFurtherOrders(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20})
	c.start("z1-0")
	d := c.daemons["a"]
	d.leaving.Store(true)
	if out := c.start("z1-0"); out.Fate != controller.FateDone {
		t.Errorf("outcome of the order whose response shows that the sender is leaving: %+v", out)
	}
	sent := d.starts.Load()
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != 10 {
		t.Errorf("fates %v", fates)
	}
	if n := d.starts.Load(); n != sent {
		t.Errorf("the leaving sender got %d further orders", n-sent)
	}
}

func TestSenderServesNoLowerEpoch(t *testing.T) {
	d := newDaemon()
	old, _, err := d.sender.OpenSession(7)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := d.sender.OpenSession(8); err != nil {
		t.Fatal(err)
	}
	if _, _, err := d.sender.OpenSession(7); !errors.Is(err, ErrNoSession) {
		t.Errorf("opening a session of a lower epoch: %v", err)
	}
	if _, err := d.sender.Exchange(context.Background(), old, time.Hour*2000, []Order{{Number: 1, Start: &controller.StartOrder{}}}); !errors.Is(err, ErrNoSession) {
		t.Errorf("a call of a session of a lower epoch: %v", err)
	}
	if n := d.starts.Load(); n != 0 {
		t.Errorf("%d orders of a lower epoch were executed", n)
	}
}

func TestQuestionGoesThroughASession(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), time.Second)
	defer cancel()
	if _, ok, _ := c.Ask(ctx, "a", "s", []string{"z1-0"}); ok {
		t.Error("a question was asked through a session that is not open")
	}
	c.start("z1-0")
	answer, ok, err := c.Ask(ctx, "a", "s", []string{"z1-0"})
	if !ok || err != nil || answer.Permits["z1-0"] != "s" {
		t.Errorf("answer %+v, ok %t, error %v", answer, ok, err)
	}
	c.daemons["a"].silent.Store(true)
	if _, ok, err := c.Ask(ctx, "a", "s", []string{"z1-0"}); !ok || err == nil {
		t.Errorf("a question without an answer: ok %t, error %v", ok, err)
	}
}

func TestOrdersForALostSessionAreNotSent(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	d := c.daemons["a"]
	sent := d.starts.Load()
	d.down.Store(true)
	if out := c.start("z1-0"); out.Fate != controller.FateNotSent || d.starts.Load() != sent {
		t.Errorf("outcome %+v, want not sent because no call reached the sender", out)
	}
}

func TestOrderWithoutAResultIsUnanswered(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	blocked := make(chan struct{})
	defer close(blocked)
	c.daemons["a"].blocked.Store(&blocked)
	done := make(chan controller.Outcome, 1)
	go func() { done <- c.start("z1-0") }()
	select {
	case out := <-done:
		if out.Fate != controller.FateUnanswered {
			t.Errorf("outcome %+v", out)
		}
	case <-time.After(5 * resultGrace):
		t.Error("the order has no outcome")
	}
}

func TestFailedQuestionsDoNotEndSession(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	c.daemons["a"].silent.Store(true)
	ctx := c.tomb.Context(context.Background())
	for range maxConsecutiveFailures + 1 {
		if _, ok, err := c.Ask(ctx, "a", "s", []string{"z1-0"}); !ok || err == nil {
			t.Fatalf("ok %t, error %v", ok, err)
		}
	}
}

func TestWeakDaemonSendsNothing(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20})
	members := []leadership.Member{
		{Name: "a", AvailabilityZone: "z1", Region: "g1", Processors: 0.1},
		{Name: "b", AvailabilityZone: "z2", Region: "g2", Processors: 0.4},
	}
	c.SetMembers(members)
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != targetEndpoints {
		t.Errorf("fates %v", fates)
	}
	if weak, strong := c.daemons["a"].starts.Load(), c.daemons["b"].starts.Load(); weak != 0 || strong != targetEndpoints {
		t.Errorf("%d orders sent by the weak daemon, %d by the strong one", weak, strong)
	}
}

func TestUnlistedEndpointsNeedNoSender(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	for i := 10; i < 20; i++ {
		c.EndpointUnlisted(fmt.Sprintf("z1-%d", i))
		c.EndpointUnlisted(fmt.Sprintf("z1-%d", i))
	}
	c.start("z1-0")
	if n := c.own.starts.Load(); n != 1 {
		t.Errorf("the holder sent %d orders, want 1 because it can serve ten endpoints", n)
	}
	if n := c.endpointsInZone["z1"]; n != 10 {
		t.Errorf("%d endpoints are counted in the zone, want 10", n)
	}
}

func TestSessionWithARemovedDaemonEnds(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	s := c.sessions["a"]
	c.SetMembers(nil)
	for deadline := time.Now().Add(5 * pollTimeout); s.acceptsOrders() || !s.ended(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the session has not ended")
		}
	}
}

func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
