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
	zoneName  = "z"
	redTeam   = "red"
	blueTeam  = "blue"
	queueName = "work"
	testLease = 2 * time.Second
	testBeat  = 400 * time.Millisecond
	// frontDoorPause is the pause between two attempts of a front door.
	frontDoorPause = 50 * time.Millisecond
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

// world is one zone without sockets: a log, endpoints and the daemons that
// hold the zone in turn. It lives in a bubble of its own time.
type world struct {
	t        *testing.T
	log      *memoryLog
	seen     *lines
	writer   *history.Writer
	machines map[string]*machine
	list     fixedList
	// maxWaiting is what terms take as the bound on waiting requests.
	maxWaiting int
	// keepFate keeps the log's rule for appends when the faults heal.
	keepFate bool

	mu      sync.Mutex
	daemons []*daemon
	tomb    tomb.Tomb
	// callers are the requests under way.
	callers sync.WaitGroup
}

// daemon is one daemon's view of the log and its terms.
type daemon struct {
	name    string
	journal *journal.Journal
	term    *Term
	tail    tomb.Tomb
}

// newWorld returns a zone with two workers and a runner, a configuration and
// no holder.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, log: newMemoryLog(), seen: &lines{}, machines: map[string]*machine{}, maxWaiting: 50}
	w.writer = history.NewWriter(w.seen)
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

// addEndpoint starts an endpoint and lists it.
func (w *world) addEndpoint(o standin.EndpointOptions) {
	o.AvailabilityZone, o.History, o.PartBytes = zoneName, w.writer, 8
	w.machines[o.ID] = newMachine(o)
	role := loglist.RoleWorker
	if o.Kind == endpoint.KindRunner {
		role = loglist.RoleRunner
	}
	w.list = append(w.list, loglist.Instance{ID: o.ID, Role: role, Address: o.ID, AvailabilityZone: zoneName, State: loglist.StateLive})
}

// append appends a record that no daemon makes.
func (w *world) append(id string, e *record.Envelope) uint64 {
	data, err := record.Encode(e)
	if err != nil {
		w.t.Fatal(err)
	}
	return w.log.Log.Append(id, data)
}

// record writes a caller's event.
func (w *world) record(e history.Event) { _ = w.writer.Write(e) }

// takeOver lets another daemon claim the zone and start its term. The one
// before is cut off from the log, as it would end its term at the claim if it
// read that, and goes on until an endpoint shows it the higher epoch.
func (w *world) takeOver() *daemon {
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
	d.tail.Go(func() error { return d.journal.Run(&d.tail, func() []journal.Source { return source }) })
	previous := uint64(0)
	if current := w.current(); current != nil {
		previous = current.term.epoch
		current.tail.Kill(nil)
		_ = current.tail.Wait()
	}
	epoch := w.append("claim-"+d.name, &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: zoneName, Holder: d.name, Address: d.name, Previous: previous}})
	w.until(func() bool { return d.journal.State().Applied() >= epoch })
	claim, _ := d.journal.State().Epoch(zoneName)
	if claim.Epoch != epoch {
		w.t.Errorf("claim at %d is void", epoch)
	}
	directory := membership.NewDirectory(w.list, "z", slog.New(slog.DiscardHandler))
	w.tomb.Go(func() error { return directory.Run(&w.tomb) })
	term := NewTerm(Settings{AvailabilityZone: zoneName, Holder: d.name, Lease: testLease, Heartbeat: testBeat}, Dependencies{
		Journal:         d.journal,
		Directory:       directory,
		Dial:            func(address string) EndpointClient { return w.machines[address] },
		Authorize:       func(string, string, string) *problem.Problem { return nil },
		RequestTransfer: func(context.Context, string, string, int64) (int64, error) { return 0, nil },
		MaxWaiting:      w.room,
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
func (w *world) termOf(d *daemon) *Term {
	w.mu.Lock()
	defer w.mu.Unlock()
	return d.term
}

// current returns the daemon that claimed last.
func (w *world) current() *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.daemons) == 0 {
		return nil
	}
	return w.daemons[len(w.daemons)-1]
}

// until waits until ok holds.
func (w *world) until(ok func() bool) {
	const bound = 5 * time.Minute
	deadline := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(deadline) {
			w.t.Error("the condition did not come to hold")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// close ends everything.
func (w *world) close() {
	w.callers.Wait()
	for _, d := range w.daemons {
		d.term.Stop(ErrSuperseded)
	}
	for _, d := range w.daemons {
		d.tail.Kill(nil)
		_ = d.tail.Wait()
	}
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
	for _, m := range w.machines {
		m.close()
	}
}
