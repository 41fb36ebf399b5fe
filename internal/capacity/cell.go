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
	// runnerSlots are the concurrent requests of a stand-in runner.
	runnerSlots = 8
	// workerCores and workerMemoryMB are the size of a stand-in worker.
	workerCores    = 64
	workerMemoryMB = 256 << 10
	// listLag is the age of the stand-in list's answers.
	listLag = 200 * time.Millisecond
	// startTimeout bounds the start of a cell.
	startTimeout = 40 * time.Second
	// poll is the pause between two looks at a condition.
	poll = 50 * time.Millisecond
)

// zoneSize is the shape of one availability zone.
type zoneSize struct {
	name, region     string
	daemons          int
	workers, runners int
}

// cellOptions is the shape of a cell.
type cellOptions struct {
	zones []zoneSize
	// direct gives each daemon a region of its own, so that all read the log
	// themselves.
	direct bool
	// listed adds entries of other zones to the platform's list.
	listed int
	config *operator.Config
	// command runs a daemon; the path of its settings follows.
	command []string
}

// testCell is a set of daemon processes on stand-ins.
type testCell struct {
	options cellOptions
	dir     string
	log     *standin.Log
	list    *standin.List
	// logMeters counts what each region exchanges with the log.
	logMeters     map[string]*meter
	listMeter     *meter
	endpointMeter *meter
	servers       []*meteredServer
	endpoints     []*standin.Endpoint
	daemons       []*process
	listAddress   string
	logAddresses  map[string]string
	// version and text are the configuration that was published last.
	version uint64
	text    string
	// published is the length of its record.
	published int
	errorLog  io.WriteCloser
}

// startCell runs a cell and waits until every zone has a holder that has
// attached to all its endpoints.
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
	c.list = standin.NewList(append(instances, otherInstances(c.options.listed)...), listLag)
	if c.listAddress, err = c.serve("list", c.list.Handler(), c.listMeter); err != nil {
		return err
	}
	if err := c.publish(c.options.config); err != nil {
		return err
	}
	for _, p := range c.daemons {
		if err := c.launch(p); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// otherInstances are entries of zones that the cell does not run.
func otherInstances(n int) []loglist.Instance {
	out := make([]loglist.Instance, n)
	for i := range out {
		out[i] = loglist.Instance{
			ID: fmt.Sprintf("elsewhere-worker-%05d", i), Role: loglist.RoleWorker, Address: "192.0.2.1:7400",
			Region: "elsewhere", AvailabilityZone: "elsewhere-1", Rack: "elsewhere-rack-1", State: loglist.StateLive,
		}
	}
	return out
}

// serve offers a stand-in and returns its address.
func (c *testCell) serve(name string, h http.Handler, m *meter) (string, error) {
	s, err := serveMetered(name, h, m)
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, s)
	return s.address, nil
}

// startZone serves the zone's endpoints and its region's door to the log, and
// chooses its daemons' addresses.
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

// listedRegion is the region that a daemon is told it is in.
func (c *testCell) listedRegion(p *process) string {
	if c.options.direct {
		return "region-of-" + p.id
	}
	return p.region
}

const (
	// lowestPort and portRange lie below the ports that the kernel gives to
	// outgoing connections, so that none takes a daemon's port before the
	// daemon listens.
	lowestPort = 20000
	portRange  = 10000
)

// nextPort counts the ports that were tried.
var nextPort = rand.IntN(portRange)

// chooseAddresses picks loopback ports that were free just now.
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

// startEndpoint serves one worker or service runner.
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
// does: the first as a whole text, the others as patches of the last one.
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
	c.published = len(data)
	return nil
}

// logBytes is what all regions have exchanged with the log.
func (c *testCell) logBytes() float64 {
	total := int64(0)
	for _, m := range c.logMeters {
		total += m.bytes.Load()
	}
	return float64(total)
}

// close ends the daemons and the stand-ins.
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
