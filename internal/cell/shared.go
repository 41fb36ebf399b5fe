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

// sharedShard is the state that all zones share: the configuration in force,
// every zone's claim, and the allotments, whose transfers are judged by both.
type sharedShard struct {
	mu sync.RWMutex
	// known is false for a reader behind the trim that lacks a snapshot.
	known bool
	// through is the offset of the last record applied, covered the Through
	// of the newest complete snapshot in the log.
	through  uint64
	covered  uint64
	register *config.Register
	chains   map[string]*zone.ClaimChain
	book     *team.Allotments
	recent   *window
	parts    assembler
}

func newSharedShard(known bool, span uint64) *sharedShard {
	return &sharedShard{
		known:    known,
		register: &config.Register{},
		chains:   map[string]*zone.ClaimChain{},
		book:     team.NewAllotments(),
		recent:   newWindow(span, nil),
	}
}

// apply applies a Config, Claim or Transfer record; an error is a
// *record.Void.
func (s *sharedShard) apply(e *entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		return errBaseUnknown()
	}
	s.through = e.offset
	switch e.env.Kind {
	case record.KindConfig:
		return s.configure(e)
	case record.KindClaim:
		return s.claim(e)
	case record.KindTransfer:
		return s.transfer(e)
	}
	return nil
}

func (s *sharedShard) configure(e *entry) error {
	before := s.register.Current().Version
	if err := s.register.Apply(e.offset, e.env.Config); err != nil {
		return err
	}
	if s.register.Current().Version != before {
		s.book.Configure(s.register.Parsed())
	}
	return nil
}

func (s *sharedShard) transfer(e *entry) error {
	t := e.env.Transfer
	if t.ID == "" {
		return record.NewVoid(record.VoidInvalid, "the transfer has no id; set one")
	}
	if err := s.recent.check(e.offset, e.env.Seen, e.id, transferIDPrefix+t.ID); err != nil {
		return err
	}
	if err := s.chain(t.From).CheckEpoch(t.Epoch); err != nil {
		return err
	}
	return s.book.Transfer(t)
}

// transferIDPrefix keeps the ids of transfers apart from those of records.
const transferIDPrefix = "transfer/"

// chain returns the chain of a zone, an empty one if it was never claimed.
func (s *sharedShard) chain(name string) *zone.ClaimChain {
	c, ok := s.chains[name]
	if !ok {
		return zone.NewClaimChain(name)
	}
	return c
}

func (s *sharedShard) claim(e *entry) error {
	name := e.env.Claim.Zone
	c := s.chain(name)
	if err := c.Apply(e.offset, e.env.Claim); err != nil {
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

// empty reports whether a reader that knows nothing of this shard would lack
// nothing.
func (s *sharedShard) empty() bool {
	return s.register.Current().Version == 0 && len(s.claims()) == 0
}

// snapshot returns the shard's state at offset applied or later.
func (s *sharedShard) snapshot(applied uint64) []*record.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.known || s.empty() {
		return nil
	}
	b := newBuilder(record.Snapshot{Through: max(applied, s.through)})
	b.config(s.register.Snapshot())
	for _, claim := range s.claims() {
		b.claim(s.chains[claim.Zone].Snapshot())
	}
	for _, t := range s.book.Snapshot() {
		b.team(t)
	}
	b.recent(s.recent.snapshot())
	return b.finish()
}

// install replaces the state by that of a complete snapshot.
func (s *sharedShard) install(snap *record.Snapshot) error {
	register, err := config.Restore(snap.Config)
	if err != nil {
		return err
	}
	book, err := team.RestoreAllotments(snap.Teams, register.Parsed())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register = register
	s.book = book
	s.recent = newWindow(s.recent.span, snap.Recent)
	s.chains = map[string]*zone.ClaimChain{}
	for i := range snap.Claims {
		s.chains[snap.Claims[i].Zone] = zone.RestoreClaimChain(&snap.Claims[i])
	}
	s.through = snap.Through
	s.known = true
	return nil
}
