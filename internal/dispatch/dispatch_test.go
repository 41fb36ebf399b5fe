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

// skewed is the system's clock with another origin.
type skewed struct {
	clock.Clock
	by time.Duration
}

func (s skewed) Now() time.Duration { return s.Clock.Now() + s.by }

// endpoints counts the orders that it carries out.
type endpoints struct {
	starts atomic.Int64
	// silent orders get no answer; stuck ones end with the test.
	silent atomic.Bool
	stuck  atomic.Pointer[chan struct{}]
	epoch  atomic.Int64
}

func (e *endpoints) outcome(epoch int64) controller.Outcome {
	e.epoch.Store(epoch)
	if e.silent.Load() {
		return controller.Outcome{Fate: controller.FateUnanswered, Detail: "no answer"}
	}
	return controller.Outcome{Fate: controller.FateDone, Reading: fleet.ClockReading{Sent: 1, Received: 2, Clock: time.Hour}}
}

func (e *endpoints) Start(_ context.Context, epoch int64, _ *controller.StartOrder) controller.Outcome {
	e.starts.Add(1)
	if stuck := e.stuck.Load(); stuck != nil {
		<-*stuck
	}
	return e.outcome(epoch)
}

func (e *endpoints) Stop(_ context.Context, epoch int64, _ *controller.StopOrder) controller.Outcome {
	return e.outcome(epoch)
}

func (e *endpoints) Pace(_ context.Context, epoch int64, _ *controller.PaceOrder) controller.Outcome {
	return e.outcome(epoch)
}

func (e *endpoints) Hold(_ context.Context, epoch int64, o *controller.HoldOrder) (controller.Report, controller.Outcome) {
	time.Sleep(o.Wait)
	return controller.Report{Incarnation: 5}, e.outcome(epoch)
}

// Ask implements eligibility.Asker.
func (e *endpoints) Ask(_ context.Context, step string, ids []string) (controller.EligibilityAnswer, error) {
	if e.silent.Load() {
		return controller.EligibilityAnswer{}, errors.New("no answer")
	}
	return controller.EligibilityAnswer{Permits: map[string]string{ids[0]: step}, Valid: time.Second}, nil
}

// daemon is a sender that is reached without a network.
type daemon struct {
	*endpoints
	sender  *Sender
	leaving atomic.Bool
	// down daemons refuse connections; lossy ones carry out what they get, and
	// their answers are lost.
	down  atomic.Bool
	lossy atomic.Bool
	// delay is how long orders are under way to it.
	delay atomic.Int64
	calls atomic.Int64
}

var errNetwork = errors.New("the network is down")

func newDaemon() *daemon {
	d := &daemon{endpoints: &endpoints{}}
	d.sender = NewSender(skewed{clock.System(), 1000 * time.Hour}, d.endpoints, d.endpoints, d.leaving.Load)
	return d
}

func (d *daemon) OpenSession(_ context.Context, epoch int64) (string, time.Duration, error) {
	if d.down.Load() {
		return "", 0, errNetwork
	}
	return d.sender.OpenSession(epoch)
}

func (d *daemon) Exchange(ctx context.Context, session string, freshUntil time.Duration, orders []Order) (ExchangeResponse, bool, error) {
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

// cell is a holder with other daemons.
type cell struct {
	*Dispatcher
	own     *endpoints
	daemons map[string]*daemon
	tomb    *tomb.Tomb
}

// newCell returns a holder in zone z1 with daemons, given as NAME and zone, and
// endpoints in each of the zones.
func newCell(t *testing.T, daemons map[string]string, endpointsByZone map[string]int) *cell {
	t.Helper()
	c := &cell{own: &endpoints{}, daemons: make(map[string]*daemon), tomb: new(tomb.Tomb)}
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
	// The tomb lives until the test ends, as a term's does.
	c.tomb.Go(func() error { <-c.tomb.Dying(); return nil })
	t.Cleanup(func() {
		c.tomb.Kill(nil)
		_ = c.tomb.Wait()
	})
	return c
}

func (c *cell) start(endpoint string) controller.Outcome {
	ctx := c.tomb.Context(context.Background())
	return c.Start(ctx, 7, &controller.StartOrder{Target: controller.Target{ID: endpoint}})
}

// tenEndpoints is to how many endpoints of a zone startMany gives orders.
const tenEndpoints = 10

// startMany gives n orders to each of ten endpoints at once and counts their
// fates.
func (c *cell) startMany(zone string, n int) map[controller.Fate]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	fates := make(map[controller.Fate]int)
	for i := range tenEndpoints * n {
		all.Go(func() {
			out := c.start(fmt.Sprintf("%s-%d", zone, i%tenEndpoints))
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
		t.Errorf("%+v, %d by the holder", out, c.own.starts.Load())
	}
}

func TestOrdersGoToTheZoneOfTheirEndpoint(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20, "z2": 20})
	for zone, name := range map[string]string{"z1": "a", "z2": "b"} {
		if fates := c.startMany(zone, 5); fates[controller.FateDone] != 50 {
			t.Errorf("%s: %v", zone, fates)
		}
		d := c.daemons[name]
		if got := d.starts.Load(); got != 50 {
			t.Errorf("%s has sent %d orders", name, got)
		}
		if epoch := d.epoch.Load(); epoch != 7 {
			t.Errorf("%s has sent under epoch %d", name, epoch)
		}
		// A call of its own for each order would be 50 and more.
		if calls := d.calls.Load(); calls > 25 {
			t.Errorf("%s got 50 orders and their results in %d calls", name, calls)
		}
	}
	if n := c.own.starts.Load(); n != 0 {
		t.Errorf("the holder has sent %d orders", n)
	}
}

func TestReadingIsOnTheHoldersClock(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	before := clock.System().Now()
	out := c.start("z1-0")
	r := out.Reading
	if r.Clock != time.Hour || r.Sent < before || r.Received < r.Sent || r.Received > clock.System().Now() {
		t.Errorf("reading %+v, given at %s", r, before)
	}
}

func TestOrdersOfALostSenderAreUnanswered(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	c.daemons["a"].lossy.Store(true)
	if fates := c.startMany("z1", 1); fates[controller.FateUnanswered] != 10 {
		t.Errorf("%v, though the sender has carried out all", fates)
	}
	// Without a sender, the holder serves the endpoints.
	if out := c.start("z1-0"); out.Fate != controller.FateDone || c.own.starts.Load() == 0 {
		t.Errorf("%+v, %d by the holder", out, c.own.starts.Load())
	}
}

func TestOrdersThatReachNoSenderAreNotSent(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20})
	c.daemons["a"].down.Store(true)
	// Those given before this is noticed are not sent, the others go to a
	// daemon further away.
	first := c.startMany("z1", 1)
	if first[controller.FateNotSent] == 0 || first[controller.FateNotSent]+first[controller.FateDone] != 10 {
		t.Errorf("%v", first)
	}
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != 10 {
		t.Errorf("%v", fates)
	}
	if n := int(c.daemons["b"].starts.Load()); n != 10+first[controller.FateDone] {
		t.Errorf("b has sent %d orders", n)
	}
}

func TestOldOrderIsNotCarriedOut(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	d := c.daemons["a"]
	d.delay.Store(int64(freshFor + 200*time.Millisecond))
	sent := d.starts.Load()
	if out := c.start("z1-0"); out.Fate == controller.FateDone {
		t.Errorf("%+v", out)
	}
	time.Sleep(freshFor + 400*time.Millisecond)
	if n := d.starts.Load() - sent; n != 0 {
		t.Errorf("%d orders were carried out that were %s under way", n, time.Duration(d.delay.Load()))
	}
}

func TestSenderThatReachesNoEndpointIsReplaced(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20})
	c.daemons["a"].silent.Store(true)
	for range 2 {
		c.startMany("z1", 1)
	}
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != 10 {
		t.Errorf("%v", fates)
	}
}

func TestLeavingSenderGetsNoFurtherOrders(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1", "b": "z2"}, map[string]int{"z1": 20})
	c.start("z1-0")
	d := c.daemons["a"]
	d.leaving.Store(true)
	if out := c.start("z1-0"); out.Fate != controller.FateDone {
		t.Errorf("the order by which it is noticed: %+v", out)
	}
	sent := d.starts.Load()
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != 10 {
		t.Errorf("%v", fates)
	}
	if n := d.starts.Load(); n != sent {
		t.Errorf("%d further orders", n-sent)
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
		t.Errorf("a lower epoch: %v", err)
	}
	if _, err := d.sender.Exchange(context.Background(), old, time.Hour*2000, []Order{{Number: 1, Start: &controller.StartOrder{}}}); !errors.Is(err, ErrNoSession) {
		t.Errorf("a session of a lower epoch: %v", err)
	}
	if n := d.starts.Load(); n != 0 {
		t.Errorf("%d orders of a lower epoch were carried out", n)
	}
}

func TestQuestionGoesThroughASession(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), time.Second)
	defer cancel()
	if _, ok, _ := c.Ask(ctx, "a", "s", []string{"z1-0"}); ok {
		t.Error("a question was put through a session that is not open")
	}
	c.start("z1-0")
	answer, ok, err := c.Ask(ctx, "a", "s", []string{"z1-0"})
	if !ok || err != nil || answer.Permits["z1-0"] != "s" {
		t.Errorf("%+v %t %v", answer, ok, err)
	}
	c.daemons["a"].silent.Store(true)
	if _, ok, err := c.Ask(ctx, "a", "s", []string{"z1-0"}); !ok || err == nil {
		t.Errorf("a question without an answer: %t %v", ok, err)
	}
}

func TestOrdersForALostSessionAreNotSent(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	d := c.daemons["a"]
	sent := d.starts.Load()
	d.down.Store(true)
	if out := c.start("z1-0"); out.Fate != controller.FateNotSent || d.starts.Load() != sent {
		t.Errorf("%+v, though no call has reached the sender", out)
	}
}

func TestOrderWithoutAResultIsUnanswered(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	stuck := make(chan struct{})
	defer close(stuck)
	c.daemons["a"].stuck.Store(&stuck)
	done := make(chan controller.Outcome, 1)
	go func() { done <- c.start("z1-0") }()
	select {
	case out := <-done:
		if out.Fate != controller.FateUnanswered {
			t.Errorf("%+v", out)
		}
	case <-time.After(5 * orderAllowance):
		t.Error("the holder waits for ever")
	}
}

func TestFailedQuestionsEndNoSession(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	c.daemons["a"].silent.Store(true)
	ctx := c.tomb.Context(context.Background())
	for range mostFailed + 1 {
		if _, ok, err := c.Ask(ctx, "a", "s", []string{"z1-0"}); !ok || err == nil {
			t.Fatalf("ok %t, %v", ok, err)
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
	if fates := c.startMany("z1", 1); fates[controller.FateDone] != tenEndpoints {
		t.Errorf("%v", fates)
	}
	if weak, strong := c.daemons["a"].starts.Load(), c.daemons["b"].starts.Load(); weak != 0 || strong != tenEndpoints {
		t.Errorf("%d orders by the weak daemon, %d by the strong one", weak, strong)
	}
}

func TestEndpointsThatHaveLeftNeedNoSender(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	for i := 10; i < 20; i++ {
		c.EndpointUnlisted(fmt.Sprintf("z1-%d", i))
		c.EndpointUnlisted(fmt.Sprintf("z1-%d", i))
	}
	c.start("z1-0")
	if n := c.own.starts.Load(); n != 1 {
		t.Errorf("the holder has sent %d orders, though it can serve ten endpoints", n)
	}
	if n := c.listed["z1"]; n != 10 {
		t.Errorf("%d endpoints are counted", n)
	}
}

func TestSessionWithARemovedDaemonEnds(t *testing.T) {
	c := newCell(t, map[string]string{"a": "z1"}, map[string]int{"z1": 20})
	c.start("z1-0")
	s := c.sessions["a"]
	c.SetMembers(nil)
	for deadline := time.Now().Add(5 * answerWait); s.takes() || !s.ended(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("it goes on")
		}
	}
}

func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
