// Package evacuation tracks which availability zones the operator empties: nothing new is
// started there until the request is taken back. It performs no I/O.
package evacuation

import "maps"

// Record is a record of the operator about one availability zone, at an offset of the log
// that orders it. A record with Requested unset takes the request back.
type Record struct {
	Zone      string
	Offset    int64
	Requested bool
}

// Zones is a set of availability zones. It is not modified after it was published.
type Zones map[string]bool

// maxTracked bounds the availability zones whose records are remembered, so that a writer
// of ever new names can't fill the memory. It is many times the zones of any deployment.
const maxTracked = 4096

// Tracker derives the zones that are being emptied from the operator's records. Records may
// be applied again and out of order: the newest one of each zone counts. It is not safe for
// concurrent use.
type Tracker struct {
	newest map[string]Record
}

// NewTracker returns a tracker that knows no record.
func NewTracker() *Tracker { return &Tracker{newest: make(map[string]Record)} }

// Apply applies a record and reports whether the set of zones has changed.
func (t *Tracker) Apply(r Record) (changed bool) {
	before, known := t.newest[r.Zone]
	if known && before.Offset >= r.Offset || !known && len(t.newest) >= maxTracked {
		return false
	}
	t.newest[r.Zone] = r
	return before.Requested != r.Requested
}

// Reset applies the newest records of all zones, as they were when the log ended at end. It
// drops the zones that have none, unless a later record of theirs is known, and reports
// whether the set of zones has changed.
func (t *Tracker) Reset(records []Record, end int64) (changed bool) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Zone] = true
		changed = t.Apply(r) || changed
	}
	for zone, r := range t.newest {
		if !listed[zone] && r.Offset < end {
			delete(t.newest, zone)
			changed = changed || r.Requested
		}
	}
	return changed
}

// Zones returns the zones that are being emptied.
func (t *Tracker) Zones() Zones {
	zones := make(Zones)
	for zone, r := range t.newest {
		if r.Requested {
			zones[zone] = true
		}
	}
	return zones
}

// Changes returns the zones that are in next and not in z, and those that are in z only.
func (z Zones) Changes(next Zones) (added, removed []string) {
	for zone := range maps.Keys(next) {
		if !z[zone] {
			added = append(added, zone)
		}
	}
	for zone := range maps.Keys(z) {
		if !next[zone] {
			removed = append(removed, zone)
		}
	}
	return added, removed
}
