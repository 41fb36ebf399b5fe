package cell

import (
	"maps"
	"slices"
	"sync"

	"github.com/bluebellstile/bluebellstile/internal/config"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// sharedShard is the state that all zones share: the current configuration,
// the claim on every zone, and the allotments. Transfers of allotments are
// validated against the configuration and the claims.
type sharedShard struct {
	mu sync.RWMutex
	// known is false if the reader started after the first records were trimmed
	// and has not installed a snapshot.
	known bool
	// appliedThrough is the offset of the last record applied. coveredThrough is
	// the Through of the newest complete snapshot in the log.
	appliedThrough uint64
	coveredThrough uint64
	register       *config.Register
	chains         map[string]*zone.ClaimChain
	allotments     *team.Allotments
	recentIDs      *idWindow
	snapshots      snapshotAssembler
}

func newSharedShard(known bool, seenWindow uint64) *sharedShard {
	return &sharedShard{
		known:      known,
		register:   &config.Register{},
		chains:     map[string]*zone.ClaimChain{},
		allotments: team.NewAllotments(),
		recentIDs:  newIDWindow(seenWindow, nil),
	}
}

// apply applies a Config, Claim or Transfer record. A returned error is a
// *record.Void.
func (s *sharedShard) apply(e *entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		return errStateUnknown()
	}
	s.appliedThrough = e.offset
	switch e.envelope.Kind {
	case record.KindConfig:
		return s.configure(e)
	case record.KindClaim:
		return s.claim(e)
	case record.KindTransfer:
		return s.transfer(e)
	}
	return nil
}

// configure applies a Config record, and updates the allotments if the
// configuration changed.
func (s *sharedShard) configure(e *entry) error {
	before := s.register.Current().Version
	if err := s.register.Apply(e.offset, e.envelope.Config); err != nil {
		return err
	}
	if s.register.Current().Version != before {
		s.allotments.Configure(s.register.Parsed())
	}
	return nil
}

// transfer applies a Transfer record after checking that it is not late, not a
// duplicate, and of the current epoch of the sending zone.
func (s *sharedShard) transfer(e *entry) error {
	t := e.envelope.Transfer
	if t.ID == "" {
		return record.NewVoid(record.VoidInvalid, "the transfer has no id; set one")
	}
	if err := s.recentIDs.check(e.offset, e.envelope.Seen, e.id, transferIDPrefix+t.ID); err != nil {
		return err
	}
	if err := s.chain(t.From).CheckEpoch(t.Epoch); err != nil {
		return err
	}
	return s.allotments.Transfer(t)
}

// transferIDPrefix separates the ids of transfers from those of records.
const transferIDPrefix = "transfer/"

// chain returns the claim chain of a zone, a new one if it was never claimed.
func (s *sharedShard) chain(name string) *zone.ClaimChain {
	c, ok := s.chains[name]
	if !ok {
		return zone.NewClaimChain(name)
	}
	return c
}

// claim applies a Claim record.
func (s *sharedShard) claim(e *entry) error {
	name := e.envelope.Claim.Zone
	c := s.chain(name)
	if err := c.Apply(e.offset, e.envelope.Claim); err != nil {
		return err
	}
	s.chains[name] = c
	return nil
}

// claims returns the current claims, sorted by zone.
func (s *sharedShard) claims() []zone.Claim {
	var out []zone.Claim
	for _, name := range slices.Sorted(maps.Keys(s.chains)) {
		if claim, ok := s.chains[name].Current(); ok {
			out = append(out, claim)
		}
	}
	return out
}

// empty reports whether the shard has the initial state, so that no snapshot
// of it is needed.
func (s *sharedShard) empty() bool {
	return s.register.Current().Version == 0 && len(s.claims()) == 0
}

// snapshot returns the records of a snapshot of the shard. Its Through is
// applied, or a later offset if the shard has applied one.
func (s *sharedShard) snapshot(applied uint64) []*record.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.known || s.empty() {
		return nil
	}
	b := newSnapshotBuilder(record.Snapshot{Through: max(applied, s.appliedThrough)})
	b.config(s.register.Snapshot())
	for _, claim := range s.claims() {
		b.claim(s.chains[claim.Zone].Snapshot())
	}
	for _, t := range s.allotments.Snapshot() {
		b.team(t)
	}
	b.recent(s.recentIDs.snapshot())
	return b.finish()
}

// install replaces the state with that of a complete snapshot.
func (s *sharedShard) install(snap *record.Snapshot) error {
	register, err := config.Restore(snap.Config)
	if err != nil {
		return err
	}
	allotments, err := team.RestoreAllotments(snap.Teams, register.Parsed())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register = register
	s.allotments = allotments
	s.recentIDs = newIDWindow(s.recentIDs.seenWindow, snap.Recent)
	s.chains = map[string]*zone.ClaimChain{}
	for i := range snap.Claims {
		s.chains[snap.Claims[i].Zone] = zone.RestoreClaimChain(&snap.Claims[i])
	}
	s.appliedThrough = snap.Through
	s.known = true
	return nil
}
