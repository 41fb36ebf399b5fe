package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// window remembers the ids of holders' records over span offsets.
// A record that stands further behind its Seen offset is void as late, so that
// an id that was forgotten can't take effect again.
type window struct {
	span  uint64
	ids   map[string]struct{}
	queue []record.RecentID
}

func newWindow(span uint64, recent []record.RecentID) *window {
	w := &window{span: span, ids: make(map[string]struct{}, len(recent)), queue: recent}
	for _, r := range recent {
		w.ids[r.ID] = struct{}{}
	}
	return w
}

// check returns an error, a *record.Void, if the record at offset is late or
// has an id that is remembered, and remembers its ids. Empty ids are ignored.
func (w *window) check(offset, seen uint64, ids ...string) error {
	w.expire(offset)
	if seen >= offset {
		return record.NewVoid(record.VoidInvalid, "the record at offset %d says that its writer had read offset %d; set Seen to the applied offset", offset, seen)
	}
	if offset-seen > w.span {
		return record.NewVoid(record.VoidLate, "the record at offset %d was made at offset %d; make it anew", offset, seen)
	}
	duplicate := ""
	for _, id := range ids {
		if !w.add(offset, id) {
			duplicate = id
		}
	}
	if duplicate != "" {
		return record.NewVoid(record.VoidDuplicate, "id %q stands in the log already; its first record counts", duplicate)
	}
	return nil
}

// add reports whether the id is new.
func (w *window) add(offset uint64, id string) bool {
	if id == "" {
		return true
	}
	if _, ok := w.ids[id]; ok {
		return false
	}
	w.ids[id] = struct{}{}
	w.queue = append(w.queue, record.RecentID{ID: id, Offset: offset})
	return true
}

// expire forgets the ids of records that stand more than span offsets
// before offset.
func (w *window) expire(offset uint64) {
	n := 0
	for n < len(w.queue) && w.queue[n].Offset+w.span < offset {
		delete(w.ids, w.queue[n].ID)
		n++
	}
	w.queue = w.queue[n:]
}

// snapshot returns the ids that are remembered.
func (w *window) snapshot() []record.RecentID {
	return append([]record.RecentID(nil), w.queue...)
}
