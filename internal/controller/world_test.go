package controller

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// world is a cell in simulated time: endpoints, a log and the daemons' terms.
// It judges every start by the promises, from what its endpoints have seen.
type world struct {
	t      testing.TB
	rand   *rand.Rand
	now    time.Duration
	events eventQueue
	serial int

	faults  faults
	bounds  Bounds
	catalog *catalog.Catalog

	// records is the log, epoch the highest that has written.
	records map[string][]byte
	epoch   int64
	logDown bool

	endpoints map[string]*simEndpoint
	terms     []*simTerm
	jobs      map[workload.ID]*simJob
	logger    *slog.Logger
	broken    int
	// refused counts the starts that were refused, but for those that the stop
	// of a cancelled job has overtaken.
	refused int
	// leftBehind counts the runs on endpoints that have left.
	leftBehind int
	// disturbance is what a filling task adds to the tail of a serving one.
	disturbance time.Duration
	// silentProgress endpoints don't tell of progress.
	silentProgress bool
}

// faults are the chances of what goes wrong.
type faults struct {
	// lost orders never arrive, mute ones are carried out without an answer,
	// late ones are carried out 2 to 12 s later without an answer.
	lost, mute, late float64
	// failing is the chance that a task fails by its own fault.
	failing float64
	// lostAppends get no answer but are done.
	lostAppends float64
	// reportDelay is how much later than usual reports arrive.
	reportDelay time.Duration
}

// simJob is what the world knows of a job.
type simJob struct {
	spec      workload.Spec
	customer  string
	submitted bool
	cancelled time.Duration
	// done, failures and noted are by task.
	done     map[workload.TaskID]bool
	notedEnd map[workload.TaskID]bool
	// restarted gives the last run of tasks that were started after a run of
	// them had ended as done.
	restarted map[workload.TaskID]int
	failures  map[workload.TaskID]int
	accepted  bool
}

type simEndpoint struct {
	id       string
	born     int64
	origin   time.Duration
	up       bool
	cut      bool
	draining bool
	// leaves is until when a draining endpoint says that it stays.
	leaves time.Duration
	// stuck endpoints begin runs that never make progress.
	stuck    bool
	capacity resource.Vector
	fence    int64
	deadline time.Duration
	running  map[fleet.Key]*simRun
	barred   map[workload.TaskID]int
	ended    []simEnd
	next     int64
	// lapses counts the ends of the lease by time.
	lapses int
}

// simEnd is an end that was not acknowledged yet.
type simEnd struct {
	EndedRow
	// lapses is how often the lease had lapsed before.
	lapses int
}

type simRun struct {
	key      fleet.Key
	job      *simJob
	step     *workload.Step
	began    time.Duration
	ends     time.Duration
	fails    bool
	stopping bool
	waiting  bool
	stuck    bool
	// pace is the share at which a filling task works.
	pace float64
}

// pace sets the pace of a run.
func (w *world) pace(e *simEndpoint, epoch int64, o *PaceOrder) Outcome {
	if e.fenced(epoch) {
		return refusal(ReasonFenced)
	}
	if r := e.running[o.Key]; r != nil {
		r.pace = float64(o.Percent) / 100
	}
	return Outcome{Fate: FateDone}
}

// tail is the tail latency of the serving tasks of an endpoint: each filling
// task adds to it by its pace.
func (w *world) tail(e *simEndpoint) time.Duration {
	t := 20 * time.Millisecond
	for _, r := range e.sorted() {
		if r.step.Fills {
			t += time.Duration(r.pace * float64(w.disturbance))
		}
	}
	return t
}

// load is the rough figure that an endpoint tells of a run.
func (w *world) load(e *simEndpoint, r *simRun) int64 {
	if r.step.LatencyObjective > 0 {
		return w.tail(e).Milliseconds()
	}
	return r.step.Size.MilliCores
}

// progress is the share of its work that a run has done, as it is told.
func (w *world) progress(r *simRun) float64 {
	switch {
	case w.silentProgress:
		return -1
	case r.ends == 0 || r.stuck:
		return 0
	default:
		return min(1, float64(w.now-r.began)/float64(r.ends-r.began))
	}
}

// simTerm is a daemon's term. A zombie goes on after its successor has begun.
type simTerm struct {
	core      *Core
	epoch     int64
	proven    time.Duration
	dead      bool
	appending bool
	frozen    time.Duration
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

func newWorld(t testing.TB, seed uint64, f faults) *world {
	level := slog.LevelError + 4
	if os.Getenv("SIM_LOG") != "" {
		level = slog.LevelDebug
	}
	w := &world{
		t:      t,
		rand:   rand.New(rand.NewPCG(seed, 1)),
		now:    simStart,
		faults: f,
		bounds: Bounds{
			Lease:      6 * time.Second,
			StopGrace:  400 * time.Millisecond,
			GangWait:   3 * time.Second,
			StateKept:  2 * time.Minute,
			TermGrace:  4 * time.Second,
			FarFactor:  1.5,
			RateWindow: 5 * time.Second,
		},
		records:   make(map[string][]byte),
		endpoints: make(map[string]*simEndpoint),
		jobs:      make(map[workload.ID]*simJob),
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
	return w
}

type simWriter struct{ w *world }

func (s simWriter) Write(b []byte) (int, error) {
	fmt.Printf("%9.4f %s", (s.w.now - simStart).Seconds(), b)
	return len(b), nil
}

func (w *world) at(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now + d, serial: w.serial, do: do})
}

func (w *world) instant() clock.Instant {
	return clock.Instant{Steady: w.now, Wall: simWall.Add(w.now)}
}

// run plays until an instant after the beginning.
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

func (w *world) violation(rule, format string, args ...any) {
	w.broken++
	w.t.Errorf("%s at %.3f s: %s", rule, (w.now - simStart).Seconds(), fmt.Sprintf(format, args...))
}

// addEndpoint adds an endpoint and registers it.
func (w *world) addEndpoint(id string) {
	e := &simEndpoint{id: id, capacity: resource.Vector{MilliCores: 32_000, MemoryMB: 1 << 20}}
	w.endpoints[id] = e
	w.boot(e)
}

func (w *world) boot(e *simEndpoint) {
	e.born = simWall.Add(w.now).UnixMilli()
	e.origin = w.now - w.between(time.Second, time.Hour)
	e.up, e.fence, e.deadline, e.next = true, 0, 0, 0
	e.draining, e.leaves = false, 0
	e.running = make(map[fleet.Key]*simRun)
	e.barred = make(map[workload.TaskID]int)
	e.ended = nil
	w.register(e)
}

func (w *world) register(e *simEndpoint) {
	for _, t := range w.terms {
		if !t.dead {
			t.core.EndpointListed(w.instant(), e.registration())
		}
	}
}

func (e *simEndpoint) registration() fleet.Registration {
	return fleet.Registration{ID: e.id, Incarnation: e.born, Address: e.id, Pool: "p", Capacity: e.capacity, Draining: e.draining, Rack: "r-" + e.id[len(e.id)-1:]}
}

// crash loses what runs on an endpoint and boots it again later.
func (w *world) crash(e *simEndpoint, back time.Duration) {
	e.up = false
	e.running = make(map[fleet.Key]*simRun)
	w.at(back, func() { w.boot(e) })
}

// drain empties an endpoint, which leaves for good a little later than it says.
func (w *world) drain(e *simEndpoint, stays time.Duration) {
	e.draining, e.leaves = true, w.now+stays
	w.register(e)
	w.at(stays+w.between(overstay, 2*overstay), func() {
		e.up = false
		w.leftBehind += len(e.running)
		e.running = make(map[fleet.Key]*simRun)
		for _, t := range w.terms {
			if !t.dead {
				t.core.EndpointUnlisted(e.id)
			}
		}
	})
}

func (e *simEndpoint) clock(now time.Duration) time.Duration { return now - e.origin }

// begin begins a term; earlier ones go on as zombies until they notice.
func (w *world) begin() {
	w.epoch++
	t := &simTerm{epoch: w.epoch, proven: w.now}
	t.core = New(w.bounds, w.catalog, w.now, w.logger.With("epoch", t.epoch))
	for _, id := range w.ids() {
		if e := w.endpoints[id]; e.up {
			t.core.EndpointListed(w.instant(), e.registration())
		}
	}
	var entries []keyedlog.Entry
	keys := make([]string, 0, len(w.records))
	for k := range w.records {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		entries = append(entries, keyedlog.Entry{Record: keyedlog.Record{Key: k, Value: w.records[k]}})
	}
	t.core.Restore(w.instant(), entries)
	w.terms = append(w.terms, t)
	w.tick(t)
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

// tick lets a term do what is due, again and again.
func (w *world) tick(t *simTerm) {
	if t.dead {
		return
	}
	if w.now >= t.frozen {
		t.core.Tick(w.instant())
		t.core.Plan(w.instant())
		w.pump(t)
	}
	w.at(simTick, func() { w.tick(t) })
}

// pump sends a term's orders and appends its batch.
func (w *world) pump(t *simTerm) {
	for _, o := range t.core.TakeOrders() {
		w.send(t, o)
	}
	if t.appending || w.now-t.proven > time.Second && w.logDown {
		return
	}
	b := t.core.Seal()
	if b == nil && w.now-t.proven < time.Second {
		return
	}
	t.appending = true
	w.append(t, b, w.now)
}

// append tries to append a batch until its fate is known.
func (w *world) append(t *simTerm, b *Batch, began time.Duration) {
	w.at(w.between(2*time.Millisecond, 8*time.Millisecond), func() {
		if t.dead {
			return
		}
		if w.logDown {
			w.at(100*time.Millisecond, func() { w.append(t, b, w.now) })
			return
		}
		if t.epoch < w.epoch {
			t.dead = true
			return
		}
		if b != nil {
			for _, r := range b.Records {
				if len(r.Value) == 0 {
					delete(w.records, r.Key)
				} else {
					w.records[r.Key] = r.Value
				}
			}
		}
		if w.chance(w.faults.lostAppends) {
			// The repetition gets the first answer again.
			w.at(250*time.Millisecond, func() { w.append(t, b, w.now) })
			return
		}
		w.at(w.between(2*time.Millisecond, 8*time.Millisecond), func() {
			if t.dead {
				return
			}
			t.proven = max(t.proven, began)
			t.appending = false
			if b != nil {
				t.core.Committed(w.instant(), b)
			}
			w.pump(t)
		})
	})
}

// Ways of an order.
const (
	wayLow  = time.Millisecond
	wayHigh = 15 * time.Millisecond
)

// send sends an order; a daemon that can't show its term current sends none.
func (w *world) send(t *simTerm, o Order) {
	valid := w.now-t.proven <= w.bounds.TermGrace
	switch o := o.(type) {
	case *AskOrder:
		w.answerQuestion(t, o)
	case *StartOrder:
		w.carry(t, o.Target, valid, orderWait, func(e *simEndpoint) Outcome {
			out := w.start(e, t.epoch, o)
			// The stop of a cancelled job's run may overtake its start.
			overtaken := out.Reason == ReasonSuperseded && w.jobs[o.Key.Task.Job].cancelled > 0
			if out.Fate == FateRefused && !overtaken {
				w.refused++
			}
			return out
		},
			func(out Outcome) { t.core.StartAnswered(w.instant(), o, out) })
	case *StopOrder:
		w.carry(t, o.Target, valid, orderWait, func(e *simEndpoint) Outcome { return w.stop(e, t.epoch, o) },
			func(out Outcome) { t.core.StopAnswered(w.instant(), o, out) })
	case *HoldOrder:
		w.hold(t, o, valid)
	case *PaceOrder:
		w.carry(t, o.Target, valid, orderWait, func(e *simEndpoint) Outcome { return w.pace(e, t.epoch, o) },
			func(out Outcome) { t.core.PaceAnswered(w.instant(), o, out) })
	default:
		w.t.Fatalf("unknown order %T", o)
	}
}

const orderWait = 400 * time.Millisecond

// carry brings an order to an endpoint and its answer back.
func (w *world) carry(t *simTerm, target Target, valid bool, wait time.Duration, do func(*simEndpoint) Outcome, back func(Outcome)) {
	answer := func(delay time.Duration, out Outcome) {
		w.at(delay, func() {
			if !t.dead {
				w.thaw(t, func() {
					if out.Fate == FateRefused && out.Reason == ReasonFenced {
						t.dead = true
						return
					}
					back(out)
					w.pump(t)
				})
			}
		})
	}
	if !valid {
		answer(0, Outcome{Fate: FateNotSent})
		return
	}
	sent := w.now
	e := w.endpoints[target.ID]
	born := e.born
	execute := func() Outcome {
		if !e.up || e.cut {
			return Outcome{Fate: FateUnanswered}
		}
		out := do(e)
		out.Reading = fleet.Reading{Sent: sent, Received: w.now, Clock: e.clock(w.now)}
		return out
	}
	switch {
	case w.chance(w.faults.lost):
		answer(wait, Outcome{Fate: FateUnanswered})
	case w.chance(w.faults.late):
		w.at(w.between(2*time.Second, 12*time.Second), func() {
			// An order names the endpoint by its id alone, so that it may meet
			// a new life; one that is that late is taken not to.
			if e.born == born {
				execute()
			}
		})
		answer(wait, Outcome{Fate: FateUnanswered})
	case w.chance(w.faults.mute):
		w.at(w.between(wayLow, wayHigh), func() { execute() })
		answer(wait, Outcome{Fate: FateUnanswered})
	default:
		w.at(w.between(wayLow, wayHigh), func() {
			out := execute()
			if out.Fate == FateUnanswered {
				answer(max(wait-(w.now-sent), 0), out)
				return
			}
			out.Reading.Received = w.now + wayLow
			answer(w.between(wayLow, wayHigh), out)
		})
	}
}

// thaw runs what a frozen daemon does once it goes on.
func (w *world) thaw(t *simTerm, do func()) {
	if w.now < t.frozen {
		w.at(t.frozen-w.now, func() {
			if !t.dead {
				do()
			}
		})
		return
	}
	do()
}

// fenced raises an endpoint's fence or refuses a lower one.
func (e *simEndpoint) fenced(epoch int64) bool {
	if epoch < e.fence {
		return true
	}
	e.fence = epoch
	return false
}

func refusal(r Reason) Outcome { return Outcome{Fate: FateRefused, Reason: r} }

// extend extends an endpoint's lease.
func (w *world) extend(e *simEndpoint, deadline time.Duration) {
	now := e.clock(w.now)
	e.deadline = max(e.deadline, min(deadline, now+w.bounds.Lease))
	born := e.born
	w.at(e.deadline-now+time.Millisecond, func() {
		if e.born == born && e.up && e.clock(w.now) > e.deadline {
			e.lapses++
			for _, r := range e.sorted() {
				w.end(e, r, workload.EndLapsed)
			}
		}
	})
}

func (e *simEndpoint) sorted() []*simRun {
	runs := make([]*simRun, 0, len(e.running))
	for _, r := range e.running {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, k int) bool { return runs[i].key.Task.String() < runs[k].key.Task.String() })
	return runs
}

// start begins a run on an endpoint, and judges it.
func (w *world) start(e *simEndpoint, epoch int64, o *StartOrder) Outcome {
	if e.fenced(epoch) {
		return refusal(ReasonFenced)
	}
	if e.running[o.Key] != nil {
		return Outcome{Fate: FateDone}
	}
	if o.Key.Number <= e.barred[o.Key.Task] {
		return refusal(ReasonSuperseded)
	}
	if o.Deadline < e.clock(w.now) {
		return refusal(ReasonLate)
	}
	w.extend(e, o.Deadline)
	job := w.jobs[o.Key.Task.Job]
	step := &job.spec.Steps[o.Key.Task.Step]
	r := &simRun{key: o.Key, job: job, step: step, began: w.now, pace: 1}
	w.judge(e, r, o)
	e.running[o.Key] = r
	r.fails = w.chance(w.faults.failing)
	r.stuck = e.stuck
	switch {
	case step.Gang:
		r.waiting = true
		w.gatherGang(r)
	case !r.stuck && !step.LongRunning:
		w.finishLater(e, r, w.between(step.Estimate/2, step.Estimate*2))
	}
	return Outcome{Fate: FateDone}
}

// finishLater ends a run after its work.
func (w *world) finishLater(e *simEndpoint, r *simRun, after time.Duration) {
	r.ends = w.now + after
	born := e.born
	w.at(after, func() {
		if e.born != born || !e.up || e.running[r.key] != r {
			return
		}
		how := workload.EndDone
		if r.fails {
			how = workload.EndFailed
		}
		w.end(e, r, how)
	})
}

// gatherGang lets a gang work once all its members are there.
func (w *world) gatherGang(r *simRun) {
	members := w.members(r)
	if len(members) == r.step.Count {
		after := w.between(r.step.Estimate/2, r.step.Estimate*2)
		fails := w.chance(w.faults.failing)
		for _, m := range members {
			m.run.waiting = false
			m.run.fails = fails && m.run == r
			w.finishLater(m.at, m.run, after)
		}
		return
	}
	w.at(w.bounds.GangWait, func() {
		for _, m := range w.members(r) {
			if m.run == r && r.waiting {
				w.end(m.at, r, workload.EndAlone)
			}
		}
	})
}

// member is a member of a gang's run and where it is.
type member struct {
	at  *simEndpoint
	run *simRun
}

// members returns the members of a gang's run that are there.
func (w *world) members(r *simRun) []member {
	var out []member
	for _, id := range w.ids() {
		e := w.endpoints[id]
		for _, m := range e.sorted() {
			same := m.key.Task
			same.Index = r.key.Task.Index
			if same == r.key.Task && m.key.Number == r.key.Number {
				out = append(out, member{at: e, run: m})
			}
		}
	}
	return out
}

// end ends a run and tells of it.
func (w *world) end(e *simEndpoint, r *simRun, how workload.End) {
	if e.running[r.key] != r {
		return
	}
	delete(e.running, r.key)
	e.barred[r.key.Task] = max(e.barred[r.key.Task], r.key.Number)
	e.next++
	e.ended = append(e.ended, simEnd{EndedRow: EndedRow{Number: e.next, Key: r.key, End: how}, lapses: e.lapses})
	if how == workload.EndDone {
		r.job.done[r.key.Task] = true
		if r.step.Gang {
			for i := range r.step.Count {
				id := r.key.Task
				id.Index = i
				r.job.done[id] = true
			}
		}
	}
	if r.step.Gang && how != workload.EndDone && how != workload.EndAlone {
		for _, m := range w.members(r) {
			w.end(m.at, m.run, workload.EndBroken)
		}
	}
}

// stop stops a run or bars it.
func (w *world) stop(e *simEndpoint, epoch int64, o *StopOrder) Outcome {
	if e.fenced(epoch) {
		return refusal(ReasonFenced)
	}
	e.barred[o.Key.Task] = max(e.barred[o.Key.Task], o.Key.Number)
	if r := e.running[o.Key]; r != nil && !r.stopping {
		r.stopping = true
		born := e.born
		w.at(w.between(0, w.bounds.StopGrace), func() {
			if e.born == born && e.up {
				w.end(e, r, workload.EndStopped)
			}
		})
	}
	return Outcome{Fate: FateDone}
}

// hold extends a lease and reports, waiting for an end.
func (w *world) hold(t *simTerm, o *HoldOrder, valid bool) {
	var report Report
	until := w.now + o.Wait
	w.carry(t, o.Target, valid, o.Wait+500*time.Millisecond, func(e *simEndpoint) Outcome {
		if e.fenced(t.epoch) {
			return refusal(ReasonFenced)
		}
		if o.Deadline > 0 {
			w.extend(e, o.Deadline)
		}
		w.ack(e, o.Acked)
		return Outcome{Fate: FateDone}
	}, func(out Outcome) {
		if out.Fate != FateDone {
			t.core.HoldAnswered(w.instant(), o, Report{}, out)
			return
		}
		w.wait(t, o, until, out, &report)
	})
}

// wait answers a hold at the next end or when its wait is over.
func (w *world) wait(t *simTerm, o *HoldOrder, until time.Duration, out Outcome, report *Report) {
	e := w.endpoints[o.Target.ID]
	if !e.up || e.cut {
		w.at(max(until-w.now, 0)+500*time.Millisecond, func() {
			if !t.dead {
				t.core.HoldAnswered(w.instant(), o, Report{}, Outcome{Fate: FateUnanswered})
			}
		})
		return
	}
	if len(e.ended) == 0 && w.now < until {
		w.at(min(20*time.Millisecond, until-w.now), func() {
			if !t.dead {
				w.wait(t, o, until, out, report)
			}
		})
		return
	}
	*report = Report{Incarnation: e.born}
	for _, r := range e.sorted() {
		report.Running = append(report.Running, RunningRow{Key: r.key, Progress: w.progress(r), Load: w.load(e, r)})
	}
	if e.draining {
		report.Draining, report.Remaining = true, max(0, e.leaves-w.now)
	}
	for _, row := range e.ended {
		report.Ended = append(report.Ended, row.EndedRow)
	}
	out.Reading.Received = w.now
	out.Reading.Clock = e.clock(w.now)
	w.at(w.faults.reportDelay+w.between(wayLow, wayHigh), func() {
		if !t.dead {
			out.Reading.Received = w.now
			w.thaw(t, func() {
				t.core.HoldAnswered(w.instant(), o, *report, out)
				w.pump(t)
			})
		}
	})
}

// ack forgets ends and notes what was taken note of.
func (w *world) ack(e *simEndpoint, upto int64) {
	var left []simEnd
	for _, row := range e.ended {
		if row.Number > upto {
			left = append(left, row)
			continue
		}
		if row.lapses < e.lapses {
			// An end counts as taken note of only if the lease has not lapsed
			// before.
			continue
		}
		job := w.jobs[row.Key.Task.Job]
		switch row.End {
		case workload.EndDone:
			job.notedEnd[row.Key.Task] = true
			if later := job.restarted[row.Key.Task]; later > row.Key.Number {
				w.violation("TWICE", "%s run %d was started after run %d had ended as done, which is taken note of now", row.Key.Task, later, row.Key.Number)
			}
		case workload.EndFailed:
			id := row.Key.Task
			if job.spec.Steps[id.Step].Gang {
				id.Index = 0
			}
			job.failures[id]++
		}
	}
	e.ended = left
}

// answerQuestion answers which endpoints may run a step: about two thirds, the
// same ones each time.
func (w *world) answerQuestion(t *simTerm, o *AskOrder) {
	w.at(o.Cost+w.between(wayLow, wayHigh), func() {
		if t.dead {
			return
		}
		answer := Answer{Permits: make(map[string]string), Valid: 2 * time.Second}
		for _, id := range o.Endpoints {
			if sum := int(o.Step[0]) + int(o.Step[7]) + int(id[len(id)-1]); sum%3 > 0 {
				answer.Permits[id] = "permit"
			}
		}
		w.thaw(t, func() {
			t.core.AskAnswered(w.instant(), o, answer, nil)
			w.pump(t)
		})
	})
}
