package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/config"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/standin"
	"github.com/bluebellstile/bluebellstile/operator"
)

const (
	// runnerSlots is how many requests a stand-in runner serves concurrently.
	runnerSlots = 8
	// workerCores and workerMemoryMB are the size of a stand-in worker.
	workerCores    = 64
	workerMemoryMB = 256 << 10
	// listLag is how old the answers of the stand-in list are.
	listLag = 200 * time.Millisecond
	// startTimeout bounds each wait for a condition, such as the start of a
	// cell.
	startTimeout = 40 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// zoneSize is the number of daemons and endpoints of one availability zone.
type zoneSize struct {
	name, region     string
	daemons          int
	workers, runners int
}

// cellOptions describes a cell: the daemons and endpoints of a set of zones
// under one log and one configuration.
type cellOptions struct {
	zones []zoneSize
	// directReads gives each daemon a region of its own, so that every daemon
	// reads the log itself instead of through a relay of its region.
	directReads bool
	// extraInstances is the number of entries of other zones that are added
	// to the platform's list.
	extraInstances int
	config         *operator.Config
	// command starts a daemon; the path of its settings file is appended.
	command []string
}

// testCell is a running cell: real daemon processes on a stand-in platform with
// stand-in endpoints.
type testCell struct {
	options cellOptions
	dir     string
	log     *standin.Log
	list    *standin.List
	// logMeters counts the traffic of each region with the log.
	logMeters     map[string]*meter
	listMeter     *meter
	endpointMeter *meter
	servers       []*meteredServer
	endpoints     []*standin.Endpoint
	daemons       []*process
	listAddress   string
	logAddresses  map[string]string
	// version and text are those of the configuration published last.
	version uint64
	text    string
	// recordBytes is the length of its record.
	recordBytes int
	errorLog    io.WriteCloser
}

// startCell starts a cell and waits until every zone has a holder, the daemon
// that schedules the zone's work, and the holders have attached to all
// endpoints.
func startCell(o cellOptions) (*testCell, error) {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "make a directory for the settings")
	}
	c := &testCell{
		options: o, dir: dir, log: standin.NewLog(standin.LogOptions{}),
		logMeters: make(map[string]*meter), listMeter: newMeter(), endpointMeter: newMeter(),
		logAddresses: make(map[string]string),
	}
	if err := c.start(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// start starts the stand-ins, then the daemons.
func (c *testCell) start() error {
	errorLog, err := os.Create(filepath.Join(c.dir, "daemons.log"))
	if err != nil {
		return errors.Wrap(err, "make a file for the daemons' logs")
	}
	c.errorLog = errorLog
	var instances []loglist.Instance
	for _, z := range c.options.zones {
		more, err := c.startZone(z)
		if err != nil {
			return err
		}
		instances = append(instances, more...)
	}
	c.list = standin.NewList(append(instances, remoteInstances(c.options.extraInstances)...), listLag)
	if c.listAddress, err = c.serve("list", c.list.Handler(), c.listMeter); err != nil {
		return err
	}
	if err := c.publish(c.options.config); err != nil {
		return err
	}
	for _, p := range c.daemons {
		if err := c.startDaemon(p); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// remoteInstances returns n list entries of zones that the cell does not run.
func remoteInstances(n int) []loglist.Instance {
	out := make([]loglist.Instance, n)
	for i := range out {
		out[i] = loglist.Instance{
			ID: fmt.Sprintf("elsewhere-worker-%05d", i), Role: loglist.RoleWorker, Address: "192.0.2.1:7400",
			Region: "elsewhere", AvailabilityZone: "elsewhere-1", Rack: "elsewhere-rack-1", State: loglist.StateLive,
		}
	}
	return out
}

// serve serves a stand-in through m and returns its address.
func (c *testCell) serve(name string, h http.Handler, m *meter) (string, error) {
	s, err := serveMetered(name, h, m)
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, s)
	return s.address, nil
}

// startZone serves the zone's endpoints and, once per region, the log, and
// chooses the addresses of the zone's daemons.
func (c *testCell) startZone(z zoneSize) ([]loglist.Instance, error) {
	if c.logMeters[z.region] == nil {
		m := newMeter()
		address, err := c.serve("log", c.log.Handler(), m)
		if err != nil {
			return nil, err
		}
		c.logMeters[z.region], c.logAddresses[z.region] = m, address
	}
	var out []loglist.Instance
	for i := range z.workers + z.runners {
		instance, err := c.startEndpoint(z, i, i < z.workers)
		if err != nil {
			return nil, err
		}
		out = append(out, instance)
	}
	for i := range z.daemons {
		p := &process{id: fmt.Sprintf("%s-d%d", z.name, i), zone: z.name, region: z.region}
		if err := chooseAddresses(&p.api, &p.peer, &p.admin); err != nil {
			return nil, err
		}
		c.daemons = append(c.daemons, p)
		out = append(out, loglist.Instance{
			ID: p.id, Role: loglist.RoleEntry, Address: p.peer, Region: c.listedRegion(p),
			AvailabilityZone: z.name, State: loglist.StateLive,
		})
	}
	return out, nil
}

// listedRegion returns the region that the daemon's settings and the platform's
// list give it.
func (c *testCell) listedRegion(p *process) string {
	if c.options.directReads {
		return "region-of-" + p.id
	}
	return p.region
}

const (
	// lowestPort and portRange give ports below the kernel's ephemeral range,
	// so that no outgoing connection takes a daemon's port before the daemon
	// listens on it.
	lowestPort = 20000
	portRange  = 10000
)

// nextPort is the offset from lowestPort of the port that was tried last.
var nextPort = rand.IntN(portRange)

// chooseAddresses sets each empty string to a loopback address whose port was
// free when it was tried.
func chooseAddresses(to ...*string) error {
	tries := 0
	for _, address := range to {
		for *address == "" {
			if tries++; tries > portRange {
				return errors.Errorf("no free ports from %d on", lowestPort)
			}
			nextPort = (nextPort + 1) % portRange
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+nextPort))
			if err != nil {
				continue
			}
			*address = l.Addr().String()
			_ = l.Close()
		}
	}
	return nil
}

// startEndpoint serves one stand-in worker or service runner.
func (c *testCell) startEndpoint(z zoneSize, i int, worker bool) (loglist.Instance, error) {
	o := standin.EndpointOptions{
		ID: fmt.Sprintf("%s-runner-%03d", z.name, i), Kind: endpoint.KindRunner,
		AvailabilityZone: z.name, Rack: fmt.Sprintf("%s-rack-%02d", z.name, i/8),
		Capacity: endpoint.Resources{Slots: runnerSlots},
	}
	role := loglist.RoleRunner
	if worker {
		o.ID = fmt.Sprintf("%s-worker-%03d", z.name, i)
		o.Kind, role = endpoint.KindWorker, loglist.RoleWorker
		o.Capacity = endpoint.Resources{MilliCores: workerCores * 1000, MemoryMB: workerMemoryMB}
	}
	e := standin.NewEndpoint(o)
	c.endpoints = append(c.endpoints, e)
	address, err := c.serve(o.ID, e.Handler(), c.endpointMeter)
	return loglist.Instance{
		ID: o.ID, Role: role, Address: address, Region: z.region, AvailabilityZone: z.name,
		Rack: o.Rack, State: loglist.StateLive,
	}, err
}

// publish appends a configuration to the log as the administration interface
// does: the first as full text, later ones as patches of the previous one.
func (c *testCell) publish(wanted *operator.Config) error {
	text, err := operator.Print(wanted)
	if err != nil {
		return err
	}
	out := &record.Config{Text: text, Expected: c.version, Author: "capacity"}
	if c.version > 0 {
		out.Text, out.Patch = "", config.NewPatch(c.text, text)
	}
	data, err := record.Encode(&record.Envelope{Kind: record.KindConfig, Config: out})
	if err != nil {
		return err
	}
	c.version, c.text = c.log.Append(fmt.Sprintf("config-%d", c.version), data), text
	c.recordBytes = len(data)
	return nil
}

// logBytes returns the bytes that all regions have exchanged with the log.
func (c *testCell) logBytes() float64 {
	total := int64(0)
	for _, m := range c.logMeters {
		total += m.bytes.Load()
	}
	return float64(total)
}

// close kills the daemons, closes the stand-ins and removes the cell's files.
func (c *testCell) close() {
	for _, p := range c.daemons {
		if p.done != nil {
			p.kill()
		}
	}
	for _, s := range c.servers {
		s.close()
	}
	for _, e := range c.endpoints {
		_ = e.Close()
	}
	if c.errorLog != nil {
		_ = c.errorLog.Close()
	}
	_ = os.RemoveAll(c.dir)
}
