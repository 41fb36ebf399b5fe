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
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"gopkg.in/tomb.v2"
)

const (
	// registryReadWait is how long a read waits for a change of an endpoint.
	registryReadWait = 2 * time.Second
	// minRegistryReadInterval is the least time between two reads. Endpoints
	// write all the time, but a change matters only within the time for which
	// an endpoint may drain.
	minRegistryReadInterval = 300 * time.Millisecond
)

// RegistryFeed is the partition in which endpoints register and the decoder of
// its entries.
type RegistryFeed struct {
	Partition keyedlog.Partition
	// Decode returns an error for an entry that describes no usable endpoint.
	Decode func(keyedlog.Record) (fleet.Registration, error)
}

// registryFollower reads the registry of endpoints and passes changes on to a
// term's controller and dispatcher.
type registryFollower struct {
	feed       RegistryFeed
	log        keyedlog.Log
	clock      clock.Clock
	logger     *slog.Logger
	controller *controller.Controller
	dispatcher *dispatch.Dispatcher
	listed     map[string]bool
	// odd are the keys whose odd entries have been logged.
	odd map[string]bool
}

// load returns the endpoints that are currently registered.
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

// decode returns the registration of an entry. It returns false for an entry
// that was removed or describes no usable endpoint.
func (r *registryFollower) decode(e *keyedlog.Entry) (fleet.Registration, bool) {
	if len(e.Value) == 0 {
		return fleet.Registration{}, false
	}
	registration, err := r.feed.Decode(e.Record)
	if err != nil {
		r.reportOdd(e.Key, err)
		return fleet.Registration{}, false
	}
	return registration, true
}

// maxReportedOdd bounds the keys whose odd entries are remembered as reported.
const maxReportedOdd = 1000

// reportOdd counts an entry that names no usable endpoint, and logs the first one under
// each key: its writer may write it again with every heartbeat.
func (r *registryFollower) reportOdd(key string, err error) {
	metrics.OddEntries.Add("registry", 1)
	if r.odd[key] || len(r.odd) >= maxReportedOdd {
		return
	}
	if r.odd == nil {
		r.odd = make(map[string]bool)
	}
	r.odd[key] = true
	r.logger.Warn("an entry of the registry names no usable endpoint and is left out; correct its writer", "key", key, "error", err)
}

// run reads changes of the registry until t dies.
func (r *registryFollower) run(t *tomb.Tomb) error {
	f := keyedlog.Follower{
		Log:         r.log,
		Partition:   r.feed.Partition,
		Clock:       r.clock,
		Wait:        registryReadWait,
		MinInterval: minRegistryReadInterval,
		Reset:       func(newest []keyedlog.Entry, _ int64) { r.reset(newest) },
		Apply:       r.apply,
		OnError:     func(err error) { r.logger.Warn("the registry of endpoints can't be read", "error", err) },
	}
	return f.Run(t)
}

// reset applies the complete registry. Endpoints that it lacks have left.
func (r *registryFollower) reset(entries []keyedlog.Entry) {
	before := r.listed
	r.listed = make(map[string]bool)
	r.apply(entries)
	for id := range before {
		if !r.listed[id] {
			r.dispatcher.EndpointUnlisted(id)
			r.controller.EndpointUnlisted(id)
		}
	}
}

// apply applies the newest entry of each endpoint among the entries.
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
			r.controller.EndpointListed(registration)
		case r.listed[id]:
			delete(r.listed, id)
			r.dispatcher.EndpointUnlisted(id)
			r.controller.EndpointUnlisted(id)
		}
	}
}
