package node

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/evacuation"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"gopkg.in/tomb.v2"
)

// catalogReadWait is how long a read waits for a newer configuration. A read
// that returns none proves that the configuration in force is the newest, so
// that this wait bounds the age of the proof.
const catalogReadWait = time.Second

// CatalogFeed is the partition of the operator's records and their decoders.
type CatalogFeed struct {
	Partition keyedlog.Partition
	// Decode returns nil for a record that is not a configuration.
	Decode func(keyedlog.Record) (*catalog.Catalog, error)
	// Evacuation decodes a request to empty an availability zone, whose offset is not set;
	// ok is false for other records. It is nil if there are no such requests.
	Evacuation func(keyedlog.Record) (r evacuation.Record, ok bool, err error)
}

// catalogFollower reads the published configurations and keeps the newest one.
// It is safe for concurrent use.
type catalogFollower struct {
	feed        CatalogFeed
	log         keyedlog.Log
	clock       clock.Clock
	logger      *slog.Logger
	current     atomic.Pointer[catalog.Catalog]
	confirmedAt atomic.Int64
	// onChange is called with each newer configuration.
	onChange func(*catalog.Catalog)
	// onEvacuations, if set, is called when the availability zones that are being emptied
	// have changed.
	onEvacuations func()
	evacuations   atomic.Pointer[evacuation.Zones]
	// applying serializes apply and reset, so that an older record never replaces a newer
	// one. It guards requests, from which evacuations is derived.
	applying sync.Mutex
	requests evacuation.Tracker
}

// newCatalogFollower returns a follower that has read nothing.
func newCatalogFollower(feed CatalogFeed, log keyedlog.Log, c clock.Clock, logger *slog.Logger) *catalogFollower {
	return &catalogFollower{
		feed: feed, log: log, clock: c, logger: logger,
		onChange: func(*catalog.Catalog) {},
	}
}

// Catalog implements gateway.CatalogSource.
func (c *catalogFollower) Catalog() *catalog.Catalog { return c.current.Load() }

// ConfirmedAt implements gateway.CatalogSource.
func (c *catalogFollower) ConfirmedAt() time.Duration { return time.Duration(c.confirmedAt.Load()) }

// run reads new configurations until t dies.
func (c *catalogFollower) run(t *tomb.Tomb) error {
	f := keyedlog.Follower{
		Log:       c.log,
		Partition: c.feed.Partition,
		Clock:     c.clock,
		Wait:      catalogReadWait,
		Reset:     c.reset,
		Apply:     c.apply,
		CaughtUp:  func(at time.Duration) { c.confirmedAt.Store(int64(at)) },
		OnError: func(err error) {
			c.logger.Warn("the configuration can't be read, the last one stays in force", "error", err)
		},
	}
	return f.Run(t)
}

// refresh reads the newest configuration and puts it into force. The follower may be
// behind, as its reads fail one by one while the log is away and wait before they are
// repeated.
func (c *catalogFollower) refresh(ctx context.Context) error {
	entries, end, err := keyedlog.NewestAll(ctx, c.log, c.feed.Partition)
	if err != nil {
		return err
	}
	c.reset(entries, end)
	return nil
}

// reset puts the newest configuration and the requests to empty availability zones into
// force, as they were when the partition ended at end.
func (c *catalogFollower) reset(entries []keyedlog.Entry, end int64) {
	c.applying.Lock()
	defer c.applying.Unlock()
	requests := c.decodeEvacuations(entries)
	c.updateEvacuations(func() bool { return c.requests.Reset(requests, end) })
	c.applyCatalogs(entries)
}

// apply puts what the operator has written into force.
func (c *catalogFollower) apply(entries []keyedlog.Entry) {
	c.applying.Lock()
	defer c.applying.Unlock()
	requests := c.decodeEvacuations(entries)
	c.updateEvacuations(func() (changed bool) {
		for _, r := range requests {
			changed = c.requests.Apply(r) || changed
		}
		return changed
	})
	c.applyCatalogs(entries)
}

// decodeEvacuations returns the requests among the entries to empty availability zones.
func (c *catalogFollower) decodeEvacuations(entries []keyedlog.Entry) []evacuation.Record {
	if c.feed.Evacuation == nil {
		return nil
	}
	var records []evacuation.Record
	for i := range entries {
		r, ok, err := c.feed.Evacuation(entries[i].Record)
		switch {
		case err != nil:
			metrics.OddEntries.Add("evacuation", 1)
			c.logger.Warn("skipping a request to empty an availability zone", "offset", entries[i].Offset, "error", err)
		case ok:
			r.Offset = entries[i].Offset
			records = append(records, r)
		}
	}
	return records
}

// updateEvacuations applies requests to empty availability zones, and makes the zones known
// if they have changed.
func (c *catalogFollower) updateEvacuations(apply func() (changed bool)) {
	ignored := c.requests.Ignored()
	changed := apply()
	if n := c.requests.Ignored() - ignored; n > 0 {
		metrics.OddEntries.Add("evacuation", int64(n))
		c.logger.Error("requests to empty availability zones are left out, there are too many; remove those that name no zone", "requests", n)
	}
	if !changed {
		return
	}
	zones := c.requests.Zones()
	c.evacuations.Store(&zones)
	c.logger.Info("availability zones to be emptied have changed", "zones", slices.Sorted(maps.Keys(zones)))
	if c.onEvacuations != nil {
		c.onEvacuations()
	}
}

// Evacuations returns the availability zones that are being emptied.
func (c *catalogFollower) Evacuations() evacuation.Zones {
	if zones := c.evacuations.Load(); zones != nil {
		return *zones
	}
	return nil
}

// applyCatalogs puts the newest configuration among the entries into force.
func (c *catalogFollower) applyCatalogs(entries []keyedlog.Entry) {
	for i := range entries {
		next, err := c.feed.Decode(entries[i].Record)
		if err != nil {
			metrics.OddEntries.Add("configuration", 1)
			c.logger.Error("skipping a configuration that can't be decoded", "offset", entries[i].Offset, "error", err)
			continue
		}
		if next == nil {
			continue
		}
		if now := c.current.Load(); now != nil && next.Version <= now.Version {
			continue
		}
		c.current.Store(next)
		c.logger.Info("configuration in force", "version", next.Version, "queues", len(next.Queues), "customers", len(next.Customers))
		c.onChange(next)
	}
}
