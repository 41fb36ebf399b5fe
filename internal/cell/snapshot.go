package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

const (
	// targetPartBytes is the maximum estimated size of a part, unless a single
	// item is larger.
	targetPartBytes = 256 << 10
	// itemOverheadBytes is the encoded size of an item without its
	// variable-length fields, rounded up.
	itemOverheadBytes = 96
)

// snapshotBuilder divides a snapshot into parts, each of which fits into a
// record. Equal states give equal parts, whichever daemon builds them.
type snapshotBuilder struct {
	header record.Snapshot
	parts  []*record.Snapshot
	size   int
}

func newSnapshotBuilder(header record.Snapshot) *snapshotBuilder {
	return &snapshotBuilder{header: header}
}

// partFor returns the part to add the next item of about size bytes to.
func (b *snapshotBuilder) partFor(size int) *record.Snapshot {
	b.size += size + itemOverheadBytes
	if len(b.parts) == 0 || b.size > targetPartBytes {
		next := b.header
		b.parts = append(b.parts, &next)
		b.size = size + itemOverheadBytes
	}
	return b.parts[len(b.parts)-1]
}

func (b *snapshotBuilder) config(c *record.Config) {
	if c == nil {
		return
	}
	b.partFor(len(c.Text)).Config = c
}

func (b *snapshotBuilder) claim(c *record.Claim) {
	p := b.partFor(len(c.Zone) + len(c.Holder) + len(c.Address))
	p.Claims = append(p.Claims, *c)
}

func (b *snapshotBuilder) team(t record.TeamBalance) {
	size := len(t.Team)
	for zone := range t.Balances {
		size += len(zone) + itemOverheadBytes
	}
	p := b.partFor(size)
	p.Teams = append(p.Teams, t)
}

func (b *snapshotBuilder) recent(ids []record.RecentID) {
	for _, r := range ids {
		p := b.partFor(len(r.ID))
		p.Recent = append(p.Recent, r)
	}
}

func (b *snapshotBuilder) endpoint(id string, added uint64) {
	p := b.partFor(len(id))
	p.Roster = append(p.Roster, id)
	p.AddedAt = append(p.AddedAt, added)
}

func (b *snapshotBuilder) openJob(j *job.Job) {
	p := b.partFor(specSize(&j.Spec))
	p.Jobs = append(p.Jobs, j.Spec)
	b.outcomes(j)
}

func (b *snapshotBuilder) finishedJob(j *job.Job) {
	p := b.partFor(specSize(&j.Spec))
	p.Finished = append(p.Finished, j.Spec)
	b.outcomes(j)
}

func (b *snapshotBuilder) outcomes(j *job.Job) {
	for _, o := range j.Outcomes {
		if o == nil {
			continue
		}
		p := b.partFor(len(o.Job) + len(o.State) + len(o.Output) + len(o.Reason))
		p.Outcomes = append(p.Outcomes, *o)
	}
}

// specSize returns the approximate encoded size of a job without
// itemOverheadBytes.
func specSize(spec *record.Job) int {
	size := len(spec.ID) + len(spec.Team) + len(spec.Queue) + len(spec.Command) + len(spec.Ticket)
	for _, input := range spec.Inputs {
		size += len(input) + itemOverheadBytes/8
	}
	return size
}

// finish numbers the parts and returns them.
func (b *snapshotBuilder) finish() []*record.Snapshot {
	for i, p := range b.parts {
		p.Part = i
		p.Parts = len(b.parts)
	}
	return b.parts
}
