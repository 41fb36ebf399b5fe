package journal

import (
	"sort"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
)

// ringBytes limits the size of the recent records that are retained for other daemons
// to read.
const ringBytes = 4 << 20

// ring retains the latest records, oldest first, up to a total size.
type ring struct {
	// limit is the maximum and size the current total size in bytes.
	limit int
	size  int
	// records contains the retained records from index start on.
	records []loglist.Record
	start   int
}

// newRing returns a ring that keeps at most limit bytes of record data, but always
// the latest record.
func newRing(limit int) *ring { return &ring{limit: limit} }

// add adds a record and drops the oldest ones while the limit is exceeded.
func (r *ring) add(rec loglist.Record) {
	r.records = append(r.records, rec)
	r.size += len(rec.Data)
	for r.size > r.limit && r.start < len(r.records)-1 {
		r.size -= len(r.records[r.start].Data)
		r.records[r.start] = loglist.Record{}
		r.start++
	}
	if 2*r.start > len(r.records) {
		r.records = append([]loglist.Record(nil), r.records[r.start:]...)
		r.start = 0
	}
}

// read returns at most limit records from an offset on; ok is false if the ring no
// longer contains the record at that offset.
func (r *ring) read(offset uint64, limit int) (out []loglist.Record, ok bool) {
	kept := r.records[r.start:]
	if len(kept) == 0 || kept[0].Offset > offset {
		return nil, false
	}
	at := sort.Search(len(kept), func(i int) bool { return kept[i].Offset >= offset })
	return append(out, kept[at:min(at+limit, len(kept))]...), true
}

// Recent returns at most limit records from an offset on, for other daemons to read.
// ok is false if they are no longer retained here and must be read from the log.
func (j *Journal) Recent(from uint64, limit int) (records []loglist.Record, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ring.read(from, limit)
}
