package evacuation

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// drawLog draws the operator's records about a few zones, in the order of the log.
func drawLog(t *rapid.T) []Record {
	zones := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 30).Draw(t, "zones")
	log := make([]Record, len(zones))
	for i, zone := range zones {
		log[i] = Record{Zone: fmt.Sprintf("z%d", zone), Offset: int64(i), Requested: rapid.Bool().Draw(t, "requested")}
	}
	return log
}

// newestAt returns what a reading of the newest records returns while the log ends at end:
// zones whose last record takes the request back have none.
func newestAt(log []Record, end int) (records []Record) {
	newest := make(map[string]Record)
	for _, r := range log[:end] {
		newest[r.Zone] = r
	}
	for _, r := range newest {
		if r.Requested {
			records = append(records, r)
		}
	}
	return records
}

// wantZones returns the zones that are being emptied at the end of the log.
func wantZones(log []Record) Zones {
	zones := make(Zones)
	for _, r := range newestAt(log, len(log)) {
		zones[r.Zone] = true
	}
	return zones
}

// TestRecordsInAnyOrder guards against a request that comes back, or gets lost, because
// records are applied twice or out of order.
func TestRecordsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		order := rapid.Permutation(append(log, log...)).Draw(t, "order")
		var tracker Tracker
		for _, r := range order {
			before := tracker.Zones()
			if changed := tracker.Apply(r); changed == maps.Equal(before, tracker.Zones()) {
				t.Fatalf("%+v: changed is %v, zones %v then %v", r, changed, before, tracker.Zones())
			}
		}
		if got := tracker.Zones(); !maps.Equal(got, wantZones(log)) {
			t.Errorf("zones %v, want %v", got, wantZones(log))
		}
	})
}

// TestOldReadingBringsNoRequestBack follows a log of which history is dropped, beside
// readings of the newest records that take long, and so are applied late. A request that
// was taken back unseen must not come back with them, nor may one get lost.
func TestOldReadingBringsNoRequestBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		var tracker Tracker
		next := 0
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			to := rapid.IntRange(next, len(log)).Draw(t, "to")
			switch rapid.SampledFrom([]string{"follow", "trimmed", "slow reading"}).Draw(t, "step") {
			case "follow":
				for _, r := range log[next:to] {
					tracker.Apply(r)
				}
				next = to
			case "trimmed":
				tracker.Reset(newestAt(log, to), int64(to))
				next = to
			default:
				end := rapid.IntRange(0, to).Draw(t, "end")
				tracker.Reset(newestAt(log, end), int64(end))
			}
		}
		for _, r := range log[next:] {
			tracker.Apply(r)
		}
		if got := tracker.Zones(); !maps.Equal(got, wantZones(log)) {
			t.Errorf("zones %v, want %v", got, wantZones(log))
		}
	})
}

// TestManyNamesDoNotHideAZone guards against memory that grows with each name, and against
// a request that is lost behind names that were taken back.
func TestManyNamesDoNotHideAZone(t *testing.T) {
	var tracker Tracker
	offset := int64(0)
	for i := range 2 * maxTracked {
		for _, requested := range []bool{true, false} {
			tracker.Apply(Record{Zone: fmt.Sprint(i), Offset: offset, Requested: requested})
			offset++
		}
	}
	tracker.Apply(Record{Zone: "zone", Offset: offset, Requested: true})
	if len(tracker.newest) > maxTracked || !tracker.Zones()["zone"] || tracker.Ignored() != 0 {
		t.Errorf("%d names are kept, zones %v, %d requests left out", len(tracker.newest), tracker.Zones(), tracker.Ignored())
	}
	for i := range maxTracked {
		offset++
		tracker.Apply(Record{Zone: fmt.Sprint("x", i), Offset: offset, Requested: true})
	}
	if len(tracker.newest) > maxTracked || tracker.Ignored() != 1 {
		t.Errorf("%d names are kept, %d requests left out, want 1", len(tracker.newest), tracker.Ignored())
	}
}
