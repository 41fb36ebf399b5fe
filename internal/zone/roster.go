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
type Roster struct {
	endpoints map[string]struct{}
}

// NewRoster returns a roster of the given endpoints.
func NewRoster(endpoints []string) *Roster {
	r := &Roster{endpoints: make(map[string]struct{}, len(endpoints))}
	for _, id := range endpoints {
		r.endpoints[id] = struct{}{}
	}
	return r
}

// Apply adds and removes the endpoints of rec, whose epoch the caller has
// checked. An endpoint named as both stays, which is the safe reading.
func (r *Roster) Apply(rec *record.Roster) {
	for _, id := range rec.Removed {
		delete(r.endpoints, id)
	}
	for _, id := range rec.Endpoints {
		r.endpoints[id] = struct{}{}
	}
}

// Contains reports whether the endpoint is on the roster.
func (r *Roster) Contains(endpoint string) bool {
	_, ok := r.endpoints[endpoint]
	return ok
}

// Endpoints returns the endpoints in sorted order.
func (r *Roster) Endpoints() []string {
	return slices.Sorted(maps.Keys(r.endpoints))
}
