package keyedlog

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"
)

const (
	// followRetryFirst and followRetryMax are the shortest and the longest
	// backoff after a failed read.
	followRetryFirst = 100 * time.Millisecond
	followRetryMax   = time.Second
	// followTimeoutMargin is how much longer than the requested wait a read may
	// take.
	followTimeoutMargin = time.Second
)

// Follower follows a partition: it first loads the newest record of each key, then
// reads the records that are appended after them.
type Follower struct {
	Log       Log
	Partition Partition
	Clock     clock.Clock
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// MinInterval is the least time between the starts of two reads.
	MinInterval time.Duration
	// Reset is called with the newest record of every key: at the start, when
	// records were trimmed before they were read, and when the partition ends
	// below what was read.
	// end is where the partition ended when the first of them was read.
	Reset func(newest []Entry, end int64)
	// Apply is called with the records that follow, in order.
	Apply func([]Entry)
	// CaughtUp, if set, is called when all records that the partition contained
	// at the time at have been passed to Reset or Apply.
	CaughtUp func(at time.Duration)
	// OnError, if set, is called with the error of a failed call.
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

// step loads the newest records if next is negative, and otherwise reads the records
// from offset next on. It returns the offset from which to continue, or a negative
// one if the newest records have to be loaded again.
func (f *Follower) step(ctx context.Context, next int64, began time.Duration) (int64, error) {
	if next < 0 {
		return f.load(ctx, began)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait+followTimeoutMargin)
	defer cancel()
	page, err := f.Log.Read(ctx, f.Partition, next, f.Wait)
	if err != nil {
		return next, err
	}
	if page.End < next {
		// The log ends before what was read, for example after it was restored
		// from a backup.
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

// load loads the newest record of every key and returns the offset from which to
// continue.
func (f *Follower) load(ctx context.Context, began time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+followTimeoutMargin)
	defer cancel()
	entries, from, err := NewestAll(ctx, f.Log, f.Partition)
	if err != nil {
		return -1, err
	}
	f.Reset(entries, from)
	if f.CaughtUp != nil {
		f.CaughtUp(began)
	}
	return from, nil
}

// sleep waits for d or until ctx ends.
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
