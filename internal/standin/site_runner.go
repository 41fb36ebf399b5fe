package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// siteRegisterInterval is the time between two registrations of a runner.
	siteRegisterInterval = 500 * time.Millisecond
	// maxSiteLease limits the lease that a runner grants. It exceeds what holders ask
	// for, as a deadline on another clock may.
	maxSiteLease = 10 * time.Second
	// minSiteClock and maxSiteClock bound what a runner's clock shows when it starts.
	minSiteClock = time.Minute
	maxSiteClock = 10 * time.Hour
	// maxSiteHoldWait limits the time that a hold request waits.
	maxSiteHoldWait = 2 * time.Second
	// siteLateOrderDelay is the delay of an order under the switch "late_orders".
	siteLateOrderDelay = 2 * time.Second
	// minSiteLateStart and maxSiteLateStart bound the delay of a start under the switch
	// "late_starts".
	minSiteLateStart = 2 * time.Second
	maxSiteLateStart = 8 * time.Second
	// siteUnknownLife is how long after a life was first listed its starts may be of orders
	// for a former one that the daemons could not refuse yet: the timeout of a stop and its
	// retry.
	siteUnknownLife = time.Second
	// siteRestartDelay is the time that a crashed runner takes to restart.
	siteRestartDelay = 500 * time.Millisecond
	// siteEndCheckInterval is the time between two checks for runs that have ended.
	siteEndCheckInterval = 5 * time.Millisecond
)

// SiteRunnerOptions configures a SiteRunner.
type SiteRunnerOptions struct {
	ID      string
	Service string
	Zone    string
	Rack    string
	// MilliCores and MemoryMB are the capacity.
	MilliCores int64
	MemoryMB   int64
	// WorkTime is the run time of each task.
	WorkTime time.Duration
	// Store is the store in which the runner registers.
	Store *SiteStore
	// Size returns the resources that a task occupies. If it is nil, the runner
	// doesn't check its capacity.
	Size func(task string) (milliCores, memoryMB int64)
	// Watch records the starts, ends and acknowledgements of tasks; it may be nil.
	Watch *SiteWatch
}

// SiteRunner is a stand-in for a runner of the users' platform. It runs tasks
// under a lease, and rejects orders with a fencing token lower than the highest
// that it has seen. A run is one execution of a task; the runs of a task are
// numbered. An incarnation lasts from one start of the runner to the next, and
// is identified by its time of start, born.
type SiteRunner struct {
	opts         SiteRunnerOptions
	faults       *Faults
	link         *linkFaults
	lateOrders   *atomic.Int64
	lateStarts   *atomic.Int64
	failTasks    *atomic.Bool
	hangTasks    *atomic.Bool
	unregistered *atomic.Bool

	mu      sync.Mutex
	address string
	born    time.Time
	// clockAtBirth is what the runner's own clock showed when it started.
	clockAtBirth time.Duration
	// fence is the highest fencing token that has been seen.
	fence int64
	// listedAt is when this life was first listed. unknownLife is set during a late start
	// in a life that the daemons can't know yet.
	listedAt    time.Time
	unknownLife bool
	// deadline is the end of the lease on the runner's clock.
	deadline time.Duration
	running  map[string]*siteRun
	// barred holds for each task the run number up to which runs may not start.
	barred map[string]int
	// ended holds the ended runs that are not acknowledged yet, each as its
	// sequence number, task, run number, state and checkpoint.
	ended         [][]any
	lastEndSeq    int
	drainingSince time.Time
	changed       chan struct{}
	// violations describes the broken guarantees that this runner has seen.
	violations []string
	stop       chan struct{}
	loopDone   sync.WaitGroup
}

// siteRun is a run in progress.
type siteRun struct {
	task       string
	number     int
	endsAt     time.Time
	checkpoint string
	startedAt  time.Time
}

// NewSiteRunner returns a runner, which Start registers.
func NewSiteRunner(opts SiteRunnerOptions) *SiteRunner {
	r := &SiteRunner{opts: opts, faults: newFaults(), changed: make(chan struct{}), stop: make(chan struct{})}
	r.link = newLinkFaults(r.faults)
	r.lateOrders = r.faults.addInt("late_orders", "abort this many orders and execute them two seconds later", 0)
	r.lateStarts = r.faults.addInt("late_starts", "abort this many of 100 starts and execute them two to eight seconds later, whatever has started again by then", 0)
	r.failTasks = r.faults.addBool("fail_tasks", "end every task as failed")
	r.hangTasks = r.faults.addBool("hang_tasks", "let tasks make no progress")
	r.unregistered = r.faults.addBool("unregistered", "write no registrations")
	r.faults.addAction("crash", "lose all runs, and start again under the same id half a second later", func(json.RawMessage) error {
		r.crash()
		return nil
	})
	r.faults.addAction("drain", "report that the runner is draining", func(json.RawMessage) error {
		r.mu.Lock()
		r.drainingSince = time.Now()
		r.mu.Unlock()
		r.register()
		return nil
	})
	r.resetState()
	return r
}

// Faults implements Service.
func (r *SiteRunner) Faults() *Faults { return r.faults }

// Start registers the runner under its address and keeps it registered until
// Close.
func (r *SiteRunner) Start(address string) {
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	r.register()
	r.loopDone.Add(1)
	go r.loop()
}

// Close stops the goroutine that Begin started, without ending the runs in
// progress.
func (r *SiteRunner) Close() {
	close(r.stop)
	r.loopDone.Wait()
}

// Violations returns a description of each broken guarantee that this runner has
// seen, such as a task that runs twice.
func (r *SiteRunner) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// Running returns the names of the running tasks, sorted.
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

// crash loses all runs. A new incarnation starts after siteRestartDelay.
func (r *SiteRunner) crash() {
	r.link.down.Store(true)
	r.mu.Lock()
	for task := range r.running {
		r.opts.Watch.recordEnd(r.opts.ID, task, "lost")
	}
	r.running = make(map[string]*siteRun)
	r.mu.Unlock()
	time.AfterFunc(siteRestartDelay, func() {
		r.resetState()
		r.link.down.Store(false)
		r.register()
	})
}

// resetState starts a new incarnation with no runs and no fencing token.
func (r *SiteRunner) resetState() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = time.Now()
	r.clockAtBirth = minSiteClock + rand.N(maxSiteClock-minSiteClock)
	r.fence, r.deadline, r.lastEndSeq, r.ended = 0, 0, 0, nil
	r.running, r.barred = make(map[string]*siteRun), make(map[string]int)
	r.drainingSince, r.listedAt = time.Time{}, time.Time{}
	r.notifyLocked()
}

// notifyLocked wakes the waiting hold requests.
func (r *SiteRunner) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// clock returns the time on the runner's own clock.
func (r *SiteRunner) clock() time.Duration { return time.Since(r.born) + r.clockAtBirth }

// register writes the runner's entry to the store, unless the runner is down or
// the switch "unregistered" is set.
func (r *SiteRunner) register() {
	if r.unregistered.Load() || r.link.down.Load() {
		return
	}
	r.mu.Lock()
	state := "ready"
	if !r.drainingSince.IsZero() {
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

// loop ends due runs and registers the runner periodically until Close.
func (r *SiteRunner) loop() {
	defer r.loopDone.Done()
	endTicker := time.NewTicker(siteEndCheckInterval)
	defer endTicker.Stop()
	registerTicker := time.NewTicker(siteRegisterInterval)
	defer registerTicker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-registerTicker.C:
			r.register()
		case <-endTicker.C:
			r.endDueRuns()
		}
	}
}

// endDueRuns ends the runs whose time is over, and all runs if the lease has
// lapsed.
func (r *SiteRunner) endDueRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	lapsed := r.clock() > r.deadline
	for _, run := range r.running {
		switch {
		case lapsed:
			r.endRunLocked(run, "lapsed")
		case r.hangTasks.Load():
			run.endsAt = now.Add(r.opts.WorkTime)
		case now.After(run.endsAt) && r.failTasks.Load():
			r.endRunLocked(run, "failed")
		case now.After(run.endsAt):
			r.endRunLocked(run, "done")
		}
	}
}

// endRunLocked ends a run in a state such as "done", and bars its number.
func (r *SiteRunner) endRunLocked(run *siteRun, state string) {
	delete(r.running, run.task)
	r.opts.Watch.recordEnd(r.opts.ID, run.task, state)
	r.barred[run.task] = max(r.barred[run.task], run.number)
	r.lastEndSeq++
	r.ended = append(r.ended, []any{r.lastEndSeq, run.task, run.number, state, run.checkpoint})
	r.notifyLocked()
}

// siteOrder is the body of an order of any kind.
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
	mux.HandleFunc("POST /-/run-start", r.startHandler)
	mux.HandleFunc("POST /-/run-stop", r.orderHandler(r.stopRunLocked))
	mux.HandleFunc("POST /-/pace", r.orderHandler(func(siteOrder) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", r.handleHold)
	return r.link.wrap(mux)
}

// checkExpectedInstance reports whether an order is meant for this runner, and
// responds with status 421 if it isn't.
func (r *SiteRunner) checkExpectedInstance(w http.ResponseWriter, req *http.Request) bool {
	if id := req.Header.Get("Bluebellstile-Expect-Instance"); id != "" && id != r.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// orderHandler returns a handler for orders that are answered at once. Under the
// switch "late_orders" it aborts the request and executes the order later, unless
// the runner has restarted by then.
func (r *SiteRunner) orderHandler(apply func(siteOrder) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var o siteOrder
		if status, err := readJSON(w, req, maxSiteBodyBytes, &o); err != nil {
			http.Error(w, err.Error(), status)
			return
		}
		if !r.checkExpectedInstance(w, req) {
			return
		}
		if r.lateOrders.Load() > 0 {
			r.lateOrders.Add(-1)
			born := r.bornAt()
			time.AfterFunc(siteLateOrderDelay, func() {
				if r.bornAt().Equal(born) {
					r.executeOrder(o, apply)
				}
			})
			panic(http.ErrAbortHandler)
		}
		status, reason, clock := r.executeOrder(o, apply)
		answer := map[string]any{"clock_ms": clock.Milliseconds()}
		if reason != "" {
			answer["reason"] = reason
		}
		writeJSON(w, status, answer)
	}
}

// startHandler handles starts. Under the switch "late_starts" it aborts some of them and
// executes them later.
func (r *SiteRunner) startHandler(w http.ResponseWriter, req *http.Request) {
	if rand.Int64N(100) >= r.lateStarts.Load() {
		r.orderHandler(r.startRunLocked)(w, req)
		return
	}
	var o siteOrder
	if status, err := readJSON(w, req, maxSiteBodyBytes, &o); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if !r.checkExpectedInstance(w, req) {
		return
	}
	born := r.bornAt()
	time.AfterFunc(minSiteLateStart+rand.N(maxSiteLateStart-minSiteLateStart), func() { r.startLate(o, born) })
	panic(http.ErrAbortHandler)
}

// startLate executes a start that was aborted in a life of the runner, in whatever life it
// is now. One that is down executes nothing.
func (r *SiteRunner) startLate(o siteOrder, born time.Time) {
	if r.link.down.Load() {
		return
	}
	r.executeOrder(o, func(o siteOrder) (int, string) {
		r.unknownLife = !r.born.Equal(born) && (r.listedAt.IsZero() || time.Since(r.listedAt) < siteUnknownLife)
		defer func() { r.unknownLife = false }()
		return r.startRunLocked(o)
	})
}

// bornAt returns the time of start of the current incarnation.
func (r *SiteRunner) bornAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

// executeOrder calls apply for an order unless its fencing token is too low. It
// returns the HTTP status, the reason of a refusal and the runner's clock.
func (r *SiteRunner) executeOrder(o siteOrder, apply func(siteOrder) (int, string)) (int, string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		return http.StatusConflict, "fence", r.clock()
	}
	r.fence = o.Fence
	status, reason := apply(o)
	return status, reason, r.clock()
}

// startRunLocked starts a run. Starting the same run again has no effect;
// starting another run of a running task is recorded as a violation. A barred
// run is refused as "old", a run whose lease would already have lapsed as "late".
func (r *SiteRunner) startRunLocked(o siteOrder) (int, string) {
	current := r.running[o.Task]
	if current != nil && current.number == o.Run {
		return http.StatusOK, ""
	}
	deadline := time.Duration(o.DeadlineMS) * time.Millisecond
	switch {
	case o.Run <= r.barred[o.Task]:
		return http.StatusConflict, "old"
	case deadline < r.clock():
		return http.StatusConflict, "late"
	}
	if current != nil {
		r.violations = append(r.violations, fmt.Sprintf("%s runs twice", o.Task))
	}
	r.extendLeaseLocked(deadline)
	r.running[o.Task] = &siteRun{task: o.Task, number: o.Run, endsAt: time.Now().Add(r.opts.WorkTime), checkpoint: o.Checkpoint, startedAt: time.Now()}
	if r.unknownLife {
		r.opts.Watch.recordUnknownLife()
	} else {
		r.opts.Watch.recordStart(r.opts.ID, o.Task)
	}
	r.checkCapacityLocked(o.Task)
	return http.StatusOK, ""
}

// checkCapacityLocked records a violation if the running tasks need more than the
// runner's capacity, after a start of task.
func (r *SiteRunner) checkCapacityLocked(task string) {
	if r.opts.Size == nil {
		return
	}
	var cores, memory int64
	for name := range r.running {
		c, m := r.opts.Size(name)
		cores, memory = cores+c, memory+m
	}
	if cores > r.opts.MilliCores || memory > r.opts.MemoryMB {
		r.violations = append(r.violations, fmt.Sprintf("%s brings %s over its capacity", task, r.opts.ID))
	}
}

// extendLeaseLocked extends the lease to deadline, but to no more than
// maxSiteLease from now. It never shortens the lease.
func (r *SiteRunner) extendLeaseLocked(deadline time.Duration) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+maxSiteLease))
}

// stopRunLocked stops a run and bars its number, whether it is running or not.
func (r *SiteRunner) stopRunLocked(o siteOrder) (int, string) {
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if current := r.running[o.Task]; current != nil && current.number <= o.Run {
		current.checkpoint = fmt.Sprintf("saved-%d", current.number)
		r.endRunLocked(current, "stopped")
	}
	return http.StatusOK, ""
}

// handleHold extends the lease and responds with the listing of runs, as soon as
// there is an ended run or when the wait of the request is over.
func (r *SiteRunner) handleHold(w http.ResponseWriter, req *http.Request) {
	var o siteOrder
	if status, err := readJSON(w, req, maxSiteBodyBytes, &o); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if !r.checkExpectedInstance(w, req) {
		return
	}
	status, reason, clock := r.executeOrder(o, r.applyHoldLocked)
	if status != http.StatusOK {
		writeJSON(w, status, map[string]any{"clock_ms": clock.Milliseconds(), "reason": reason})
		return
	}
	wait := min(time.Duration(o.WaitMS)*time.Millisecond, maxSiteHoldWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		listing, ends, changed := r.listing()
		if ends || wait == 0 {
			r.noteListed()
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

// noteListed notes that this life is about to be listed.
func (r *SiteRunner) noteListed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listedAt.IsZero() {
		r.listedAt = time.Now()
	}
}

// applyHoldLocked extends the lease and removes the acknowledged ended runs.
func (r *SiteRunner) applyHoldLocked(o siteOrder) (int, string) {
	if o.DeadlineMS > 0 {
		r.extendLeaseLocked(time.Duration(o.DeadlineMS) * time.Millisecond)
	}
	for len(r.ended) > 0 && r.ended[0][0].(int) <= o.AckedUpto {
		r.opts.Watch.recordAck(r.ended[0][1].(string), r.ended[0][3].(string))
		r.ended = r.ended[1:]
	}
	return http.StatusOK, ""
}

// siteListedEnds is how many ends a response lists. The others follow once these are
// acknowledged.
const siteListedEnds = 500

// listing returns the state of the runner in the form of the hold response,
// whether it has ended runs, and the channel that the next change closes.
func (r *SiteRunner) listing() (listing map[string]any, ends bool, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := [][]any{}
	for _, run := range r.running {
		// The last field is the load in thousandths of a core.
		percent := min(99, int(100*time.Since(run.startedAt)/max(r.opts.WorkTime, 1)))
		running = append(running, []any{run.task, run.number, run.checkpoint, percent, 1000})
	}
	listing = map[string]any{
		"clock_ms": r.clock().Milliseconds(),
		"born":     r.born.UnixMilli(),
		"running":  running,
		"ended":    append([][]any{}, r.ended[:min(len(r.ended), siteListedEnds)]...),
	}
	if !r.drainingSince.IsZero() {
		// A drain takes 2.5 seconds.
		listing["remaining_ms"] = max(0, (2500*time.Millisecond - time.Since(r.drainingSince)).Milliseconds())
	}
	return listing, len(r.ended) > 0, r.changed
}
