package zone

import (
	"maps"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Roster is the set of endpoints that any holder of the zone may have used.
// A holder appends an endpoint under its epoch before its first task there,
// and a claimant reads the roster up to its own claim. As records of an older
// epoch behind that claim are void, no endpoint outside the roster can run
// work of an older epoch.
//
// A removal counts only for an endpoint whose last addition its writer had
// seen. An append that is delayed past the endpoint's return can't remove an
// endpoint that is in use again.
type Roster struct {
	// added is the offset at which each endpoint was last added.
	added map[string]uint64
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{added: map[string]uint64{}}
}

// RestoreRoster returns the roster that a snapshot gives.
func RestoreRoster(endpoints []string, added []uint64) (*Roster, error) {
	if len(endpoints) != len(added) {
		return nil, record.NewVoid(record.VoidInvalid, "the roster in a snapshot has %d endpoints and %d offsets", len(endpoints), len(added))
	}
	r := NewRoster()
	for i, id := range endpoints {
		r.added[id] = added[i]
	}
	return r, nil
}

// Apply adds and removes the endpoints of the record at offset, whose epoch
// the caller has checked and whose writer had seen the given offset. An
// endpoint named as both stays, which is the safe reading.
func (r *Roster) Apply(offset, seen uint64, rec *record.Roster) {
	for _, id := range rec.Removed {
		if r.added[id] <= seen {
			delete(r.added, id)
		}
	}
	for _, id := range rec.Endpoints {
		r.added[id] = offset
	}
}

// Contains reports whether the endpoint is on the roster.
func (r *Roster) Contains(endpoint string) bool {
	_, ok := r.added[endpoint]
	return ok
}

// Endpoints returns the endpoints in sorted order.
func (r *Roster) Endpoints() []string {
	return slices.Sorted(maps.Keys(r.added))
}

// Added returns the offset at which the endpoint was last added, 0 if it is
// not on the roster.
func (r *Roster) Added(endpoint string) uint64 {
	return r.added[endpoint]
}
