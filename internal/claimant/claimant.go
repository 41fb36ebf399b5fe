// Package claimant decides when a daemon claims its availability zone. Which
// claim wins is decided by the order of the log; this package only decides when
// to append one.
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
	// checkInterval is the time between two checks of the holder.
	checkInterval = 100 * time.Millisecond
	// claimStagger is the delay between the daemons of a zone in their claim
	// order, so that they don't all claim at the same time.
	claimStagger = 400 * time.Millisecond
	// maxCheckGap is the longest time between two checks. After a longer gap
	// this process itself was paused, so that missing heartbeats and renewals
	// don't show that the holder is down.
	maxCheckGap = 500 * time.Millisecond
	// maxLogAge is the age of the applied log state beyond which no claim is
	// made.
	maxLogAge = 2 * time.Second
	// appendTimeout limits the append of a record, until it is read back.
	appendTimeout = 3 * time.Second
	// probeTimeout is how long to wait for the renewal of a probed holder.
	probeTimeout = 400 * time.Millisecond
	// liveWindow is the time without a heartbeat after which a daemon is left
	// out of the claim order.
	liveWindow = 1500 * time.Millisecond
)

// Claimant claims the zone when neither a heartbeat of its holder nor a renewal
// of the holder's claim in the log has arrived for some time. Observe may be
// called concurrently with Run.
type Claimant struct {
	self          peer.Identity
	takeoverAfter time.Duration
	journal       *journal.Journal
	table         *membership.Table
	termStatus    func() peer.TermStatus
	log           *slog.Logger
	lastCheck     time.Time
	// silentSince is the start of the time without a heartbeat or renewal of
	// the holder.
	silentSince   time.Time
	observedClaim zone.Claim
	// renewedAt is when a renewal of the zone's claim was last read.
	renewedAt atomic.Pointer[time.Time]
	// probedEpochs passes the epoch of a probe of this daemon's own claim to
	// runRenewals.
	probedEpochs chan uint64
}

// New returns a claimant for the zone of self. It claims a held zone after
// takeoverAfter without a heartbeat or renewal of the holder. termStatus returns
// this daemon's current term.
func New(self peer.Identity, takeoverAfter time.Duration, j *journal.Journal, table *membership.Table, termStatus func() peer.TermStatus, logger *slog.Logger) *Claimant {
	now := time.Now()
	return &Claimant{self: self, takeoverAfter: takeoverAfter, journal: j, table: table, termStatus: termStatus, log: logger, lastCheck: now, silentSince: now, probedEpochs: make(chan uint64, 1)}
}

// Run checks the holder periodically, and claims the zone when necessary, until
// t dies.
func (c *Claimant) Run(t *tomb.Tomb) error {
	t.Go(func() error { return c.runRenewals(t) })
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		if !c.shouldClaim(time.Now()) {
			continue
		}
		if c.probeHolder(t) {
			c.silentSince = time.Now()
			continue
		}
		if c.shouldClaim(time.Now()) {
			c.claim(t)
		}
	}
}

// shouldClaim reports whether the zone should be claimed now. It updates
// silentSince.
func (c *Claimant) shouldClaim(now time.Time) bool {
	if now.Sub(c.lastCheck) > maxCheckGap {
		c.silentSince = now
	}
	c.lastCheck = now
	current, held := c.journal.State().Claim(c.self.AvailabilityZone)
	if current != c.observedClaim {
		c.observedClaim, c.silentSince = current, now
	}
	status := c.termStatus()
	if held && current.Epoch == status.Epoch {
		c.silentSince = now
		return false
	}
	age, _, ok := c.journal.Fresh()
	if !ok || age > maxLogAge || status.Leaving {
		return false
	}
	if held {
		c.updateHolderActivity(current)
	}
	return now.Sub(c.silentSince) >= c.claimDelay(held, current)
}

// updateHolderActivity moves silentSince to the holder's latest heartbeat or
// renewal in the log.
func (c *Claimant) updateHolderActivity(current zone.Claim) {
	if at, _, ok := c.table.Holder(current.Zone, current.Epoch); ok && at.After(c.silentSince) {
		c.silentSince = at
	}
	if at := c.renewedAt.Load(); at != nil && at.After(c.silentSince) {
		c.silentSince = *at
	}
}

// Observe processes the applied claims and probes of the zone, in log order. A
// renewal shows that the holder is running. A probe of this daemon's own term
// requests a renewal.
func (c *Claimant) Observe(effect cell.Effect) {
	if effect.Zone != c.self.AvailabilityZone || !effect.Valid {
		return
	}
	switch effect.Kind {
	case record.KindClaim:
		if effect.Envelope.Claim.Base != 0 {
			now := time.Now()
			c.renewedAt.Store(&now)
		}
	case record.KindProbe:
		if effect.Envelope.Probe.Epoch == c.termStatus().Epoch {
			select {
			case c.probedEpochs <- effect.Envelope.Probe.Epoch:
			default:
			}
		}
	}
}

// runRenewals renews this daemon's claim whenever it is probed.
func (c *Claimant) runRenewals(t *tomb.Tomb) error {
	for {
		select {
		case <-t.Dying():
			return nil
		case epoch := <-c.probedEpochs:
			e := ClaimRecord(c.self.AvailabilityZone, c.self.HolderName(), c.self.Address, 0)
			e.Claim.Base = epoch
			_, err := c.append(t, e)
			c.log.Info("claim renewed after a probe", "epoch", epoch, "error", err)
		}
	}
}

// append appends a record and waits until it has been read back and applied.
func (c *Claimant) append(t *tomb.Tomb, e *record.Envelope) (cell.Effect, error) {
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), appendTimeout)
	defer cancel()
	return c.journal.Append(ctx, e)
}

// probeHolder appends a probe to the log, which asks a holder without recent
// heartbeats to renew its claim, and reports whether the holder may be running: a
// renewal is read, or the probe can't be appended. It returns false without a
// probe if the zone was never claimed or its claim is this instance's own.
// Without the probe, two daemons whose connections to each other are broken
// would take the zone from each other in turn.
func (c *Claimant) probeHolder(t *tomb.Tomb) bool {
	if c.observedClaim.Epoch == 0 || strings.HasPrefix(c.observedClaim.Holder, c.self.Instance+"/") {
		return false
	}
	before := c.renewedAt.Load()
	probe := &record.Envelope{Kind: record.KindProbe, Probe: &record.Probe{Zone: c.self.AvailabilityZone, Epoch: c.observedClaim.Epoch}}
	if _, err := c.append(t, probe); err != nil {
		return true
	}
	metrics.Claims.Add("probed", 1)
	deadline := time.NewTimer(probeTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for c.renewedAt.Load() == before {
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

// claimDelay returns the time without a heartbeat or renewal of the holder after
// which this daemon claims the zone. The live daemons of the zone claim one after
// another, in an order that changes with each epoch.
//
// A claim by an earlier incarnation of this instance is replaced immediately,
// because that incarnation has ended.
func (c *Claimant) claimDelay(held bool, current zone.Claim) time.Duration {
	if held && current.Holder != c.self.HolderName() && strings.HasPrefix(current.Holder, c.self.Instance+"/") {
		return 0
	}
	epoch := current.Epoch
	candidates := []string{c.self.Instance}
	for _, m := range c.table.Live(c.self.AvailabilityZone, liveWindow) {
		if m.Instance != c.self.Instance {
			candidates = append(candidates, m.Instance)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		return claimOrder(candidates[i], epoch) < claimOrder(candidates[j], epoch)
	})
	position := 0
	for candidates[position] != c.self.Instance {
		position++
	}
	delay := time.Duration(position) * claimStagger
	if held {
		delay += c.takeoverAfter
	}
	return delay
}

// claimOrder returns the sort key of a daemon for the claim that follows an
// epoch: a hash, so that the order differs between epochs.
func claimOrder(instance string, epoch uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance))
	_, _ = h.Write([]byte{byte(epoch), byte(epoch >> 8), byte(epoch >> 16), byte(epoch >> 24)})
	return h.Sum64()
}

// claim appends a claim and waits until it is read back and found valid or
// void.
func (c *Claimant) claim(t *tomb.Tomb) {
	effect, err := c.append(t, ClaimRecord(c.self.AvailabilityZone, c.self.HolderName(), c.self.Address, c.observedClaim.Epoch))
	switch {
	case err != nil:
		metrics.Claims.Add("unknown", 1)
		c.log.Warn("claim not confirmed, its append failed or timed out", "error", err)
	case effect.Valid:
		metrics.Claims.Add("won", 1)
		c.log.Info("claimed the zone", "epoch", effect.Offset, "previous", c.observedClaim.Epoch)
	default:
		metrics.Claims.Add("lost", 1)
		c.log.Info("claim was void", "reason", effect.Reason)
	}
	c.silentSince = time.Now()
}

// ClaimRecord returns the record with which holder, reachable at address,
// claims a zone. previous is the current epoch of the zone, 0 if it was never
// claimed.
func ClaimRecord(zoneName, holder, address string, previous uint64) *record.Envelope {
	return &record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{
		Zone:     zoneName,
		Holder:   holder,
		Address:  address,
		Previous: previous,
	}}
}
