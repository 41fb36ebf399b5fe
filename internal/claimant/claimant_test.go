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
	zoneName      = "a"
	takeoverAfter = time.Second
)

// fixture is a claimant without a log, with a clock that the test sets.
type fixture struct {
	*Claimant
	t      *testing.T
	status peer.TermStatus
	state  *cell.State
	now    time.Time
}

// newFixture returns the claimant of daemon d1 in a zone without a holder. Its
// log state counts as fresh throughout the test.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	a := &fixture{t: t, state: cell.New(), now: time.Now()}
	j := journal.New(nil, a.state, slog.New(slog.DiscardHandler))
	j.MarkFresh(time.Now().Add(time.Hour), 1)
	self := peer.Identity{Instance: "d1", Incarnation: "i1", AvailabilityZone: zoneName, Address: "d1:1"}
	a.Claimant = New(self, takeoverAfter, j, membership.NewTable(), func() peer.TermStatus { return a.status }, slog.New(slog.DiscardHandler))
	a.lastCheck, a.silentSince = a.now, a.now
	return a
}

// applyClaim applies a valid claim by holder, replacing the current one.
func (a *fixture) applyClaim(t *testing.T, holder string) zone.Claim {
	t.Helper()
	current, _ := a.state.Claim(zoneName)
	data, err := record.Encode(ClaimRecord(zoneName, holder, "x:1", current.Epoch))
	if err != nil {
		t.Fatal(err)
	}
	offset := a.state.Applied() + 1
	if effect := a.state.Apply(offset, holder, data); !effect.Valid {
		t.Fatal(effect.Reason)
	}
	a.journal.MarkFresh(time.Now().Add(2*time.Hour+time.Duration(offset)), offset+1)
	claim, _ := a.state.Claim(zoneName)
	return claim
}

// claimDueAfter checks every checkInterval for up to d. It returns the time
// until a claim is due, or -1 if none becomes due.
func (a *fixture) claimDueAfter(d time.Duration) time.Duration {
	for passed := time.Duration(0); passed <= d; passed += checkInterval {
		if a.shouldClaim(a.now) {
			return passed
		}
		a.now = a.now.Add(checkInterval)
	}
	return -1
}

func TestUnheldZoneIsClaimedImmediately(t *testing.T) {
	if after := newFixture(t).claimDueAfter(time.Second); after != 0 {
		t.Errorf("due after %s", after)
	}
}

func TestSilentHolderIsReplacedAfterTakeoverAfter(t *testing.T) {
	a := newFixture(t)
	a.applyClaim(t, "d2/i")
	if after := a.claimDueAfter(time.Minute); after < takeoverAfter || after > takeoverAfter+2*checkInterval {
		t.Errorf("due after %s", after)
	}
}

func TestHolderActivityRestartsTakeoverDelay(t *testing.T) {
	activities := map[string]func(a *fixture, claim zone.Claim){
		"heartbeat": func(a *fixture, claim zone.Claim) { a.table.RecordHolder(zoneName, claim.Epoch, 1, a.now) },
		"heartbeat of another daemon": func(a *fixture, claim zone.Claim) {
			a.table.RecordHeartbeat(membership.Heartbeat{Instance: "d3", FreshAgeMS: -1, AllZonesAgeMS: -1, Claims: []*peerv1.Claim{{AvailabilityZone: zoneName, Epoch: claim.Epoch}}}, a.now)
		},
		"renewal": func(a *fixture, _ zone.Claim) { at := a.now; a.renewedAt.Store(&at) },
		"claim":   func(a *fixture, _ zone.Claim) { a.applyClaim(a.t, "d3/i") },
	}
	for name, activity := range activities {
		t.Run(name, func(t *testing.T) {
			a := newFixture(t)
			claim := a.applyClaim(t, "d2/i")
			if after := a.claimDueAfter(takeoverAfter - 2*checkInterval); after >= 0 {
				t.Fatalf("due after %s", after)
			}
			activity(a, claim)
			if after := a.claimDueAfter(time.Minute); after < takeoverAfter-checkInterval {
				t.Errorf("due %s after the activity", after)
			}
		})
	}
}

// TestHeartbeatOfPreviousEpochIsIgnored checks that a heartbeat of a replaced
// holder doesn't delay the takeover from the current one.
func TestHeartbeatOfPreviousEpochIsIgnored(t *testing.T) {
	a := newFixture(t)
	old := a.applyClaim(t, "d2/i")
	a.applyClaim(t, "d3/i")
	if after := a.claimDueAfter(takeoverAfter / 2); after >= 0 {
		t.Fatalf("due after %s", after)
	}
	a.table.RecordHolder(zoneName, old.Epoch, 1, a.now)
	if after := a.claimDueAfter(time.Minute); after > takeoverAfter/2+2*checkInterval {
		t.Errorf("due %s after a heartbeat of the replaced holder", after)
	}
}

// TestProcessPauseIsNotHolderSilence pauses the process for longer than the
// takeover delay. The time during the pause must not count as silence of the
// holder.
func TestProcessPauseIsNotHolderSilence(t *testing.T) {
	a := newFixture(t)
	a.applyClaim(t, "d2/i")
	a.shouldClaim(a.now)
	a.now = a.now.Add(10 * takeoverAfter)
	if a.shouldClaim(a.now) {
		t.Error("a pause of this process counts as silence of the holder")
	}
	if after := a.claimDueAfter(time.Minute); after < takeoverAfter-checkInterval {
		t.Errorf("due %s after the pause", after)
	}
}

func TestNoClaimWhen(t *testing.T) {
	reasons := map[string]func(t *testing.T, a *fixture){
		"it holds the zone itself": func(t *testing.T, a *fixture) { a.status.Epoch = a.applyClaim(t, a.self.HolderName()).Epoch },
		"it is leaving":            func(_ *testing.T, a *fixture) { a.status.Leaving = true },
		"the log was never read": func(_ *testing.T, a *fixture) {
			a.journal = journal.New(nil, a.state, slog.New(slog.DiscardHandler))
		},
		"the log is not fresh": func(_ *testing.T, a *fixture) {
			a.journal = journal.New(nil, a.state, slog.New(slog.DiscardHandler))
			a.journal.MarkFresh(time.Now().Add(-maxLogAge-time.Second), 1)
		},
	}
	for name, prepare := range reasons {
		t.Run(name, func(t *testing.T) {
			a := newFixture(t)
			prepare(t, a)
			if after := a.claimDueAfter(time.Minute); after >= 0 {
				t.Errorf("due after %s", after)
			}
		})
	}
}

// TestOwnEarlierIncarnationIsReplacedImmediately checks that a restarted holder
// claims its zone without waiting, and that only the same instance does.
func TestOwnEarlierIncarnationIsReplacedImmediately(t *testing.T) {
	for holder, want := range map[string]bool{"d1/i0": true, "d1/i1": false, "d10/i0": false, "d2/i0": false} {
		a := newFixture(t)
		a.applyClaim(t, holder)
		if got := a.shouldClaim(a.now); got != want {
			t.Errorf("holder %s: due %v, want %v", holder, got, want)
		}
	}
}

// TestClaimDelaysDiffer checks that each daemon of a zone has a different
// delay, and that the order changes with the epoch, so that each daemon is
// first for some epochs.
func TestClaimDelaysDiffer(t *testing.T) {
	instances := []string{"d1", "d2", "d3", "d4"}
	firsts := map[string]bool{}
	for epoch := uint64(1); epoch <= 64; epoch++ {
		taken := map[time.Duration]bool{}
		for _, self := range instances {
			c := newFixture(t).Claimant
			c.self.Instance = self
			for _, other := range instances {
				c.table.RecordHeartbeat(membership.Heartbeat{Instance: other, AvailabilityZone: zoneName, FreshAgeMS: -1, AllZonesAgeMS: -1}, time.Now().Add(time.Minute))
			}
			wait := c.claimDelay(true, zone.Claim{Zone: zoneName, Epoch: epoch, Holder: "gone/i"})
			if taken[wait] || wait < takeoverAfter || wait > takeoverAfter+3*claimStagger {
				t.Errorf("epoch %d: daemon %s waits %s", epoch, self, wait)
			}
			taken[wait] = true
			if wait == takeoverAfter {
				firsts[self] = true
			}
		}
	}
	if len(firsts) != len(instances) {
		t.Errorf("only %v are ever first", firsts)
	}
}

// TestOnlyProbeOfOwnTermIsAnswered checks that a daemon renews its claim only
// for a valid probe of its own zone and epoch.
func TestOnlyProbeOfOwnTermIsAnswered(t *testing.T) {
	a := newFixture(t)
	a.status.Epoch = 7
	probe := func(zoneOf string, epoch uint64) cell.Effect {
		return cell.Effect{Kind: record.KindProbe, Zone: zoneOf, Valid: true, Envelope: &record.Envelope{Kind: record.KindProbe, Probe: &record.Probe{Zone: zoneOf, Epoch: epoch}}}
	}
	a.Observe(probe("b", 7))
	a.Observe(probe(zoneName, 6))
	void := probe(zoneName, 7)
	void.Valid = false
	a.Observe(void)
	if len(a.probedEpochs) != 0 {
		t.Error("a probe that concerns another term is answered")
	}
	a.Observe(probe(zoneName, 7))
	a.Observe(probe(zoneName, 7))
	if len(a.probedEpochs) != 1 || <-a.probedEpochs != 7 {
		t.Error("two probes of the own term don't cause exactly one renewal")
	}
}
