package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/config"
	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Applied returns the offset of the last record applied, 0 before the first.
func (s *State) Applied() uint64 {
	return s.applied.Load()
}

// Encode sets env.Seen to the applied offset and returns the encoded record.
// A retry must append the same bytes with the same id.
func (s *State) Encode(env *record.Envelope) ([]byte, error) {
	env.Seen = s.Applied()
	return record.Encode(env)
}

// Skipped returns the number of records that couldn't be decoded.
func (s *State) Skipped() uint64 {
	return s.skipped.Load()
}

// Known reports whether the state of the zone is known, or the shared state if
// zoneName is empty. It is false only for a reader that started after the first
// records were trimmed and has not found a snapshot.
func (s *State) Known(zoneName string) bool {
	shared := s.sharedShard()
	if zoneName == "" {
		shared.mu.RLock()
		defer shared.mu.RUnlock()
		return shared.known
	}
	z, ok := s.lookup(zoneName)
	if !ok {
		return s.Known("")
	}
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.known
}

// sharedShard returns the shared shard, which a reset replaces.
func (s *State) sharedShard() *sharedShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shared
}

// Claim returns the current valid claim on a zone, which includes its epoch.
// ok is false if the zone was never claimed or its state isn't known.
func (s *State) Claim(zoneName string) (claim zone.Claim, ok bool) {
	z, ok := s.lookup(zoneName)
	if !ok {
		return zone.Claim{}, false
	}
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.chain.Current()
}

// Claims returns the current valid claims, sorted by zone.
func (s *State) Claims() []zone.Claim {
	var claims []zone.Claim
	for _, z := range s.shards() {
		if claim, ok := s.Claim(z.name); ok {
			claims = append(claims, claim)
		}
	}
	return claims
}

// Roster returns the endpoints that any holder of the zone may have used.
func (s *State) Roster(zoneName string) []string {
	z, ok := s.lookup(zoneName)
	if !ok {
		return nil
	}
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.roster.Endpoints()
}

// Config returns the current configuration, which callers must not modify, and
// its version. It returns nil and 0 if there is no configuration yet.
func (s *State) Config() (cfg *operator.Config, version uint64) {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.register.Parsed(), shared.register.Current().Version
}

// ConfigText returns the text and the version of the current configuration.
func (s *State) ConfigText() (text string, version uint64) {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	current := shared.register.Current()
	return current.Text, current.Version
}

// ConfigHistory returns the most recent versions of the configuration, oldest
// first.
func (s *State) ConfigHistory() []config.Version {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.register.History()
}

// Allotment returns how many tasks of the team may run in the zone.
func (s *State) Allotment(team, zoneName string) int64 {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.allotments.Balance(team, zoneName)
}

// Allotments returns the team's allotment in each zone where it isn't 0.
func (s *State) Allotments(team string) map[string]int64 {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.allotments.Balances(team)
}

// OpenJobs returns the open jobs of a zone in the order in which they were
// accepted. Callers must not modify them.
func (s *State) OpenJobs(zoneName string) []*job.Job {
	z, ok := s.lookup(zoneName)
	if !ok {
		return nil
	}
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.jobs.Open()
}

// Job returns the open or finished job with the given id. Callers must not
// modify it.
func (s *State) Job(id string) (j *job.Job, ok bool) {
	return s.findJob(func(store *job.Store) (*job.Job, bool) { return store.Job(id) })
}

// JobByTicket returns the job that a team submitted with the given ticket.
// Tickets are unique within a zone. If several zones have the ticket, the
// first zone by name is used.
func (s *State) JobByTicket(team, ticket string) (j *job.Job, ok bool) {
	return s.findJob(func(store *job.Store) (*job.Job, bool) { return store.ByTicket(team, ticket) })
}

// findJob returns the first job that find returns for the stores of the zones,
// in the order of their names.
func (s *State) findJob(find func(*job.Store) (*job.Job, bool)) (*job.Job, bool) {
	for _, z := range s.shards() {
		if j, ok := z.findJob(find); ok {
			return j, true
		}
	}
	return nil, false
}

func (z *zoneShard) findJob(find func(*job.Store) (*job.Job, bool)) (*job.Job, bool) {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return find(z.jobs)
}

// SnapshotZone returns the records of a snapshot of the zone, which preserve
// its state when retention drops the original records. They may be appended
// in any order. It returns nil if the zone isn't known or was never claimed.
func (s *State) SnapshotZone(zoneName string) []*record.Snapshot {
	applied := s.Applied()
	z, ok := s.lookup(zoneName)
	if !ok {
		return nil
	}
	return z.snapshot(applied)
}

// SnapshotShared returns the records of a snapshot of the state that all
// zones share: the configuration, the claims and the allotments. They may be
// appended in any order. It returns nil if that state isn't known or is
// empty.
func (s *State) SnapshotShared() []*record.Snapshot {
	applied := s.Applied()
	return s.sharedShard().snapshot(applied)
}

// MissingSnapshot names a shard whose snapshot has to be appended before
// retention drops the records that it was derived from: by
// SnapshotZone(Zone), or by SnapshotShared if Zone is empty.
type MissingSnapshot struct {
	Zone string
	// Covered is the highest offset that a complete snapshot in the log covers.
	Covered uint64
}

// MissingSnapshots returns the shards without a snapshot that covers all
// records before offset first. A reader that starts at first could not derive
// their state. A daemon passes an offset that retention will reach well after
// the snapshots can be appended.
func (s *State) MissingSnapshots(first uint64) []MissingSnapshot {
	if first <= 1 {
		return nil
	}
	var missing []MissingSnapshot
	shared := s.sharedShard()
	if covered, ok := shared.missingSnapshot(first); ok {
		missing = append(missing, MissingSnapshot{Covered: covered})
	}
	for _, z := range s.shards() {
		if covered, ok := z.missingSnapshot(first); ok {
			missing = append(missing, MissingSnapshot{Zone: z.name, Covered: covered})
		}
	}
	return missing
}

// missingSnapshot reports whether a reader that starts at first needs a
// snapshot of the shard, and the highest offset that a snapshot in the log
// covers.
func (s *sharedShard) missingSnapshot(first uint64) (covered uint64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.coveredThrough, s.known && !s.empty() && s.coveredThrough+1 < first
}

// missingSnapshot reports whether a reader that starts at first needs a
// snapshot of the shard, and the highest offset that a snapshot in the log
// covers.
func (z *zoneShard) missingSnapshot(first uint64) (covered uint64, ok bool) {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.coveredThrough, z.known && z.chain.Epoch() != 0 && z.coveredThrough+1 < first
}
