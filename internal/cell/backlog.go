package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// backlogBytes bounds the records that a reader behind the trim holds back
// until it finds a snapshot, by their encoded size.
const backlogBytes = 16 << 20

// entry is a decoded record at its place in the log.
type entry struct {
	offset uint64
	id     string
	size   int
	env    *record.Envelope
}

// backlog holds the records from offset from on until every shard is known.
type backlog struct {
	// from is the first offset that the reader has, or acts as if it had.
	from    uint64
	entries []*entry
	bytes   int
	limit   int
}

// add keeps a record. Beyond the limit the oldest ones are dropped, which
// makes the reader one that began later; that is always sound, as all it does
// is wait for a snapshot that covers more.
func (b *backlog) add(e *entry) {
	b.entries = append(b.entries, e)
	b.bytes += e.size
	for b.bytes > b.limit && len(b.entries) > 0 {
		b.bytes -= b.entries[0].size
		b.from = b.entries[0].offset + 1
		b.entries[0] = nil
		b.entries = b.entries[1:]
	}
}

// covers reports whether a snapshot through the given offset and the records
// held back leave no gap.
func (b *backlog) covers(through uint64) bool {
	return through+1 >= b.from
}

// after returns the records behind the given offset.
func (b *backlog) after(through uint64) []*entry {
	for i, e := range b.entries {
		if e.offset > through {
			return b.entries[i:]
		}
	}
	return nil
}

// clear forgets all records.
func (b *backlog) clear() {
	b.entries = nil
	b.bytes = 0
}
