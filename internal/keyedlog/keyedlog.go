// Package keyedlog describes the durable log that the daemons of a cell share:
// topics of partitions whose records have keys, of which the newest record of
// each key is kept for good. It owns the interface; the platform's adapter
// implements it.
package keyedlog

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Record is a value under a key. An empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Entry is a record and its offset within the partition.
type Entry struct {
	Offset int64
	Record
}

// Partition names a sequence of records. Offsets number them from 0.
type Partition struct {
	Topic string
	Index int
}

// Producer identifies the writer of an append, so that a replaced writer is
// refused and a repeated append counts once.
type Producer struct {
	Name string
	// Epoch fences all appends of the same name with a lower one.
	Epoch int64
	// Sequence numbers the appends of an epoch from 1.
	Sequence int64
}

// Append is a write of records, all of them or none.
type Append struct {
	Partition Partition
	Records   []Record
	// At makes the append conditional on the partition's end; nil means
	// unconditional.
	At *int64
	// Producer is nil for an append without a fencing token. With one and
	// without records, the append only raises the epoch.
	Producer *Producer
}

// AppendResult says where the records stand.
type AppendResult struct {
	// Offset is that of the first record, End that behind the last.
	Offset int64
	End    int64
}

// Page is what a read returned.
type Page struct {
	Entries []Entry
	// First is the lowest offset that is kept, End the one that the next
	// record gets.
	First int64
	End   int64
}

// NewestPage is a page of the newest records by key.
type NewestPage struct {
	Entries []Entry
	// More says that keys behind the last of Entries remain.
	More bool
	// End is the partition's end when the page was made.
	End int64
}

// Log is the durable log. All errors are *Error.
type Log interface {
	Append(ctx context.Context, a Append) (AppendResult, error)
	// Read returns records from an offset on, waiting up to wait for one.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key, those behind after.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Kind classifies an Error by what can be done.
type Kind string

// Kinds of errors.
const (
	// KindRefused means that nothing was done; try again later.
	KindRefused Kind = "refused"
	// KindUnanswered means that the call may have been carried out, or may
	// still be.
	KindUnanswered Kind = "unanswered"
	// KindFenced means that a higher epoch has written.
	KindFenced Kind = "fenced"
	// KindSequence means that an append was out of sequence.
	KindSequence Kind = "sequence"
	// KindConflict means that the partition did not end at Append.At.
	KindConflict Kind = "conflict"
	// KindTrimmed means that the records asked for are no longer kept.
	KindTrimmed Kind = "trimmed"
	// KindFull means that the log takes no more records.
	KindFull Kind = "full"
	// KindInvalid means that the call itself is wrong; repeating it is useless.
	KindInvalid Kind = "invalid"
)

// remedies tells for each kind what to do.
var remedies = map[Kind]string{
	KindRefused:    "try again later",
	KindUnanswered: "repeat it with the same sequence number, or read back",
	KindFenced:     "stop writing; another holder has taken over",
	KindSequence:   "end the term; the writer has lost count",
	KindConflict:   "read the partition to its end and decide again",
	KindTrimmed:    "read the newest record of each key instead",
	KindFull:       "drop keys or shorten what is kept",
	KindInvalid:    "report it; the daemon and the log disagree about the protocol",
}

// Error is a failed call of the log.
type Error struct {
	Kind Kind
	// Op is the operation, such as append.
	Op string
	// Detail says what happened.
	Detail string
	// Number is the epoch for KindFenced, the expected sequence for
	// KindSequence, the end for KindConflict and the first kept offset for
	// KindTrimmed.
	Number int64
}

// Error names what happened and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("log %s %s: %s; %s", e.Op, e.Kind, e.Detail, remedies[e.Kind])
}

// KindOf returns the kind of err, or "" if it is no *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// NewestAll returns the newest record of every key and an offset such that
// reading on from it misses no change: pages are not a snapshot, so what
// changed meanwhile is seen again.
func NewestAll(ctx context.Context, log Log, p Partition) (entries []Entry, from int64, err error) {
	return newestBetween(ctx, log, p, "", "")
}

// newestBetween returns the newest records of the keys behind after and up to
// last; an empty last means all.
func newestBetween(ctx context.Context, log Log, p Partition, after, last string) (entries []Entry, from int64, err error) {
	for first := true; ; first = false {
		page, err := log.Newest(ctx, p, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			from = page.End
		}
		for _, e := range page.Entries {
			if last != "" && e.Key > last {
				return entries, from, nil
			}
			entries = append(entries, e)
		}
		if !page.More || len(page.Entries) == 0 {
			return entries, from, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// NewestInRanges returns the newest record of every key in a partition that nobody
// writes to. It reads the ranges of keys between bounds, which are in order, at
// the same time, as a page takes as long as a call of the log.
func NewestInRanges(ctx context.Context, log Log, p Partition, bounds []string) ([]Entry, error) {
	parts := make([][]Entry, len(bounds)+1)
	group, ctx := errgroup.WithContext(ctx)
	for i := range parts {
		group.Go(func() error {
			after, last := "", ""
			if i > 0 {
				after = bounds[i-1]
			}
			if i < len(bounds) {
				last = bounds[i]
			}
			entries, _, err := newestBetween(ctx, log, p, after, last)
			parts[i] = entries
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(parts...), nil
}
