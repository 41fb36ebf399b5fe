package claimant

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"
	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// heartbeatInterval is the time between heartbeats in a test zone.
const heartbeatInterval = 250 * time.Millisecond

// sharedLog is an in-process stand-in for the platform's log.
type sharedLog struct {
	*standin.Log
	// rejectsRenewals makes the log refuse renewals of claims.
	rejectsRenewals bool
}

// Append implements loglist.Log.
func (l sharedLog) Append(_ context.Context, id string, data []byte) (uint64, error) {
	if e, err := record.Decode(data); err == nil && l.rejectsRenewals && e.Kind == record.KindClaim && e.Claim.Base != 0 {
		return 0, &loglist.Error{Kind: loglist.KindUnavailable, Op: "append"}
	}
	return l.Log.Append(id, data), nil
}

// Read implements loglist.Log.
func (l sharedLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (*loglist.ReadResponse, error) {
	return l.Log.Read(ctx, from, limit, wait), nil
}

// testDaemon is a daemon of the zone, reduced to what claims need.
type testDaemon struct {
	id          peer.Identity
	journal     *journal.Journal
	table       *membership.Table
	heartbeater *peer.Heartbeater
	tomb        tomb.Tomb
	dead        atomic.Bool
}

// termStatus returns the term that the daemon's term manager would report.
func (m *testDaemon) termStatus() peer.TermStatus {
	claim, ok := m.journal.State().Claim(zoneName)
	if ok && claim.Holder == m.id.HolderName() {
		return peer.TermStatus{Epoch: claim.Epoch, Generation: 1}
	}
	return peer.TermStatus{}
}

// testZone is a zone whose daemons exchange heartbeats and claim.
type testZone struct {
	log     sharedLog
	daemons []*testDaemon
	// dropsHeartbeat reports whether a heartbeat is lost, by the indexes of
	// its sender and its receiver.
	dropsHeartbeat func(from, to int) bool
	tomb           tomb.Tomb
}

// newLog returns an empty log.
func newLog() sharedLog { return sharedLog{Log: standin.NewLog(standin.LogOptions{})} }

// startZone starts a zone of n daemons.
func startZone(n int, log sharedLog, dropsHeartbeat func(from, to int) bool) *testZone {
	z := &testZone{log: log, dropsHeartbeat: dropsHeartbeat}
	for i := range n {
		z.start(fmt.Sprintf("d%d", i))
	}
	z.tomb.Go(z.exchangeHeartbeats)
	return z
}

// start starts a daemon.
func (z *testZone) start(instance string) {
	logger := slog.New(slog.DiscardHandler)
	m := &testDaemon{
		id:      peer.Identity{Instance: instance, Incarnation: "i", AvailabilityZone: zoneName, Address: instance + ":1"},
		journal: journal.New(z.log, cell.New(), logger),
		table:   membership.NewTable(),
	}
	m.heartbeater = peer.NewHeartbeater(m.id, m.journal, m.table, nil, nil, m.termStatus)
	c := New(m.id, takeoverAfter, m.journal, m.table, m.termStatus, logger)
	m.journal.Observe(c.Observe)
	source := []journal.Source{journal.LogSource{Log: z.log}}
	m.tomb.Go(func() error {
		m.tomb.Go(func() error { return c.Run(&m.tomb) })
		return m.journal.Run(&m.tomb, func() []journal.Source { return source })
	})
	z.daemons = append(z.daemons, m)
}

// exchangeHeartbeats delivers heartbeats between the daemons, as the peer
// service does.
func (z *testZone) exchangeHeartbeats() error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-z.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		for i, from := range z.daemons {
			for k, to := range z.daemons {
				if i == k || from.dead.Load() || to.dead.Load() || z.dropsHeartbeat(i, k) {
					continue
				}
				b := from.heartbeater.Compose()
				b.FreshAgeMS, b.AllZonesAgeMS = -1, -1
				to.table.RecordHeartbeat(b, time.Now())
			}
		}
	}
}

// kill stops a daemon, which then no longer sends or receives heartbeats.
func (m *testDaemon) kill() {
	m.dead.Store(true)
	m.tomb.Kill(nil)
	_ = m.tomb.Wait()
}

// stop stops all daemons of the zone.
func (z *testZone) stop() {
	z.tomb.Kill(nil)
	_ = z.tomb.Wait()
	for _, m := range z.daemons {
		m.kill()
	}
}

// countClaims returns the number of valid claims in the log, without renewals.
func (z *testZone) countClaims() int {
	state := cell.New()
	valid := 0
	page := z.log.Log.Read(context.Background(), 1, 0, 0)
	for len(page.Records) > 0 {
		for _, r := range page.Records {
			if e := state.Apply(r.Offset, r.ID, r.Data); e.Valid && e.Kind == record.KindClaim && e.Envelope.Claim.Base == 0 {
				valid++
			}
		}
		page = z.log.Log.Read(context.Background(), state.Applied()+1, 0, 0)
	}
	return valid
}

// holder returns the live daemon that holds the zone according to the log, nil
// if there is none.
func (z *testZone) holder() *testDaemon {
	for _, m := range z.daemons {
		if !m.dead.Load() && m.termStatus().Epoch != 0 {
			return m
		}
	}
	return nil
}

// TestLiveHolderKeepsItsZone drops heartbeats between the daemons of a zone, by
// one-way partitions and random loss, while the log works. The holder is never
// replaced, because it answers probes through the log.
func TestLiveHolderKeepsItsZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(rt, "daemons")
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.5, 0.9}).Draw(rt, "loss")
		seed := rapid.Uint64().Draw(rt, "seed")
		partitions := rapid.SliceOfN(rapid.Bool(), n*n, n*n).Draw(rt, "partitions")
		random := rand.New(rand.NewPCG(seed, 0))
		var valid int
		synctest.Test(t, func(*testing.T) {
			z := startZone(n, newLog(), func(from, to int) bool { return partitions[from*n+to] || random.Float64() < loss })
			time.Sleep(time.Minute)
			z.stop()
			valid = z.countClaims()
		})
		if valid != 1 {
			rt.Fatalf("the zone was claimed %d times in a minute", valid)
		}
	})
}

// TestDeadHolderIsReplacedOnce kills one holder after another while
// heartbeats are lost. Each is replaced by exactly one claim, within the
// takeover delay, the claim delays of all daemons, two probe timeouts and one
// heartbeat interval.
func TestDeadHolderIsReplacedOnce(t *testing.T) {
	const daemons = 5
	rapid.Check(t, func(rt *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "loss")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		settle := time.Duration(rapid.IntRange(2000, 4000).Draw(rt, "settle")) * time.Millisecond
		var fault string
		synctest.Test(t, func(*testing.T) {
			z := startZone(daemons, newLog(), func(int, int) bool { return random.Float64() < loss })
			defer z.stop()
			time.Sleep(settle)
			for killed := 1; killed < daemons; killed++ {
				h := z.holder()
				if h == nil {
					fault = "the zone has no holder"
					return
				}
				h.kill()
				time.Sleep(takeoverAfter + daemons*claimStagger + 2*probeTimeout + heartbeatInterval)
				if valid := z.countClaims(); valid != killed+1 {
					fault = fmt.Sprintf("%d claims after %d deaths", valid, killed)
					return
				}
			}
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestClaimsAlternateWithoutRenewals drops all heartbeats and refuses renewals.
// The daemons then take the zone from each other, so the tests above would
// notice if renewals stopped working.
func TestClaimsAlternateWithoutRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		log.rejectsRenewals = true
		z := startZone(3, log, func(int, int) bool { return true })
		time.Sleep(time.Minute)
		z.stop()
		if n := z.countClaims(); n < 5 {
			t.Errorf("%d claims in a minute", n)
		}
	})
}
