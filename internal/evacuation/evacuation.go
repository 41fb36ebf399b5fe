// Package evacuation tracks which availability zones the operator empties: nothing new is
// started there until the request is taken back. It performs no I/O.
package evacuation

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
// be applied again and out of order: the newest one of each zone counts. The zero value
// knows no record. It is not safe for concurrent use.
type Tracker struct {
	newest map[string]Record
	// settled is the offset below which newest is complete: a zone without a record there
	// has none, whatever older reads of the log say.
	settled int64
	// ignored counts the requests left out because too many zones are tracked.
	ignored int
}

// Apply applies a record and reports whether the set of zones has changed.
func (t *Tracker) Apply(r Record) (changed bool) {
	before, known := t.newest[r.Zone]
	if known && before.Offset >= r.Offset || !known && r.Offset < t.settled {
		return false
	}
	if !known && len(t.newest) >= maxTracked && !t.forgetTakenBack() {
		if r.Requested {
			t.ignored++
		}
		return false
	}
	if t.newest == nil {
		t.newest = make(map[string]Record)
	}
	t.newest[r.Zone] = r
	return before.Requested != r.Requested
}

// forgetTakenBack drops the oldest record that takes a request back and reports whether
// there was one.
func (t *Tracker) forgetTakenBack() bool {
	oldest, found := Record{}, false
	for _, r := range t.newest {
		if !r.Requested && (!found || r.Offset < oldest.Offset) {
			oldest, found = r, true
		}
	}
	delete(t.newest, oldest.Zone)
	return found
}

// Reset applies the newest records of all zones, read while the log ended at end or later.
// It drops the zones that have none, unless a later record of theirs is known, and reports
// whether the set of zones has changed. A reading that is older than an earlier one adds
// only what that one can't have had.
func (t *Tracker) Reset(records []Record, end int64) (changed bool) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Zone] = true
		changed = t.Apply(r) || changed
	}
	if end < t.settled {
		return changed
	}
	t.settled = end
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

// Ignored returns how many requests were left out because too many zones are tracked.
func (t *Tracker) Ignored() int { return t.ignored }

// Changes returns the zones that are in next and not in z, and those that are in z only.
func (z Zones) Changes(next Zones) (added, removed []string) {
	for zone := range next {
		if !z[zone] {
			added = append(added, zone)
		}
	}
	for zone := range z {
		if !next[zone] {
			removed = append(removed, zone)
		}
	}
	return added, removed
}
