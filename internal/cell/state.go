// Package cell composes the state that every daemon derives from the
// platform's log: configuration, claims, rosters, allotments and durable jobs.
// It performs no I/O, reads no clock and starts no goroutine. Readers that
// have applied the same records agree on every answer.
//
// State is divided into shards, one per availability zone and one for what
// all zones share, each under its own lock. One goroutine applies records
// while any number of others read.
//
// # Readers that start behind the trim
//
// The log drops old records. A reader that starts at offset F > 1 can't judge
// the records it sees: whether a claim is valid depends on one that may have
// been dropped. So every shard is written to the log again as a snapshot, which
// holds the shard's state through an offset T of its writer's choice. The rule
// for such a reader is:
//
//   - It knows nothing of a shard, and answers as if the shard were empty,
//     until it has read a whole snapshot of it with T >= F-1.
//   - It holds back the records from F on. With the snapshot it takes the
//     state through T and applies the held records behind T in their order.
//
// Since a shard's state through T is a function of the records up to T, and
// the reader has every record behind T, it has from then on the same state as
// a reader from offset 1. Nothing rests on who wrote the snapshot, on its
// epoch, or on where it stands: a writer that is paused, replaced or far behind
// still writes what was true at T. Snapshots therefore change nothing for a
// reader that knows the shard, and a stale one can't take anything back. Zones
// that the shared snapshot doesn't list were never claimed up to its T and
// start empty there.
//
// A reader that misses records, because retention overtook it, starts again
// at the first record that it has.
package cell

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// State is what a daemon knows from the log. Apply must not be called
// concurrently with itself; everything else may be.
type State struct {
	bounds  bounds
	applied atomic.Uint64
	skipped atomic.Uint64

	// mu guards the maps and pointers below; shards guard themselves.
	mu     sync.RWMutex
	shared *sharedShard
	zones  map[string]*zoneShard

	// Used by the applier only.
	started bool
	backlog backlog
	// waiting is true while the state of some shard is not known.
	waiting bool
}

// bounds are the bounds that all readers of one log have to share, and that on
// the memory of one of them.
type bounds struct {
	// span is record.SeenWindow.
	span         uint64
	backlogBytes int
}

// New returns the state before the first record.
func New() *State {
	return newState(bounds{span: record.SeenWindow, backlogBytes: backlogBytes})
}

func newState(b bounds) *State {
	s := &State{bounds: b}
	s.restart(1)
	return s
}

// restart forgets everything and starts at offset from.
func (s *State) restart(from uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = newSharedShard(from == 1, s.bounds.span)
	s.zones = map[string]*zoneShard{}
	s.backlog = backlog{from: from, limit: s.bounds.backlogBytes}
	s.waiting = from != 1
}

// Effect is what a record did.
type Effect struct {
	Offset uint64
	ID     string
	// Kind and Envelope are unset if the record couldn't be decoded.
	Kind record.Kind
	// Zone is the zone that the record concerns, empty if it concerns all.
	Zone string
	// Valid reports whether the record counts.
	Valid bool
	// Reason explains why a record is void, and Void gives its kind.
	Reason   string
	Void     record.VoidKind
	Envelope *record.Envelope
	// Rejected gives the jobs of a valid Jobs record that have no effect.
	Rejected map[string]error
	// SnapshotInstalled reports that a reader behind the trim has just come to know
	// the shard of Zone, or the shared one if Zone is empty; whatever was
	// read of it before has to be read anew.
	SnapshotInstalled bool
	// StateDropped reports that records were missed and all state was dropped.
	StateDropped bool
}

// Apply applies the record at offset. Records must come in the order of their
// offsets; one that is applied already is ignored and reported as a duplicate.
func (s *State) Apply(offset uint64, id string, data []byte) Effect {
	applied := s.applied.Load()
	effect := Effect{Offset: offset, ID: id}
	if offset <= applied {
		effect.fail(record.NewVoid(record.VoidDuplicate, "offset %d is applied already", offset))
		return effect
	}
	if !s.started || offset != applied+1 {
		effect.StateDropped = s.started
		s.started = true
		s.restart(offset)
	}
	s.decode(&effect, data)
	s.applied.Store(offset)
	return effect
}

// decode decodes and applies a record.
func (s *State) decode(effect *Effect, data []byte) {
	env, err := record.Decode(data)
	if err != nil {
		s.skipped.Add(1)
		effect.fail(record.NewVoid(record.VoidUndecodable, "%v; it is skipped", err))
		return
	}
	effect.Kind = env.Kind
	effect.Envelope = env
	effect.Zone = zoneOf(env)
	e := &entry{offset: effect.Offset, id: effect.ID, size: len(data), env: env}
	if env.Kind == record.KindSnapshot {
		s.applySnapshot(effect, e)
		return
	}
	if s.waiting && env.Kind != record.KindAudit && env.Kind != record.KindReport {
		s.zone(effect.Zone)
		s.backlog.add(e)
	}
	effect.Rejected, err = s.applyEntry(e)
	if err != nil {
		effect.fail(err)
		return
	}
	effect.Valid = true
}

func (e *Effect) fail(err error) {
	e.Valid = false
	e.Reason = err.Error()
	if void, ok := err.(*record.Void); ok { //nolint:errorlint // rules return it unwrapped
		e.Void = void.Kind
	}
}

func errBaseUnknown() error {
	return record.NewVoid(record.VoidBaseUnknown, "the log before this reader's start is dropped; it is judged once a snapshot is read")
}

// zoneOf returns the zone that a record concerns.
func zoneOf(env *record.Envelope) string {
	switch env.Kind {
	case record.KindClaim:
		return env.Claim.Zone
	case record.KindRoster:
		return env.Roster.Zone
	case record.KindTransfer:
		return env.Transfer.From
	case record.KindJobs:
		return env.Jobs.Zone
	case record.KindOutcomes:
		return env.Outcomes.Zone
	case record.KindSnapshot:
		return env.Snapshot.Zone
	case record.KindReport:
		return env.Report.Zone
	case record.KindProbe:
		return env.Probe.Zone
	}
	return ""
}

// applyEntry applies a record, other than a snapshot, to its shards.
func (s *State) applyEntry(e *entry) (rejected map[string]error, err error) {
	switch e.env.Kind {
	case record.KindConfig, record.KindTransfer:
		return nil, s.shared.apply(e)
	case record.KindClaim:
		return nil, s.applyClaim(e)
	case record.KindRoster, record.KindJobs, record.KindOutcomes, record.KindReport:
		return s.applyToZone(e)
	}
	return nil, nil
}

// applyClaim applies a claim to the shared shard and to that of its zone. Both
// judge it alike; one that is not known yet can't, and the other's word counts.
func (s *State) applyClaim(e *entry) error {
	sharedErr := s.shared.apply(e)
	_, zoneErr := s.applyToZone(e)
	if isUnknown(zoneErr) {
		return sharedErr
	}
	return zoneErr
}

func isUnknown(err error) bool {
	void, ok := err.(*record.Void) //nolint:errorlint // rules return it unwrapped
	return ok && void.Kind == record.VoidBaseUnknown
}

func (s *State) applyToZone(e *entry) (rejected map[string]error, err error) {
	name := zoneOf(e.env)
	if name == "" {
		return nil, record.NewVoid(record.VoidInvalid, "the record names no zone; set it")
	}
	z, ok := s.lookup(name)
	if !ok {
		if e.env.Kind != record.KindClaim {
			return nil, record.NewVoid(record.VoidEpoch, "zone %q was never claimed; claim it first", name)
		}
		z = s.zone(name)
	}
	return z.apply(e)
}

// lookup returns the shard of a zone if there is one.
func (s *State) lookup(name string) (z *zoneShard, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	z, ok = s.zones[name]
	return z, ok
}

// zone returns the shard of a zone and makes it if there is none. It is known
// to be empty, unless the shared shard isn't known yet.
func (s *State) zone(name string) *zoneShard {
	if name == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	z, ok := s.zones[name]
	if !ok {
		z = newZoneShard(name, s.shared.known, s.bounds.span)
		s.zones[name] = z
	}
	return z
}

// shards returns the zone shards in sorted order.
func (s *State) shards() []*zoneShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*zoneShard, 0, len(s.zones))
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		out = append(out, s.zones[name])
	}
	return out
}
