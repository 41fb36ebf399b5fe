package cell

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

const (
	// maxParts bounds the records of one snapshot.
	maxParts = 1 << 12
	// maxAssemblies bounds the incomplete snapshots of one shard that are
	// kept. Those through the lowest offsets are dropped first.
	maxAssemblies = 4
)

// assembler puts the parts of one shard's snapshots together, whatever their
// order in the log and however often each stands there.
type assembler struct {
	open []*assembly
}

// assembly is a snapshot that lacks some of its parts.
type assembly struct {
	through uint64
	parts   []*record.Snapshot
	missing int
}

// add adds a part and returns the whole snapshot once no part is missing.
func (a *assembler) add(part *record.Snapshot) (whole *record.Snapshot, complete bool) {
	s := a.find(part)
	if s.parts[part.Part] != nil {
		return nil, false
	}
	s.parts[part.Part] = part
	s.missing--
	if s.missing > 0 {
		a.bound()
		return nil, false
	}
	a.open = slices.DeleteFunc(a.open, func(other *assembly) bool { return other == s })
	return join(s.parts), true
}

// find returns the assembly that part belongs to. Two writers of the same
// state write the same parts.
func (a *assembler) find(part *record.Snapshot) *assembly {
	for _, s := range a.open {
		if s.through == part.Through && len(s.parts) == part.Parts {
			return s
		}
	}
	s := &assembly{
		through: part.Through,
		parts:   make([]*record.Snapshot, part.Parts),
		missing: part.Parts,
	}
	a.open = append(a.open, s)
	return s
}

func (a *assembler) bound() {
	if len(a.open) <= maxAssemblies {
		return
	}
	oldest := a.open[0]
	for _, s := range a.open {
		if s.through < oldest.through {
			oldest = s
		}
	}
	a.open = slices.DeleteFunc(a.open, func(s *assembly) bool { return s == oldest })
}

// join returns the contents of all parts as one snapshot.
func join(parts []*record.Snapshot) *record.Snapshot {
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

// stripped returns the part without its contents, for readers that need to
// know only that it stands in the log.
func stripped(part *record.Snapshot) *record.Snapshot {
	return &record.Snapshot{
		Zone:    part.Zone,
		Epoch:   part.Epoch,
		Through: part.Through,
		Part:    part.Part,
		Parts:   part.Parts,
	}
}

// checkPart checks what a part says of itself.
func checkPart(offset uint64, part *record.Snapshot) error {
	if part.Through >= offset {
		return record.NewVoid(record.VoidInvalid, "the snapshot at offset %d claims to cover offset %d; write one from the applied state", offset, part.Through)
	}
	if part.Parts < 1 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return record.NewVoid(record.VoidInvalid, "the snapshot is part %d of %d; use 1 to %d parts", part.Part, part.Parts, maxParts)
	}
	return nil
}
