package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// idWindow remembers the ids of the records that holders appended in the last
// seenWindow offsets, and of the transfers in them, to detect duplicates. A
// record whose offset is more than seenWindow after its Seen offset is void
// because it is late. So a record can't take effect twice after its id was
// dropped from the window.
type idWindow struct {
	seenWindow uint64
	ids        map[string]struct{}
	queue      []record.RecentID
}

func newIDWindow(seenWindow uint64, recent []record.RecentID) *idWindow {
	w := &idWindow{seenWindow: seenWindow, ids: make(map[string]struct{}, len(recent)), queue: recent}
	for _, r := range recent {
		w.ids[r.ID] = struct{}{}
	}
	return w
}

// check remembers the ids of the record at offset. It returns a *record.Void as
// error if an id is a duplicate. It also does, and remembers no id, if the
// record is late or seen isn't before offset. Empty ids are ignored.
func (w *idWindow) check(offset, seen uint64, ids ...string) error {
	w.expire(offset)
	if seen >= offset {
		return record.NewVoid(record.VoidInvalid, "the record at offset %d says that its writer had read offset %d; set Seen to the applied offset", offset, seen)
	}
	if offset-seen > w.seenWindow {
		return record.NewVoid(record.VoidLate, "the record at offset %d was created at offset %d and is too late; create it again", offset, seen)
	}
	duplicate := ""
	for _, id := range ids {
		if !w.add(offset, id) {
			duplicate = id
		}
	}
	if duplicate != "" {
		return record.NewVoid(record.VoidDuplicate, "id %q is already in the log; only its first record is applied", duplicate)
	}
	return nil
}

// add remembers an id and reports whether it is new.
func (w *idWindow) add(offset uint64, id string) bool {
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

// expire drops the ids of records more than seenWindow offsets before offset.
func (w *idWindow) expire(offset uint64) {
	n := 0
	for n < len(w.queue) && w.queue[n].Offset+w.seenWindow < offset {
		delete(w.ids, w.queue[n].ID)
		n++
	}
	w.queue = w.queue[n:]
}

// snapshot returns the remembered ids with their offsets.
func (w *idWindow) snapshot() []record.RecentID {
	return append([]record.RecentID(nil), w.queue...)
}
