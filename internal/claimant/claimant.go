// Package claimant decides when a daemon claims its availability zone. The
// log's order decides who gets it; what is decided here is only when to try.
package claimant

import (
	"context"
	"hash/fnv"
	"log/slog"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
	"gopkg.in/tomb.v2"
)

const (
	// interval is the time between two looks at the holder.
	interval = 100 * time.Millisecond
	// stagger is the further silence that each next daemon in line waits for,
	// so that one claims at a time.
	stagger = 400 * time.Millisecond
	// pauseGap is a gap between two looks after which earlier silence proves
	// nothing: this process itself was stopped.
	pauseGap = 500 * time.Millisecond
	// freshBound is the age of the log's state beyond which no claim is made.
	freshBound = 2 * time.Second
	// appendTimeout bounds the wait for a claim to be read back.
	appendTimeout = 3 * time.Second
	// probeWait is how long a probed holder has for its renewal.
	probeWait = 400 * time.Millisecond
	// liveWithin is the silence after which a daemon no longer counts as in
	// line.
	liveWithin = 1500 * time.Millisecond
)

// Claimant claims the zone when its holder has been silent. Its methods are
// called from one goroutine.
type Claimant struct {
	self     peer.Identity
	silence  time.Duration
	journal  *journal.Journal
	table    *membership.Table
	standing func() peer.TermStatus
	log      *slog.Logger
	lastLook time.Time
	// since is the instant from which silence counts.
	since time.Time
	seen  zone.Claim
	// renewed is when a renewal of the zone's claim was last read.
	renewed atomic.Pointer[time.Time]
	probed  chan uint64
}

// New returns a claimant that claims after the given silence of the holder.
func New(self peer.Identity, silence time.Duration, j *journal.Journal, table *membership.Table, standing func() peer.TermStatus, logger *slog.Logger) *Claimant {
	now := time.Now()
	return &Claimant{self: self, silence: silence, journal: j, table: table, standing: standing, log: logger, lastLook: now, since: now, probed: make(chan uint64, 1)}
}

// Run looks at the holder until t dies.
func (c *Claimant) Run(t *tomb.Tomb) error {
	t.Go(func() error { return c.runRenewals(t) })
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		if !c.due(time.Now()) {
			continue
		}
		if c.alive(t) {
			c.since = time.Now()
			continue
		}
		if c.due(time.Now()) {
			c.claim(t)
		}
	}
}

// due reports whether the zone should be claimed now.
func (c *Claimant) due(now time.Time) bool {
	if now.Sub(c.lastLook) > pauseGap {
		c.since = now
	}
	c.lastLook = now
	current, held := c.journal.State().Epoch(c.self.AvailabilityZone)
	if current != c.seen {
		c.seen, c.since = current, now
	}
	standing := c.standing()
	if held && current.Epoch == standing.Epoch {
		c.since = now
		return false
	}
	age, _, ok := c.journal.Fresh()
	if !ok || age > freshBound || standing.Leaving {
		return false
	}
	if held {
		c.heard(current)
	}
	return now.Sub(c.since) >= c.wait(held, current)
}

// heard takes in the latest signs of life of the holder.
func (c *Claimant) heard(current zone.Claim) {
	if at, _, ok := c.table.Holder(current.Zone, current.Epoch); ok && at.After(c.since) {
		c.since = at
	}
	if at := c.renewed.Load(); at != nil && at.After(c.since) {
		c.since = *at
	}
}

// Observe follows the zone's claims and probes in log order: a renewal is a
// sign of life of the holder, and a probe of the own term asks for one.
func (c *Claimant) Observe(effect cell.Effect) {
	if effect.Zone != c.self.AvailabilityZone || !effect.Valid {
		return
	}
	switch effect.Kind {
	case record.KindClaim:
		if effect.Envelope.Claim.Base != 0 {
			now := time.Now()
			c.renewed.Store(&now)
		}
	case record.KindProbe:
		if effect.Envelope.Probe.Epoch == c.standing().Epoch {
			select {
			case c.probed <- effect.Envelope.Probe.Epoch:
			default:
			}
		}
	}
}

// runRenewals renews the claim whenever it is probed.
func (c *Claimant) runRenewals(t *tomb.Tomb) error {
	for {
		select {
		case <-t.Dying():
			return nil
		case epoch := <-c.probed:
			e := ClaimRecord(c.self.AvailabilityZone, c.self.HolderName(), c.self.Address, 0)
			e.Claim.Base = epoch
			_, err := c.append(t, e)
			c.log.Info("claim renewed after a probe", "epoch", epoch, "error", err)
		}
	}
}

// append appends a record and waits for its effect.
func (c *Claimant) append(t *tomb.Tomb, e *record.Envelope) (cell.Effect, error) {
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), appendTimeout)
	defer cancel()
	return c.journal.Append(ctx, e)
}

// alive asks a holder that is silent on all direct links for a sign of life
// through the log, and reports whether one came. It keeps two daemons that
// can't hear each other from taking the zone from each other in turn.
func (c *Claimant) alive(t *tomb.Tomb) bool {
	if c.seen.Epoch == 0 || strings.HasPrefix(c.seen.Holder, c.self.Instance+"/") {
		return false
	}
	before := c.renewed.Load()
	probe := &record.Envelope{Kind: record.KindProbe, Probe: &record.Probe{Zone: c.self.AvailabilityZone, Epoch: c.seen.Epoch}}
	if _, err := c.append(t, probe); err != nil {
		return true
	}
	metrics.Claims.Add("probed", 1)
	deadline := time.NewTimer(probeWait)
	defer deadline.Stop()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for c.renewed.Load() == before {
		select {
		case <-t.Dying():
			return true
		case <-deadline.C:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// wait is the silence after which this daemon claims: each daemon of the zone
// has its place in line, which differs from epoch to epoch.
//
// A claim that an earlier incarnation of this very instance made has no other
// live holder and is replaced at once.
func (c *Claimant) wait(held bool, current zone.Claim) time.Duration {
	if held && current.Holder != c.self.HolderName() && strings.HasPrefix(current.Holder, c.self.Instance+"/") {
		return 0
	}
	epoch := current.Epoch
	line := []string{c.self.Instance}
	for _, m := range c.table.Live(c.self.AvailabilityZone, liveWithin) {
		if m.Instance != c.self.Instance {
			line = append(line, m.Instance)
		}
	}
	sort.Slice(line, func(i, j int) bool { return place(line[i], epoch) < place(line[j], epoch) })
	position := 0
	for line[position] != c.self.Instance {
		position++
	}
	wait := time.Duration(position) * stagger
	if held {
		wait += c.silence
	}
	return wait
}

// place orders the daemons of a zone for the claim that follows an epoch.
func place(instance string, epoch uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance))
	_, _ = h.Write([]byte{byte(epoch), byte(epoch >> 8), byte(epoch >> 16), byte(epoch >> 24)})
	return h.Sum64()
}

// claim appends a claim and waits for its effect.
func (c *Claimant) claim(t *tomb.Tomb) {
	effect, err := c.append(t, ClaimRecord(c.self.AvailabilityZone, c.self.HolderName(), c.self.Address, c.seen.Epoch))
	switch {
	case err != nil:
		metrics.Claims.Add("unknown", 1)
		c.log.Warn("claim not confirmed", "error", err)
	case effect.Valid:
		metrics.Claims.Add("won", 1)
		c.log.Info("claimed the zone", "epoch", effect.Offset, "previous", c.seen.Epoch)
	default:
		metrics.Claims.Add("lost", 1)
		c.log.Info("claim was void", "reason", effect.Reason)
	}
	c.since = time.Now()
}

// ClaimRecord is the record by which holder claims a zone after an epoch.
func ClaimRecord(zoneName, holder, address string, previous uint64) *record.Envelope {
	return &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{
		Zone:     zoneName,
		Holder:   holder,
		Address:  address,
		Previous: previous,
	}}
}
