package keyedlog

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"
)

const (
	// followRetryFirst and followRetryMax bound the pauses after failed reads.
	followRetryFirst = 100 * time.Millisecond
	followRetryMax   = time.Second
	// followAnswer is how long an answer may take beyond the wait asked for.
	followAnswer = time.Second
)

// Follower reads a partition from the newest record of each key on, for as
// long as it runs.
type Follower struct {
	Log       Log
	Partition Partition
	Clock     clock.Clock
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// MinInterval is the least time between the begins of two reads.
	MinInterval time.Duration
	// Reset is given the newest record of every key, at the start and when
	// records were trimmed before they were read.
	Reset func([]Entry)
	// Apply is given the records behind, in order.
	Apply func([]Entry)
	// CaughtUp, if set, is told that all records that stood in the partition
	// at an instant have been given to Reset or Apply.
	CaughtUp func(at time.Duration)
	// OnError, if set, is told of failed calls.
	OnError func(error)
}

// Run follows the partition until t dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = followRetryFirst, followRetryMax
	next := int64(-1)
	for t.Alive() {
		began := f.Clock.Now()
		after, err := f.step(ctx, next, began)
		switch {
		case err == nil:
			next = after
			pause.Reset()
			sleep(ctx, f.MinInterval-(f.Clock.Now()-began))
		case KindOf(err) == KindTrimmed:
			next = -1
		default:
			if f.OnError != nil && t.Alive() {
				f.OnError(err)
			}
			sleep(ctx, pause.NextBackOff())
		}
	}
	return nil
}

// step loads the newest records, or reads on from an offset, and returns the
// offset to go on from.
func (f *Follower) step(ctx context.Context, next int64, began time.Duration) (int64, error) {
	if next < 0 {
		return f.load(ctx, began)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait+followAnswer)
	defer cancel()
	page, err := f.Log.Read(ctx, f.Partition, next, f.Wait)
	if err != nil {
		return next, err
	}
	if page.End < next {
		// The log has gone back behind what was read, as after a restore.
		return -1, nil
	}
	if len(page.Entries) > 0 {
		f.Apply(page.Entries)
		next = page.Entries[len(page.Entries)-1].Offset + 1
	}
	if next >= page.End && f.CaughtUp != nil {
		f.CaughtUp(began)
	}
	return next, nil
}

func (f *Follower) load(ctx context.Context, began time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+followAnswer)
	defer cancel()
	entries, from, err := NewestAll(ctx, f.Log, f.Partition)
	if err != nil {
		return -1, err
	}
	f.Reset(entries)
	if f.CaughtUp != nil {
		f.CaughtUp(began)
	}
	return from, nil
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
