package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// maxBacklogBytes limits the encoded size of the records that a reader holds
// back if it starts after the first records were trimmed and has not found a
// snapshot.
const maxBacklogBytes = 16 << 20

// entry is a decoded record and its offset in the log.
type entry struct {
	offset   uint64
	id       string
	size     int
	envelope *record.Envelope
}

// backlog holds the records from firstOffset on until every shard is known.
type backlog struct {
	// firstOffset is the offset from which on no record is missing. It is the
	// reader's first offset until the oldest records are dropped.
	firstOffset uint64
	entries     []*entry
	bytes       int
	maxBytes    int
}

// add appends a record. If the backlog exceeds maxBytes, its oldest records
// are dropped, as if the reader had started later. This is safe: the reader
// only has to wait for a snapshot that covers more records.
func (b *backlog) add(e *entry) {
	b.entries = append(b.entries, e)
	b.bytes += e.size
	for b.bytes > b.maxBytes && len(b.entries) > 0 {
		b.bytes -= b.entries[0].size
		b.firstOffset = b.entries[0].offset + 1
		b.entries[0] = nil
		b.entries = b.entries[1:]
	}
}

// covers reports whether no record is missing between a snapshot through the
// given offset and the records in the backlog.
func (b *backlog) covers(through uint64) bool {
	return through+1 >= b.firstOffset
}

// entriesAfter returns the records after the given offset.
func (b *backlog) entriesAfter(through uint64) []*entry {
	for i, e := range b.entries {
		if e.offset > through {
			return b.entries[i:]
		}
	}
	return nil
}

// clear drops all records.
func (b *backlog) clear() {
	b.entries = nil
	b.bytes = 0
}
