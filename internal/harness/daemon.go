package harness

import (
	"net/http"
	"os"
	"strings"
	"text/template"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// Daemon is one daemon process with its addresses and its own list of instances.
type Daemon struct {
	ID   string
	Zone string

	process *Process
	api     string
	peer    string
	admin   string
	// callerAddress is the relay in front of the interface for callers.
	callerAddress string
	logAddress    string
	list          *standin.List
	listServer    *standin.Server
}

// regionOf returns the region of a zone. Each zone has its own region.
func regionOf(zone string) string { return "region-" + zone }

// createDaemons chooses the ids and addresses of the daemons without starting
// them.
func (c *Cell) createDaemons() error {
	for _, zone := range c.Options.Zones {
		for i := range c.Options.DaemonsPerZone {
			a, err := FreeAddresses(apiPort, peerPort, adminPort)
			if err != nil {
				return err
			}
			id := daemonID(zone, i)
			c.Daemons[id] = &Daemon{ID: id, Zone: zone, api: a[0], peer: a[1], admin: a[2]}
		}
	}
	return nil
}

// createRelays creates the relays of a daemon's links and starts the list of
// instances that the daemon reads. The list contains every other instance with the
// address of its relay, so that all connections of the daemon pass a relay.
func (c *Cell) createRelays(d *Daemon) error {
	callers, err := c.relayFor(Link{Callers, d.ID}, d.api)
	if err != nil {
		return err
	}
	d.callerAddress = callers.Addr()
	log, err := c.relayFor(Link{d.ID, LogName}, c.logNode.address)
	if err != nil {
		return err
	}
	d.logAddress = log.Addr()
	instances, err := c.instancesFor(d)
	if err != nil {
		return err
	}
	d.list = standin.NewList(instances, c.Options.ListLag)
	d.listServer, err = standin.Serve(d.list, "127.0.0.1:0", "")
	return err
}

// instancesFor returns all instances with the addresses at which d reaches them.
func (c *Cell) instancesFor(d *Daemon) ([]loglist.Instance, error) {
	var out []loglist.Instance
	for _, other := range c.Daemons {
		address := other.peer
		if other != d {
			r, err := c.relayFor(Link{d.ID, other.ID}, other.peer)
			if err != nil {
				return nil, err
			}
			address = r.Addr()
		}
		out = append(out, instance(other.ID, other.Zone, loglist.RoleEntry, address))
	}
	for _, e := range c.Endpoints {
		r, err := c.relayFor(Link{d.ID, e.ID}, e.address)
		if err != nil {
			return nil, err
		}
		out = append(out, instance(e.ID, e.Zone, e.role, r.Addr()))
	}
	return out, nil
}

func instance(id, zone string, role loglist.Role, address string) loglist.Instance {
	return loglist.Instance{
		ID: id, Role: role, Address: address, Region: regionOf(zone),
		AvailabilityZone: zone, Rack: zone + "-rack", State: loglist.StateLive,
	}
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[instance]
id = {{.ID}}
zone = {{.Zone}}
region = {{.Region}}

[listen]
api = {{.API}}
peer = {{.Peer}}
admin = {{.Admin}}

[platform]
log_url = http://{{.Log}}
list_url = {{.List}}
append_timeout = 1s
read_wait = 500ms

[zone]
lease = {{.Options.Lease}}
heartbeat = {{.Options.Heartbeat}}
takeover_after = {{.Options.TakeoverAfter}}

[limits]
drain_timeout = {{.Options.DrainTimeout}}

[log]
level = debug

[end]
`))

// settings returns the daemon's INI file.
func (c *Cell) settings(d *Daemon) (string, error) {
	var b strings.Builder
	err := settingsTemplate.Execute(&b, map[string]any{
		"ID": d.ID, "Zone": d.Zone, "Region": regionOf(d.Zone),
		"API": d.api, "Peer": d.peer, "Admin": d.admin,
		"Log": d.logAddress, "List": d.listServer.URL(), "Options": c.Options,
	})
	return b.String(), err
}

// startDaemon writes the settings file of a daemon, starts its process and waits
// until it answers requests on its interfaces for callers and operators.
func (c *Cell) startDaemon(d *Daemon) error {
	text, err := c.settings(d)
	if err != nil {
		return err
	}
	file := c.path(d.ID + ".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := startNoWait(d.ID, c.bins.Daemon, []string{"-config", file}, c.path(d.ID+".out"))
	if err != nil {
		return err
	}
	d.process = p
	if err := p.awaitListening(d.api, d.admin); err != nil {
		return err
	}
	c.Rec.Add(history.Event{Kind: history.DaemonUp, Source: harnessSource, Daemon: d.ID})
	return nil
}

// awaitListening waits until p answers HTTP requests on every address.
func (p *Process) awaitListening(addresses ...string) error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for _, address := range addresses {
		for {
			resp, err := client.Get("http://" + address + "/")
			if err == nil {
				_ = resp.Body.Close()
				break
			}
			if time.Now().After(deadline) {
				return errors.Wrapf(err, "%s does not answer on %s", p.Name, address)
			}
			if p.Wait(listenPollInterval) {
				return errors.Errorf("%s exited before it listened", p.Name)
			}
		}
	}
	return nil
}

// listenPollInterval is the time between two attempts to reach a starting
// process.
const listenPollInterval = 20 * time.Millisecond

// Stopping reports whether the daemon has exited or was asked to stop.
func (d *Daemon) Stopping() bool { return !d.process.alive() }

func (d *Daemon) close() {
	if d.process != nil {
		d.process.Kill()
	}
	if d.listServer != nil {
		_ = d.listServer.Close()
	}
}
