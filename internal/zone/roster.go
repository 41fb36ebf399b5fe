package zone

import (
	"maps"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Roster is the set of endpoints that any holder of the zone may have used.
// A holder appends an endpoint under its epoch before it starts the first task
// there, and a new holder reads the roster up to its own claim. Because records
// of an older epoch after that claim are void, only endpoints in the roster can
// run tasks of an older epoch.
//
// A removal takes effect only if its writer had read the endpoint's last
// addition. So a removal whose append is delayed until the endpoint has been
// added again can't remove an endpoint that is in use.
type Roster struct {
	// addedAt maps each endpoint to the offset at which it was last added.
	addedAt map[string]uint64
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{addedAt: map[string]uint64{}}
}

// RestoreRoster restores a roster from a snapshot's endpoints and the offsets
// at which they were added, in the same order.
func RestoreRoster(endpoints []string, addedAt []uint64) (*Roster, error) {
	if len(endpoints) != len(addedAt) {
		return nil, record.NewVoid(record.VoidInvalid, "the roster in a snapshot has %d endpoints and %d offsets", len(endpoints), len(addedAt))
	}
	r := NewRoster()
	for i, id := range endpoints {
		r.addedAt[id] = addedAt[i]
	}
	return r, nil
}

// Apply applies the additions and removals of the record at offset. The caller
// has checked the record's epoch; seen is the offset that its writer had
// applied. An endpoint that is both added and removed stays in the roster,
// which is safe.
func (r *Roster) Apply(offset, seen uint64, rec *record.Roster) {
	for _, id := range rec.Removed {
		if r.addedAt[id] <= seen {
			delete(r.addedAt, id)
		}
	}
	for _, id := range rec.Endpoints {
		r.addedAt[id] = offset
	}
}

// Contains reports whether the endpoint is in the roster.
func (r *Roster) Contains(endpoint string) bool {
	_, ok := r.addedAt[endpoint]
	return ok
}

// Endpoints returns the endpoints in sorted order.
func (r *Roster) Endpoints() []string {
	return slices.Sorted(maps.Keys(r.addedAt))
}

// AddedAt returns the offset at which the endpoint was last added, 0 if it is
// not in the roster.
func (r *Roster) AddedAt(endpoint string) uint64 {
	return r.addedAt[endpoint]
}
