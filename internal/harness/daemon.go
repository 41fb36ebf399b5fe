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

// Daemon is one daemon process.
type Daemon struct {
	ID   string
	Zone string

	process *Process
	api     string
	peer    string
	admin   string
	// callerAddress is the relay through which callers come.
	callerAddress string
	logAddress    string
	list          *standin.List
	listServer    *standin.Server
}

// regionOf names the region of a zone; each zone has its own.
func regionOf(zone string) string { return "region-" + zone }

// makeDaemons chooses the daemons' addresses.
func (c *Cell) makeDaemons() error {
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

// wire makes the relays of a daemon's links and the list by which it finds
// the other ends: every other instance stands there under the relay's address.
func (c *Cell) wire(d *Daemon) error {
	callers, err := c.relay(Link{Callers, d.ID}, d.api)
	if err != nil {
		return err
	}
	d.callerAddress = callers.Addr()
	log, err := c.relay(Link{d.ID, LogName}, c.logNode.address)
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

// instancesFor returns the instances as d reaches them.
func (c *Cell) instancesFor(d *Daemon) ([]loglist.Instance, error) {
	var out []loglist.Instance
	for _, other := range c.Daemons {
		address := other.peer
		if other != d {
			r, err := c.relay(Link{d.ID, other.ID}, other.peer)
			if err != nil {
				return nil, err
			}
			address = r.Addr()
		}
		out = append(out, instance(other.ID, other.Zone, loglist.RoleEntry, address))
	}
	for _, e := range c.Endpoints {
		r, err := c.relay(Link{d.ID, e.ID}, e.address)
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

var settingsText = template.Must(template.New("settings").Parse(`[instance]
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
	err := settingsText.Execute(&b, map[string]any{
		"ID": d.ID, "Zone": d.Zone, "Region": regionOf(d.Zone),
		"API": d.api, "Peer": d.peer, "Admin": d.admin,
		"Log": d.logAddress, "List": d.listServer.URL(), "Options": c.Options,
	})
	return b.String(), err
}

// startDaemon starts the process and waits until it accepts connections.
func (c *Cell) startDaemon(d *Daemon) error {
	text, err := c.settings(d)
	if err != nil {
		return err
	}
	file := c.path(d.ID + ".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := launch(d.ID, c.bins.Daemon, []string{"-config", file}, c.path(d.ID+".out"))
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

// awaitListening waits until the HTTP servers of p answer.
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
				return errors.Wrapf(err, "%s doesn't listen on %s", p.Name, address)
			}
			if p.Wait(listenPoll) {
				return errors.Errorf("%s ended before it listened", p.Name)
			}
		}
	}
	return nil
}

// listenPoll is the time between two tries to reach a starting process.
const listenPoll = 20 * time.Millisecond

// Stopping reports whether the daemon has ended or was asked to.
func (d *Daemon) Stopping() bool { return !d.process.alive() }

func (d *Daemon) close() {
	if d.process != nil {
		d.process.Kill()
	}
	if d.listServer != nil {
		_ = d.listServer.Close()
	}
}
