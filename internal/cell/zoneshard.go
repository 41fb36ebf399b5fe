package cell

import (
	"sync"

	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// zoneShard is the state of one availability zone. It doesn't depend on
// records of other zones, so a snapshot of this zone alone is enough to start
// from.
type zoneShard struct {
	mu   sync.RWMutex
	name string
	// known, appliedThrough and coveredThrough are as in sharedShard.
	known          bool
	appliedThrough uint64
	coveredThrough uint64
	chain          *zone.ClaimChain
	roster         *zone.Roster
	jobs           *job.Store
	recentIDs      *idWindow
	snapshots      snapshotAssembler
}

func newZoneShard(name string, known bool, seenWindow uint64) *zoneShard {
	return &zoneShard{
		name:      name,
		known:     known,
		chain:     zone.NewClaimChain(name),
		roster:    zone.NewRoster(),
		jobs:      job.NewStore(name),
		recentIDs: newIDWindow(seenWindow, nil),
	}
}

// apply applies a record of the zone. It returns the rejected jobs by id. A
// returned error is a *record.Void.
func (z *zoneShard) apply(e *entry) (rejected map[string]error, err error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.known {
		return nil, errStateUnknown()
	}
	z.appliedThrough = e.offset
	if e.envelope.Kind == record.KindClaim {
		return nil, z.chain.Apply(e.offset, e.envelope.Claim)
	}
	if err := z.recentIDs.check(e.offset, e.envelope.Seen, e.id); err != nil {
		return nil, err
	}
	return z.applyHolderRecord(e)
}

// applyHolderRecord applies a record that only the zone's holder may write.
// It is void if its epoch isn't the current one.
func (z *zoneShard) applyHolderRecord(e *entry) (rejected map[string]error, err error) {
	env := e.envelope
	if err := z.chain.CheckEpoch(recordEpoch(env)); err != nil {
		return nil, err
	}
	switch env.Kind {
	case record.KindRoster:
		z.roster.Apply(e.offset, env.Seen, env.Roster)
	case record.KindJobs:
		return z.jobs.Accept(env.Jobs.Jobs), nil
	case record.KindOutcomes:
		z.jobs.Record(env.Outcomes.Outcomes)
	}
	return nil, nil
}

// recordEpoch returns the epoch of a record that only a zone's holder may
// write.
func recordEpoch(env *record.Envelope) uint64 {
	switch env.Kind {
	case record.KindRoster:
		return env.Roster.Epoch
	case record.KindJobs:
		return env.Jobs.Epoch
	case record.KindOutcomes:
		return env.Outcomes.Epoch
	case record.KindReport:
		return env.Report.Epoch
	}
	return 0
}

// snapshot returns the records of a snapshot of the shard. Its Through is
// applied, or a later offset if the shard has applied one.
func (z *zoneShard) snapshot(applied uint64) []*record.Snapshot {
	z.mu.RLock()
	defer z.mu.RUnlock()
	if !z.known || z.chain.Epoch() == 0 {
		return nil
	}
	b := newSnapshotBuilder(record.Snapshot{
		Zone:    z.name,
		Epoch:   z.chain.Epoch(),
		Through: max(applied, z.appliedThrough),
	})
	b.claim(z.chain.Snapshot())
	for _, id := range z.roster.Endpoints() {
		b.endpoint(id, z.roster.AddedAt(id))
	}
	for _, j := range z.jobs.Open() {
		b.openJob(j)
	}
	for _, j := range z.jobs.Finished() {
		b.finishedJob(j)
	}
	b.recent(z.recentIDs.snapshot())
	return b.finish()
}

// install replaces the state with that of a complete snapshot.
func (z *zoneShard) install(snap *record.Snapshot) error {
	if len(snap.Claims) != 1 || snap.Claims[0].Zone != z.name {
		return record.NewVoid(record.VoidInvalid, "the snapshot of zone %q must have exactly one claim, on that zone", z.name)
	}
	roster, err := zone.RestoreRoster(snap.Roster, snap.AddedAt)
	if err != nil {
		return err
	}
	jobs, err := job.Restore(z.name, snap.Jobs, snap.Finished, snap.Outcomes)
	if err != nil {
		return err
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.chain = zone.RestoreClaimChain(&snap.Claims[0])
	z.roster = roster
	z.jobs = jobs
	z.recentIDs = newIDWindow(z.recentIDs.seenWindow, snap.Recent)
	z.appliedThrough = snap.Through
	z.known = true
	return nil
}

// markUnclaimed marks the state as known to be empty, for a zone that was never
// claimed.
func (z *zoneShard) markUnclaimed() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.known = true
}
