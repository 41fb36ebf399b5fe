package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/dispatch"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"gopkg.in/tomb.v2"
)

const (
	// registryReadWait is how long a read waits for a change of an endpoint.
	registryReadWait = 2 * time.Second
	// minRegistryReadInterval is the least time between two reads: endpoints write all the
	// time, and a change matters within the time for which one may drain.
	minRegistryReadInterval = 300 * time.Millisecond
)

// RegistryFeed says where endpoints register and how entries are read.
type RegistryFeed struct {
	Partition keyedlog.Partition
	// Decode returns an error for an entry that names no endpoint to use.
	Decode func(keyedlog.Record) (fleet.Registration, error)
}

// registryFollower tells a term what endpoints have registered.
type registryFollower struct {
	feed       RegistryFeed
	log        keyedlog.Log
	clock      clock.Clock
	logger     *slog.Logger
	term       *controller.Controller
	dispatcher *dispatch.Dispatcher
	listed     map[string]bool
}

// load returns the endpoints registered at present.
func (r *registryFollower) load(ctx context.Context) ([]fleet.Registration, error) {
	entries, _, err := keyedlog.NewestAll(ctx, r.log, r.feed.Partition)
	if err != nil {
		return nil, err
	}
	var out []fleet.Registration
	for i := range entries {
		if registration, ok := r.decode(&entries[i]); ok {
			out = append(out, registration)
		}
	}
	return out, nil
}

func (r *registryFollower) decode(e *keyedlog.Entry) (fleet.Registration, bool) {
	if len(e.Value) == 0 {
		return fleet.Registration{}, false
	}
	registration, err := r.feed.Decode(e.Record)
	if err != nil {
		r.logger.Debug("a registration is left out", "endpoint", e.Key, "error", err)
		return fleet.Registration{}, false
	}
	return registration, true
}

// run follows the registry until t dies.
func (r *registryFollower) run(t *tomb.Tomb) error {
	f := keyedlog.Follower{
		Log:       r.log,
		Partition: r.feed.Partition,
		Clock:     r.clock,
		Wait:      registryReadWait,
		Gap:       minRegistryReadInterval,
		Reset:     r.reset,
		Apply:     r.apply,
		Failed:    func(err error) { r.logger.Warn("the registry of endpoints can't be read", "error", err) },
	}
	return f.Run(t)
}

// reset takes in the whole registry; what it lacks has left.
func (r *registryFollower) reset(entries []keyedlog.Entry) {
	before := r.listed
	r.listed = make(map[string]bool)
	r.apply(entries)
	for id := range before {
		if !r.listed[id] {
			r.dispatcher.EndpointUnlisted(id)
			r.term.EndpointUnlisted(id)
		}
	}
}

func (r *registryFollower) apply(entries []keyedlog.Entry) {
	newest := make(map[string]*keyedlog.Entry, len(entries))
	for i := range entries {
		newest[entries[i].Key] = &entries[i]
	}
	for id, e := range newest {
		registration, ok := r.decode(e)
		switch {
		case ok:
			r.listed[id] = true
			r.dispatcher.EndpointListed(registration)
			r.term.EndpointListed(registration)
		case r.listed[id]:
			delete(r.listed, id)
			r.dispatcher.EndpointUnlisted(id)
			r.term.EndpointUnlisted(id)
		}
	}
}
