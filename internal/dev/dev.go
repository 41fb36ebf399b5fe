// Package dev runs a complete cell in one process for development: stand-ins for
// the platform and the endpoints, and daemons in several availability zones.
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
	// listLag is the age of the answers of the simulated list of instances.
	listLag = 200 * time.Millisecond
	// portsPerDaemon is the difference between the port numbers of successive
	// daemons.
	portsPerDaemon = 10
	// workerCores and workerMemoryMB are the capacity of a simulated worker.
	workerCores    = 8
	workerMemoryMB = 16 << 10
	// runnerSlots is the number of concurrent requests of a simulated service
	// runner.
	runnerSlots = 8
)

// Options describe a cell.
type Options struct {
	// Zones are the names of the availability zones. Each zone is also a region
	// of the same name.
	Zones []string
	// Daemons, Workers and Runners are the numbers of daemons, workers and
	// service runners per zone.
	Daemons int
	Workers int
	Runners int
	// Port is the first daemon's port for callers. The next two ports are its
	// peer port and its administration port.
	Port int
	// Level and Log are the log level and the logger of the daemons.
	Level *slog.LevelVar
	Log   *slog.Logger
}

// Cell is a running cell: the daemons and endpoints of several availability zones
// under one log and one configuration.
type Cell struct {
	services []*standin.Server
	// endpoints are closed after their servers.
	endpoints []*standin.Endpoint
	daemons   []*server.Server
	// APIs and Admins are the URLs of the daemons' interfaces for callers and
	// for operators.
	APIs   []string
	Admins []string
}

// Start starts a cell, which runs until Stop. On an error it stops everything that
// was started.
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
	logURL, err := c.serveStandin(standin.NewLog(standin.LogOptions{}))
	if err != nil {
		return err
	}
	list := standin.NewList(nil, listLag)
	listURL, err := c.serveStandin(list)
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

// serveStandin serves a stand-in on a free loopback port and returns its URL.
func (c *Cell) serveStandin(service standin.Service) (string, error) {
	s, err := standin.Serve(service, "127.0.0.1:0", "")
	if err != nil {
		return "", err
	}
	c.services = append(c.services, s)
	return "http://" + s.Addr(), nil
}

// startEndpoints starts the workers and service runners of every zone and returns
// their entries for the list of instances.
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

// startEndpoint starts one worker or service runner. n is its index in the zone.
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

// daemonSettings returns the settings of all daemons.
func daemonSettings(o Options, logURL, listURL string) []*settings.Settings {
	var out []*settings.Settings
	port := o.Port
	for _, zone := range o.Zones {
		for n := range o.Daemons {
			s := settings.Default()
			s.Instance = settings.Instance{ID: fmt.Sprintf("%s-entry-%d", zone, n), Zone: zone, Region: zone}
			s.Listen = settings.Listen{API: loopbackAddress(port), Peer: loopbackAddress(port + 1), Admin: loopbackAddress(port + 2)}
			s.Platform.LogURL, s.Platform.ListURL = logURL, listURL
			out = append(out, s)
			port += portsPerDaemon
		}
	}
	return out
}

// loopbackAddress returns the loopback address with a port.
func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// startDaemons starts the daemons and collects their URLs.
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

// Stop stops the daemons and then the stand-ins. Errors are ignored. ctx bounds the
// stop of the daemons.
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
