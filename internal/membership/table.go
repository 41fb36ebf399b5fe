package membership

import (
	"sort"
	"sync"
	"time"

	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
)

// Member is another daemon as its latest heartbeat described it. LastHeard is the
// time that RecordHeartbeat was given for it, and Applied is the log offset up to which
// the daemon has applied the log.
type Member struct {
	Instance         string
	Incarnation      string
	AvailabilityZone string
	Address          string
	LastHeard        time.Time
	Applied          uint64
	Leaving          bool
}

// holderContact records when a zone's holder was last heard, directly or according
// to another daemon, and the ticket generation that it announced, which is part of
// the tickets that it issues (see ticket.Ticket).
type holderContact struct {
	epoch      uint64
	heard      time.Time
	generation uint64
}

// Table collects what heartbeats say about daemons, holders and the freshness of the
// log. A daemon counts as heard when a heartbeat from it arrives. Table is safe for
// concurrent use.
type Table struct {
	mu            sync.Mutex
	members       map[string]Member
	holders       map[string]holderContact
	allZonesHeard time.Time
	// proofAt and proofOffset are the latest proof of freshness from another
	// daemon: the end of the log at an instant.
	proofAt     time.Time
	proofOffset uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: make(map[string]Member), holders: make(map[string]holderContact)}
}

// Heartbeat contains the fields that heartbeat requests and responses share. Applied
// is the log offset up to which the sender has applied the log. FreshAgeMS and
// FreshOffset are its proof of freshness: the log ended at FreshOffset that long ago.
// AllZonesAgeMS is the age of Table.AllZonesHeard. Ages are in milliseconds before the
// heartbeat was composed; -1 means unknown.
type Heartbeat struct {
	Instance         string
	Incarnation      string
	AvailabilityZone string
	Address          string
	Applied          uint64
	FreshAgeMS       int64
	FreshOffset      uint64
	Leaving          bool
	AllZonesAgeMS    int64
	Claims           []*peerv1.Claim
}

// RecordHeartbeat records a heartbeat that was composed at or after at.
func (t *Table) RecordHeartbeat(b Heartbeat, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordMember(b, at)
	t.recordProof(b, at)
	for _, c := range b.Claims {
		t.recordClaim(c, at)
	}
	if b.AllZonesAgeMS >= 0 {
		t.allZonesHeard = later(t.allZonesHeard, at.Add(-milliseconds(b.AllZonesAgeMS)))
	}
}

// recordMember records what a heartbeat says about its sender, unless a later one
// has been recorded. Within an incarnation the applied offset never decreases.
func (t *Table) recordMember(b Heartbeat, at time.Time) {
	old := t.members[b.Instance]
	if at.Before(old.LastHeard) {
		return
	}
	next := Member{
		Instance:         b.Instance,
		Incarnation:      b.Incarnation,
		AvailabilityZone: b.AvailabilityZone,
		Address:          b.Address,
		LastHeard:        at,
		Applied:          b.Applied,
		Leaving:          b.Leaving,
	}
	if next.Address == "" {
		next.Address = old.Address
	}
	if old.Incarnation == next.Incarnation {
		next.Applied = max(next.Applied, old.Applied)
	}
	t.members[b.Instance] = next
}

// recordProof records a heartbeat's proof of freshness if it is later than the
// known one.
func (t *Table) recordProof(b Heartbeat, at time.Time) {
	if b.FreshAgeMS < 0 {
		return
	}
	proven := at.Add(-milliseconds(b.FreshAgeMS))
	if proven.After(t.proofAt) {
		t.proofAt, t.proofOffset = proven, b.FreshOffset
	}
}

// recordClaim records when a holder was last heard according to a heartbeat. Claims
// under a lower epoch than the known one are ignored.
func (t *Table) recordClaim(c *peerv1.Claim, at time.Time) {
	if c.HeardAgeMs < 0 {
		return
	}
	contact := t.holders[c.AvailabilityZone]
	if c.Epoch < contact.epoch {
		return
	}
	heard := at.Add(-milliseconds(c.HeardAgeMs))
	if c.Epoch > contact.epoch {
		contact = holderContact{epoch: c.Epoch}
	}
	contact.heard = later(contact.heard, heard)
	contact.generation = max(contact.generation, c.Generation)
	t.holders[c.AvailabilityZone] = contact
}

// RecordHolder records that this daemon itself heard a zone's holder at the given
// time.
func (t *Table) RecordHolder(zone string, epoch, generation uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordClaim(&peerv1.Claim{AvailabilityZone: zone, Epoch: epoch, Generation: generation}, at)
}

// Holder returns when the holder of a zone under the given epoch was last heard, and
// the ticket generation that it announced; ok is false if it was never heard.
func (t *Table) Holder(zone string, epoch uint64) (heard time.Time, generation uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	contact := t.holders[zone]
	if contact.epoch != epoch || contact.heard.IsZero() {
		return time.Time{}, 0, false
	}
	return contact.heard, contact.generation, true
}

// HighestEpoch returns the highest epoch under which a zone's holder was heard, 0 if
// none was.
func (t *Table) HighestEpoch(zone string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holders[zone].epoch
}

// RecordAllZonesHeard records that the holders of all other zones were heard at or
// after the given time.
func (t *Table) RecordAllZonesHeard(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allZonesHeard = later(t.allZonesHeard, at)
}

// AllZonesHeard returns the latest time at or after which the zone's holder heard
// the holders of all other zones; zero if it never did.
func (t *Table) AllZonesHeard() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allZonesHeard
}

// LatestProof returns the latest proof of freshness from another daemon: the log
// ended at offset at the given time. Both are zero if there is none.
func (t *Table) LatestProof() (at time.Time, offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proofAt, t.proofOffset
}

// Live returns the members of a zone that were heard within the given duration and
// are not leaving, ordered by id; an empty zone name means every zone.
func (t *Table) Live(zone string, within time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, m := range t.members {
		if zone != "" && m.AvailabilityZone != zone {
			continue
		}
		if m.Leaving || time.Since(m.LastHeard) > within {
			continue
		}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// HighestApplied returns the highest applied offset that any member reported.
func (t *Table) HighestApplied() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := uint64(0)
	for _, m := range t.members {
		highest = max(highest, m.Applied)
	}
	return highest
}

// later returns the later of two instants.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// milliseconds converts a number of milliseconds from the wire protocol.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
