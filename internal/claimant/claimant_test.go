package claimant

import (
	"log/slog"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

const (
	zoneName = "a"
	silence  = time.Second
)

// alone is a claimant without a log, whose clock the test tells.
type alone struct {
	*Claimant
	t        *testing.T
	standing peer.TermStatus
	state    *cell.State
	now      time.Time
}

// newAlone returns a claimant of daemon d1 in a zone that nobody holds. Its
// state is proven fresh for as long as the test lasts.
func newAlone(t *testing.T) *alone {
	t.Helper()
	a := &alone{t: t, state: cell.New(), now: time.Now()}
	j := journal.New(nil, a.state, slog.New(slog.DiscardHandler))
	j.MarkFresh(time.Now().Add(time.Hour), 1)
	self := peer.Identity{Instance: "d1", Incarnation: "i1", AvailabilityZone: zoneName, Address: "d1:1"}
	a.Claimant = New(self, silence, j, membership.NewTable(), func() peer.TermStatus { return a.standing }, slog.New(slog.DiscardHandler))
	a.lastLook, a.since = a.now, a.now
	return a
}

// claimBy applies a claim of a holder after the current one.
func (a *alone) claimBy(t *testing.T, holder string) zone.Claim {
	t.Helper()
	current, _ := a.state.Epoch(zoneName)
	data, err := record.Encode(ClaimRecord(zoneName, holder, "x:1", current.Epoch))
	if err != nil {
		t.Fatal(err)
	}
	offset := a.state.Applied() + 1
	if effect := a.state.Apply(offset, holder, data); !effect.Valid {
		t.Fatal(effect.Reason)
	}
	a.journal.MarkFresh(time.Now().Add(2*time.Hour+time.Duration(offset)), offset+1)
	claim, _ := a.state.Epoch(zoneName)
	return claim
}

// silentFor looks every interval for d and returns after how long the claim
// was due, or -1.
func (a *alone) silentFor(d time.Duration) time.Duration {
	for passed := time.Duration(0); passed <= d; passed += interval {
		if a.due(a.now) {
			return passed
		}
		a.now = a.now.Add(interval)
	}
	return -1
}

func TestUnheldZoneIsClaimedAtOnce(t *testing.T) {
	if after := newAlone(t).silentFor(time.Second); after != 0 {
		t.Errorf("due after %s", after)
	}
}

func TestSilentHolderIsReplacedAfterTheSilence(t *testing.T) {
	a := newAlone(t)
	a.claimBy(t, "d2/i")
	if after := a.silentFor(time.Minute); after < silence || after > silence+2*interval {
		t.Errorf("due after %s", after)
	}
}

func TestSignOfLifeStartsTheSilenceAnew(t *testing.T) {
	signs := map[string]func(a *alone, claim zone.Claim){
		"heartbeat": func(a *alone, claim zone.Claim) { a.table.RecordHolder(zoneName, claim.Epoch, 1, a.now) },
		"word of another": func(a *alone, claim zone.Claim) {
			a.table.RecordHeartbeat(membership.Heartbeat{Instance: "d3", FreshAgeMS: -1, AllZonesAgeMS: -1, Claims: []*peerv1.Claim{{AvailabilityZone: zoneName, Epoch: claim.Epoch}}}, a.now)
		},
		"renewal": func(a *alone, _ zone.Claim) { at := a.now; a.renewed.Store(&at) },
		"claim":   func(a *alone, _ zone.Claim) { a.claimBy(a.t, "d3/i") },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			a := newAlone(t)
			claim := a.claimBy(t, "d2/i")
			if after := a.silentFor(silence - 2*interval); after >= 0 {
				t.Fatalf("due after %s", after)
			}
			sign(a, claim)
			if after := a.silentFor(time.Minute); after < silence-interval {
				t.Errorf("due %s after the sign of life", after)
			}
		})
	}
}

// TestWordOfAnotherEpochCountsForNothing hears of a holder that is no longer
// current.
func TestWordOfAnotherEpochCountsForNothing(t *testing.T) {
	a := newAlone(t)
	old := a.claimBy(t, "d2/i")
	a.claimBy(t, "d3/i")
	if after := a.silentFor(silence / 2); after >= 0 {
		t.Fatalf("due after %s", after)
	}
	a.table.RecordHolder(zoneName, old.Epoch, 1, a.now)
	if after := a.silentFor(time.Minute); after > silence/2+2*interval {
		t.Errorf("due %s after a word of the old holder", after)
	}
}

// TestPauseProvesNoSilence stops the process for longer than the silence.
func TestPauseProvesNoSilence(t *testing.T) {
	a := newAlone(t)
	a.claimBy(t, "d2/i")
	a.due(a.now)
	a.now = a.now.Add(10 * silence)
	if a.due(a.now) {
		t.Error("a pause of this process counts as silence of the holder")
	}
	if after := a.silentFor(time.Minute); after < silence-interval {
		t.Errorf("due %s after the pause", after)
	}
}

func TestNoClaimWhere(t *testing.T) {
	reasons := map[string]func(t *testing.T, a *alone){
		"it holds the zone itself": func(t *testing.T, a *alone) { a.standing.Epoch = a.claimBy(t, a.self.HolderName()).Epoch },
		"it is leaving":            func(_ *testing.T, a *alone) { a.standing.Leaving = true },
		"the log was never read": func(_ *testing.T, a *alone) {
			a.journal = journal.New(nil, a.state, slog.New(slog.DiscardHandler))
		},
		"the log is not fresh": func(_ *testing.T, a *alone) {
			a.journal = journal.New(nil, a.state, slog.New(slog.DiscardHandler))
			a.journal.MarkFresh(time.Now().Add(-freshBound-time.Second), 1)
		},
	}
	for name, prepare := range reasons {
		t.Run(name, func(t *testing.T) {
			a := newAlone(t)
			prepare(t, a)
			if after := a.silentFor(time.Minute); after >= 0 {
				t.Errorf("due after %s", after)
			}
		})
	}
}

// TestOwnEarlierIncarnationIsReplacedAtOnce covers the restart of a holder.
func TestOwnEarlierIncarnationIsReplacedAtOnce(t *testing.T) {
	for holder, want := range map[string]bool{"d1/i0": true, "d1/i1": false, "d10/i0": false, "d2/i0": false} {
		a := newAlone(t)
		a.claimBy(t, holder)
		if got := a.due(a.now); got != want {
			t.Errorf("holder %s: due %v, want %v", holder, got, want)
		}
	}
}

// TestPlacesInLine gives each daemon of a zone a place of its own, which
// differs from epoch to epoch, so that no daemon is last for ever.
func TestPlacesInLine(t *testing.T) {
	instances := []string{"d1", "d2", "d3", "d4"}
	firsts := map[string]bool{}
	for epoch := uint64(1); epoch <= 64; epoch++ {
		taken := map[time.Duration]bool{}
		for _, self := range instances {
			c := newAlone(t).Claimant
			c.self.Instance = self
			for _, other := range instances {
				c.table.RecordHeartbeat(membership.Heartbeat{Instance: other, AvailabilityZone: zoneName, FreshAgeMS: -1, AllZonesAgeMS: -1}, time.Now().Add(time.Minute))
			}
			wait := c.wait(true, zone.Claim{Zone: zoneName, Epoch: epoch, Holder: "gone/i"})
			if taken[wait] || wait < silence || wait > silence+3*stagger {
				t.Errorf("epoch %d: daemon %s waits %s", epoch, self, wait)
			}
			taken[wait] = true
			if wait == silence {
				firsts[self] = true
			}
		}
	}
	if len(firsts) != len(instances) {
		t.Errorf("only %v are ever first", firsts)
	}
}

// TestProbeOfTheOwnTermIsAnswered asks for a renewal only of the term that
// runs here.
func TestProbeOfTheOwnTermIsAnswered(t *testing.T) {
	a := newAlone(t)
	a.standing.Epoch = 7
	probe := func(zoneOf string, epoch uint64) cell.Effect {
		return cell.Effect{Kind: record.KindProbe, Zone: zoneOf, Valid: true, Envelope: &record.Envelope{Kind: record.KindProbe, Probe: &record.Probe{Zone: zoneOf, Epoch: epoch}}}
	}
	a.Observe(probe("b", 7))
	a.Observe(probe(zoneName, 6))
	void := probe(zoneName, 7)
	void.Valid = false
	a.Observe(void)
	if len(a.probed) != 0 {
		t.Error("a probe that concerns another term is answered")
	}
	a.Observe(probe(zoneName, 7))
	a.Observe(probe(zoneName, 7))
	if len(a.probed) != 1 || <-a.probed != 7 {
		t.Error("a probe of the own term is not answered once")
	}
}
