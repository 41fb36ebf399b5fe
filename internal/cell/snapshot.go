package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

const (
	// partBytes is the size from which on a builder begins the next record.
	partBytes = 256 << 10
	// itemBytes is what an item adds to its variable-length fields when it
	// is encoded, rounded up.
	itemBytes = 96
)

// builder divides a snapshot into records that fit into the log. The same
// state gives the same records whoever builds it.
type builder struct {
	head  record.Snapshot
	parts []*record.Snapshot
	size  int
}

func newBuilder(head record.Snapshot) *builder {
	return &builder{head: head}
}

// part returns the record that takes the next item of about size bytes.
func (b *builder) part(size int) *record.Snapshot {
	b.size += size + itemBytes
	if len(b.parts) == 0 || b.size > partBytes {
		next := b.head
		b.parts = append(b.parts, &next)
		b.size = size + itemBytes
	}
	return b.parts[len(b.parts)-1]
}

func (b *builder) config(c *record.Config) {
	if c == nil {
		return
	}
	b.part(len(c.Text)).Config = c
}

func (b *builder) claim(c *record.Claim) {
	p := b.part(len(c.Zone) + len(c.Holder) + len(c.Address))
	p.Claims = append(p.Claims, *c)
}

func (b *builder) team(t record.TeamBalance) {
	size := len(t.Team)
	for zone := range t.Balances {
		size += len(zone) + itemBytes
	}
	p := b.part(size)
	p.Teams = append(p.Teams, t)
}

func (b *builder) recent(ids []record.RecentID) {
	for _, r := range ids {
		p := b.part(len(r.ID))
		p.Recent = append(p.Recent, r)
	}
}

func (b *builder) endpoint(id string, added uint64) {
	p := b.part(len(id))
	p.Roster = append(p.Roster, id)
	p.AddedAt = append(p.AddedAt, added)
}

func (b *builder) openJob(j *job.Job) {
	p := b.part(specSize(&j.Spec))
	p.Jobs = append(p.Jobs, j.Spec)
	b.outcomes(j)
}

func (b *builder) finishedJob(j *job.Job) {
	p := b.part(specSize(&j.Spec))
	p.Finished = append(p.Finished, j.Spec)
	b.outcomes(j)
}

func (b *builder) outcomes(j *job.Job) {
	for _, o := range j.Outcomes {
		if o == nil {
			continue
		}
		p := b.part(len(o.Job) + len(o.State) + len(o.Output) + len(o.Reason))
		p.Outcomes = append(p.Outcomes, *o)
	}
}

func specSize(spec *record.Job) int {
	size := len(spec.ID) + len(spec.Team) + len(spec.Queue) + len(spec.Command) + len(spec.Ticket)
	for _, input := range spec.Inputs {
		size += len(input) + itemBytes/8
	}
	return size
}

// finish numbers the parts.
func (b *builder) finish() []*record.Snapshot {
	for i, p := range b.parts {
		p.Part = i
		p.Parts = len(b.parts)
	}
	return b.parts
}
