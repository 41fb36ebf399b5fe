// Package keyedlog defines the interface of the durable log that a group of daemons
// shares, with a writer and a follower for it. The log has topics, which consist
// of partitions. Records have keys, and the newest record of each key is retained
// forever. The adapter for the platform implements the interface.
package keyedlog

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Record is a value under a key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Entry is a record and its offset within the partition.
type Entry struct {
	Offset int64
	Record
}

// Partition identifies a sequence of records, whose offsets start at 0.
type Partition struct {
	Topic string
	Index int
}

// Producer identifies the writer of an append and serves as its fencing token: the
// log refuses a writer that has been replaced and stores a repeated append once.
type Producer struct {
	Name string
	// Epoch fences appends: once it is stored, the log refuses appends of the
	// same name with a lower epoch.
	Epoch int64
	// Sequence is the number of the append within its epoch, starting at 1.
	Sequence int64
}

// Append is a write of records. Either all of them are stored or none.
type Append struct {
	Partition Partition
	Records   []Record
	// At, if set, is the offset at which the partition must end for the append
	// to take effect.
	At *int64
	// Producer is the fencing token; nil means none. An append with a producer
	// and without records only raises the epoch.
	Producer *Producer
}

// AppendResult is the position of appended records.
type AppendResult struct {
	// Offset is the offset of the first record, End the one after the last.
	Offset int64
	End    int64
}

// Page is the result of a read.
type Page struct {
	Entries []Entry
	// First is the lowest retained offset, End the offset of the next record
	// to be appended.
	First int64
	End   int64
}

// NewestPage is a page of the newest records, ordered by key.
type NewestPage struct {
	Entries []Entry
	// More reports whether there are keys after the last of Entries.
	More bool
	// End is the partition's end when the page was read.
	End int64
}

// Log is the durable log. All errors are of type *Error.
type Log interface {
	// Append stores records at the end of a partition.
	Append(ctx context.Context, a Append) (AppendResult, error)
	// Read returns the records from an offset on. It waits for up to wait if
	// there is none yet.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key that is greater than after.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Kind classifies an Error by how a caller can respond to it.
type Kind string

// Kinds of errors.
const (
	// KindRefused means that the call had no effect and can be retried later.
	KindRefused Kind = "refused"
	// KindUnanswered means that the call may have taken effect or may still do
	// so.
	KindUnanswered Kind = "unanswered"
	// KindFenced means that a writer with a higher epoch has replaced this one.
	KindFenced Kind = "fenced"
	// KindSequence means that the sequence number of an append is not the next.
	KindSequence Kind = "sequence"
	// KindConflict means that the partition did not end at Append.At.
	KindConflict Kind = "conflict"
	// KindTrimmed means that the requested records are no longer retained.
	KindTrimmed Kind = "trimmed"
	// KindFull means that the log accepts no more records.
	KindFull Kind = "full"
	// KindInvalid means that the call is invalid and must not be retried.
	KindInvalid Kind = "invalid"
)

// remedies contains the remedy that the message of an Error suggests.
var remedies = map[Kind]string{
	KindRefused:    "try again later",
	KindUnanswered: "repeat it with the same sequence number, or read the partition to see whether it took effect",
	KindFenced:     "stop writing; another holder has taken over",
	KindSequence:   "end the term; the writer's sequence numbers don't match the log's",
	KindConflict:   "read the partition to its end and decide again",
	KindTrimmed:    "read the newest record of each key instead",
	KindFull:       "delete keys or store less per key",
	KindInvalid:    "report it as a bug; the daemon and the log disagree about the protocol",
}

// Error is the error of a failed call of the log.
type Error struct {
	Kind Kind
	// Op is the operation, such as "append".
	Op string
	// Detail describes what happened.
	Detail string
	// Number depends on the kind: the higher epoch for KindFenced, the expected
	// sequence number for KindSequence, the partition's end for KindConflict
	// and the first retained offset for KindTrimmed.
	Number int64
}

// Error implements error. The message includes the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("log %s %s: %s; %s", e.Op, e.Kind, e.Detail, remedies[e.Kind])
}

// KindOf returns the kind of err, or "" if err is not an *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// NewestAll returns the newest record of every key, and the offset from which to
// read on without missing a change. That is the partition's end at the first page:
// the pages are not a consistent snapshot, so a record that was appended between two
// pages may be returned here and be read again.
func NewestAll(ctx context.Context, log Log, p Partition) (entries []Entry, from int64, err error) {
	return newestBetween(ctx, log, p, "", "")
}

// newestBetween returns the newest records of the keys that are greater than after
// and not greater than last; an empty last means no upper bound. from is as for
// NewestAll.
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

// NewestInRanges returns the newest record of every key of a partition that has
// no writer. bounds are keys in ascending order, and the ranges between them are read
// concurrently: each page costs one call of the log, so that reading many pages one
// after another is slow.
func NewestInRanges(ctx context.Context, log Log, p Partition, bounds []string) ([]Entry, error) {
	ranges := make([][]Entry, len(bounds)+1)
	group, ctx := errgroup.WithContext(ctx)
	for i := range ranges {
		group.Go(func() error {
			after, last := "", ""
			if i > 0 {
				after = bounds[i-1]
			}
			if i < len(bounds) {
				last = bounds[i]
			}
			entries, _, err := newestBetween(ctx, log, p, after, last)
			ranges[i] = entries
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(ranges...), nil
}
