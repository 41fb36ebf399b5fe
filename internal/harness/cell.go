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

// Options say what a cell consists of.
type Options struct {
	Zones          []string
	DaemonsPerZone int
	WorkersPerZone int
	RunnersPerZone int
	// WorkerCores, WorkerMemoryMB and RunnerSlots are the capacities.
	WorkerCores    int
	WorkerMemoryMB int
	RunnerSlots    int
	Lease          time.Duration
	Heartbeat      time.Duration
	TakeoverAfter  time.Duration
	DrainTimeout   time.Duration
	ListLag        time.Duration
	// LogRetention is the number of records that the log keeps; 0 keeps all.
	LogRetention int
	// Dir receives settings, logs and histories; empty means a temporary one.
	Dir string
}

// DefaultOptions is a small cell whose leases are short, so that a lapse and
// a takeover fit into a test.
func DefaultOptions() Options {
	return Options{
		Zones: []string{"za", "zb"}, DaemonsPerZone: 2, WorkersPerZone: 1, RunnersPerZone: 1,
		WorkerCores: 4, WorkerMemoryMB: 4096, RunnerSlots: 4,
		Lease: 3 * time.Second, Heartbeat: 200 * time.Millisecond, TakeoverAfter: time.Second,
		DrainTimeout: 10 * time.Second, ListLag: 300 * time.Millisecond,
	}
}

// Link is one direction in which processes connect: From opens connections.
// Callers are "callers" and the log is "log".
type Link struct{ From, To string }

// Names of the ends of links that are no instances.
const (
	Callers = "callers"
	LogName = "log"
)

// Cell is a running cell of real processes.
type Cell struct {
	Options Options
	Rec     *Recorder
	// Log reads and appends to the platform's log past all relays.
	Log *loglist.Client

	bins      Binaries
	dir       string
	logNode   *standinNode
	Daemons   map[string]*Daemon
	Endpoints map[string]*EndpointNode

	mu     sync.Mutex
	relays map[Link]*testrelay.Relay
}

// Start starts a cell and stops all its processes when the test ends.
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

// start brings up the log, the endpoints and the daemons in this order.
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
	if err := c.makeDaemons(); err != nil {
		return err
	}
	for _, d := range c.Daemons {
		if err := c.wire(d); err != nil {
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

// close ends every process and relay.
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

// relay returns the relay of a link, which is made on first use.
func (c *Cell) relay(l Link, target string) (*testrelay.Relay, error) {
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

// SetLinks sets the fault of every link for which match holds and returns
// how many there are.
func (c *Cell) SetLinks(match func(Link) bool, fault testrelay.Fault) int {
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

// Entry returns a daemon as callers reach it. They connect to it directly: a
// relay accepts connections for a daemon that doesn't listen any more, so that
// a refused connection would look like a broken one.
func (c *Cell) Entry(id string) Entry {
	return Entry{Daemon: id, URL: "http://" + c.Daemons[id].api}
}

// RelayedEntry returns a daemon as callers reach it through the relay of the
// link from Callers, for faults on that link.
func (c *Cell) RelayedEntry(id string) Entry {
	return Entry{Daemon: id, URL: "http://" + c.Daemons[id].callerAddress}
}

// Entries returns the daemons of a zone, or all if zone is empty.
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

// History returns the events of the whole run so far.
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
