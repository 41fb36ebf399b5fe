package controller

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"pgregory.net/rapid"
)

// world is a cell in simulated time: endpoints, a log and the daemons' terms.
// It checks every start against the scheduler's guarantees, using the state of
// the simulated endpoints.
type world struct {
	t      rapid.TB
	rand   *rand.Rand
	now    time.Duration
	events eventQueue
	serial int

	faults faults
	params Params
	// catalog is the newest configuration, replaced the one before, until
	// replacedAt.
	catalog    *catalog.Catalog
	replaced   *catalog.Catalog
	replacedAt time.Duration
	// lastQueues holds each queue as it was configured last.
	lastQueues map[string]*catalog.Queue
	// everPools holds the pools to which each queue was ever sent.
	everPools map[string]map[string]bool
	// mostAttempts and fewestAttempts hold the bounds of the attempts that each
	// queue ever allowed.
	mostAttempts   map[string]int
	fewestAttempts map[string]int
	// highestCap holds the highest cap, in thousandths of a core, that each customer
	// ever had; 0 means none.
	highestCap map[string]int64
	// permitsUntil gives the end of each permit.
	permitsUntil map[simPermit]time.Duration
	// refusedPermits counts the starts refused for want of a permit.
	refusedPermits int
	// refusedByTask counts them by task.
	refusedByTask map[workload.TaskID]int
	// refuseStarts is the reason for which endpoints refuse all starts, if set.
	refuseStarts Reason
	// refuseStops is the same for stops.
	refuseStops Reason
	// serviceSilentUntil is until when questions get no answer.
	serviceSilentUntil time.Duration

	// records is the content of the log, epoch the highest epoch that has
	// written.
	records map[string][]byte
	epoch   int64
	logDown bool

	// evacuated holds the zones that are being emptied, with the time of the request.
	// lateOrder is set while an order without an answer is executed late.
	evacuated map[string]time.Duration
	lateOrder bool
	// unavoidable is set during a late start in a life of an endpoint that no holder knows
	// yet, and unavoidableStarts counts those that were executed. Nothing can refuse them.
	unavoidable       bool
	unavoidableStarts int

	endpoints map[string]*simEndpoint
	// registryDelay is the longest time until a restarted endpoint is listed.
	registryDelay time.Duration
	terms         []*simTerm
	jobs          map[workload.ID]*simJob
	logger        *slog.Logger
	violations    int
	// refused counts the refused starts, except those overtaken by the stop of
	// a cancelled job.
	refused int
	// leftBehind counts the runs on endpoints at the time they left.
	leftBehind int
	// fillingLatency is the latency that a filling task at full pace adds to
	// the tail of a serving task.
	fillingLatency time.Duration
	// listedEnds is how many ends a report lists at most.
	listedEnds int
	// hideProgress makes endpoints report unknown progress.
	hideProgress bool
	// orderCost is the processor time that a holder needs to send an order, and
	// again to process its answer; it processes one order at a time.
	orderCost time.Duration
	// endedAlone counts the runs that ended because their gang was not complete
	// in time.
	endedAlone int
}

// faults holds the probabilities of injected faults.
type faults struct {
	// Orders that are lost never arrive. Those that are unanswered are
	// executed, but their answers are lost. Those that are delayed are executed
	// 2 to 12 s later without an answer.
	lost, unanswered, delayed float64
	// taskFailure is the probability that a task fails.
	taskFailure float64
	// lostAppends is the probability that an append succeeds but its answer is
	// lost.
	lostAppends float64
	// reportDelay is the additional delay of reports.
	reportDelay time.Duration
}

// simJob is the simulation's record of a job.
type simJob struct {
	spec      workload.Spec
	customer  string
	submitted bool
	cancelled time.Duration
	// done, acknowledgedDone and failures are by task.
	done             map[workload.TaskID]bool
	acknowledgedDone map[workload.TaskID]bool
	// restarted gives the last run of each task that was started after another
	// run of it had ended as done.
	restarted map[workload.TaskID]int
	failures  map[workload.TaskID]int
	// failedEnds counts the failed runs by task, also those that were never
	// acknowledged.
	failedEnds map[workload.TaskID]int
	accepted   bool
	// begun is set once a run of the job has worked on its task. The members of a gang
	// wait for each other before.
	begun bool
}

// simTerm is a daemon's term. A superseded term continues until it learns of
// its successor.
type simTerm struct {
	core           *Core
	epoch          int64
	provenAt       time.Duration
	dead           bool
	appending      bool
	suspendedUntil time.Duration
	// busyUntil is until when the processor is busy with orders.
	busyUntil time.Duration
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	if q[i].at != q[k].at {
		return q[i].at < q[k].at
	}
	return q[i].serial < q[k].serial
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	simTick  = 10 * time.Millisecond
	simStart = time.Hour
)

var simWall = time.UnixMilli(1_700_000_000_000)

// newWorld returns a world without endpoints and terms. It prints the logs of
// the terms if SIM_LOG is set.
func newWorld(t rapid.TB, seed uint64, f faults) *world {
	level := slog.LevelError + 4
	if os.Getenv("SIM_LOG") != "" {
		level = slog.LevelDebug
	}
	w := &world{
		t:      t,
		rand:   rand.New(rand.NewPCG(seed, 1)),
		now:    simStart,
		faults: f,
		params: Params{
			Lease:      6 * time.Second,
			LeaseMax:   10 * time.Second,
			StopGrace:  400 * time.Millisecond,
			GangWait:   3 * time.Second,
			StateKept:  2 * time.Minute,
			TermGrace:  4 * time.Second,
			FarFactor:  1.5,
			RateWindow: 5 * time.Second,
		},
		listedEnds: 500,
		records:    make(map[string][]byte),
		endpoints:  make(map[string]*simEndpoint),
		jobs:       make(map[workload.ID]*simJob),

		lastQueues: make(map[string]*catalog.Queue),
		everPools:  make(map[string]map[string]bool),

		mostAttempts:   make(map[string]int),
		fewestAttempts: make(map[string]int),
		highestCap:     make(map[string]int64),
		refusedByTask:  make(map[workload.TaskID]int),
		permitsUntil:   make(map[simPermit]time.Duration),
	}
	w.logger = slog.New(slog.NewTextHandler(simWriter{w}, &slog.HandlerOptions{Level: level, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}}))
	w.catalog = &catalog.Catalog{
		Version: 1,
		Queues: []catalog.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "p", Priority: 0, Attempts: 2, Stretch: 1.5, Objective: 400 * time.Millisecond,
				Eligibility: &catalog.Eligibility{Base: 7 * time.Millisecond, PerEndpoint: 100 * time.Microsecond, Valid: 2 * time.Second}},
			{Name: "bulk", Host: "h", Prefix: "/b/", Pool: "p", Priority: 2, Attempts: 2, Stretch: 4, Objective: 3 * time.Second},
			{Name: "gangs", Host: "h", Prefix: "/g/", Pool: "p", Priority: 1, Attempts: 3, Stretch: 2, Objective: time.Second,
				Eligibility: &catalog.Eligibility{Base: 300 * time.Millisecond, PerEndpoint: 7 * time.Millisecond, Valid: 2 * time.Second}},
		},
		Pools: map[string]catalog.Pool{"p": {Name: "p"}},
		Customers: map[string]catalog.Customer{
			"c1": {Name: "c1", Keys: []string{"k1"}, Weight: 100, Cap: resource.Vector{MilliCores: 100_000}},
			"c2": {Name: "c2", Keys: []string{"k2"}, Weight: 100},
		},
	}
	if err := w.catalog.Index(); err != nil {
		t.Fatal(err)
	}
	w.noteCatalog()
	return w
}

type simWriter struct{ w *world }

func (s simWriter) Write(b []byte) (int, error) {
	fmt.Printf("%9.4f %s", (s.w.now - simStart).Seconds(), b)
	return len(b), nil
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now + d, serial: w.serial, do: do})
}

func (w *world) instant() clock.Instant {
	return clock.Instant{Steady: w.now, Wall: simWall.Add(w.now)}
}

// run runs the simulation until the given time after its start.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= simStart+until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = simStart + until
}

func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rand.Int64N(int64(hi-lo)+1))
}

// violation fails the test because of a broken guarantee, which rule names.
func (w *world) violation(rule, format string, args ...any) {
	w.violations++
	w.t.Errorf("%s at %.3f s: %s", rule, (w.now - simStart).Seconds(), fmt.Sprintf(format, args...))
}

// beginTerm begins a term. Earlier terms continue until they notice.
func (w *world) beginTerm() {
	w.epoch++
	t := &simTerm{epoch: w.epoch, provenAt: w.now}
	begun := w.catalogOfNewTerm()
	t.core = NewCore(w.params, begun, w.now, w.logger.With("epoch", t.epoch))
	for _, id := range w.ids() {
		if e := w.endpoints[id]; e.up {
			t.core.EndpointListed(w.instant(), e.registration())
		}
	}
	t.core.SetEvacuations(w.evacuatedZones())
	t.core.Restore(w.instant(), w.entries())
	w.terms = append(w.terms, t)
	if begun != w.catalog {
		w.readCatalog(t, w.catalog)
	}
	w.tick(t)
}

// entries returns the newest record of each key in the log.
func (w *world) entries() []keyedlog.Entry {
	keys := make([]string, 0, len(w.records))
	for k := range w.records {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	entries := make([]keyedlog.Entry, 0, len(keys))
	for _, k := range keys {
		entries = append(entries, keyedlog.Entry{Record: keyedlog.Record{Key: k, Value: w.records[k]}})
	}
	return entries
}

func (w *world) ids() []string {
	ids := make([]string, 0, len(w.endpoints))
	for id := range w.endpoints {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// current returns the newest term, or nil if it is dead.
func (w *world) current() *simTerm {
	if len(w.terms) == 0 {
		return nil
	}
	if t := w.terms[len(w.terms)-1]; !t.dead {
		return t
	}
	return nil
}

// tick ticks a term every simTick.
func (w *world) tick(t *simTerm) {
	if t.dead {
		return
	}
	if w.now >= t.suspendedUntil {
		t.core.Tick(w.instant())
		w.checkTold(t)
		w.noteKnownLives(t)
		t.core.Plan(w.instant())
		w.flush(t)
	}
	w.after(simTick, func() { w.tick(t) })
}

// flush sends a term's orders and appends its batch.
func (w *world) flush(t *simTerm) {
	for _, o := range t.core.TakeOrders() {
		w.send(t, o)
	}
	if t.appending || w.now-t.provenAt > time.Second && w.logDown {
		return
	}
	b := t.core.Seal()
	if b == nil && w.now-t.provenAt < time.Second {
		return
	}
	t.appending = true
	var calls [][]keyedlog.Record
	if b != nil {
		calls = b.Calls()
	}
	w.append(t, b, calls, w.now)
}

// What the users' platform takes in a record and in a call.
const (
	simRecordBytes = 262_144
	simCallBytes   = 2 << 20
)

// store applies the records of one call to the log.
func (w *world) store(records []keyedlog.Record) {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
		if len(r.Key)+len(r.Value) > simRecordBytes {
			w.violation("SIZE", "the record %s has %d bytes", r.Key, len(r.Value))
		}
		if len(r.Value) == 0 {
			delete(w.records, r.Key)
		} else {
			w.records[r.Key] = r.Value
		}
	}
	if size > simCallBytes {
		w.violation("SIZE", "an append has %d bytes", size)
	}
}

// append appends the calls that are left of a batch, one after the other, and
// retries each until its result is known.
func (w *world) append(t *simTerm, b *Batch, calls [][]keyedlog.Record, began time.Duration) {
	w.after(w.between(2*time.Millisecond, 8*time.Millisecond), func() {
		if t.dead {
			return
		}
		if w.logDown {
			w.after(100*time.Millisecond, func() { w.append(t, b, calls, w.now) })
			return
		}
		if t.epoch < w.epoch {
			t.dead = true
			return
		}
		if len(calls) > 0 {
			w.store(calls[0])
		}
		if w.chance(w.faults.lostAppends) {
			// The retry gets the answer of the first attempt.
			w.after(250*time.Millisecond, func() { w.append(t, b, calls, w.now) })
			return
		}
		if len(calls) > 1 {
			w.append(t, b, calls[1:], began)
			return
		}
		w.after(w.between(2*time.Millisecond, 8*time.Millisecond), func() {
			if t.dead {
				return
			}
			t.provenAt = max(t.provenAt, began)
			t.appending = false
			if b != nil {
				t.core.Committed(w.instant(), b)
			}
			w.flush(t)
		})
	})
}
