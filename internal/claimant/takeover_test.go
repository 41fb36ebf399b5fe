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

// beatInterval is that of heartbeats in a zone.
const beatInterval = 250 * time.Millisecond

// sharedLog is the platform's log without sockets.
type sharedLog struct {
	*standin.Log
	// withoutRenewals makes the log refuse the renewal of claims, in mutants.
	withoutRenewals bool
}

// Append implements loglist.Log.
func (l sharedLog) Append(_ context.Context, id string, data []byte) (uint64, error) {
	if e, err := record.Decode(data); err == nil && l.withoutRenewals && e.Kind == record.KindClaim && e.Claim.Base != 0 {
		return 0, &loglist.Error{Kind: loglist.KindUnavailable, Op: "append"}
	}
	return l.Log.Append(id, data), nil
}

// Read implements loglist.Log.
func (l sharedLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (*loglist.ReadResponse, error) {
	return l.Log.Read(ctx, from, limit, wait), nil
}

// member is one daemon of the zone, as far as claims go.
type member struct {
	id          peer.Identity
	journal     *journal.Journal
	table       *membership.Table
	heartbeater *peer.Heartbeater
	tomb        tomb.Tomb
	dead        atomic.Bool
}

// standing is what the daemon's term manager would say.
func (m *member) standing() peer.TermStatus {
	claim, ok := m.journal.State().Epoch(zoneName)
	if ok && claim.Holder == m.id.HolderName() {
		return peer.TermStatus{Epoch: claim.Epoch, Generation: 1}
	}
	return peer.TermStatus{}
}

// zoneOf is a zone of daemons that claim.
type zoneOf struct {
	log     sharedLog
	members []*member
	// cut says which beats are lost, by sender and receiver.
	cut  func(from, to int) bool
	tomb tomb.Tomb
}

// newLog returns an empty log.
func newLog() sharedLog { return sharedLog{Log: standin.NewLog(standin.LogOptions{})} }

// startZone starts n daemons.
func startZone(n int, log sharedLog, cut func(from, to int) bool) *zoneOf {
	z := &zoneOf{log: log, cut: cut}
	for i := range n {
		z.start(fmt.Sprintf("d%d", i))
	}
	z.tomb.Go(z.beat)
	return z
}

// start starts a daemon.
func (z *zoneOf) start(instance string) {
	logger := slog.New(slog.DiscardHandler)
	m := &member{
		id:      peer.Identity{Instance: instance, Incarnation: "i", AvailabilityZone: zoneName, Address: instance + ":1"},
		journal: journal.New(z.log, cell.New(), logger),
		table:   membership.NewTable(),
	}
	m.heartbeater = peer.NewHeartbeater(m.id, m.journal, m.table, nil, nil, m.standing)
	c := New(m.id, silence, m.journal, m.table, m.standing, logger)
	m.journal.Observe(c.Observe)
	source := []journal.Source{journal.LogSource{Log: z.log}}
	m.tomb.Go(func() error {
		m.tomb.Go(func() error { return c.Run(&m.tomb) })
		return m.journal.Run(&m.tomb, func() []journal.Source { return source })
	})
	z.members = append(z.members, m)
}

// beat carries heartbeats between the daemons, as the peer interface does.
func (z *zoneOf) beat() error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-z.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		for i, from := range z.members {
			for k, to := range z.members {
				if i == k || from.dead.Load() || to.dead.Load() || z.cut(i, k) {
					continue
				}
				b := from.heartbeater.Compose()
				b.FreshAgeMS, b.AllZonesAgeMS = -1, -1
				to.table.RecordHeartbeat(b, time.Now())
			}
		}
	}
}

// kill ends a daemon.
func (m *member) kill() {
	m.dead.Store(true)
	m.tomb.Kill(nil)
	_ = m.tomb.Wait()
}

// stop ends the zone.
func (z *zoneOf) stop() {
	z.tomb.Kill(nil)
	_ = z.tomb.Wait()
	for _, m := range z.members {
		m.kill()
	}
}

// takeovers counts the valid claims in the log.
func (z *zoneOf) takeovers() int {
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

// holder is the daemon that holds the zone by the log, nil if none does.
func (z *zoneOf) holder() *member {
	for _, m := range z.members {
		if !m.dead.Load() && m.standing().Epoch != 0 {
			return m
		}
	}
	return nil
}

// TestLiveHolderKeepsItsZone draws one-way cuts and losses of all heartbeats
// between the daemons of a zone, whose log works: no holder is replaced, since
// the log carries its signs of life.
func TestLiveHolderKeepsItsZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(rt, "daemons")
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.5, 0.9}).Draw(rt, "loss")
		seed := rapid.Uint64().Draw(rt, "seed")
		cuts := rapid.SliceOfN(rapid.Bool(), n*n, n*n).Draw(rt, "cuts")
		random := rand.New(rand.NewPCG(seed, 0))
		var valid int
		synctest.Test(t, func(*testing.T) {
			z := startZone(n, newLog(), func(from, to int) bool { return cuts[from*n+to] || random.Float64() < loss })
			time.Sleep(time.Minute)
			z.stop()
			valid = z.takeovers()
		})
		if valid != 1 {
			rt.Fatalf("the zone was claimed %d times in a minute", valid)
		}
	})
}

// TestDeadHolderIsReplacedOnce kills one holder after another under loss: each
// is replaced within the silence, the places in line and one probe, and by one
// claim.
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
				time.Sleep(silence + daemons*stagger + 2*probeWait + beatInterval)
				if valid := z.takeovers(); valid != killed+1 {
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

// TestStormIsNoticed cuts all links and the holder's way to renew its claim:
// the daemons then take the zone from each other, and the count shows it.
func TestStormIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		log.withoutRenewals = true
		z := startZone(3, log, func(int, int) bool { return true })
		time.Sleep(time.Minute)
		z.stop()
		if n := z.takeovers(); n < 5 {
			t.Errorf("%d claims in a minute", n)
		}
	})
}
