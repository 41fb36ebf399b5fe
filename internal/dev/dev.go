// Package dev runs a whole cell in one process: stand-ins for the platform and
// the endpoints, and daemons in several availability zones.
package dev

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/server"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/internal/standin"
	"github.com/pkg/errors"
)

const (
	// listLag is the age of the stand-in list's answers.
	listLag = 200 * time.Millisecond
	// portsPerDaemon is the distance between the ports of two daemons.
	portsPerDaemon = 10
	// workerCores and workerMemoryMB are the size of a stand-in worker.
	workerCores    = 8
	workerMemoryMB = 16 << 10
	// runnerSlots are the concurrent requests of a stand-in runner.
	runnerSlots = 8
)

// Options of a cell.
type Options struct {
	// Zones are the names of the availability zones, each its own region.
	Zones []string
	// Daemons, Workers and Runners are counts per zone.
	Daemons int
	Workers int
	Runners int
	// Port is the first daemon's port for callers; the next two are its peer
	// and administration ports.
	Port  int
	Level *slog.LevelVar
	Log   *slog.Logger
}

// Cell is a running cell.
type Cell struct {
	services []*standin.Server
	// endpoints are closed behind their servers.
	endpoints []*standin.Endpoint
	daemons   []*server.Server
	// APIs and Admins are the daemons' URLs.
	APIs   []string
	Admins []string
}

// Start runs a cell until Stop. On an error nothing is left running.
func Start(o Options) (*Cell, error) {
	c := &Cell{}
	if err := c.start(o); err != nil {
		c.Stop(context.Background())
		return nil, err
	}
	return c, nil
}

// start starts the stand-ins, then the daemons.
func (c *Cell) start(o Options) error {
	logURL, err := c.serve(standin.NewLog(standin.LogOptions{}))
	if err != nil {
		return err
	}
	list := standin.NewList(nil, listLag)
	listURL, err := c.serve(list)
	if err != nil {
		return err
	}
	instances, err := c.startEndpoints(o)
	if err != nil {
		return err
	}
	daemons := daemonSettings(o, logURL, listURL)
	for _, s := range daemons {
		instances = append(instances, loglist.Instance{
			ID:               s.Instance.ID,
			Role:             loglist.RoleEntry,
			Address:          s.Listen.Peer,
			Region:           s.Instance.Region,
			AvailabilityZone: s.Instance.Zone,
			State:            loglist.StateLive,
		})
	}
	list.Set(instances)
	return c.startDaemons(daemons, o)
}

// serve runs a stand-in on a free port and returns its URL.
func (c *Cell) serve(service standin.Service) (string, error) {
	s, err := standin.Serve(service, "127.0.0.1:0", "")
	if err != nil {
		return "", err
	}
	c.services = append(c.services, s)
	return "http://" + s.Addr(), nil
}

// startEndpoints runs the workers and service runners of every zone.
func (c *Cell) startEndpoints(o Options) ([]loglist.Instance, error) {
	var instances []loglist.Instance
	for _, zone := range o.Zones {
		for n := range o.Workers + o.Runners {
			i, err := c.startEndpoint(zone, n, n < o.Workers)
			if err != nil {
				return nil, err
			}
			instances = append(instances, i)
		}
	}
	return instances, nil
}

// startEndpoint runs one worker or service runner.
func (c *Cell) startEndpoint(zone string, n int, worker bool) (loglist.Instance, error) {
	options := standin.EndpointOptions{
		ID:               fmt.Sprintf("%s-runner-%d", zone, n),
		Kind:             endpoint.KindRunner,
		AvailabilityZone: zone,
		Rack:             fmt.Sprintf("%s-rack-%d", zone, n%2),
		Capacity:         endpoint.Resources{Slots: runnerSlots},
	}
	role := loglist.RoleRunner
	if worker {
		options.ID = fmt.Sprintf("%s-worker-%d", zone, n)
		options.Kind, role = endpoint.KindWorker, loglist.RoleWorker
		options.Capacity = endpoint.Resources{MilliCores: workerCores * 1000, MemoryMB: workerMemoryMB}
	}
	e := standin.NewEndpoint(options)
	c.endpoints = append(c.endpoints, e)
	s, err := standin.Serve(e, "127.0.0.1:0", "")
	if err != nil {
		return loglist.Instance{}, err
	}
	c.services = append(c.services, s)
	return loglist.Instance{
		ID:               options.ID,
		Role:             role,
		Address:          s.Addr(),
		Region:           zone,
		AvailabilityZone: zone,
		Rack:             options.Rack,
		State:            loglist.StateLive,
	}, nil
}

// daemonSettings are the settings of every daemon.
func daemonSettings(o Options, logURL, listURL string) []*settings.Settings {
	var out []*settings.Settings
	port := o.Port
	for _, zone := range o.Zones {
		for n := range o.Daemons {
			s := settings.Default()
			s.Instance = settings.Instance{ID: fmt.Sprintf("%s-entry-%d", zone, n), Zone: zone, Region: zone}
			s.Listen = settings.Listen{API: address(port), Peer: address(port + 1), Admin: address(port + 2)}
			s.Platform.LogURL, s.Platform.ListURL = logURL, listURL
			out = append(out, s)
			port += portsPerDaemon
		}
	}
	return out
}

// address is a loopback address.
func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// startDaemons runs the daemons.
func (c *Cell) startDaemons(daemons []*settings.Settings, o Options) error {
	for _, s := range daemons {
		d, err := server.New(s, o.Level, o.Log)
		if err != nil {
			return errors.Wrap(err, "start a daemon; choose another -port")
		}
		d.Start()
		c.daemons = append(c.daemons, d)
		api, _, admin := d.Addresses()
		c.APIs = append(c.APIs, "http://"+api)
		c.Admins = append(c.Admins, "http://"+admin)
	}
	return nil
}

// Stop ends the daemons, then the stand-ins.
func (c *Cell) Stop(ctx context.Context) {
	var stopping sync.WaitGroup
	for _, d := range c.daemons {
		stopping.Go(func() { _ = d.Stop(ctx) })
	}
	stopping.Wait()
	for _, s := range c.services {
		stopping.Go(func() { _ = s.Close() })
	}
	stopping.Wait()
	for _, e := range c.endpoints {
		_ = e.Close()
	}
}
