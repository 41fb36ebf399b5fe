// Command kit2 plays the cases of the second review: daemons of the project as
// processes of their own, and stand-ins of the platform's store, the runners and
// the clients in this one. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
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
	addr    string
	fleet   *fleet
	daemons []*daemon
	client  *client
	ended   sync.WaitGroup
}

const tenantCap = 700000

// configuration is the operator's, with the three queues of the users' laundry.
func configuration() []byte {
	route := func(name string, priority, attempts int, stretch, slo float64) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "slo_ms": slo,
			"priority": priority, "service": service, "attempts": attempts, "stretch": stretch, "public": false}
	}
	tenant := func(name string) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{"key-" + name}, "weight": 60, "cap": map[string]any{"cpu": tenantCap, "mem_mb": 0, "gpu": 0}}
	}
	value, _ := json.Marshal(map[string]any{
		"version":  3,
		"routes":   []any{route("route-plan", 1, 3, 2.2, 1200), route("lot-sort", 2, 2, 4, 3000), route("invoice-post", 0, 2, 1.5, 400)},
		"services": []any{map[string]any{"name": service, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants":  []any{tenant("ocho"), tenant("negril")},
	})
	return value
}

// newSite starts the stand-ins and the daemons: runners of 32 cores, eight a rack.
func newSite(rec *recorder, trouble bool, racks, daemons int) (*site, error) {
	return newSiteOf(rec, trouble, racks*8, 32000, daemons)
}

// newSiteOf starts a site with a number of runners of the same size.
func newSiteOf(rec *recorder, trouble bool, runners int, cpu int64, daemons int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, trouble: trouble, rec: rec, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	s.store.put(topicOperator, "config", configuration())
	s.fleet = newFleet(s.store, rec)
	for i := range runners {
		kind := "a"
		if i >= runners-2 {
			kind = "b"
		}
		if err := s.fleet.add(fmt.Sprintf("i-%04x", 0x1a00+i*7), kind, fmt.Sprintf("r-%d", i/8), cpu, 131072, 0); err != nil {
			return s, err
		}
	}
	go s.fleet.loop(make(chan struct{}))
	var doors []string
	ports, err := freePorts(4 * daemons)
	if err != nil {
		return s, err
	}
	for i := range daemons {
		d, err := newDaemon(dir, fmt.Sprintf("entry-%d", i+1), s.addr, ports[4*i:4*i+4])
		if err != nil {
			return s, err
		}
		if err := d.start(); err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, d)
		doors = append(doors, d.front)
	}
	s.client = newClient(s.fleet, rec, doors)
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range s.daemons {
			all = all && d.isReady()
		}
		if all {
			break
		}
		if time.Now().After(end) {
			return s, fmt.Errorf("the daemons are not ready")
		}
	}
	time.Sleep(3 * time.Second)
	rec.line("ready: %d daemons, %d runners", daemons, runners)
	return s, nil
}

// send hands a job in without waiting for the answer.
func (s *site) send(j *job) *job {
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		s.client.submit(j)
	}()
	return j
}

// close ends the daemons and drops the folder, unless KEEP is set.
func (s *site) close() {
	killAll()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// askAll asks for all accepted jobs and returns how many are in each state; a job
// that isn't known or gets no answer counts under its status.
func (s *site) askAll() map[string]int {
	s.fleet.mu.Lock()
	var all []*job
	for _, j := range s.fleet.jobs {
		if j.accepted && !j.cancelled {
			all = append(all, j)
		}
	}
	s.fleet.mu.Unlock()
	states := make(map[string]int)
	var mu sync.Mutex
	var wait sync.WaitGroup
	limit := make(chan struct{}, 16)
	for _, j := range all {
		wait.Add(1)
		limit <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-limit }()
			status, state := s.client.ask(j)
			if state == "" {
				state = fmt.Sprintf("status %d", status)
			}
			s.fleet.mu.Lock()
			j.state = state
			s.fleet.mu.Unlock()
			mu.Lock()
			states[state]++
			mu.Unlock()
		}()
	}
	wait.Wait()
	return states
}

// verdict ends a case about the rule LOST: it waits finish_s after the traffic, asks
// for all jobs and judges.
func (s *site) verdict() int {
	s.ended.Wait()
	s.rec.line("the traffic has ended")
	time.Sleep(finish)
	states := s.askAll()
	s.rec.line("%v after the traffic the accepted jobs are %v; in use: %.2f of the service", finish, states, s.fleet.use())
	broken := s.fleet.watch(12 * time.Second)
	for _, j := range broken {
		s.rec.line("LOST: job %s (%s) had nothing running for %.1f s, with room for it twice over", j.id, j.queue, j.starved.Seconds())
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, v := range s.fleet.violations {
		s.rec.line("also seen: %s", v)
	}
	fmt.Printf("jobs %v, starved for %v or longer: %d, other rules broken: %d\n", states, starvedFor, len(broken), len(s.fleet.violations))
	if len(broken) > 0 {
		return 1
	}
	return 0
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: kit2 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{file: file, since: time.Now()}
	plays := map[string]func(*recorder, bool) (*site, func() int, error){
		"hopeless": hopeless, "gang": gang, "rack": rack, "waiting": waiting, "urgent": urgent, "setback": setback, "schedule": schedule,
	}
	c := plays[os.Args[1]]
	if c == nil {
		fmt.Println("no such case")
		return 2
	}
	defer killAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		s, run, err := c(rec, os.Getenv("TROUBLE") != "0")
		if err != nil {
			fmt.Println(err)
			if s != nil {
				s.close()
			}
			rec.line("the case could not run: %v", err)
			result <- 2
			return
		}
		code := run()
		s.close()
		result <- code
	}()
	select {
	case code := <-result:
		rec.line("exit code %d", code)
		return code
	case <-stop:
		return 2
	case <-time.After(115 * time.Second):
		rec.line("the case took too long")
		return 2
	}
}
