package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// siteBeat is how often a runner registers.
	siteBeat = 500 * time.Millisecond
	// siteLeaseMax is the longest lease that a runner grants.
	siteLeaseMax = 6 * time.Second
	// siteMaxWait bounds the wait of a hold.
	siteMaxWait = 2 * time.Second
	// siteLate is after what time a late order is carried out.
	siteLate = 2 * time.Second
	// siteRestart is how long a crashed runner is away.
	siteRestart = 500 * time.Millisecond
	// siteWorkStep is how often a runner looks what has ended.
	siteWorkStep = 5 * time.Millisecond
)

// SiteRunnerOptions describe a runner.
type SiteRunnerOptions struct {
	ID      string
	Service string
	Zone    string
	Rack    string
	// MilliCores and MemoryMB are its capacity.
	MilliCores int64
	MemoryMB   int64
	// WorkTime is how long each task takes.
	WorkTime time.Duration
	// Store is where the runner registers.
	Store *SiteStore
	// Size tells what a task occupies, for the check of the capacity; it may be
	// nil.
	Size func(task string) (milliCores, memoryMB int64)
	// Watch sees starts and ends; it may be nil.
	Watch *SiteWatch
}

// SiteRunner is a runner of the users' platform: it runs tasks under a lease
// and obeys the highest fencing token that it has seen.
type SiteRunner struct {
	opts   SiteRunnerOptions
	faults *Faults
	link   *linkFaults
	late   *atomic.Int64
	failed *atomic.Bool
	hung   *atomic.Bool
	quiet  *atomic.Bool

	mu       sync.Mutex
	address  string
	born     time.Time
	fence    int64
	deadline time.Duration
	running  map[string]*siteRun
	barred   map[string]int
	ended    [][]any
	ends     int
	draining time.Time
	changed  chan struct{}
	// broken is what broke a promise on this runner.
	broken []string
	stop   chan struct{}
	done   sync.WaitGroup
}

type siteRun struct {
	task  string
	run   int
	until time.Time
	saved string
	began time.Time
}

// NewSiteRunner returns a runner that registers once it knows its address.
func NewSiteRunner(opts SiteRunnerOptions) *SiteRunner {
	r := &SiteRunner{opts: opts, faults: newFaults(), changed: make(chan struct{}), stop: make(chan struct{})}
	r.link = newLinkFaults(r.faults)
	r.late = r.faults.integer("late_orders", "give this many orders no answer and carry them out two seconds later", 0)
	r.failed = r.faults.boolean("fail_tasks", "end every task as failed")
	r.hung = r.faults.boolean("hang_tasks", "let tasks stand still")
	r.quiet = r.faults.boolean("unregistered", "write no registrations")
	r.faults.action("crash", "lose all that runs, and start again under the same id half a second later", func(json.RawMessage) error {
		r.crash()
		return nil
	})
	r.faults.action("drain", "say that the runner leaves", func(json.RawMessage) error {
		r.mu.Lock()
		r.draining = time.Now()
		r.mu.Unlock()
		r.register()
		return nil
	})
	r.boot()
	return r
}

// Faults implements Service.
func (r *SiteRunner) Faults() *Faults { return r.faults }

// Begin registers the runner under its address until Close.
func (r *SiteRunner) Begin(address string) {
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	r.register()
	r.done.Add(1)
	go r.work()
}

// Close ends the runner.
func (r *SiteRunner) Close() {
	close(r.stop)
	r.done.Wait()
}

// Broken returns what broke a promise on this runner.
func (r *SiteRunner) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// Running returns the names of the tasks that run.
func (r *SiteRunner) Running() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for task := range r.running {
		out = append(out, task)
	}
	sort.Strings(out)
	return out
}

// crash loses all that runs; a new life begins a while later.
func (r *SiteRunner) crash() {
	r.link.down.Store(true)
	r.mu.Lock()
	for task := range r.running {
		r.opts.Watch.ended(r.opts.ID, task, "lost")
	}
	r.running = make(map[string]*siteRun)
	r.mu.Unlock()
	time.AfterFunc(siteRestart, func() {
		r.boot()
		r.link.down.Store(false)
		r.register()
	})
}

// boot begins a new life.
func (r *SiteRunner) boot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = time.Now()
	r.fence, r.deadline, r.ends, r.ended = 0, 0, 0, nil
	r.running, r.barred = make(map[string]*siteRun), make(map[string]int)
	r.draining = time.Time{}
	r.wake()
}

// wake tells those who wait that something has changed.
func (r *SiteRunner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// clock is the runner's own clock.
func (r *SiteRunner) clock() time.Duration { return time.Since(r.born) + time.Hour }

func (r *SiteRunner) register() {
	if r.quiet.Load() || r.link.down.Load() {
		return
	}
	r.mu.Lock()
	state := "ready"
	if !r.draining.IsZero() {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.opts.Service, "addr": r.address, "zone": r.opts.Zone, "version": "v1", "slots": 8, "state": state,
		"born": r.born.UnixMilli(), "machine": "m-" + r.opts.ID, "clock_ms": r.clock().Milliseconds(),
		"capacity": map[string]int64{"cpu": r.opts.MilliCores, "mem_mb": r.opts.MemoryMB, "gpu": 0},
		"labels":   []string{"a", r.opts.Rack},
	}
	r.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.opts.Store.Put(SiteTopicEndpoints, r.opts.ID, value)
}

// work ends what is due and registers from time to time.
func (r *SiteRunner) work() {
	defer r.done.Done()
	ticker := time.NewTicker(siteWorkStep)
	defer ticker.Stop()
	beat := time.NewTicker(siteBeat)
	defer beat.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-beat.C:
			r.register()
		case <-ticker.C:
			r.endDue()
		}
	}
}

func (r *SiteRunner) endDue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	lapsed := r.clock() > r.deadline
	for _, run := range r.running {
		switch {
		case lapsed:
			r.end(run, "lapsed")
		case r.hung.Load():
			run.until = now.Add(r.opts.WorkTime)
		case now.After(run.until) && r.failed.Load():
			r.end(run, "failed")
		case now.After(run.until):
			r.end(run, "done")
		}
	}
}

// end ends a run; the lock is held.
func (r *SiteRunner) end(run *siteRun, how string) {
	delete(r.running, run.task)
	r.opts.Watch.ended(r.opts.ID, run.task, how)
	r.barred[run.task] = max(r.barred[run.task], run.run)
	r.ends++
	r.ended = append(r.ended, []any{r.ends, run.task, run.run, how, run.saved})
	r.wake()
}

// siteOrder is the body of any order.
type siteOrder struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"last_checkpoint"`
	Ticket     string `json:"ticket"`
	AckedUpto  int    `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// Handler implements Service.
func (r *SiteRunner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.order(r.startRun))
	mux.HandleFunc("POST /-/run-stop", r.order(r.stopRun))
	mux.HandleFunc("POST /-/pace", r.order(func(siteOrder) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", r.handleHold)
	return r.link.wrap(mux)
}

// expected refuses an order for another runner.
func (r *SiteRunner) expected(w http.ResponseWriter, req *http.Request) bool {
	if id := req.Header.Get("Bluebellstile-Expect-Instance"); id != "" && id != r.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// order serves an order that is answered at once.
func (r *SiteRunner) order(do func(siteOrder) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var o siteOrder
		if status, err := readJSON(w, req, maxSiteCallBytes, &o); err != nil {
			http.Error(w, err.Error(), status)
			return
		}
		if !r.expected(w, req) {
			return
		}
		if r.late.Load() > 0 {
			r.late.Add(-1)
			born := r.life()
			time.AfterFunc(siteLate, func() {
				if r.life().Equal(born) {
					r.carryOut(o, do)
				}
			})
			panic(http.ErrAbortHandler)
		}
		status, reason, clock := r.carryOut(o, do)
		answer := map[string]any{"clock_ms": clock.Milliseconds()}
		if reason != "" {
			answer["reason"] = reason
		}
		writeJSON(w, status, answer)
	}
}

func (r *SiteRunner) life() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

// carryOut carries out an order unless its fencing token is too low.
func (r *SiteRunner) carryOut(o siteOrder, do func(siteOrder) (int, string)) (int, string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		return http.StatusConflict, "fence", r.clock()
	}
	r.fence = o.Fence
	status, reason := do(o)
	return status, reason, r.clock()
}

// startRun begins a run; the lock is held.
func (r *SiteRunner) startRun(o siteOrder) (int, string) {
	if now := r.running[o.Task]; now != nil {
		if now.run == o.Run {
			return http.StatusOK, ""
		}
		r.broken = append(r.broken, fmt.Sprintf("%s runs twice", o.Task))
	}
	deadline := time.Duration(o.DeadlineMS) * time.Millisecond
	switch {
	case o.Run <= r.barred[o.Task]:
		return http.StatusConflict, "old"
	case deadline < r.clock():
		return http.StatusConflict, "late"
	}
	r.extend(deadline)
	r.running[o.Task] = &siteRun{task: o.Task, run: o.Run, until: time.Now().Add(r.opts.WorkTime), saved: o.Checkpoint, began: time.Now()}
	r.opts.Watch.started(r.opts.ID, o.Task)
	r.checkRoom(o.Task)
	return http.StatusOK, ""
}

// checkRoom notes an endpoint that is over its capacity.
func (r *SiteRunner) checkRoom(task string) {
	if r.opts.Size == nil {
		return
	}
	var cores, memory int64
	for name := range r.running {
		c, m := r.opts.Size(name)
		cores, memory = cores+c, memory+m
	}
	if cores > r.opts.MilliCores || memory > r.opts.MemoryMB {
		r.broken = append(r.broken, fmt.Sprintf("%s brings %s over its capacity", task, r.opts.ID))
	}
}

// extend extends the lease; it never gets shorter.
func (r *SiteRunner) extend(deadline time.Duration) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+siteLeaseMax))
}

// stopRun stops a run or bars it; the lock is held.
func (r *SiteRunner) stopRun(o siteOrder) (int, string) {
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if now := r.running[o.Task]; now != nil && now.run <= o.Run {
		now.saved = fmt.Sprintf("saved-%d", now.run)
		r.end(now, "stopped")
	}
	return http.StatusOK, ""
}

// handleHold extends the lease and answers what runs, at the next end or when
// its wait is over.
func (r *SiteRunner) handleHold(w http.ResponseWriter, req *http.Request) {
	var o siteOrder
	if status, err := readJSON(w, req, maxSiteCallBytes, &o); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if !r.expected(w, req) {
		return
	}
	status, reason, clock := r.carryOut(o, r.takeHold)
	if status != http.StatusOK {
		writeJSON(w, status, map[string]any{"clock_ms": clock.Milliseconds(), "reason": reason})
		return
	}
	wait := min(time.Duration(o.WaitMS)*time.Millisecond, siteMaxWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		listing, ends, changed := r.listing()
		if ends || wait == 0 {
			writeJSON(w, http.StatusOK, listing)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-req.Context().Done():
			return
		}
	}
}

// takeHold extends the lease and forgets what is acknowledged.
func (r *SiteRunner) takeHold(o siteOrder) (int, string) {
	if o.DeadlineMS > 0 {
		r.extend(time.Duration(o.DeadlineMS) * time.Millisecond)
	}
	for len(r.ended) > 0 && r.ended[0][0].(int) <= o.AckedUpto {
		r.opts.Watch.acknowledged(r.ended[0][1].(string), r.ended[0][3].(string))
		r.ended = r.ended[1:]
	}
	return http.StatusOK, ""
}

// listing returns what the runner says of itself.
func (r *SiteRunner) listing() (listing map[string]any, ends bool, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := [][]any{}
	for _, run := range r.running {
		percent := min(99, int(100*time.Since(run.began)/max(r.opts.WorkTime, 1)))
		running = append(running, []any{run.task, run.run, run.saved, percent, 1000})
	}
	listing = map[string]any{
		"clock_ms": r.clock().Milliseconds(),
		"born":     r.born.UnixMilli(),
		"running":  running,
		"ended":    append([][]any{}, r.ended...),
	}
	if !r.draining.IsZero() {
		listing["remaining_ms"] = max(0, (2500*time.Millisecond - time.Since(r.draining)).Milliseconds())
	}
	return listing, len(r.ended) > 0, r.changed
}
