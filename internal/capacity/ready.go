package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// launch writes a daemon's settings and starts it.
func (c *testCell) launch(p *process) error {
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\nregion = %s\n\n[listen]\napi = %s\npeer = %s\nadmin = %s\n\n"+
		"[platform]\nlog_url = http://%s\nlist_url = http://%s\n\n[end]\n",
		p.id, p.zone, c.listedRegion(p), p.api, p.peer, p.admin, c.logAddresses[p.region], c.listAddress)
	file := filepath.Join(c.dir, p.id+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	command := append(append([]string(nil), c.options.command...), file)
	return p.launch(command, c.errorLog)
}

// awaitReady waits until every daemon has the configuration in force and every
// endpoint has been polled for events.
func (c *testCell) awaitReady() error {
	err := eventually("the cell is ready", func() bool {
		polled, _, _ := c.endpointMeter.firsts(endpoint.PathEvents)
		return len(c.behind()) == 0 && polled == len(c.endpoints) && len(c.unheld()) == 0
	})
	return errors.Wrapf(err, "without the configuration: %v, without a holder: %v", c.behind(), c.unheld())
}

// behind lists the daemons that lack the configuration that was published
// last.
func (c *testCell) behind() []string {
	var out []string
	for _, p := range c.daemons {
		if _, ok := p.inForceAt(c.version); !ok {
			out = append(out, p.id)
		}
	}
	return out
}

// unheld lists the zones without a holder.
func (c *testCell) unheld() []string {
	var out []string
	for _, z := range c.options.zones {
		if c.holder(z.name) == nil {
			out = append(out, z.name)
		}
	}
	return out
}

// holder is the daemon that holds a zone, or nil.
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

// frontDoor is a daemon of the first zone that does not hold it, or the holder
// if there is no other.
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

// eventually polls a condition until it holds or startTimeout is over.
func eventually(what string, holds func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(poll) {
		if holds() {
			return nil
		}
	}
	return errors.Errorf("not within %s: %s", startTimeout, what)
}
