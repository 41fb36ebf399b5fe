package team

import (
	"maps"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Book records how much of each team's upper limit each zone may use. It is a
// fixed function of the configurations and transfers in the log, so that all
// readers of the same prefix agree on it, and for every team
//
//	sum over zones of balance(zone) + unplaced = upper limit
//
// A configuration changes it as follows.
//
//   - New team: its limit is split evenly over the zones (see split), leaving
//     out those that drain unless all do. Unplaced holds the limit while no
//     zone is configured.
//   - Raised limit: the difference is split in the same way; no balance falls.
//   - Lowered limit: unplaced is taken first, then every balance in
//     proportion (see shrink); no balance grows.
//   - Removed team: its balances become 0.
//   - New zone: it starts at 0 and gets its part by transfers or raises.
//   - Removed zone: it may be cut off and still run work, so its balance
//     stays in the sum, gets no part of a raise, and can't be received into.
//     Its holder may still transfer it away. If the configuration before the
//     removal had the zone draining, the removal is the operator's word that
//     nothing runs there any more, and its balance is split over the zones
//     that are left. To release the balance of a zone that was removed
//     without draining, an operator adds it again with drain set, and removes
//     it once it is known to be empty.
//
// A lowering can't reach a zone that is cut off: until it reads the
// configuration, it may run up to its earlier balance.
type Book struct {
	// zones are the configured zones; the value says whether it drains.
	zones map[string]bool
	teams map[string]*allotment
}

// allotment is the division of one team's limit.
type allotment struct {
	limit    int64
	unplaced int64
	balances map[string]int64
}

// NewBook returns a book without zones and teams.
func NewBook() *Book {
	return &Book{zones: map[string]bool{}, teams: map[string]*allotment{}}
}

// Configure applies a configuration that has come into force.
func (b *Book) Configure(c *operator.Config) {
	zones := make(map[string]bool, len(c.Zones))
	for _, z := range c.Zones {
		zones[z.Name] = z.Drain
	}
	gone := b.released(zones)
	b.zones = zones
	targets := b.targets()
	limits := make(map[string]int64, len(c.Teams))
	for _, t := range c.Teams {
		limits[t.Name] = t.UpperLimit
	}
	for name := range b.teams {
		if _, ok := limits[name]; !ok {
			delete(b.teams, name)
		}
	}
	for name, limit := range limits {
		a := b.team(name)
		a.release(gone)
		a.setLimit(limit)
		a.place(name, targets)
	}
}

// released returns the zones whose removal frees their balances.
func (b *Book) released(zones map[string]bool) []string {
	var gone []string
	for name, drains := range b.zones {
		if _, ok := zones[name]; !ok && drains {
			gone = append(gone, name)
		}
	}
	return gone
}

// targets returns the sorted zones that a limit is split over.
func (b *Book) targets() []string {
	var open []string
	for name, drains := range b.zones {
		if !drains {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		return slices.Sorted(maps.Keys(b.zones))
	}
	slices.Sort(open)
	return open
}

func (b *Book) team(name string) *allotment {
	a, ok := b.teams[name]
	if !ok {
		a = &allotment{balances: map[string]int64{}}
		b.teams[name] = a
	}
	return a
}

// release makes the balances of zones that are gone unplaced.
func (a *allotment) release(gone []string) {
	for _, zone := range gone {
		a.unplaced += a.balances[zone]
		delete(a.balances, zone)
	}
}

// setLimit makes the balances and the unplaced part add up to limit.
func (a *allotment) setLimit(limit int64) {
	change := limit - a.limit
	a.limit = limit
	if change >= 0 {
		a.unplaced += change
		return
	}
	taken := min(-change, a.unplaced)
	a.unplaced -= taken
	change += taken
	if change == 0 {
		return
	}
	total := limit - change
	shrink(a.balances, total, limit)
}

// place splits the unplaced part over zones, if there are any.
func (a *allotment) place(team string, zones []string) {
	if a.unplaced == 0 || len(zones) == 0 {
		return
	}
	for zone, share := range split(team, a.unplaced, zones) {
		a.balances[zone] += share
	}
	a.unplaced = 0
}

// Transfer moves part of a balance; the caller has checked the epoch of
// t.From and that t.ID is new. An error is a *record.Void.
func (b *Book) Transfer(t *record.Transfer) error {
	if t.Amount <= 0 || t.From == t.To {
		return record.NewVoid(record.VoidInvalid, "the transfer moves %d from %q to %q; name two zones and an amount above 0", t.Amount, t.From, t.To)
	}
	if _, ok := b.zones[t.To]; !ok {
		return record.NewVoid(record.VoidInvalid, "zone %q isn't configured; transfer to another one", t.To)
	}
	a, ok := b.teams[t.Team]
	if !ok {
		return record.NewVoid(record.VoidInvalid, "team %q isn't configured; drop the transfer", t.Team)
	}
	if a.balances[t.From] < t.Amount {
		return record.NewVoid(record.VoidBalance, "zone %q has %d of team %q and can't give %d; ask for less", t.From, a.balances[t.From], t.Team, t.Amount)
	}
	a.balances[t.From] -= t.Amount
	a.balances[t.To] += t.Amount
	return nil
}

// Balance returns how many tasks of the team the zone may have running.
func (b *Book) Balance(team, zone string) int64 {
	a, ok := b.teams[team]
	if !ok {
		return 0
	}
	return a.balances[zone]
}

// Balances returns the team's balance in each zone where it isn't 0.
func (b *Book) Balances(team string) map[string]int64 {
	out := map[string]int64{}
	a, ok := b.teams[team]
	if !ok {
		return out
	}
	for zone, balance := range a.balances {
		if balance != 0 {
			out[zone] = balance
		}
	}
	return out
}

// Limit returns the team's upper limit and the part of it that no zone has.
func (b *Book) Limit(team string) (limit, unplaced int64) {
	a, ok := b.teams[team]
	if !ok {
		return 0, 0
	}
	return a.limit, a.unplaced
}

// Snapshot returns the book's teams in sorted order.
func (b *Book) Snapshot() []record.TeamBalance {
	teams := make([]record.TeamBalance, 0, len(b.teams))
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		a := b.teams[name]
		teams = append(teams, record.TeamBalance{
			Team:       name,
			Limit:      a.limit,
			Balances:   b.Balances(name),
			Unallotted: a.unplaced,
		})
	}
	return teams
}

// RestoreBook returns the book that a snapshot gives under configuration c,
// which is nil if none was in force. It refuses one whose balances don't add
// up to the limits.
func RestoreBook(teams []record.TeamBalance, c *operator.Config) (*Book, error) {
	b := NewBook()
	if c != nil {
		for _, z := range c.Zones {
			b.zones[z.Name] = z.Drain
		}
	}
	for i := range teams {
		t := &teams[i]
		if err := checkSum(t); err != nil {
			return nil, err
		}
		a := b.team(t.Team)
		a.limit = t.Limit
		a.unplaced = t.Unallotted
		a.balances = maps.Clone(t.Balances)
		if a.balances == nil {
			a.balances = map[string]int64{}
		}
	}
	return b, nil
}

// checkSum checks that no balance is negative and that all add up.
func checkSum(t *record.TeamBalance) error {
	left := t.Limit - t.Unallotted
	valid := t.Unallotted >= 0 && left >= 0
	for _, balance := range t.Balances {
		valid = valid && balance >= 0 && balance <= left
		left -= balance
	}
	if !valid || left != 0 {
		return record.NewVoid(record.VoidInvalid, "the balances of team %q in a snapshot don't add up to its limit of %d", t.Team, t.Limit)
	}
	return nil
}
