package cell

import (
	"fmt"
	"maps"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// oracle is a simple reference implementation of the rules, without any memory
// limit. It is compared with a State that has read the log from offset 1.
type oracle struct {
	seenWindow uint64
	ids        map[string]bool
	version    uint64
	limits     map[string]int64
	zones      map[string]bool
	epochs     map[string]uint64
	holders    map[string]string
	rosters    map[string]map[string]uint64
	outcomes   map[string]map[int]string
	tickets    map[string]bool
	tasks      map[string]int
}

func newOracle(seenWindow uint64) *oracle {
	return &oracle{
		seenWindow: seenWindow, ids: map[string]bool{}, limits: map[string]int64{}, zones: map[string]bool{},
		epochs: map[string]uint64{}, holders: map[string]string{}, rosters: map[string]map[string]uint64{},
		outcomes: map[string]map[int]string{}, tickets: map[string]bool{}, tasks: map[string]int{},
	}
}

// apply applies a record and reports whether it is valid. balance is the
// balance of a transfer's sender before the record.
func (o *oracle) apply(offset uint64, id string, env *record.Envelope, balance int64) bool {
	switch env.Kind {
	case record.KindConfig:
		return o.applyConfig(offset, env.Config)
	case record.KindClaim:
		return o.applyClaim(offset, env.Claim)
	case record.KindSnapshot, record.KindAudit:
		return true
	}
	if offset-env.Seen > o.seenWindow || !o.addID(id) {
		return false
	}
	zoneName, epoch := recordZone(env), recordEpoch(env)
	if env.Kind == record.KindTransfer {
		epoch = env.Transfer.Epoch
		if !o.addID("t" + env.Transfer.ID) {
			return false
		}
	}
	if epoch == 0 || epoch != o.epochs[zoneName] {
		return false
	}
	o.applyHolderRecord(offset, env)
	t := env.Transfer
	return t == nil || (o.zones[t.To] && t.From != t.To && t.Amount > 0 && balance >= t.Amount)
}

// addID remembers an id and reports whether it is new.
func (o *oracle) addID(id string) bool {
	seen := o.ids[id]
	o.ids[id] = true
	return !seen
}

func (o *oracle) applyConfig(offset uint64, c *record.Config) bool {
	parsed, err := operator.Parse(c.Text)
	if err != nil || c.Expected != o.version {
		return false
	}
	o.version = offset
	o.limits = map[string]int64{}
	for _, t := range parsed.Teams {
		o.limits[t.Name] = t.UpperLimit
	}
	o.zones = map[string]bool{}
	for _, z := range parsed.Zones {
		o.zones[z.Name] = true
	}
	return true
}

func (o *oracle) applyClaim(offset uint64, c *record.Claim) bool {
	if c.Base != 0 {
		return c.Holder != "" && c.Base == o.epochs[c.Zone] && c.Holder == o.holders[c.Zone]
	}
	if c.Holder == "" || c.Previous != o.epochs[c.Zone] {
		return false
	}
	o.epochs[c.Zone] = offset
	o.holders[c.Zone] = c.Holder
	return true
}

func (o *oracle) applyHolderRecord(offset uint64, env *record.Envelope) {
	switch env.Kind {
	case record.KindRoster:
		o.applyRoster(offset, env.Seen, env.Roster)
	case record.KindJobs:
		for _, j := range env.Jobs.Jobs {
			o.accept(env.Jobs.Zone, j)
		}
	case record.KindOutcomes:
		for _, out := range env.Outcomes.Outcomes {
			o.addOutcome(env.Outcomes.Zone, out)
		}
	}
}

func (o *oracle) applyRoster(offset, seen uint64, r *record.Roster) {
	if o.rosters[r.Zone] == nil {
		o.rosters[r.Zone] = map[string]uint64{}
	}
	for _, id := range r.Removed {
		if o.rosters[r.Zone][id] <= seen {
			delete(o.rosters[r.Zone], id)
		}
	}
	for _, id := range r.Endpoints {
		o.rosters[r.Zone][id] = offset
	}
}

func (o *oracle) accept(zoneName string, j record.Job) {
	key, ticket := zoneName+"/"+j.ID, zoneName+"/"+j.Team+"/"+j.Ticket
	if o.tasks[key] > 0 || o.tickets[ticket] {
		return
	}
	o.tickets[ticket] = true
	o.tasks[key] = len(j.Inputs)
	o.outcomes[key] = map[int]string{}
}

func (o *oracle) addOutcome(zoneName string, out record.Outcome) {
	key := zoneName + "/" + out.Job
	if out.Index >= o.tasks[key] || o.outcomes[key][out.Index] != "" {
		return
	}
	o.outcomes[key][out.Index] = out.State
}

// compare returns an error if a State that has read the whole log differs.
func (o *oracle) compare(s *State) error {
	if _, version := s.Config(); version != o.version {
		return fmt.Errorf("version %d in force, want %d", version, o.version)
	}
	for name, epoch := range o.epochs {
		if claim, _ := s.Claim(name); claim.Epoch != epoch || claim.Holder != o.holders[name] {
			return fmt.Errorf("zone %s: claim %+v, want epoch %d by %s", name, claim, epoch, o.holders[name])
		}
		if got, want := s.Roster(name), slices.Sorted(maps.Keys(o.rosters[name])); !slices.Equal(got, want) {
			return fmt.Errorf("zone %s: roster %v, want %v", name, got, want)
		}
	}
	for team, limit := range o.limits {
		sum := int64(0)
		for name, balance := range s.Allotments(team) {
			if balance < 0 {
				return fmt.Errorf("balance %d of %s in %s", balance, team, name)
			}
			sum += balance
		}
		if _, unallotted := s.shared.allotments.Limit(team); sum+unallotted != limit {
			return fmt.Errorf("balances of %s add up to %d, want %d", team, sum, limit)
		}
	}
	return o.compareJobs(s)
}

func (o *oracle) compareJobs(s *State) error {
	for key, tasks := range o.tasks {
		zoneName, id := key[:1], key[2:]
		j, ok := s.zones[zoneName].jobs.Job(id)
		if !ok || j.Tasks != tasks || j.Unfinished != tasks-len(o.outcomes[key]) {
			return fmt.Errorf("job %s: %+v, want %d tasks, outcomes %v", key, j, tasks, o.outcomes[key])
		}
		for index, state := range o.outcomes[key] {
			if got, _ := j.Outcome(index); got.State != state {
				return fmt.Errorf("job %s task %d: %q, want %q", key, index, got.State, state)
			}
		}
	}
	return nil
}
