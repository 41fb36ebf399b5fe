// Command reviewkit plays the cases of the review whose faults can't be put as a
// day of the bench. It holds small stand-ins of the platform's store, its
// adviser, its runners and its clients, written after the users' pages, and
// starts the project's own daemons as processes.
//
//	reviewkit CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not be played. TROUBLE=0 leaves the disruption
// out.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// longest is how long a case may take.
const longest = 110 * time.Second

// Site is a small deployment on one machine.
type Site struct {
	Record  *Record
	Store   *Store
	Adviser *Adviser
	Daemons []*Daemon
	Runners []*Runner
	Watch   *Watch
	Clients *Clients
	Trouble bool

	root, dir string
	storeAt   string
	adviserAt string
	closers   []func()
}

// cases are the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(*Site) ([]string, error){
	"layers":   playLayers,
	"schedule": playSchedule,
	"ends":     playEnds,
	"route":    playRoute,
	"address":  playAddress,
	"urgent":   playUrgent,
	"replaced": playReplaced,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE FOLDER")
		return unplayed
	}
	root, err := filepath.Abs(filepath.Join(os.Args[2], "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer record.Close()
	site := &Site{Record: record, root: root, Trouble: os.Getenv("TROUBLE") != "0"}
	site.Watch = NewWatch(record)
	site.Clients = &Clients{site: site}
	defer site.Close()
	time.AfterFunc(longest, func() {
		record.Say("takes too long")
		site.Close()
		record.Close()
		os.Exit(unplayed)
	})
	record.Say("case %s, disruption %t", os.Args[1], site.Trouble)
	breaks, err := cases[os.Args[1]](site)
	if err != nil {
		record.Say("could not be played: %v", err)
		return unplayed
	}
	for i, b := range breaks {
		record.Line("broken", "%s", b)
		if i < 5 {
			record.Say("rule broken: %s", b)
		}
	}
	if len(breaks) > 0 {
		record.Say("the rule was broken, %d times", len(breaks))
		return broken
	}
	record.Say("the rule held")
	return held
}

// Close ends all processes and servers that the case started.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	for _, r := range s.Runners {
		r.Crash()
	}
	for _, f := range s.closers {
		f()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// serve serves a handler on a free port and returns the address.
func (s *Site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

var zones = []string{"quimper-a", "vannes-a", "rennes-a"}
var regions = []string{"finistere", "morbihan", "ille-vilaine"}

// Open starts the platform, the runners and three daemons with a configuration,
// and waits until all are ready and a job is taken in.
func (s *Site) Open(runners int, config object) error {
	var err error
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	s.Store = NewStore(s.Record)
	if s.storeAt, err = s.serve(s.Store); err != nil {
		return err
	}
	if s.Adviser == nil {
		s.Adviser = &Adviser{Decide: 9 * time.Millisecond, Each: 120 * time.Microsecond, ValidFor: 1500 * time.Millisecond}
	}
	if s.adviserAt, err = s.serve(s.Adviser); err != nil {
		return err
	}
	s.Publish(config)
	for i := range runners {
		if _, err := s.AddRunner(fmt.Sprintf("worker%d", i+1), i, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	for i := range zones {
		d, err := NewDaemon(s.Record, s.root, s.dir, "front-"+zones[i]+"-1", zones[i], regions[i], s.storeAt, s.adviserAt)
		if err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		s.Daemons = append(s.Daemons, d)
	}
	return s.AwaitReady(15 * time.Second)
}

// AwaitReady waits until all daemons are ready and some daemon holds the cell.
func (s *Site) AwaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, d := range s.Daemons {
		for !d.IsReady() {
			if time.Now().After(until) || d.Ended() {
				return fmt.Errorf("%s is not ready: %v", d.Name, d.LogLines("level=ERROR"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for {
		if status, _ := s.Clients.Call(http.MethodGet, "/essais/", nil); status == http.StatusOK {
			s.Record.Say("the daemons are ready and the cell is held")
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("nobody holds the cell")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Publish writes a configuration, as the operator does.
func (s *Site) Publish(config object) {
	s.Store.Put("keyed.op", "config", config)
	s.Record.Line("operator", "configuration %v acknowledged", config["version"])
}

// AddRunner starts a runner of about 64 cores.
func (s *Site) AddRunner(id string, place int, address string) (*Runner, error) {
	r := &Runner{ID: id, Service: service, Zone: zones[place%len(zones)], Rack: fmt.Sprintf("r1-%d", place%len(zones)), CPU: 64000, Memory: 262144,
		Tickets: nil, record: s.Record, store: s.Store, watch: s.Watch}
	if err := r.Start(address); err != nil {
		return nil, err
	}
	s.Runners = append(s.Runners, r)
	return r, nil
}

// Config returns a configuration with the given routes, beside the route
// "essais", which stays.
func Config(version int, routes ...object) object {
	all := []object{Route("essais", 0)}
	return object{
		"version":  version,
		"routes":   append(all, routes...),
		"services": []object{{"name": service, "admission_check": false}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants":  []object{tenant("atelier", apiKey), tenant("lab", otherKey)},
	}
}

func tenant(name, key string) object {
	return object{"name": name, "api_keys": []string{key}, "weight": 200, "cap": object{"cpu": 0, "mem_mb": 0, "gpu": 0}}
}

// Route returns a route under the prefix /NAME/.
func Route(name string, priority int) object {
	return object{"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 400,
		"priority": priority, "service": service, "attempts": 2, "stretch": 2.0}
}

// smallJob is a job of two tasks of 0.64 s, as label checks have.
func smallJob() object {
	return object{"spec": "work 640", "steps": []object{{"count": 2, "cpu": 2800, "mem_mb": 5700, "estimate_ms": 640}}}
}
