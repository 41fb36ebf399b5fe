package holder

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/standin"
	"github.com/bluebellstile/bluebellstile/operator"
)

const (
	zoneName      = "z"
	redTeam       = "red"
	blueTeam      = "blue"
	queueName     = "work"
	testLease     = 2 * time.Second
	testHeartbeat = 400 * time.Millisecond
	// frontDoorRetryDelay is the pause between two attempts of a front door.
	frontDoorRetryDelay = 50 * time.Millisecond
)

// testQueue is the queue of all work.
func testQueue() operator.Queue {
	return operator.Queue{Name: queueName, Class: operator.ClassService, MaxWaiting: 100, RetryBudget: 1, Preemptible: true}
}

// testConfig is the configuration of a cell of one zone.
func testConfig() *operator.Config {
	return &operator.Config{
		Zones:  []operator.Zone{{Name: zoneName, Region: "r"}},
		Teams:  []operator.Team{{Name: redTeam, Share: 2, UpperLimit: 3}, {Name: blueTeam, Share: 1, UpperLimit: 2}},
		Queues: []operator.Queue{testQueue()},
	}
}

// testZone is one zone without sockets: a log, endpoints and the daemons that hold the zone in
// turn. It runs in a synctest bubble.
type testZone struct {
	t         *testing.T
	log       *memoryLog
	events    *eventLog
	writer    *history.Writer
	endpoints map[string]*testEndpoint
	list      fixedLister
	// maxWaiting is the bound on waiting requests.
	maxWaiting int
	// keepAppendRule keeps the log's append rule when the faults are cleared.
	keepAppendRule bool

	mu      sync.Mutex
	daemons []*daemon
	tomb    tomb.Tomb
	// callers are the goroutines of callers and faults in flight.
	callers sync.WaitGroup
}

// daemon is one daemon: its journal and its term.
type daemon struct {
	name     string
	journal  *journal.Journal
	term     *Term
	tailTomb tomb.Tomb
}

// newTestZone returns a zone with two workers and a runner, a configuration and
// no holder.
func newTestZone(t *testing.T) *testZone {
	t.Helper()
	w := &testZone{t: t, log: newMemoryLog(), events: &eventLog{}, endpoints: map[string]*testEndpoint{}, maxWaiting: 50}
	w.writer = history.NewWriter(w.events)
	w.tomb.Go(func() error { <-w.tomb.Dying(); return nil })
	for _, id := range []string{"w1", "w2"} {
		w.addEndpoint(standin.EndpointOptions{ID: id, Kind: endpoint.KindWorker, Capacity: endpoint.Resources{MilliCores: 2000, MemoryMB: 1000}})
	}
	w.addEndpoint(standin.EndpointOptions{ID: "r1", Kind: endpoint.KindRunner, Capacity: endpoint.Resources{Slots: 2}})
	text, err := operator.Print(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	w.append("config", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text}})
	for _, configured := range testConfig().Teams {
		w.record(history.Event{Kind: history.LimitSet, Team: configured.Name, Limit: configured.UpperLimit})
	}
	return w
}

// addEndpoint starts an endpoint and adds it to the platform's list.
func (w *testZone) addEndpoint(o standin.EndpointOptions) {
	o.AvailabilityZone, o.History, o.PartBytes = zoneName, w.writer, 8
	w.endpoints[o.ID] = newTestEndpoint(o)
	role := loglist.RoleWorker
	if o.Kind == endpoint.KindRunner {
		role = loglist.RoleRunner
	}
	w.list = append(w.list, loglist.Instance{ID: o.ID, Role: role, Address: o.ID, AvailabilityZone: zoneName, State: loglist.StateLive})
}

// append appends a record that no daemon writes.
func (w *testZone) append(id string, e *record.Envelope) uint64 {
	data, err := record.Encode(e)
	if err != nil {
		w.t.Fatal(err)
	}
	return w.log.Log.Append(id, data)
}

// record records a caller's event.
func (w *testZone) record(e history.Event) { _ = w.writer.Write(e) }

// takeOver makes a new daemon claim the zone and start its term. The previous daemon stops
// reading the log, since it would end its term at the claim, and goes on until an endpoint
// shows it the higher epoch.
func (w *testZone) takeOver() *daemon {
	w.mu.Lock()
	n := len(w.daemons) + 1
	w.mu.Unlock()
	d := &daemon{name: fmt.Sprintf("d%d/i", n)}
	d.journal = journal.New(w.log, cell.New(), slog.New(slog.DiscardHandler))
	d.journal.Observe(func(e cell.Effect) {
		if term := w.termOf(d); term != nil {
			term.Observe(e)
		}
	})
	source := []journal.Source{journal.LogSource{Log: w.log}}
	d.tailTomb.Go(func() error { return d.journal.Run(&d.tailTomb, func() []journal.Source { return source }) })
	previous := uint64(0)
	if current := w.current(); current != nil {
		previous = current.term.epoch
		current.tailTomb.Kill(nil)
		_ = current.tailTomb.Wait()
	}
	epoch := w.append("claim-"+d.name, &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: zoneName, Holder: d.name, Address: d.name, Previous: previous}})
	w.waitUntil(func() bool { return d.journal.State().Applied() >= epoch })
	claim, _ := d.journal.State().Claim(zoneName)
	if claim.Epoch != epoch {
		w.t.Errorf("claim at %d is void", epoch)
	}
	directory := membership.NewDirectory(w.list, "z", slog.New(slog.DiscardHandler))
	w.tomb.Go(func() error { return directory.Run(&w.tomb) })
	term := NewTerm(Settings{AvailabilityZone: zoneName, Holder: d.name, Lease: testLease, Heartbeat: testHeartbeat}, Dependencies{
		Journal:         d.journal,
		Directory:       directory,
		Dial:            func(address string) EndpointClient { return w.endpoints[address] },
		Authorize:       func(string, string, string) *problem.Problem { return nil },
		RequestTransfer: func(context.Context, string, string, int64) (int64, error) { return 0, nil },
		MaxWaiting:      w.currentMaxWaiting,
		Log:             slog.New(slog.DiscardHandler),
	}, placement.New(), claim)
	w.mu.Lock()
	d.term = term
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	term.Start()
	return d
}

// termOf returns the term of a daemon, nil before it has one.
func (w *testZone) termOf(d *daemon) *Term {
	w.mu.Lock()
	defer w.mu.Unlock()
	return d.term
}

// current returns the daemon that claimed last.
func (w *testZone) current() *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.daemons) == 0 {
		return nil
	}
	return w.daemons[len(w.daemons)-1]
}

// waitUntil waits until ok returns true, for at most 5 minutes.
func (w *testZone) waitUntil(ok func() bool) {
	const bound = 5 * time.Minute
	deadline := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(deadline) {
			w.t.Error("the condition was not met in 5 minutes")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// close waits for the callers and stops all daemons and endpoints.
func (w *testZone) close() {
	w.callers.Wait()
	for _, d := range w.daemons {
		d.term.Stop(ErrSuperseded)
	}
	for _, d := range w.daemons {
		d.tailTomb.Kill(nil)
		_ = d.tailTomb.Wait()
	}
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
	for _, e := range w.endpoints {
		e.close()
	}
}
