package team

import (
	"maps"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Allotments records the allotment of each team in each zone: the part of the
// team's upper limit that the zone may use, also called its balance. The state
// depends only on the configurations and transfers in the log, so all readers
// of the same log prefix agree on it. For every team
//
//	sum over zones of balance(zone) + unallotted = upper limit
//
// A new configuration changes the balances as follows.
//
//   - New team: its limit is split evenly over the zones (see split). Draining
//     zones are left out unless all zones drain. While no zone is configured,
//     the whole limit is unallotted.
//   - Raised limit: the difference is split in the same way. No balance
//     decreases.
//   - Lowered limit: the unallotted part is reduced first, then every balance
//     in proportion (see scaleDown). No balance increases.
//   - Removed team: its balances become 0.
//   - New zone: it starts at 0 and gains balance by transfers or raised limits.
//   - Removed zone: it may be partitioned and still run tasks, so its balance
//     stays in the sum, gets no part of a raised limit, and can't receive
//     transfers. Its holder may still transfer it away. If the zone was
//     draining in the configuration before its removal, the operator thereby
//     confirms that nothing runs there any more, and its balance is split over
//     the remaining zones. To release the balance of a zone that was removed
//     without draining, an operator adds it again with drain set and removes
//     it once it is known to be empty.
//
// A lowered limit takes effect in a partitioned zone only when the zone reads
// the configuration; until then it may run up to its earlier balance.
type Allotments struct {
	// zones maps each configured zone to whether it is draining.
	zones map[string]bool
	teams map[string]*allotment
}

// allotment is the division of one team's upper limit over the zones.
type allotment struct {
	limit      int64
	unallotted int64
	balances   map[string]int64
}

// NewAllotments returns allotments without zones and teams.
func NewAllotments() *Allotments {
	return &Allotments{zones: map[string]bool{}, teams: map[string]*allotment{}}
}

// Configure applies a new configuration.
func (s *Allotments) Configure(c *operator.Config) {
	zones := make(map[string]bool, len(c.Zones))
	for _, z := range c.Zones {
		zones[z.Name] = z.Drain
	}
	reclaimable := s.reclaimableZones(zones)
	s.zones = zones
	targets := s.splitTargets()
	limits := make(map[string]int64, len(c.Teams))
	for _, t := range c.Teams {
		limits[t.Name] = t.UpperLimit
	}
	for name := range s.teams {
		if _, ok := limits[name]; !ok {
			delete(s.teams, name)
		}
	}
	for name, limit := range limits {
		a := s.team(name)
		a.release(reclaimable)
		a.setLimit(limit)
		a.distribute(name, targets)
	}
}

// reclaimableZones returns the draining zones that the new configuration
// removes. Their balances can be split over other zones.
func (s *Allotments) reclaimableZones(zones map[string]bool) []string {
	var reclaimable []string
	for name, drains := range s.zones {
		if _, ok := zones[name]; !ok && drains {
			reclaimable = append(reclaimable, name)
		}
	}
	return reclaimable
}

// splitTargets returns the zones that a limit is split over, in sorted order:
// those that aren't draining, or all zones if every one drains.
func (s *Allotments) splitTargets() []string {
	var targets []string
	for name, drains := range s.zones {
		if !drains {
			targets = append(targets, name)
		}
	}
	if len(targets) == 0 {
		return slices.Sorted(maps.Keys(s.zones))
	}
	slices.Sort(targets)
	return targets
}

// team returns the allotment of a team, creating it if necessary.
func (s *Allotments) team(name string) *allotment {
	a, ok := s.teams[name]
	if !ok {
		a = &allotment{balances: map[string]int64{}}
		s.teams[name] = a
	}
	return a
}

// release moves the balances of the given zones to the unallotted part.
func (a *allotment) release(zones []string) {
	for _, zone := range zones {
		a.unallotted += a.balances[zone]
		delete(a.balances, zone)
	}
}

// setLimit changes the limit and adjusts the unallotted part and the balances
// so that they add up to it.
func (a *allotment) setLimit(limit int64) {
	change := limit - a.limit
	a.limit = limit
	if change >= 0 {
		a.unallotted += change
		return
	}
	taken := min(-change, a.unallotted)
	a.unallotted -= taken
	change += taken
	if change == 0 {
		return
	}
	total := limit - change
	scaleDown(a.balances, total, limit)
}

// distribute splits the unallotted part over zones. It does nothing if there
// are none.
func (a *allotment) distribute(team string, zones []string) {
	if a.unallotted == 0 || len(zones) == 0 {
		return
	}
	for zone, share := range split(team, a.unallotted, zones) {
		a.balances[zone] += share
	}
	a.unallotted = 0
}

// Transfer moves part of a team's balance from one zone to another. The caller
// has checked the epoch of t.From and that t.ID is new. A returned error is a
// *record.Void.
func (s *Allotments) Transfer(t *record.Transfer) error {
	if t.Amount <= 0 || t.From == t.To {
		return record.NewVoid(record.VoidInvalid, "invalid transfer of %d from zone %q to zone %q: use two different zones and a positive amount", t.Amount, t.From, t.To)
	}
	if _, ok := s.zones[t.To]; !ok {
		return record.NewVoid(record.VoidInvalid, "zone %q isn't configured and can't receive a transfer; transfer to another zone", t.To)
	}
	a, ok := s.teams[t.Team]
	if !ok {
		return record.NewVoid(record.VoidInvalid, "team %q isn't configured; discard the transfer", t.Team)
	}
	if a.balances[t.From] < t.Amount {
		return record.NewVoid(record.VoidBalance, "zone %q has a balance of %d for team %q, which doesn't cover a transfer of %d; transfer less", t.From, a.balances[t.From], t.Team, t.Amount)
	}
	a.balances[t.From] -= t.Amount
	a.balances[t.To] += t.Amount
	return nil
}

// Balance returns how many tasks of the team the zone may have running.
func (s *Allotments) Balance(team, zone string) int64 {
	a, ok := s.teams[team]
	if !ok {
		return 0
	}
	return a.balances[zone]
}

// Balances returns the team's balance in each zone where it isn't 0.
func (s *Allotments) Balances(team string) map[string]int64 {
	out := map[string]int64{}
	a, ok := s.teams[team]
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

// Limit returns the team's upper limit and the part of it that isn't allotted
// to any zone.
func (s *Allotments) Limit(team string) (limit, unallotted int64) {
	a, ok := s.teams[team]
	if !ok {
		return 0, 0
	}
	return a.limit, a.unallotted
}

// Snapshot returns the balances of all teams, sorted by team name.
func (s *Allotments) Snapshot() []record.TeamBalance {
	teams := make([]record.TeamBalance, 0, len(s.teams))
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		a := s.teams[name]
		teams = append(teams, record.TeamBalance{
			Team:       name,
			Limit:      a.limit,
			Balances:   s.Balances(name),
			Unallotted: a.unallotted,
		})
	}
	return teams
}

// RestoreAllotments restores the allotments from a snapshot. c is the
// configuration in force, nil if there is none. It returns an error if the
// balances of a team don't add up to its limit.
func RestoreAllotments(teams []record.TeamBalance, c *operator.Config) (*Allotments, error) {
	s := NewAllotments()
	if c != nil {
		for _, z := range c.Zones {
			s.zones[z.Name] = z.Drain
		}
	}
	for i := range teams {
		t := &teams[i]
		if err := checkBalances(t); err != nil {
			return nil, err
		}
		a := s.team(t.Team)
		a.limit = t.Limit
		a.unallotted = t.Unallotted
		a.balances = maps.Clone(t.Balances)
		if a.balances == nil {
			a.balances = map[string]int64{}
		}
	}
	return s, nil
}

// checkBalances checks that no balance is negative and that the balances
// and the unallotted part add up to the limit.
func checkBalances(t *record.TeamBalance) error {
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
