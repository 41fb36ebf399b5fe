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

// adminTimeout bounds a request to the fault interface of a stand-in.
const adminTimeout = 5 * time.Second

// standinNode is the process of one stand-in, which simulates the platform's log
// or an endpoint.
type standinNode struct {
	name    string
	process *Process
	address string
	admin   string
	args    []string
}

// readyLine is the JSON line that a stand-in prints once it listens.
type readyLine struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
}

// start starts the process and waits until it is ready. Every start uses the same
// addresses.
func (n *standinNode) start(bin, logPath string) error {
	if n.address == "" {
		free, err := FreeAddresses(standinPort, standinAdminPort)
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
	p, _, err := startAndAwaitReady(n.name, bin, args, logPath, ready)
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

// setFault sets a fault switch of the stand-in.
func (n *standinNode) setFault(name string, value any) error {
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

// EndpointNode is the process of a simulated endpoint: a worker or a service
// runner.
type EndpointNode struct {
	standinNode
	ID      string
	Zone    string
	role    loglist.Role
	history string
}

// Alive reports whether the process is running and hasn't been asked to stop.
func (n *standinNode) Alive() bool { return n.process.alive() }

func (c *Cell) startLog() error {
	c.logNode = &standinNode{name: LogName, args: []string{"log", "-retention", strconv.Itoa(c.Options.LogRetention)}}
	if err := c.logNode.start(c.bins.Standin, c.path("log.out")); err != nil {
		return err
	}
	c.Log = loglist.NewClient("http://"+c.logNode.address, "http://"+c.logNode.address)
	return nil
}

// SetLogFault sets a fault switch of the log.
func (c *Cell) SetLogFault(name string, value any) error { return c.logNode.setFault(name, value) }

// SetEndpointFault sets a fault switch of an endpoint.
func (c *Cell) SetEndpointFault(id, name string, value any) error {
	return c.Endpoints[id].setFault(name, value)
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

// StartEndpoint starts an endpoint. A restarted endpoint keeps its address.
func (c *Cell) StartEndpoint(id string) error {
	return c.Endpoints[id].start(c.bins.Standin, c.path(id+".out"))
}

// killEndpoint kills the process of an endpoint, which ends its tasks too, and
// records that the endpoint is down.
func (c *Cell) killEndpoint(id string) {
	c.Endpoints[id].kill()
	c.Rec.Add(history.Event{Kind: history.EndpointDown, Source: harnessSource, Endpoint: id})
}

// harnessSource is the source of events that the harness itself records.
const harnessSource = "harness"
