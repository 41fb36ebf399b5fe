// Package cell holds the state that every daemon derives from the platform's
// log: the configuration, claims, rosters, allotments and durable jobs. A
// cell is the set of availability zones under one log and one configuration,
// with the daemons, endpoints and jobs in them. The package performs no I/O,
// reads no clock and starts no goroutine. Readers that have applied the same
// records have the same state.
//
// The state is divided into shards, one per availability zone and one for the
// state that all zones share, each with its own lock. One goroutine applies
// records while any number of others read.
//
// # Readers that start after a trim
//
// Retention trims old records from the log. A reader that starts at offset
// F > 1 can't validate the records that it reads: whether a claim is valid
// depends on an earlier claim, which may have been trimmed. So the state of
// every shard is appended to the log again as a snapshot, which holds the
// state through an offset T that its writer chooses. Such a reader follows
// these rules:
//
//   - Until it has read a complete snapshot of a shard with T >= F-1, the
//     shard is unknown, and reads return what they return for an empty shard.
//   - It keeps the records from F on in a backlog. When it installs the
//     snapshot, it applies the records of the backlog after T in order.
//
// A shard's state through T depends only on the records up to T, and the
// reader has every record after T. So from then on it has the same state as a
// reader from offset 1. This doesn't depend on who wrote the snapshot, on the
// snapshot's epoch, or on its position in the log: a writer that is paused,
// replaced or far behind still writes what was true at T. Snapshots therefore
// don't change a shard that is known, and a stale one can't revert anything.
// Zones that the shared snapshot doesn't list were never claimed up to its T
// and start empty.
//
// A reader that misses records, because retention overtook it, drops its state
// and starts again at the first record that it has.
package cell

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// State is the state that a daemon derives from the log. Apply must not be
// called concurrently with itself. All other methods may be called
// concurrently.
type State struct {
	limits  stateLimits
	applied atomic.Uint64
	skipped atomic.Uint64

	// mu guards shared and zones. Each shard has its own lock.
	mu     sync.RWMutex
	shared *sharedShard
	zones  map[string]*zoneShard

	// The fields below are used only by Apply.
	started bool
	backlog backlog
	// catchingUp is true while the state of some shard isn't known.
	catchingUp bool
}

// stateLimits are the size limits of a state.
type stateLimits struct {
	// seenWindow is record.SeenWindow outside of tests. All readers of one log
	// must use the same value.
	seenWindow uint64
	// maxBacklogBytes limits the memory of this reader only.
	maxBacklogBytes int
}

// New returns the state before the first record.
func New() *State {
	return newState(stateLimits{seenWindow: record.SeenWindow, maxBacklogBytes: maxBacklogBytes})
}

func newState(limits stateLimits) *State {
	s := &State{limits: limits}
	s.reset(1)
	return s
}

// reset drops all state and starts at offset first.
func (s *State) reset(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = newSharedShard(first == 1, s.limits.seenWindow)
	s.zones = map[string]*zoneShard{}
	s.backlog = backlog{firstOffset: first, maxBytes: s.limits.maxBacklogBytes}
	s.catchingUp = first != 1
}

// Effect is the result of applying a record.
type Effect struct {
	Offset uint64
	ID     string
	// Kind and Envelope are unset if the record was applied before or couldn't
	// be decoded.
	Kind record.Kind
	// Zone is the zone that the record concerns, empty if it concerns all.
	Zone string
	// Valid reports whether the record is valid and was applied.
	Valid bool
	// Reason explains why a record is void. Void is the kind of reason.
	Reason   string
	Void     record.VoidKind
	Envelope *record.Envelope
	// Rejected has an error by job id for each job of a valid Jobs record that
	// was rejected.
	Rejected map[string]error
	// SnapshotInstalled reports that the record completed a snapshot, with which
	// the state of Zone, or the shared state if Zone is empty, became known.
	// Callers must read again what they have read of it before.
	SnapshotInstalled bool
	// StateDropped reports that records were missed, so that all state was
	// dropped.
	StateDropped bool
}

// Apply applies the record at offset. Records must be passed in the order of
// their offsets. A record that was applied before is ignored and reported as
// a duplicate. If offsets are missing, all state is dropped and the reader
// starts at offset.
func (s *State) Apply(offset uint64, id string, data []byte) Effect {
	applied := s.applied.Load()
	effect := Effect{Offset: offset, ID: id}
	if offset <= applied {
		effect.fail(record.NewVoid(record.VoidDuplicate, "offset %d is already applied", offset))
		return effect
	}
	if !s.started || offset != applied+1 {
		effect.StateDropped = s.started
		s.started = true
		s.reset(offset)
	}
	s.decodeAndApply(&effect, data)
	s.applied.Store(offset)
	return effect
}

// decodeAndApply decodes and applies a record.
func (s *State) decodeAndApply(effect *Effect, data []byte) {
	env, err := record.Decode(data)
	if err != nil {
		s.skipped.Add(1)
		effect.fail(record.NewVoid(record.VoidUndecodable, "%v; the record is skipped", err))
		return
	}
	effect.Kind = env.Kind
	effect.Envelope = env
	effect.Zone = recordZone(env)
	e := &entry{offset: effect.Offset, id: effect.ID, size: len(data), envelope: env}
	if env.Kind == record.KindSnapshot {
		s.applySnapshot(effect, e)
		return
	}
	if s.catchingUp && env.Kind != record.KindAudit && env.Kind != record.KindReport {
		s.ensureZone(effect.Zone)
		s.backlog.add(e)
	}
	effect.Rejected, err = s.applyEntry(e)
	if err != nil {
		effect.fail(err)
		return
	}
	effect.Valid = true
}

// fail marks the record as void for the reason err.
func (e *Effect) fail(err error) {
	e.Valid = false
	e.Reason = err.Error()
	if void, ok := err.(*record.Void); ok { //nolint:errorlint // rules return it unwrapped
		e.Void = void.Kind
	}
}

// errStateUnknown returns the error for a record that can't be validated yet
// because its shard isn't known.
func errStateUnknown() error {
	return record.NewVoid(record.VoidBaseUnknown, "this reader started after the first records were trimmed; the record is validated once a snapshot is read")
}

// recordZone returns the zone that a record concerns, "" if there is none. The
// zone of a transfer is the sending one.
func recordZone(env *record.Envelope) string {
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

// applyEntry applies a record that isn't a snapshot to its shards.
func (s *State) applyEntry(e *entry) (rejected map[string]error, err error) {
	switch e.envelope.Kind {
	case record.KindConfig, record.KindTransfer:
		return nil, s.shared.apply(e)
	case record.KindClaim:
		return nil, s.applyClaim(e)
	case record.KindRoster, record.KindJobs, record.KindOutcomes, record.KindReport:
		return s.applyToZone(e)
	}
	return nil, nil
}

// applyClaim applies a claim to the shared shard and to the shard of its zone.
// Both apply the same rules. If the zone's shard isn't known, it can't validate
// the claim, and the result of the shared shard is returned.
func (s *State) applyClaim(e *entry) error {
	sharedErr := s.shared.apply(e)
	_, zoneErr := s.applyToZone(e)
	if isUnknown(zoneErr) {
		return sharedErr
	}
	return zoneErr
}

// isUnknown reports whether err is from errStateUnknown.
func isUnknown(err error) bool {
	void, ok := err.(*record.Void) //nolint:errorlint // rules return it unwrapped
	return ok && void.Kind == record.VoidBaseUnknown
}

// applyToZone applies a record to the shard of its zone.
func (s *State) applyToZone(e *entry) (rejected map[string]error, err error) {
	name := recordZone(e.envelope)
	if name == "" {
		return nil, record.NewVoid(record.VoidInvalid, "the record has no zone; set one")
	}
	z, ok := s.lookup(name)
	if !ok {
		if e.envelope.Kind != record.KindClaim {
			return nil, record.NewVoid(record.VoidEpoch, "zone %q was never claimed; claim it first", name)
		}
		z = s.ensureZone(name)
	}
	return z.apply(e)
}

// lookup returns the shard of a zone; ok is false if there is none.
func (s *State) lookup(name string) (z *zoneShard, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	z, ok = s.zones[name]
	return z, ok
}

// ensureZone returns the shard of a zone and creates it if necessary. A new
// shard is known to be empty if the shared shard is known, and unknown
// otherwise.
func (s *State) ensureZone(name string) *zoneShard {
	if name == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	z, ok := s.zones[name]
	if !ok {
		z = newZoneShard(name, s.shared.known, s.limits.seenWindow)
		s.zones[name] = z
	}
	return z
}

// shards returns the zone shards, sorted by zone name.
func (s *State) shards() []*zoneShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*zoneShard, 0, len(s.zones))
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		out = append(out, s.zones[name])
	}
	return out
}
