package membership

import (
	"testing"
	"time"

	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"pgregory.net/rapid"
)

// newHeartbeat returns a heartbeat that has no proof of freshness and no claims.
func newHeartbeat(instance string) Heartbeat {
	return Heartbeat{Instance: instance, Incarnation: "i", AvailabilityZone: "a", Address: instance + ":1", FreshAgeMS: -1, AllZonesAgeMS: -1}
}

func TestLiveMembers(t *testing.T) {
	now := time.Now()
	table := NewTable()
	leaving, silent, elsewhere := newHeartbeat("d3"), newHeartbeat("d4"), newHeartbeat("d5")
	leaving.Leaving = true
	elsewhere.AvailabilityZone = "b"
	table.RecordHeartbeat(newHeartbeat("d2"), now)
	table.RecordHeartbeat(newHeartbeat("d1"), now)
	table.RecordHeartbeat(leaving, now)
	table.RecordHeartbeat(silent, now.Add(-time.Hour))
	table.RecordHeartbeat(elsewhere, now)
	for zone, want := range map[string][]string{"a": {"d1", "d2"}, "b": {"d5"}, "": {"d1", "d2", "d5"}, "c": nil} {
		var got []string
		for _, m := range table.Live(zone, time.Minute) {
			got = append(got, m.Instance)
		}
		if len(got) != len(want) {
			t.Errorf("zone %q has %v, want %v", zone, got, want)
			continue
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("zone %q has %v, want %v", zone, got, want)
			}
		}
	}
}

// TestOlderHeartbeatIsIgnored records the heartbeats of one daemon in any order and
// checks that the table always shows the latest of them.
func TestOlderHeartbeatIsIgnored(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		var latest Heartbeat
		latestAt := time.Duration(-1)
		for _, second := range rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(rt, "order") {
			at := time.Duration(second) * time.Second
			b := newHeartbeat("d1")
			b.Incarnation = string(rune('a' + second))
			b.Applied = uint64(second)
			b.Leaving = rapid.Bool().Draw(rt, "leaving")
			table.RecordHeartbeat(b, start.Add(at))
			if at > latestAt {
				latest, latestAt = b, at
			}
			if got := table.HighestApplied(); got != latest.Applied {
				rt.Fatalf("applied is %d after %d was recorded", got, latest.Applied)
			}
			live := table.Live("a", time.Hour)
			if (len(live) == 0) != latest.Leaving {
				rt.Fatalf("live %v after the latest heartbeat said leaving %v", live, latest.Leaving)
			}
			if len(live) == 1 && live[0].Incarnation != latest.Incarnation {
				rt.Fatalf("incarnation %q after %q was recorded", live[0].Incarnation, latest.Incarnation)
			}
		}
	})
}

// claimReport is what one heartbeat says about a zone's holder.
type claimReport struct {
	epoch, generation uint64
	at                time.Duration
	ageMS             int64
}

// drawClaimReport draws a report; a negative age means that the holder was never
// heard.
func drawClaimReport(t *rapid.T) claimReport {
	return claimReport{
		epoch:      rapid.Uint64Range(1, 3).Draw(t, "epoch"),
		generation: rapid.Uint64Range(1, 4).Draw(t, "generation"),
		at:         time.Duration(rapid.IntRange(0, 10).Draw(t, "at")) * time.Second,
		ageMS:      rapid.Int64Range(-1, 5).Draw(t, "age") * 1000,
	}
}

// TestHolderMatchesLatestReport compares the table with all reports recorded: the
// highest epoch counts, and of its reports the latest time and the highest
// generation. No report is dated later than the heartbeat that contained it.
func TestHolderMatchesLatestReport(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		var epoch, generation uint64
		var heard time.Time
		for _, s := range rapid.SliceOfN(rapid.Custom(drawClaimReport), 1, 12).Draw(rt, "reports") {
			b := newHeartbeat("d1")
			b.Claims = []*peerv1.Claim{{AvailabilityZone: "b", Epoch: s.epoch, Generation: s.generation, HeardAgeMs: s.ageMS}}
			table.RecordHeartbeat(b, start.Add(s.at))
			if s.ageMS >= 0 && s.epoch >= epoch {
				if s.epoch > epoch {
					epoch, generation, heard = s.epoch, 0, time.Time{}
				}
				generation = max(generation, s.generation)
				heard = later(heard, start.Add(s.at).Add(-time.Duration(s.ageMS)*time.Millisecond))
			}
			for e := uint64(1); e <= 3; e++ {
				at, g, ok := table.Holder("b", e)
				if ok != (e == epoch) || ok && (!at.Equal(heard) || g != generation) {
					rt.Fatalf("holder of epoch %d: %v, %d, %v; want epoch %d, %v, %d", e, at, g, ok, epoch, heard, generation)
				}
			}
		}
	})
}

// TestProofIsDatedFromItsHeartbeat checks that the table keeps only the latest proof
// of freshness and dates it no later than its heartbeat was composed.
func TestProofIsDatedFromItsHeartbeat(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		var best time.Time
		var offset uint64
		for i := range rapid.IntRange(1, 10).Draw(rt, "heartbeats") {
			b := newHeartbeat("d1")
			b.FreshAgeMS = rapid.Int64Range(-1, 5).Draw(rt, "age") * 1000
			b.FreshOffset = uint64(i + 1)
			at := start.Add(time.Duration(rapid.IntRange(0, 10).Draw(rt, "at")) * time.Second)
			table.RecordHeartbeat(b, at)
			proven := at.Add(-time.Duration(b.FreshAgeMS) * time.Millisecond)
			if b.FreshAgeMS >= 0 && proven.After(best) {
				best, offset = proven, b.FreshOffset
			}
			if gotAt, got := table.LatestProof(); !gotAt.Equal(best) || got != offset {
				rt.Fatalf("proof of %d at %v, want %d at %v", got, gotAt, offset, best)
			}
		}
	})
}

func TestAllZonesNeverGoesBack(t *testing.T) {
	now := time.Now()
	table := NewTable()
	if !table.AllZonesHeard().IsZero() {
		t.Error("all zones count as heard before any was")
	}
	table.RecordAllZonesHeard(now)
	table.RecordAllZonesHeard(now.Add(-time.Second))
	old := newHeartbeat("d1")
	old.AllZonesAgeMS = 5000
	table.RecordHeartbeat(old, now)
	if got := table.AllZonesHeard(); !got.Equal(now) {
		t.Errorf("all zones heard at %v, want %v", got, now)
	}
	newer := newHeartbeat("d1")
	newer.AllZonesAgeMS = 1000
	table.RecordHeartbeat(newer, now.Add(3*time.Second))
	if got := table.AllZonesHeard(); !got.Equal(now.Add(2 * time.Second)) {
		t.Errorf("all zones heard at %v, want 2s later than %v", got, now)
	}
}

// TestHeartbeatWithoutAddressKeepsTheKnownAddress covers heartbeat responses, which
// contain no address.
func TestHeartbeatWithoutAddressKeepsTheKnownAddress(t *testing.T) {
	table := NewTable()
	table.RecordHeartbeat(newHeartbeat("d1"), time.Now())
	b := newHeartbeat("d1")
	b.Address = ""
	table.RecordHeartbeat(b, time.Now())
	if live := table.Live("a", time.Minute); len(live) != 1 || live[0].Address != "d1:1" {
		t.Errorf("live %v", live)
	}
}
