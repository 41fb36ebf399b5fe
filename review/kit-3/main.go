// Command kit3 plays the cases of the third review: daemons of the project as
// processes of their own, and stand-ins of the platform's store, the runners and
// the clients in this one. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.since).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// site is a small deployment.
type site struct {
	dir     string
	trouble bool
	rec     *recorder
	store   *store
	// storeAddr is the store's address, firstCheckIn how long after its start a runner
	// checks in first.
	storeAddr    string
	firstCheckIn time.Duration
	runners      []*runner
	daemons      []*daemon
	client       *client

	mu   sync.Mutex
	jobs map[string]*job
	// history holds the starts and ends of each task, in order.
	history map[string][]event
	// broken says how the rule was broken, empty while it holds.
	broken []string
}

// event is a start, an end or the acknowledgement of an end.
type event struct {
	at     time.Time
	what   string
	number int
	runner string
}

func (s *site) register(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
}

func (s *site) add(task string, e event) {
	e.at = time.Now()
	s.mu.Lock()
	s.history[task] = append(s.history[task], e)
	s.mu.Unlock()
	s.rec.line("task %s run %d on %s: %s", task, e.number, e.runner, e.what)
}

// noteStart records a start, and judges it by the rules that a start can break alone; the
// runner's lock is held.
func (s *site) noteStart(r *runner, x *run) {
	s.add(x.task, event{what: "start", number: x.number, runner: r.id})
	if x.spec.Kind == "" || x.spec.Kind == r.kind {
		return
	}
	// A start that was under way when the runner came back isn't held against the system.
	if known := time.Since(r.heldAt); !r.heldAt.IsZero() && known >= 5*time.Millisecond {
		s.breaks("ROUTE: task %s requires the label %s and was started on runner %s, whose labels are %s and %s, %s after it had told of its new life", x.task, x.spec.Kind, r.id, r.kind, r.rack, known.Round(time.Millisecond))
	}
}

// note records an end; the runner's lock is held.
func (s *site) note(r *runner, x *run, how string) {
	s.add(x.task, event{what: how, number: x.number, runner: r.id})
}

// noteAcked records that an end was acknowledged; the runner's lock is held.
func (s *site) noteAcked(r *runner, row []any) {
	s.add(row[1].(string), event{what: "acknowledged " + row[3].(string), number: row[2].(int), runner: r.id})
}

func (s *site) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.rec.line("BROKEN %s", text)
	s.mu.Lock()
	s.broken = append(s.broken, text)
	s.mu.Unlock()
}

// runsOf returns how many runs of a job are on the runners.
func (s *site) runsOf(id string) int {
	n := 0
	for _, r := range s.runners {
		r.mu.Lock()
		for task := range r.running {
			if jobOf(task) == id {
				n++
			}
		}
		r.mu.Unlock()
	}
	return n
}

// configuration is the operator's: the three queues of the laundry, or a later version
// without some.
func configuration(without ...string) []byte {
	route := func(name, service string, priority, attempts int, stretch, slo float64) map[string]any {
		return map[string]any{"name": "r-" + name, "host": host, "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "slo_ms": slo,
			"priority": priority, "service": service, "attempts": attempts, "stretch": stretch, "public": false}
	}
	routes := []any{}
	for _, r := range []map[string]any{
		route("route-plan", service, 1, 3, 2.2, 1200), route("lot-sort", service, 2, 2, 4, 3000), route("invoice-post", service, 0, 2, 1.5, 400),
		route("van-sort", other, 2, 2, 4, 3000),
	} {
		if !slices.Contains(without, strings.TrimPrefix(r["name"].(string), "r-")) {
			routes = append(routes, r)
		}
	}
	value, _ := json.Marshal(map[string]any{
		"version": 7 + 2*len(without),
		"routes":  routes,
		"services": []any{
			map[string]any{"name": service, "health_path": "/health", "admission_check": false, "spare": false},
			map[string]any{"name": other, "health_path": "/health", "admission_check": false, "spare": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants": []any{
			map[string]any{"name": "kaje80", "api_keys": []string{"key-kaje80"}, "weight": 60, "cap": map[string]any{"cpu": 400000, "mem_mb": 0, "gpu": 0}},
			map[string]any{"name": "oru31", "api_keys": []string{"key-oru31"}, "weight": 60, "cap": map[string]any{"cpu": 400000, "mem_mb": 0, "gpu": 0}},
		},
	})
	return value
}

// runnerOf describes a runner.
type runnerOf struct {
	kind string
	cpu  int64
	// service is the service unless empty.
	service string
}

// begin starts the stand-ins and the daemons, and waits until these are ready.
func (s *site) begin(daemons int, runners ...runnerOf) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	s.store.put(topicOperator, "config", configuration())
	for i, o := range runners {
		r := &runner{id: fmt.Sprintf("i-%04x", 0x2a00+i*11), zone: "kingston-a", service: cmp.Or(o.service, service), kind: o.kind, rack: fmt.Sprintf("r1-%d", i/8), cpu: o.cpu, mem: 131072, site: s}
		s.runners = append(s.runners, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for i := range daemons {
		d, err := s.newDaemon(fmt.Sprintf("front-kingston-a-%d", i+1))
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	s.client = newClient(s)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == daemons {
			// The traffic starts 10 s after the machines do; a quarter of that is enough here.
			time.Sleep(2500 * time.Millisecond)
			s.rec.line("%d daemons are ready", daemons)
			return nil
		}
	}
	return fmt.Errorf("the daemons did not get ready")
}

func (s *site) close() {
	for _, d := range s.daemons {
		d.end(syscall.SIGKILL)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", s.dir)
	}
}

// cases are the cases by name. An error means that the case could not run.
var cases = map[string]func(*site) error{
	"kind":    caseKind,
	"clock":   caseClock,
	"lasting": caseLasting,
	"removed": caseRemoved,
	"large":   caseLarge,
	"other":   caseOther,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE FOLDER, in the folder of the project")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &site{dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: &recorder{file: file, since: time.Now()}, store: newStore(),
		jobs: make(map[string]*job), history: make(map[string][]event)}
	defer s.close()
	failed := make(chan error, 1)
	go func() { failed <- cases[name](s) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-failed:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	s.mu.Lock()
	broken := append([]string(nil), s.broken...)
	s.mu.Unlock()
	switch {
	case err != nil:
		s.rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		fmt.Printf("broken %d times: %s\n", len(broken), broken[0])
		return 1
	}
	s.rec.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
