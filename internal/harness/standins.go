package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// adminTimeout bounds a call to a fault switch.
const adminTimeout = 5 * time.Second

// standinNode is one stand-in process.
type standinNode struct {
	name    string
	process *Process
	address string
	admin   string
	args    []string
}

// readyLine is the line that a stand-in prints when it listens.
type readyLine struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
}

// start starts the process, always under the same addresses.
func (n *standinNode) start(bin, logPath string) error {
	if n.address == "" {
		free, err := FreeAddresses(standinPort, switchPort)
		if err != nil {
			return err
		}
		n.address, n.admin = free[0], free[1]
	}
	args := slices.Concat(n.args, []string{"-listen", n.address, "-admin", n.admin})
	var line readyLine
	ready := func(text string) (string, bool) {
		return "", json.Unmarshal([]byte(text), &line) == nil && line.Address != ""
	}
	p, _, err := startProcess(n.name, bin, args, logPath, ready)
	if err != nil {
		return err
	}
	n.process = p
	return nil
}

func (n *standinNode) kill() {
	if n.process != nil {
		n.process.Kill()
	}
}

// fault sets a fault switch.
func (n *standinNode) fault(name string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode fault")
	}
	body, err := json.Marshal(standin.FaultRequest{Name: name, Value: raw})
	if err != nil {
		return errors.Wrap(err, "encode fault")
	}
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Post("http://"+n.admin+standin.PathFault, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "set fault %s of %s", name, n.name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("set fault %s of %s: %s", name, n.name, text)
	}
	return nil
}

// EndpointNode is a worker or a service runner.
type EndpointNode struct {
	standinNode
	ID      string
	Zone    string
	role    loglist.Role
	history string
}

// Alive reports whether the process runs and hasn't been asked to stop.
func (n *standinNode) Alive() bool { return n.process.alive() }

func (c *Cell) startLog() error {
	c.logNode = &standinNode{name: LogName, args: []string{"log", "-retention", strconv.Itoa(c.Options.LogRetention)}}
	if err := c.logNode.start(c.bins.Standin, c.path("log.out")); err != nil {
		return err
	}
	c.Log = loglist.NewClient("http://"+c.logNode.address, "http://"+c.logNode.address)
	return nil
}

// LogFault sets a fault switch of the log.
func (c *Cell) LogFault(name string, value any) error { return c.logNode.fault(name, value) }

// EndpointFault sets a fault switch of an endpoint.
func (c *Cell) EndpointFault(id, name string, value any) error {
	return c.Endpoints[id].fault(name, value)
}

func (c *Cell) startEndpoints(zone string) error {
	for i := range c.Options.WorkersPerZone {
		size := []string{"-cores", strconv.Itoa(c.Options.WorkerCores), "-memory", strconv.Itoa(c.Options.WorkerMemoryMB)}
		if err := c.addEndpoint(fmt.Sprintf("%s-w%d", zone, i+1), zone, loglist.RoleWorker, size); err != nil {
			return err
		}
	}
	for i := range c.Options.RunnersPerZone {
		size := []string{"-slots", strconv.Itoa(c.Options.RunnerSlots)}
		if err := c.addEndpoint(fmt.Sprintf("%s-r%d", zone, i+1), zone, loglist.RoleRunner, size); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cell) addEndpoint(id, zone string, role loglist.Role, size []string) error {
	e := &EndpointNode{ID: id, Zone: zone, role: role, history: c.path(id + ".history")}
	e.name = id
	e.args = append([]string{
		"endpoint", "-id", id, "-kind", string(role), "-zone", zone, "-rack", zone + "-rack",
		"-history", e.history, "-drain", "5s",
	}, size...)
	c.Endpoints[id] = e
	return c.StartEndpoint(id)
}

// StartEndpoint starts an endpoint, under its old address if it had one.
func (c *Cell) StartEndpoint(id string) error {
	return c.Endpoints[id].start(c.bins.Standin, c.path(id+".out"))
}

// KillEndpoint ends an endpoint at once. Its tasks end with it.
func (c *Cell) KillEndpoint(id string) {
	c.Endpoints[id].kill()
	c.Rec.Add(history.Event{Kind: history.EndpointDown, Source: harnessSource, Endpoint: id})
}

// harnessSource is the source of events that the harness injects.
const harnessSource = "harness"
