package cell

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

const (
	// maxParts is the maximum number of records of one snapshot.
	maxParts = 1 << 12
	// maxPartialSnapshots is the maximum number of incomplete snapshots of one
	// shard that are kept. The one with the lowest Through is evicted first.
	maxPartialSnapshots = 4
)

// snapshotAssembler assembles the snapshots of one shard from their parts,
// which may be in any order in the log and may be repeated.
type snapshotAssembler struct {
	partial []*partialSnapshot
}

// partialSnapshot is a snapshot of which some parts are missing.
type partialSnapshot struct {
	through uint64
	parts   []*record.Snapshot
	missing int
}

// add adds a part. It returns the complete snapshot with the last missing part.
func (a *snapshotAssembler) add(part *record.Snapshot) (whole *record.Snapshot, complete bool) {
	s := a.findOrCreate(part)
	if s.parts[part.Part] != nil {
		return nil, false
	}
	s.parts[part.Part] = part
	s.missing--
	if s.missing > 0 {
		a.evictOldest()
		return nil, false
	}
	a.partial = slices.DeleteFunc(a.partial, func(other *partialSnapshot) bool { return other == s })
	return mergeParts(s.parts), true
}

// findOrCreate returns the partial snapshot that part belongs to. Different
// writers write identical parts for the same state, so their parts may be
// mixed.
func (a *snapshotAssembler) findOrCreate(part *record.Snapshot) *partialSnapshot {
	for _, s := range a.partial {
		if s.through == part.Through && len(s.parts) == part.Parts {
			return s
		}
	}
	s := &partialSnapshot{
		through: part.Through,
		parts:   make([]*record.Snapshot, part.Parts),
		missing: part.Parts,
	}
	a.partial = append(a.partial, s)
	return s
}

// evictOldest drops the partial snapshot with the lowest Through if there are
// too many.
func (a *snapshotAssembler) evictOldest() {
	if len(a.partial) <= maxPartialSnapshots {
		return
	}
	oldest := a.partial[0]
	for _, s := range a.partial {
		if s.through < oldest.through {
			oldest = s
		}
	}
	a.partial = slices.DeleteFunc(a.partial, func(s *partialSnapshot) bool { return s == oldest })
}

// mergeParts returns the contents of all parts as one snapshot.
func mergeParts(parts []*record.Snapshot) *record.Snapshot {
	whole := &record.Snapshot{
		Zone:    parts[0].Zone,
		Epoch:   parts[0].Epoch,
		Through: parts[0].Through,
	}
	for _, p := range parts {
		whole.Roster = append(whole.Roster, p.Roster...)
		whole.AddedAt = append(whole.AddedAt, p.AddedAt...)
		whole.Jobs = append(whole.Jobs, p.Jobs...)
		whole.Outcomes = append(whole.Outcomes, p.Outcomes...)
		whole.Finished = append(whole.Finished, p.Finished...)
		whole.Recent = append(whole.Recent, p.Recent...)
		whole.Claims = append(whole.Claims, p.Claims...)
		whole.Teams = append(whole.Teams, p.Teams...)
		if p.Config != nil {
			whole.Config = p.Config
		}
	}
	return whole
}

// withoutContents returns the part without its contents, for readers that know
// the shard and only track which snapshots are in the log.
func withoutContents(part *record.Snapshot) *record.Snapshot {
	return &record.Snapshot{
		Zone:    part.Zone,
		Epoch:   part.Epoch,
		Through: part.Through,
		Part:    part.Part,
		Parts:   part.Parts,
	}
}

// validatePart checks the offset range and the part number of a part.
func validatePart(offset uint64, part *record.Snapshot) error {
	if part.Through >= offset {
		return record.NewVoid(record.VoidInvalid, "the snapshot at offset %d claims to cover offset %d; write one from the applied state", offset, part.Through)
	}
	if part.Parts < 1 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return record.NewVoid(record.VoidInvalid, "the snapshot is part %d of %d; use 1 to %d parts", part.Part, part.Parts, maxParts)
	}
	return nil
}
