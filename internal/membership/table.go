package membership

import (
	"sort"
	"sync"
	"time"

	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
)

// Member is what is known of another daemon from its heartbeats.
type Member struct {
	Instance         string
	Incarnation      string
	AvailabilityZone string
	Address          string
	Heard            time.Time
	Applied          uint64
	Leaving          bool
}

// holderSighting is when a zone's holder was last heard, directly or by word
// of another daemon.
type holderSighting struct {
	epoch      uint64
	heard      time.Time
	generation uint64
}

// Table keeps the daemons that were heard. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	members  map[string]Member
	holders  map[string]holderSighting
	allZones time.Time
	// proof is the latest proof of freshness heard from another daemon.
	proofAt     time.Time
	proofOffset uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: make(map[string]Member), holders: make(map[string]holderSighting)}
}

// Heartbeat is the part that heartbeat requests and responses share.
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

// RecordHeartbeat records a beat that was composed no earlier than at.
func (t *Table) RecordHeartbeat(b Heartbeat, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hearMember(b, at)
	t.hearProof(b, at)
	for _, c := range b.Claims {
		t.hearClaim(c, at)
	}
	if b.AllZonesAgeMS >= 0 {
		t.allZones = later(t.allZones, at.Add(-milliseconds(b.AllZonesAgeMS)))
	}
}

// hearMember takes over what a beat says of its sender, unless a later beat has
// been heard. Within an incarnation the applied offset never falls.
func (t *Table) hearMember(b Heartbeat, at time.Time) {
	old := t.members[b.Instance]
	if at.Before(old.Heard) {
		return
	}
	next := Member{
		Instance:         b.Instance,
		Incarnation:      b.Incarnation,
		AvailabilityZone: b.AvailabilityZone,
		Address:          b.Address,
		Heard:            at,
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

// hearProof takes over a proof of freshness that is later than the known one.
func (t *Table) hearProof(b Heartbeat, at time.Time) {
	if b.FreshAgeMS < 0 {
		return
	}
	proven := at.Add(-milliseconds(b.FreshAgeMS))
	if proven.After(t.proofAt) {
		t.proofAt, t.proofOffset = proven, b.FreshOffset
	}
}

// hearClaim records when a holder was heard according to a beat.
func (t *Table) hearClaim(c *peerv1.Claim, at time.Time) {
	if c.HeardAgeMs < 0 {
		return
	}
	s := t.holders[c.AvailabilityZone]
	if c.Epoch < s.epoch {
		return
	}
	heard := at.Add(-milliseconds(c.HeardAgeMs))
	if c.Epoch > s.epoch {
		s = holderSighting{epoch: c.Epoch}
	}
	s.heard = later(s.heard, heard)
	s.generation = max(s.generation, c.Generation)
	t.holders[c.AvailabilityZone] = s
}

// RecordHolder records that this daemon itself heard the holder at the instant.
func (t *Table) RecordHolder(zone string, epoch, generation uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hearClaim(&peerv1.Claim{AvailabilityZone: zone, Epoch: epoch, Generation: generation}, at)
}

// Holder returns when the holder of a zone under the given epoch was last
// heard, and the ticket generation it announced; ok is false if never.
func (t *Table) Holder(zone string, epoch uint64) (heard time.Time, generation uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.holders[zone]
	if s.epoch != epoch || s.heard.IsZero() {
		return time.Time{}, 0, false
	}
	return s.heard, s.generation, true
}

// HighestEpoch is the highest epoch heard of for a zone.
func (t *Table) HighestEpoch(zone string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holders[zone].epoch
}

// SetAllZones records that the holders of all other zones had been heard at
// the instant.
func (t *Table) SetAllZones(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allZones = later(t.allZones, at)
}

// AllZones is the last instant at which the zone's holder had heard all other
// zones; zero if never.
func (t *Table) AllZones() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allZones
}

// Proof is the latest proof of freshness heard, zero if none.
func (t *Table) Proof() (at time.Time, offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proofAt, t.proofOffset
}

// Live returns the members of a zone heard within the bound that are not
// leaving, in order of id; an empty zone name means every zone.
func (t *Table) Live(zone string, within time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, m := range t.members {
		if zone != "" && m.AvailabilityZone != zone {
			continue
		}
		if m.Leaving || time.Since(m.Heard) > within {
			continue
		}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// HighestApplied is the highest log offset that any member reported.
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

// milliseconds converts a wire value.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
