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

// catalogReadWait is how long a read waits for a newer configuration. Each answer
// without one proves that the one at hand is the newest, so it bounds the age
// of that proof.
const catalogReadWait = time.Second

// CatalogFeed says where configurations stand and how they are read.
type CatalogFeed struct {
	Partition keyedlog.Partition
	// Decode returns nil for a record that is no configuration.
	Decode func(keyedlog.Record) (*catalog.Catalog, error)
}

// catalogFollower follows the published configuration. It is safe for concurrent use.
type catalogFollower struct {
	feed        CatalogFeed
	log         keyedlog.Log
	clock       clock.Clock
	logger      *slog.Logger
	current     atomic.Pointer[catalog.Catalog]
	confirmedAt atomic.Int64
	// onChange is told of each newer configuration.
	onChange func(*catalog.Catalog)
}

// Catalog implements gateway.CatalogSource.
func (c *catalogFollower) Catalog() *catalog.Catalog { return c.current.Load() }

// ConfirmedAt implements gateway.CatalogSource.
func (c *catalogFollower) ConfirmedAt() time.Duration { return time.Duration(c.confirmedAt.Load()) }

// run follows the configuration until t dies.
func (c *catalogFollower) run(t *tomb.Tomb) error {
	f := keyedlog.Follower{
		Log:       c.log,
		Partition: c.feed.Partition,
		Clock:     c.clock,
		Wait:      catalogReadWait,
		Reset:     c.apply,
		Apply:     c.apply,
		Current:   func(at time.Duration) { c.confirmedAt.Store(int64(at)) },
		Failed: func(err error) {
			c.logger.Warn("the configuration can't be read, the last one stays in force", "error", err)
		},
	}
	return f.Run(t)
}

// apply brings the newest configuration among records into force.
func (c *catalogFollower) apply(entries []keyedlog.Entry) {
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
		c.onChange(next)
	}
}
