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
// Every record that a daemon appends for the first time is encoded by it; a
// retry appends the same bytes under the same id.
func (s *State) Encode(env *record.Envelope) ([]byte, error) {
	env.Seen = s.Applied()
	return record.Encode(env)
}

// Skipped returns how many records couldn't be decoded.
func (s *State) Skipped() uint64 {
	return s.skipped.Load()
}

// Known reports whether the state of the zone is known, or that which all
// zones share if zoneName is empty. It is false only for a reader that started
// behind the trim and has not found a snapshot.
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

func (s *State) sharedShard() *sharedShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shared
}

// Epoch returns the claim on a zone that is valid at present; ok is false if
// there is none or it isn't known.
func (s *State) Epoch(zoneName string) (claim zone.Claim, ok bool) {
	z, ok := s.lookup(zoneName)
	if !ok {
		return zone.Claim{}, false
	}
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.chain.Current()
}

// Claims returns the valid claims, sorted by zone.
func (s *State) Claims() []zone.Claim {
	var claims []zone.Claim
	for _, z := range s.shards() {
		if claim, ok := s.Epoch(z.name); ok {
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

// Config returns the configuration in force, which callers must not change,
// and its version; nil and 0 before the first.
func (s *State) Config() (cfg *operator.Config, version uint64) {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.register.Parsed(), shared.register.Current().Version
}

// ConfigText returns the text of the configuration in force.
func (s *State) ConfigText() (text string, version uint64) {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	current := shared.register.Current()
	return current.Text, current.Version
}

// ConfigHistory returns the last versions that were in force, the oldest first.
func (s *State) ConfigHistory() []config.Version {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.register.History()
}

// Allotment returns how many tasks of the team the zone may have running.
func (s *State) Allotment(team, zoneName string) int64 {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.book.Balance(team, zoneName)
}

// Allotments returns the team's balance in each zone where it isn't 0.
func (s *State) Allotments(team string) map[string]int64 {
	shared := s.sharedShard()
	shared.mu.RLock()
	defer shared.mu.RUnlock()
	return shared.book.Balances(team)
}

// OpenJobs returns the open jobs of a zone in the order in which they were
// accepted. Callers must not change them.
func (s *State) OpenJobs(zoneName string) []*job.Job {
	z, ok := s.lookup(zoneName)
	if !ok {
		return nil
	}
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.jobs.Open()
}

// Job returns an open or finished job. Callers must not change it.
func (s *State) Job(id string) (j *job.Job, ok bool) {
	return s.findJob(func(store *job.Store) (*job.Job, bool) { return store.Job(id) })
}

// JobByTicket returns the job to which a team gave the ticket. Tickets are
// unique within a zone; of several zones that have it, the first by name
// counts.
func (s *State) JobByTicket(team, ticket string) (j *job.Job, ok bool) {
	return s.findJob(func(store *job.Store) (*job.Job, bool) { return store.ByTicket(team, ticket) })
}

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

// SnapshotZone returns the records that carry the state of a zone past the
// log's retention, to be appended in any order; none if the zone isn't known
// or was never claimed.
func (s *State) SnapshotZone(zoneName string) []*record.Snapshot {
	applied := s.Applied()
	z, ok := s.lookup(zoneName)
	if !ok {
		return nil
	}
	return z.snapshot(applied)
}

// SnapshotShared returns the records that carry the configuration, the claims
// and the allotments past the log's retention.
func (s *State) SnapshotShared() []*record.Snapshot {
	applied := s.Applied()
	return s.sharedShard().snapshot(applied)
}

// MissingSnapshot names state that has to be appended again before retention drops what
// it was derived from: SnapshotZone(Zone), or SnapshotShared if Zone is empty.
type MissingSnapshot struct {
	Zone string
	// Covered is the offset through which a snapshot stands in the log.
	Covered uint64
}

// MissingSnapshots returns the needs that a reader starting at offset first would have:
// the shards of which no whole snapshot covers all records before first. A
// daemon passes an offset that retention will reach well after the snapshots
// can be appended.
func (s *State) MissingSnapshots(first uint64) []MissingSnapshot {
	if first <= 1 {
		return nil
	}
	var needs []MissingSnapshot
	shared := s.sharedShard()
	if covered, ok := shared.need(first); ok {
		needs = append(needs, MissingSnapshot{Covered: covered})
	}
	for _, z := range s.shards() {
		if covered, ok := z.need(first); ok {
			needs = append(needs, MissingSnapshot{Zone: z.name, Covered: covered})
		}
	}
	return needs
}

func (s *sharedShard) need(first uint64) (covered uint64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.covered, s.known && !s.empty() && s.covered+1 < first
}

func (z *zoneShard) need(first uint64) (covered uint64, ok bool) {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.covered, z.known && z.chain.Epoch() != 0 && z.covered+1 < first
}
