package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// startDaemon writes a daemon's settings file and starts the daemon.
func (c *testCell) startDaemon(p *process) error {
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\nregion = %s\n\n[listen]\napi = %s\npeer = %s\nadmin = %s\n\n"+
		"[platform]\nlog_url = http://%s\nlist_url = http://%s\n\n[end]\n",
		p.id, p.zone, c.listedRegion(p), p.api, p.peer, p.admin, c.logAddresses[p.region], c.listAddress)
	file := filepath.Join(c.dir, p.id+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	command := append(append([]string(nil), c.options.command...), file)
	return p.start(command, c.errorLog)
}

// awaitReady waits until every daemon has the configuration in force, every zone
// has a holder and every endpoint has been polled for events.
func (c *testCell) awaitReady() error {
	err := waitUntil("the cell is ready", func() bool {
		polled, _, _ := c.endpointMeter.firstRequests(endpoint.PathEvents)
		return len(c.daemonsBehind()) == 0 && polled == len(c.endpoints) && len(c.zonesWithoutHolder()) == 0
	})
	return errors.Wrapf(err, "without the configuration: %v, without a holder: %v", c.daemonsBehind(), c.zonesWithoutHolder())
}

// daemonsBehind returns the ids of the daemons that don't have the configuration
// published last in force.
func (c *testCell) daemonsBehind() []string {
	var out []string
	for _, p := range c.daemons {
		if _, ok := p.inForceAt(c.version); !ok {
			out = append(out, p.id)
		}
	}
	return out
}

// zonesWithoutHolder returns the names of the zones that have no holder.
func (c *testCell) zonesWithoutHolder() []string {
	var out []string
	for _, z := range c.options.zones {
		if c.holder(z.name) == nil {
			out = append(out, z.name)
		}
	}
	return out
}

// holder returns the daemon that holds a zone, or nil.
func (c *testCell) holder(zone string) *process {
	for _, p := range c.daemons {
		if p.zone != zone || p.exited() {
			continue
		}
		if v, err := p.vars(); err == nil && v["holder_epoch"] > 0 {
			return p
		}
	}
	return nil
}

// frontDoor returns the daemon to which the load is sent: a daemon of the first
// zone that does not hold the zone, or the holder if there is no other.
func (c *testCell) frontDoor() *process {
	holder := c.holder(c.options.zones[0].name)
	for _, p := range c.daemons {
		if p.zone == c.options.zones[0].name && p != holder && !p.exited() {
			return p
		}
	}
	return holder
}

// exited reports whether the process has ended.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitUntil polls a condition until it holds; it returns an error that names the
// condition if that takes longer than startTimeout.
func waitUntil(what string, holds func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return errors.Errorf("timed out after %s waiting until %s", startTimeout, what)
}
