package harness

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/testrelay"
)

// recordFault records the start of a fault and returns a function that records
// its end.
func (c *Cell) recordFault(e history.Event) func() {
	e.Kind = history.FaultInjected
	e.Source = harnessSource
	c.Rec.Add(e)
	return func() {
		e.Kind = history.FaultHealed
		e.UnixNano = 0
		c.Rec.Add(e)
	}
}

// KillDaemon kills a daemon. The returned function restarts it.
func (c *Cell) KillDaemon(id string) func() error {
	recordHealed := c.recordFault(history.Event{Fault: "kill", Daemon: id})
	d := c.Daemons[id]
	d.process.Kill()
	return func() error {
		err := c.startDaemon(d)
		recordHealed()
		return err
	}
}

// PauseDaemon suspends a daemon until the returned function is called.
func (c *Cell) PauseDaemon(id string) func() error {
	recordHealed := c.recordFault(history.Event{Fault: history.FaultPause, Daemon: id})
	p := c.Daemons[id].process
	p.Pause()
	return func() error {
		p.Resume()
		recordHealed()
		return nil
	}
}

// StopDaemon requests a graceful stop of a daemon. The returned function waits
// until the daemon has exited and restarts it. A daemon that hasn't exited
// stopMargin after its drain timeout is killed.
func (c *Cell) StopDaemon(id string) func() error {
	d := c.Daemons[id]
	c.Rec.Add(history.Event{Kind: history.DrainStarted, Source: harnessSource, Daemon: id})
	p := d.process
	p.Terminate()
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		if !p.Wait(c.Options.DrainTimeout + stopMargin) {
			p.Kill()
		}
		c.Rec.Add(history.Event{Kind: history.DaemonDown, Source: harnessSource, Daemon: id})
	}()
	return func() error {
		<-exited
		return c.startDaemon(d)
	}
}

// stopMargin is the time beyond its drain timeout that a process may take to
// exit after SIGTERM.
const stopMargin = 5 * time.Second

// KillEndpoint kills an endpoint. The returned function starts it again.
func (c *Cell) KillEndpoint(id string) func() error {
	recordHealed := c.recordFault(history.Event{Fault: "worker death", Endpoint: id})
	c.killEndpoint(id)
	return func() error {
		err := c.StartEndpoint(id)
		recordHealed()
		return err
	}
}

// PauseEndpoint suspends an endpoint until the returned function is called.
func (c *Cell) PauseEndpoint(id string) func() error {
	recordHealed := c.recordFault(history.Event{Fault: history.FaultPause, Endpoint: id})
	p := c.Endpoints[id].process
	p.Pause()
	return func() error {
		p.Resume()
		recordHealed()
		return nil
	}
}

// StopEndpoint requests a graceful stop of an endpoint, which then reports that
// it is leaving. The returned function waits until the endpoint has exited, kills
// it if it hasn't in time, and restarts it.
func (c *Cell) StopEndpoint(id string) func() error {
	e := c.Endpoints[id]
	p := e.process
	p.Terminate()
	return func() error {
		p.Wait(endpointDrainTimeout + stopMargin)
		p.Kill()
		c.Rec.Add(history.Event{Kind: history.EndpointDown, Source: harnessSource, Endpoint: id})
		return c.StartEndpoint(id)
	}
}

// endpointDrainTimeout is the drain timeout of endpoints. It must match the flag
// -drain in addEndpoint.
const endpointDrainTimeout = 5 * time.Second

// InjectEndpointFault sets a fault switch of an endpoint to on. The returned
// function sets it to off.
func (c *Cell) InjectEndpointFault(id, name string, on, off any) (func() error, error) {
	recordHealed := c.recordFault(history.Event{Fault: name, Endpoint: id})
	if err := c.SetEndpointFault(id, name, on); err != nil {
		return nil, err
	}
	return func() error {
		recordHealed()
		return c.SetEndpointFault(id, name, off)
	}, nil
}

// InjectLogFault sets a fault switch of the log to on. The returned function
// sets it to off.
func (c *Cell) InjectLogFault(name string, on, off any) (func() error, error) {
	recordHealed := c.recordFault(history.Event{Fault: "log " + name})
	if err := c.SetLogFault(name, on); err != nil {
		return nil, err
	}
	return func() error {
		recordHealed()
		return c.SetLogFault(name, off)
	}, nil
}

// InjectListFault sets a fault switch of every daemon's list of instances to on. The
// returned function sets it to off.
func (c *Cell) InjectListFault(name string, on, off any) (func() error, error) {
	recordHealed := c.recordFault(history.Event{Fault: "list " + name})
	if err := c.setListFaults(name, on); err != nil {
		return nil, err
	}
	return func() error {
		recordHealed()
		return c.setListFaults(name, off)
	}, nil
}

// setListFaults sets a fault switch of every daemon's list of instances.
func (c *Cell) setListFaults(name string, value any) error {
	for _, d := range c.Daemons {
		if err := d.list.Faults().Set(name, value); err != nil {
			return err
		}
	}
	return nil
}

// InjectLinkFault applies a fault to all links for which match returns true. The
// returned function heals them. A fault on links without connections has no
// effect, so it is an error if no matching link carries a connection within
// connectionWaitTimeout.
func (c *Cell) InjectLinkFault(name string, match func(Link) bool, fault testrelay.Fault) (func() error, error) {
	inUse := func() bool { return c.anyConnected(match) }
	if !Eventually(WithTimeout(context.Background(), connectionWaitTimeout), inUse) {
		return nil, errors.Errorf("no matching link carries a connection for the fault %q", name)
	}
	recordHealed := c.recordFault(history.Event{Fault: name})
	c.SetLinkFaults(match, fault)
	return func() error {
		c.SetLinkFaults(match, testrelay.Fault{})
		recordHealed()
		return nil
	}, nil
}

// connectionWaitTimeout bounds the wait for a connection on a link that gets a
// fault.
const connectionWaitTimeout = 3 * time.Second

// anyConnected reports whether any matching link carries a connection.
func (c *Cell) anyConnected(match func(Link) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l, r := range c.relays {
		if match(l) && r.Connections() > 0 {
			return true
		}
	}
	return false
}

// BetweenZones returns a match function for the links between two zones, in both
// directions.
func (c *Cell) BetweenZones(a, b string) func(Link) bool {
	return func(l Link) bool {
		from, to := c.Zone(l.From), c.Zone(l.To)
		return from == a && to == b || from == b && to == a
	}
}

// FromZoneTo returns a match function for the links on which instances of zone a
// open connections to zone b.
func (c *Cell) FromZoneTo(a, b string) func(Link) bool {
	return func(l Link) bool { return c.Zone(l.From) == a && c.Zone(l.To) == b }
}

// ToLog returns a match function for the links from a zone to the log.
func (c *Cell) ToLog(zone string) func(Link) bool {
	return func(l Link) bool { return c.Zone(l.From) == zone && l.To == LogName }
}

// ToEndpoints returns a match function for the links from daemons to the endpoints
// of a zone.
func (c *Cell) ToEndpoints(zone string) func(Link) bool {
	return func(l Link) bool { return c.Endpoints[l.To] != nil && c.Zone(l.To) == zone }
}
