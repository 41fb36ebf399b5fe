package cell

import (
	"sync"

	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// zoneShard is the state of one availability zone. It depends on no record of
// another zone, so that it can start from a snapshot of its own.
type zoneShard struct {
	mu   sync.RWMutex
	name string
	// known, through and covered are as in sharedShard.
	known   bool
	through uint64
	covered uint64
	chain   *zone.ClaimChain
	roster  *zone.Roster
	jobs    *job.Store
	recent  *window
	parts   assembler
}

func newZoneShard(name string, known bool, span uint64) *zoneShard {
	return &zoneShard{
		name:   name,
		known:  known,
		chain:  zone.NewClaimChain(name),
		roster: zone.NewRoster(),
		jobs:   job.NewStore(name),
		recent: newWindow(span, nil),
	}
}

// apply applies a record of the zone and returns which of its jobs have no
// effect; an error is a *record.Void.
func (z *zoneShard) apply(e *entry) (rejected map[string]error, err error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.known {
		return nil, errBaseUnknown()
	}
	z.through = e.offset
	if e.env.Kind == record.KindClaim {
		return nil, z.chain.Apply(e.offset, e.env.Claim)
	}
	if err := z.recent.check(e.offset, e.env.Seen, e.id); err != nil {
		return nil, err
	}
	return z.applyHolder(e)
}

// applyHolder applies a record that only the holder may write.
func (z *zoneShard) applyHolder(e *entry) (rejected map[string]error, err error) {
	env := e.env
	if err := z.chain.CheckEpoch(epochOf(env)); err != nil {
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

// epochOf returns the epoch of a record that only a zone's holder may write.
func epochOf(env *record.Envelope) uint64 {
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

// snapshot returns the shard's state at offset applied or later.
func (z *zoneShard) snapshot(applied uint64) []*record.Snapshot {
	z.mu.RLock()
	defer z.mu.RUnlock()
	if !z.known || z.chain.Epoch() == 0 {
		return nil
	}
	b := newBuilder(record.Snapshot{
		Zone:    z.name,
		Epoch:   z.chain.Epoch(),
		Through: max(applied, z.through),
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
	b.recent(z.recent.snapshot())
	return b.finish()
}

// install replaces the state by that of a complete snapshot.
func (z *zoneShard) install(snap *record.Snapshot) error {
	if len(snap.Claims) != 1 || snap.Claims[0].Zone != z.name {
		return record.NewVoid(record.VoidInvalid, "the snapshot of zone %q lacks its claim", z.name)
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
	z.recent = newWindow(z.recent.span, snap.Recent)
	z.through = snap.Through
	z.known = true
	return nil
}

// begin makes the shard known as that of a zone that nobody has claimed yet.
func (z *zoneShard) begin() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.known = true
}
