package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"gopkg.in/tomb.v2"
)

// catalogReadWait is how long a read waits for a newer configuration. A read
// that returns none proves that the configuration in force is the newest, so
// that this wait bounds the age of the proof.
const catalogReadWait = time.Second

// CatalogFeed is the partition of the configurations and their decoder.
type CatalogFeed struct {
	Partition keyedlog.Partition
	// Decode returns nil for a record that is not a configuration.
	Decode func(keyedlog.Record) (*catalog.Catalog, error)
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
	// applying serializes apply, so that an older configuration never replaces a
	// newer one.
	applying sync.Mutex
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
		Reset:     c.apply,
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
	entries, _, err := keyedlog.NewestAll(ctx, c.log, c.feed.Partition)
	if err != nil {
		return err
	}
	c.apply(entries)
	return nil
}

// apply puts the newest configuration among the entries into force.
func (c *catalogFollower) apply(entries []keyedlog.Entry) {
	c.applying.Lock()
	defer c.applying.Unlock()
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
