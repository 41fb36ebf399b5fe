package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"gopkg.in/tomb.v2"
)

// catalogWait is how long a read waits for a newer configuration. Each answer
// without one proves that the one at hand is the newest, so it bounds the age
// of that proof.
const catalogWait = time.Second

// CatalogFeed says where configurations stand and how they are read.
type CatalogFeed struct {
	Partition keyedlog.Partition
	// Decode returns nil for a record that is no configuration.
	Decode func(keyedlog.Record) (*catalog.Catalog, error)
}

// catalogs follows the published configuration. It is safe for concurrent use.
type catalogs struct {
	feed    CatalogFeed
	log     keyedlog.Log
	clock   clock.Clock
	logger  *slog.Logger
	current atomic.Pointer[catalog.Catalog]
	proven  atomic.Int64
	// changed is told of each newer configuration.
	changed func(*catalog.Catalog)
}

// Catalog implements gateway.Catalogs.
func (c *catalogs) Catalog() *catalog.Catalog { return c.current.Load() }

// Proven implements gateway.Catalogs.
func (c *catalogs) Proven() time.Duration { return time.Duration(c.proven.Load()) }

// run follows the configuration until t dies.
func (c *catalogs) run(t *tomb.Tomb) error {
	f := keyedlog.Follower{
		Log:       c.log,
		Partition: c.feed.Partition,
		Clock:     c.clock,
		Wait:      catalogWait,
		Reset:     c.apply,
		Apply:     c.apply,
		CaughtUp:  func(at time.Duration) { c.proven.Store(int64(at)) },
		OnError: func(err error) {
			c.logger.Warn("the configuration can't be read, the last one stays in force", "error", err)
		},
	}
	return f.Run(t)
}

// apply brings the newest configuration among records into force.
func (c *catalogs) apply(entries []keyedlog.Entry) {
	for i := range entries {
		next, err := c.feed.Decode(entries[i].Record)
		if err != nil {
			c.logger.Error("a configuration can't be read and is left out", "offset", entries[i].Offset, "error", err)
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
		c.changed(next)
	}
}
