package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	service = "washdesk"
	// other is a second service, in one of the cases.
	other     = "vandesk"
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	stopGrace = 900 * time.Millisecond
	// startup is the short startup of a task that lasts.
	startup = 200 * time.Millisecond
)

// runner is a stand-in of a runner. It doesn't guard its room, and does what
// PROTOCOL.md says under "Running tasks" and "Service discovery".
type runner struct {
	id      string
	zone    string
	service string
	cpu     int64
	mem     int64
	site    *site

	mu     sync.Mutex
	addr   string
	server *http.Server
	up     bool
	kind   string
	rack   string
	// wallOff is how far the machine's time of day is off.
	wallOff time.Duration
	born    time.Time
	bornMS  int64
	// clockAtBirth is what the runner's clock shows at its start.
	clockAtBirth time.Duration
	seq          int
	fence        int64
	deadline     time.Duration
	running      map[string]*run
	barred       map[string]int
	ended        [][]any
	lastEnd      int
	changed      chan struct{}
	// heldAt is when this life first answered a hold, which tells its start.
	heldAt time.Time
}

// run is a run in progress.
type run struct {
	task    string
	number  int
	spec    spec
	started time.Time
	// stopping is when a stop was ordered.
	stopping time.Time
	fail     bool
}

// spec is what the cases write into the spec of a job.
type spec struct {
	// MS is the work of a task; 0 for tasks that last.
	MS int `json:"ms"`
	// Kind is the label that the step requires, to judge starts.
	Kind string `json:"kind,omitempty"`
	// CPU is the size of a task.
	CPU int64 `json:"cpu"`
}

// start starts a life of the runner, at the address that it had.
func (r *runner) start() error {
	addr := r.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.order(r.runStart))
	mux.HandleFunc("POST /-/run-stop", r.order(r.runStop))
	mux.HandleFunc("POST /-/pace", r.order(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", r.hold)
	r.mu.Lock()
	r.addr, r.up = l.Addr().String(), true
	r.born = time.Now()
	r.bornMS = r.born.Add(r.wallOff).UnixMilli()
	r.clockAtBirth = 400 * time.Second
	r.fence, r.deadline, r.lastEnd, r.seq, r.ended = 0, 0, 0, 0, nil
	r.running, r.barred, r.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	r.heldAt = time.Time{}
	r.server = &http.Server{Handler: mux}
	server, born := r.server, r.born
	r.site.rec.line("runner %s starts, born %d, kind %s, its time of day is off by %s", r.id, r.bornMS, r.kind, r.wallOff)
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.work(born)
	return nil
}

// crash ends the runner and all that it runs.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	for _, x := range r.running {
		r.site.note(r, x, "lost")
	}
	r.site.rec.line("runner %s crashes with %d runs", r.id, len(r.running))
	r.running = make(map[string]*run)
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

// checkIn writes the runner's entry.
func (r *runner) checkIn() {
	r.mu.Lock()
	r.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": []string{r.kind, r.rack},
		"machine": "m-" + r.id, "born": r.bornMS, "clock_ms": r.clock().Milliseconds(), "seq": r.seq,
	})
	r.mu.Unlock()
	r.site.store.put(topicServers, r.id, entry)
}

// work checks in and ends runs until the life ends.
func (r *runner) work(born time.Time) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	var checked time.Time
	for range tick.C {
		r.mu.Lock()
		if !r.up || r.born != born {
			r.mu.Unlock()
			return
		}
		due := time.Since(checked) >= heartbeat && time.Since(born) >= r.site.firstCheckIn
		now := time.Now()
		lapsed := r.clock() > r.deadline
		for _, x := range r.running {
			switch {
			case lapsed:
				r.end(x, "lapsed")
			case !x.stopping.IsZero() && now.Sub(x.stopping) >= stopGrace/3:
				r.end(x, "stopped")
			case x.fail:
				r.end(x, "failed")
			case x.spec.MS > 0 && now.Sub(x.started) >= time.Duration(x.spec.MS)*time.Millisecond:
				r.end(x, "done")
			}
		}
		r.mu.Unlock()
		if due {
			checked = now
			r.checkIn()
		}
	}
}

// end ends a run; the caller holds mu.
func (r *runner) end(x *run, how string) {
	delete(r.running, x.task)
	r.barred[x.task] = max(r.barred[x.task], x.number)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, x.task, x.number, how, ""})
	r.site.note(r, x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) clock() time.Duration { return r.clockAtBirth + time.Since(r.born) }

// order is the body of an order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	AckedUpto  int    `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

// read reads an order and checks whether it is meant for this runner and of the highest fence.
func (r *runner) read(w http.ResponseWriter, q *http.Request) (o order, ok bool) {
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := q.Header.Get("Bluebellstile-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		respond(w, http.StatusConflict, map[string]any{"clock_ms": r.clock().Milliseconds(), "reason": "fence"})
		return o, false
	}
	r.fence = o.Fence
	return o, true
}

// order serves an order that is answered at once.
func (r *runner) order(apply func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		o, ok := r.read(w, q)
		if !ok {
			return
		}
		r.mu.Lock()
		status, reason := apply(o)
		answer := map[string]any{"clock_ms": r.clock().Milliseconds()}
		r.mu.Unlock()
		if reason != "" {
			answer["reason"] = reason
		}
		respond(w, status, answer)
	}
}

// extend extends the lease; the caller holds mu.
func (r *runner) extend(ms int64) {
	r.deadline = max(r.deadline, min(time.Duration(ms)*time.Millisecond, r.clock()+holdMax))
}

func (r *runner) runStart(o order) (int, string) {
	if x := r.running[o.Task]; x != nil && x.number == o.Run {
		return http.StatusOK, ""
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.extend(o.DeadlineMS)
	if o.Run <= r.barred[o.Task] {
		return http.StatusConflict, "old"
	}
	x := &run{task: o.Task, number: o.Run, started: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &x.spec); err != nil {
		return http.StatusBadRequest, ""
	}
	r.running[o.Task] = x
	r.site.noteStart(r, x)
	return http.StatusOK, ""
}

func (r *runner) runStop(o order) (int, string) {
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.number <= o.Run && x.stopping.IsZero() {
		x.stopping = time.Now()
	}
	return http.StatusOK, ""
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	if o.DeadlineMS > 0 {
		r.extend(o.DeadlineMS)
	}
	for len(r.ended) > 0 && r.ended[0][0].(int) <= o.AckedUpto {
		r.site.noteAcked(r, r.ended[0])
		r.ended = r.ended[1:]
	}
	r.mu.Unlock()
	until := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer until.Stop()
	for over := o.WaitMS == 0; ; {
		r.mu.Lock()
		rows := [][]any{}
		for _, x := range r.running {
			rows = append(rows, []any{x.task, x.number, "", r.percent(x), x.spec.CPU})
		}
		ended := append([][]any{}, r.ended[:min(len(r.ended), 500)]...)
		answer := map[string]any{"clock_ms": r.clock().Milliseconds(), "born": r.bornMS, "running": rows, "ended": ended}
		changed := r.changed
		if r.heldAt.IsZero() && (over || len(ended) > 0) {
			r.heldAt = time.Now()
			r.site.rec.line("runner %s answers a hold for the first time in this life", r.id)
		}
		r.mu.Unlock()
		if over || len(ended) > 0 {
			respond(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-q.Context().Done():
			return
		}
	}
}

// percent is the progress of a run; the caller holds mu.
func (r *runner) percent(x *run) int {
	ran := time.Since(x.started)
	if x.spec.MS == 0 {
		return int(min(100, 100*ran/startup))
	}
	return int(min(100, 100*ran/(time.Duration(x.spec.MS)*time.Millisecond)))
}

// used is the processors in use; the caller holds mu.
func (r *runner) used() int64 {
	n := int64(0)
	for _, x := range r.running {
		n += x.spec.CPU
	}
	return n
}

// jobOf returns the job of a task's name.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (r *runner) String() string { return fmt.Sprintf("%s(%s)", r.id, r.kind) }
