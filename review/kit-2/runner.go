package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployment, as in the users' settings.
const (
	heartbeat  = 1500 * time.Millisecond
	holdMax    = 6 * time.Second
	stopTakes  = 100 * time.Millisecond
	gangWait   = 3 * time.Second
	listedEnds = 500
	startup    = 300 * time.Millisecond
)

// fleet is all runners of the deployment and what they have run. One lock guards
// everything, so that the judge sees one state.
type fleet struct {
	mu      sync.Mutex
	store   *store
	rec     *recorder
	jobs    map[string]*job
	runners []*runner
	// done holds the tasks (or gang steps) that have ended done.
	done map[string]bool
	// runs counts the starts of each task.
	runs map[string]int
	// violations are broken rules other than the one that a case is about.
	violations []string
	change     chan struct{}
}

type runner struct {
	f        *fleet
	id, rack string
	// kind is the runner's first label.
	kind     string
	addr     string
	cpu, mem int64
	// started is when this life began, born what its machine takes it for.
	started, born time.Time
	down          bool
	// dark is set for a runner without power: it answers nothing.
	dark     bool
	fence    int64
	deadline time.Duration
	running  map[string]*run
	barred   map[string]int
	ended    [][]any
	ends     int
	seq      int
	server   *http.Server
}

// run is a task at work, or waiting for the other members of its gang.
type run struct {
	task     taskName
	number   int
	r        *runner
	started  time.Time
	work     time.Duration
	endsAt   time.Time
	stopAt   time.Time
	fails    bool
	together bool
}

type taskName struct {
	job               string
	k, step, index    int
	name, step0, base string
}

func parseTask(name string) (taskName, bool) {
	f := strings.Split(name, ".")
	if len(f) != 4 {
		return taskName{}, false
	}
	t := taskName{job: f[0], name: name}
	t.k, _ = strconv.Atoi(f[1])
	t.step, _ = strconv.Atoi(f[2])
	t.index, _ = strconv.Atoi(f[3])
	t.base = f[0] + "." + f[1]
	t.step0 = t.base + "." + f[2]
	return t, true
}

func newFleet(s *store, rec *recorder) *fleet {
	return &fleet{store: s, rec: rec, jobs: make(map[string]*job), done: make(map[string]bool), runs: make(map[string]int), change: make(chan struct{})}
}

// add starts a runner in a rack. ahead is how far the time of day of its machine is
// ahead, which shows in born.
func (f *fleet) add(id, kind, rack string, cpu, mem int64, ahead time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &runner{f: f, id: id, kind: kind, rack: rack, addr: l.Addr().String(), cpu: cpu, mem: mem, started: time.Now(), born: time.Now().Add(ahead), running: make(map[string]*run), barred: make(map[string]int)}
	r.server = &http.Server{Handler: r}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	r.register()
	f.mu.Unlock()
	go func() { _ = r.server.Serve(l) }()
	return nil
}

// register writes the runner's entry; the caller holds the lock.
func (r *runner) register() {
	r.seq++
	value, _ := json.Marshal(map[string]any{
		"service": service, "addr": r.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": r.seq,
		"born": r.born.UnixMilli(), "machine": "m-" + r.id, "labels": []string{r.kind, r.rack},
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0},
	})
	r.f.store.put(topicServers, r.id, value)
}

// darken takes the power of runners for good: they answer nothing any more, and
// their entries go after three check-ins.
func (f *fleet) darken(runners ...*runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range runners {
		r.down, r.dark = true, true
		r.running = make(map[string]*run)
		f.rec.line("runner %s loses power for good", r.id)
		time.AfterFunc(3*heartbeat, func() { f.store.put(topicServers, r.id, nil) })
	}
}

// crash ends a runner's life, and begins the next one under the same id after a time,
// with the right time of day.
func (f *fleet) crash(r *runner, d time.Duration) {
	f.mu.Lock()
	r.down = true
	f.rec.line("runner %s crashes with %d runs", r.id, len(r.running))
	r.running = make(map[string]*run)
	close(f.change)
	f.change = make(chan struct{})
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	r.started, r.born = time.Now(), time.Now()
	r.fence, r.deadline, r.ends, r.ended = 0, 0, 0, nil
	r.barred = make(map[string]int)
	r.down = false
	r.register()
	f.rec.line("runner %s is back, born %d", r.id, r.born.UnixMilli())
}

// lose ends a runner for good: its channels are reset, and its entry goes after
// three check-ins.
func (f *fleet) lose(r *runner) {
	f.mu.Lock()
	r.down = true
	for _, x := range r.running {
		f.rec.line("runner %s is lost with %s run %d", r.id, x.task.name, x.number)
	}
	r.running = make(map[string]*run)
	f.mu.Unlock()
	_ = r.server.Close()
	time.AfterFunc(3*heartbeat, func() { f.store.put(topicServers, r.id, nil) })
}

func (r *runner) clock() time.Duration { return time.Since(r.started) + time.Hour }

// loop plays the runners until stop is closed.
func (f *fleet) loop(stop chan struct{}) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		select {
		case <-stop:
			return
		case <-beat.C:
			f.mu.Lock()
			for _, r := range f.runners {
				if !r.down {
					r.register()
				}
			}
			f.mu.Unlock()
		case <-tick.C:
			f.mu.Lock()
			f.step(time.Now())
			f.mu.Unlock()
		}
	}
}

// step ends what is due; the caller holds the lock.
func (f *fleet) step(now time.Time) {
	for _, r := range f.runners {
		for _, x := range r.running {
			j := f.jobs[x.task.job]
			s := j.Steps[x.task.step]
			switch {
			case r.clock() > r.deadline:
				f.end(x, "lapsed")
			case !x.stopAt.IsZero() && now.After(x.stopAt):
				f.end(x, "stopped")
			case s.Gang && !x.together:
				members := f.members(x)
				if len(members) == s.Count {
					far := s.SameRack && !oneRack(members)
					for _, m := range members {
						m.together = true
						work := m.work
						if far {
							work = time.Duration(float64(work) * farFactor)
						}
						m.endsAt = now.Add(work)
					}
				} else if now.Sub(x.started) > gangWait {
					f.end(x, "alone")
				}
			case s.LongRunning:
			case now.After(x.endsAt):
				how := "done"
				if x.fails {
					how = "failed"
				}
				if s.Gang {
					for _, m := range f.members(x) {
						f.end(m, how)
					}
				} else {
					f.end(x, how)
				}
			}
		}
	}
}

// members returns the members of a gang's run that are present.
func (f *fleet) members(x *run) []*run {
	var out []*run
	for _, r := range f.runners {
		for _, m := range r.running {
			if m.task.step0 == x.task.step0 && m.number == x.number {
				out = append(out, m)
			}
		}
	}
	return out
}

func oneRack(members []*run) bool {
	for _, m := range members {
		if m.r.rack != members[0].r.rack {
			return false
		}
	}
	return true
}

// end ends a run; the caller holds the lock.
func (f *fleet) end(x *run, how string) {
	r := x.r
	if r.running[x.task.name] != x {
		return
	}
	delete(r.running, x.task.name)
	r.barred[x.task.name] = max(r.barred[x.task.name], x.number)
	r.ends++
	r.ended = append(r.ended, []any{r.ends, x.task.name, x.number, how, ""})
	f.rec.line("runner %s: %s run %d ended %s", r.id, x.task.name, x.number, how)
	s := f.jobs[x.task.job].Steps[x.task.step]
	if how == "done" && !s.LongRunning {
		f.done[x.task.name] = true
		if s.Gang {
			for i := range s.Count {
				f.done[fmt.Sprintf("%s.%d", x.task.step0, i)] = true
			}
		}
	} else if s.Gang && x.together {
		x.together = false
		for _, m := range f.members(x) {
			f.end(m, "broken")
		}
	}
	close(f.change)
	f.change = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	AckedUpto  int    `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get("Bluebellstile-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := r.f
	f.mu.Lock()
	if r.down && !r.dark {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if r.dark {
		f.mu.Unlock()
		f.rec.line("runner %s has no power and does not answer %s %s", r.id, req.URL.Path, o.Task)
		<-req.Context().Done()
		return
	}
	status, reason := http.StatusConflict, "fence"
	if o.Fence >= r.fence {
		r.fence = o.Fence
		switch req.URL.Path {
		case "/-/run-start":
			status, reason = r.start(o)
		case "/-/run-stop":
			status, reason = r.stop(o)
		case "/-/pace":
			status, reason = http.StatusOK, ""
		case "/-/hold":
			status, reason = http.StatusOK, ""
			r.extend(o.DeadlineMS)
			for len(r.ended) > 0 && r.ended[0][0].(int) <= o.AckedUpto {
				r.ended = r.ended[1:]
			}
		default:
			status, reason = http.StatusNotFound, "path"
		}
	}
	clock := r.clock().Milliseconds()
	f.mu.Unlock()
	if status != http.StatusOK || req.URL.Path != "/-/hold" {
		answer := map[string]any{"clock_ms": clock}
		if reason != "" {
			answer["reason"] = reason
		}
		reply(w, status, answer)
		return
	}
	timer := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	for {
		f.mu.Lock()
		list, ends, changed, dark, down := r.list(), len(r.ended), f.change, r.dark, r.down
		f.mu.Unlock()
		if down && !dark {
			panic(http.ErrAbortHandler)
		}
		if dark {
			<-req.Context().Done()
			return
		}
		if ends > 0 || o.WaitMS == 0 {
			reply(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			o.WaitMS = 0
		case <-req.Context().Done():
			return
		}
	}
}

func (r *runner) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		r.deadline = max(r.deadline, min(time.Duration(deadlineMS)*time.Millisecond, r.clock()+holdMax))
	}
}

func (r *runner) start(o order) (int, string) {
	f := r.f
	t, ok := parseTask(o.Task)
	if !ok || o.Run < 1 {
		return http.StatusBadRequest, "task"
	}
	j := f.jobs[t.job]
	if j == nil || o.Spec != j.Spec {
		f.violations = append(f.violations, "UNASKED "+o.Task)
		return http.StatusBadRequest, "unasked"
	}
	if x := r.running[o.Task]; x != nil && x.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= r.barred[o.Task] {
		r.extend(o.DeadlineMS)
		return http.StatusConflict, "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.extend(o.DeadlineMS)
	for _, other := range f.runners {
		if x := other.running[o.Task]; x != nil {
			f.violations = append(f.violations, fmt.Sprintf("TWICE %s runs %d and %d", o.Task, x.number, o.Run))
		}
	}
	if f.done[o.Task] {
		f.violations = append(f.violations, "TWICE "+o.Task+" after its end done")
	}
	s := j.Steps[t.step]
	f.runs[o.Task]++
	j.begun = true
	now := time.Now()
	x := &run{task: t, number: o.Run, r: r, started: now, work: s.work, fails: f.runs[o.Task] <= s.failsFirst}
	if s.Affinity != "" && s.Affinity != r.rack {
		x.work = time.Duration(float64(x.work) * farFactor)
	}
	x.endsAt = now.Add(x.work)
	r.running[o.Task] = x
	f.rec.line("runner %s starts %s run %d", r.id, o.Task, o.Run)
	if cpu, mem := r.used(); cpu > r.cpu || mem > r.mem {
		f.violations = append(f.violations, "LIMIT "+o.Task+" on "+r.id)
	}
	return http.StatusOK, ""
}

// used returns what the runs take; the caller holds the lock.
func (r *runner) used() (cpu, mem int64) {
	for _, x := range r.running {
		s := r.f.jobs[x.task.job].Steps[x.task.step]
		cpu, mem = cpu+s.CPU, mem+s.Mem
	}
	return cpu, mem
}

func (r *runner) stop(o order) (int, string) {
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.number <= o.Run && x.stopAt.IsZero() {
		r.f.rec.line("runner %s is told to stop %s run %d", r.id, o.Task, o.Run)
		x.stopAt = time.Now().Add(stopTakes)
	}
	return http.StatusOK, ""
}

func (r *runner) list() map[string]any {
	running := [][]any{}
	for _, x := range r.running {
		s := r.f.jobs[x.task.job].Steps[x.task.step]
		percent := 0
		switch since := time.Since(x.started); {
		case s.LongRunning && since > startup:
			percent = 100
		case s.LongRunning:
		case s.Gang && !x.together:
		default:
			percent = int(100 * (1 - float64(time.Until(x.endsAt))/float64(max(x.work, 1))))
		}
		running = append(running, []any{x.task.name, x.number, "", min(max(percent, 0), 100), s.CPU})
	}
	ended := r.ended[:min(len(r.ended), listedEnds)]
	if ended == nil {
		ended = [][]any{}
	}
	return map[string]any{"clock_ms": r.clock().Milliseconds(), "born": r.born.UnixMilli(), "running": running, "ended": append([][]any{}, ended...)}
}
