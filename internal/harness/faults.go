package harness

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/testrelay"
)

// inject records a fault and returns the function that records its end.
func (c *Cell) inject(e history.Event) func() {
	e.Kind = history.FaultInjected
	e.Source = harnessSource
	c.Rec.Add(e)
	return func() {
		e.Kind = history.FaultHealed
		e.UnixNano = 0
		c.Rec.Add(e)
	}
}

// KillDaemon ends a daemon at once. The returned function starts it again.
func (c *Cell) KillDaemon(id string) func() error {
	healed := c.inject(history.Event{Fault: "kill", Daemon: id})
	d := c.Daemons[id]
	d.process.Kill()
	return func() error {
		err := c.startDaemon(d)
		healed()
		return err
	}
}

// PauseDaemon stops a daemon in its tracks until the returned function runs.
func (c *Cell) PauseDaemon(id string) func() error {
	healed := c.inject(history.Event{Fault: history.FaultPause, Daemon: id})
	p := c.Daemons[id].process
	p.Pause()
	return func() error {
		p.Resume()
		healed()
		return nil
	}
}

// StopDaemon stops a daemon as planned. The returned function waits until it
// has ended, which it must do by itself, and starts it again.
func (c *Cell) StopDaemon(id string) func() error {
	d := c.Daemons[id]
	c.Rec.Add(history.Event{Kind: history.DrainStarted, Source: harnessSource, Daemon: id})
	p := d.process
	p.Terminate()
	down := make(chan struct{})
	go func() {
		defer close(down)
		if !p.Wait(c.Options.DrainTimeout + stopSlack) {
			p.Kill()
		}
		c.Rec.Add(history.Event{Kind: history.DaemonDown, Source: harnessSource, Daemon: id})
	}()
	return func() error {
		<-down
		return c.startDaemon(d)
	}
}

// stopSlack is how much longer than its drain timeout a daemon may take to
// end after SIGTERM.
const stopSlack = 5 * time.Second

// FailEndpoint kills an endpoint. The returned function starts it again.
func (c *Cell) FailEndpoint(id string) func() error {
	healed := c.inject(history.Event{Fault: "worker death", Endpoint: id})
	c.KillEndpoint(id)
	return func() error {
		err := c.StartEndpoint(id)
		healed()
		return err
	}
}

// PauseEndpoint stops an endpoint until the returned function runs.
func (c *Cell) PauseEndpoint(id string) func() error {
	healed := c.inject(history.Event{Fault: history.FaultPause, Endpoint: id})
	p := c.Endpoints[id].process
	p.Pause()
	return func() error {
		p.Resume()
		healed()
		return nil
	}
}

// StopEndpoint lets an endpoint leave. The returned function starts it again.
func (c *Cell) StopEndpoint(id string) func() error {
	e := c.Endpoints[id]
	p := e.process
	p.Terminate()
	return func() error {
		p.Wait(endpointDrain + stopSlack)
		p.Kill()
		c.Rec.Add(history.Event{Kind: history.EndpointDown, Source: harnessSource, Endpoint: id})
		return c.StartEndpoint(id)
	}
}

// endpointDrain is the drain time of endpoints; see addEndpoint.
const endpointDrain = 5 * time.Second

// EndpointSwitch sets a fault switch of an endpoint until the returned
// function sets it back.
func (c *Cell) EndpointSwitch(id, name string, on, off any) (func() error, error) {
	healed := c.inject(history.Event{Fault: name, Endpoint: id})
	if err := c.EndpointFault(id, name, on); err != nil {
		return nil, err
	}
	return func() error {
		healed()
		return c.EndpointFault(id, name, off)
	}, nil
}

// LogSwitch sets a fault switch of the log until the returned function sets
// it back.
func (c *Cell) LogSwitch(name string, on, off any) (func() error, error) {
	healed := c.inject(history.Event{Fault: "log " + name})
	if err := c.LogFault(name, on); err != nil {
		return nil, err
	}
	return func() error {
		healed()
		return c.LogFault(name, off)
	}, nil
}

// ListSwitch sets a fault switch of every daemon's list until the returned
// function sets it back.
func (c *Cell) ListSwitch(name string, on, off any) (func() error, error) {
	healed := c.inject(history.Event{Fault: "list " + name})
	if err := c.setLists(name, on); err != nil {
		return nil, err
	}
	return func() error {
		healed()
		return c.setLists(name, off)
	}, nil
}

func (c *Cell) setLists(name string, value any) error {
	for _, d := range c.Daemons {
		if err := d.list.Faults().Set(name, value); err != nil {
			return err
		}
	}
	return nil
}

// CutLinks applies a fault to the links that match until the returned
// function heals them. Links that carry no connection can't show anything, so
// that it is an error if none of them does within linkTimeout.
func (c *Cell) CutLinks(name string, match func(Link) bool, fault testrelay.Fault) (func() error, error) {
	inUse := func() bool { return c.inUse(match) }
	if !Eventually(Within(context.Background(), linkTimeout), inUse) {
		return nil, errors.Errorf("no connection to cut for %q", name)
	}
	healed := c.inject(history.Event{Fault: name})
	c.SetLinks(match, fault)
	return func() error {
		c.SetLinks(match, testrelay.Fault{})
		healed()
		return nil
	}, nil
}

// linkTimeout bounds the wait for a connection that can be cut.
const linkTimeout = 3 * time.Second

// inUse reports whether a link that matches carries a connection.
func (c *Cell) inUse(match func(Link) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l, r := range c.relays {
		if match(l) && r.Connections() > 0 {
			return true
		}
	}
	return false
}

// BetweenZones matches links from one zone to another, in both directions.
func (c *Cell) BetweenZones(a, b string) func(Link) bool {
	return func(l Link) bool {
		from, to := c.Zone(l.From), c.Zone(l.To)
		return from == a && to == b || from == b && to == a
	}
}

// FromZoneTo matches links that instances of zone a open to zone b.
func (c *Cell) FromZoneTo(a, b string) func(Link) bool {
	return func(l Link) bool { return c.Zone(l.From) == a && c.Zone(l.To) == b }
}

// ToLog matches the links from a zone to the log.
func (c *Cell) ToLog(zone string) func(Link) bool {
	return func(l Link) bool { return c.Zone(l.From) == zone && l.To == LogName }
}

// ToEndpoints matches the links from daemons to the endpoints of a zone.
func (c *Cell) ToEndpoints(zone string) func(Link) bool {
	return func(l Link) bool { return c.Endpoints[l.To] != nil && c.Zone(l.To) == zone }
}
