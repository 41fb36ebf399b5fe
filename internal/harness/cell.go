package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/testrelay"
)

// Options describe the processes and timing of a cell. The settings template in
// daemon.go refers to fields by name.
type Options struct {
	Zones          []string
	DaemonsPerZone int
	WorkersPerZone int
	RunnersPerZone int
	// WorkerCores, WorkerMemoryMB and RunnerSlots are the capacities of one
	// worker and of one service runner.
	WorkerCores    int
	WorkerMemoryMB int
	RunnerSlots    int
	// Lease, Heartbeat, TakeoverAfter and DrainTimeout are settings of the
	// daemons.
	Lease         time.Duration
	Heartbeat     time.Duration
	TakeoverAfter time.Duration
	DrainTimeout  time.Duration
	// ListLag is the age of the answers of the lists of instances.
	ListLag time.Duration
	// LogRetention is the number of records that the log retains; 0 retains all.
	LogRetention int
	// Dir is the directory for settings, logs and histories; empty means a
	// temporary directory.
	Dir string
}

// DefaultOptions returns the options of a small cell. Its lease is short, so that
// an expiry and a takeover fit into a test.
func DefaultOptions() Options {
	return Options{
		Zones: []string{"za", "zb"}, DaemonsPerZone: 2, WorkersPerZone: 1, RunnersPerZone: 1,
		WorkerCores: 4, WorkerMemoryMB: 4096, RunnerSlots: 4,
		Lease: 3 * time.Second, Heartbeat: 200 * time.Millisecond, TakeoverAfter: time.Second,
		DrainTimeout: 10 * time.Second, ListLag: 300 * time.Millisecond,
	}
}

// Link identifies the connections that one process opens to another. From and To
// are instance ids, or Callers or LogName.
type Link struct{ From, To string }

// Ends of links other than instances.
const (
	Callers = "callers"
	LogName = "log"
)

// Cell is a running cell: the daemons and endpoints of several availability zones
// under one log and one configuration, as real processes. In each zone one
// daemon, the holder, schedules the work.
type Cell struct {
	Options Options
	Rec     *Recorder
	// Log is a client of the platform's log that bypasses the relays.
	Log *loglist.Client

	bins    Binaries
	dir     string
	logNode *standinNode
	// Daemons and Endpoints are keyed by instance id.
	Daemons   map[string]*Daemon
	Endpoints map[string]*EndpointNode

	mu     sync.Mutex
	relays map[Link]*testrelay.Relay
}

// Start starts a cell. When the test ends, all processes are killed, and the test
// fails if one of them had crashed.
func Start(t testing.TB, opts Options) *Cell {
	t.Helper()
	bins, err := Build()
	if err != nil {
		t.Fatal(err)
	}
	if opts.Dir == "" {
		opts.Dir = t.TempDir()
	}
	c := &Cell{
		Options: opts, Rec: &Recorder{}, bins: bins, dir: opts.Dir,
		Daemons: map[string]*Daemon{}, Endpoints: map[string]*EndpointNode{},
		relays: map[Link]*testrelay.Relay{},
	}
	t.Cleanup(func() {
		c.close()
		c.reportCrashes(t)
	})
	if err := c.start(); err != nil {
		t.Fatal(err)
	}
	return c
}

// start starts the log, the endpoints and the daemons, in this order.
func (c *Cell) start() error {
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return err
	}
	if err := c.startLog(); err != nil {
		return err
	}
	for _, zone := range c.Options.Zones {
		if err := c.startEndpoints(zone); err != nil {
			return err
		}
	}
	if err := c.createDaemons(); err != nil {
		return err
	}
	for _, d := range c.Daemons {
		if err := c.createRelays(d); err != nil {
			return err
		}
	}
	for _, d := range c.Daemons {
		if err := c.startDaemon(d); err != nil {
			return err
		}
	}
	return nil
}

// close kills every process and closes every relay.
func (c *Cell) close() {
	for _, d := range c.Daemons {
		d.close()
	}
	for _, e := range c.Endpoints {
		e.kill()
	}
	if c.logNode != nil {
		c.logNode.kill()
	}
	if c.Log != nil {
		c.Log.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.relays {
		_ = r.Close()
	}
}

// relayFor returns the relay of a link. The first call for a link creates it.
func (c *Cell) relayFor(l Link, target string) (*testrelay.Relay, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.relays[l]; r != nil {
		return r, nil
	}
	r, err := testrelay.New(target)
	if err != nil {
		return nil, err
	}
	c.relays[l] = r
	return r, nil
}

// SetLinkFaults sets the fault of every link for which match returns true and
// returns the number of these links.
func (c *Cell) SetLinkFaults(match func(Link) bool, fault testrelay.Fault) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for l, r := range c.relays {
		if match(l) {
			r.Set(fault)
			n++
		}
	}
	return n
}

// Zone returns the zone of an instance, or "" for callers and the log.
func (c *Cell) Zone(id string) string {
	if d := c.Daemons[id]; d != nil {
		return d.Zone
	}
	if e := c.Endpoints[id]; e != nil {
		return e.Zone
	}
	return ""
}

// Entry returns the direct address of a daemon for callers. It bypasses the relay
// because a relay accepts connections even when the daemon no longer listens, so
// that a refused connection would look like a lost one.
func (c *Cell) Entry(id string) Entry {
	return Entry{Daemon: id, URL: "http://" + c.Daemons[id].api}
}

// RelayedEntry returns the address of the relay in front of a daemon, for tests
// that inject faults into the link from Callers.
func (c *Cell) RelayedEntry(id string) Entry {
	return Entry{Daemon: id, URL: "http://" + c.Daemons[id].callerAddress}
}

// Entries returns the entries of the daemons of a zone, or of all daemons if zone
// is empty.
func (c *Cell) Entries(zone string) []Entry {
	var out []Entry
	for _, z := range c.Options.Zones {
		for i := range c.Options.DaemonsPerZone {
			if zone == "" || z == zone {
				out = append(out, c.Entry(daemonID(z, i)))
			}
		}
	}
	return out
}

// History returns all events recorded so far by the harness, its callers and the
// endpoints. The events are not sorted by time.
func (c *Cell) History() ([]history.Event, error) {
	events := c.Rec.Events()
	for _, e := range c.Endpoints {
		more, err := history.Read(e.history)
		if err != nil {
			return nil, err
		}
		events = append(events, more...)
	}
	return events, nil
}

func (c *Cell) path(name string) string { return filepath.Join(c.dir, name) }

func daemonID(zone string, i int) string { return fmt.Sprintf("%s-d%d", zone, i+1) }
