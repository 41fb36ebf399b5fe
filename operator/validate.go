package operator

import (
	"fmt"
	"regexp"
	"time"
)

// Limits of the ranges that Validate accepts.
const (
	MaxShare       = 1_000_000
	MaxUpperLimit  = 1_000_000_000
	MaxPriority    = 1000
	MaxRetryBudget = 100
	MaxMaxWaiting  = 1_000_000
	MinDeadline    = time.Millisecond
	MaxDeadline    = 24 * time.Hour
	MaxKeyGrace    = 24 * time.Hour
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// nameRule is the error text for names that don't match namePattern.
const nameRule = "the name is not 1 to 63 lower-case letters, digits, '-' or '_', beginning with a letter or digit"

// Validate returns an Errors that lists every rule that c breaks, or nil. Zero
// fields that stand for a default count as that default.
func Validate(c *Config) error {
	v := &validator{
		config: c.Canonical(),
		teams:  map[string]bool{},
	}
	v.checkZones()
	v.checkTeams()
	v.checkKeys()
	v.checkQueues()
	return v.errs.orNil()
}

// validator collects the errors of one configuration.
type validator struct {
	config *Config
	// teams holds the names of the teams; checkTeams fills it.
	teams map[string]bool
	errs  Errors
}

func (v *validator) addError(kind ErrorKind, section, key, rule, remedy string) {
	v.errs = append(v.errs, &Error{
		Kind:    kind,
		Section: section,
		Key:     key,
		Rule:    rule,
		Remedy:  remedy,
	})
}

// sectionName returns the section header of an entry, without brackets.
func sectionName(kind, name string) string {
	return fmt.Sprintf("%s %q", kind, name)
}

// checkName checks that a name is valid and isn't in seen, the names of the
// earlier entries of its kind, and adds it to seen.
func (v *validator) checkName(kind, name string, seen map[string]bool) {
	section := sectionName(kind, name)
	if !namePattern.MatchString(name) {
		v.addError(KindBadName, section, "", nameRule, "rename it")
	}
	if seen[name] {
		v.addError(KindDuplicate, section, "", "the name is used twice", "rename or remove one of the two")
	}
	seen[name] = true
}

// checkRange checks that lowest <= value <= highest.
func (v *validator) checkRange(section, key string, value, lowest, highest int64) {
	if value >= lowest && value <= highest {
		return
	}
	v.addError(KindRange, section, key,
		fmt.Sprintf("%d is out of range", value),
		fmt.Sprintf("set %d to %d", lowest, highest))
}

// checkDuration checks that lowest <= value <= highest.
func (v *validator) checkDuration(section, key string, value, lowest, highest time.Duration) {
	if value >= lowest && value <= highest {
		return
	}
	v.addError(KindRange, section, key,
		fmt.Sprintf("%s is out of range", value),
		fmt.Sprintf("set %s to %s", lowest, highest))
}

// checkTeam checks that the team that the key of the section refers to exists.
func (v *validator) checkTeam(section, key, team string) {
	if v.teams[team] {
		return
	}
	v.addError(KindUnknownRef, section, key,
		fmt.Sprintf("there is no team %q", team),
		"add the team or set one that exists")
}

func (v *validator) checkZones() {
	if len(v.config.Zones) == 0 {
		v.addError(KindMissing, "", "", "there is no zone", "add at least one zone")
	}
	seen := map[string]bool{}
	for _, z := range v.config.Zones {
		v.checkName(sectionZone, z.Name, seen)
		if !namePattern.MatchString(z.Region) {
			v.addError(KindBadName, sectionName(sectionZone, z.Name), "region",
				fmt.Sprintf("the region %q is not 1 to 63 lower-case letters, digits, '-' or '_'", z.Region),
				"set the region that the zone is in")
		}
	}
}

func (v *validator) checkTeams() {
	for _, t := range v.config.Teams {
		v.checkName(sectionTeam, t.Name, v.teams)
		section := sectionName(sectionTeam, t.Name)
		v.checkRange(section, "share", t.Share, 1, MaxShare)
		v.checkRange(section, "upper_limit", t.UpperLimit, 0, MaxUpperLimit)
	}
}

func (v *validator) checkKeys() {
	seen := map[string]bool{}
	owner := map[string]string{}
	for _, k := range v.config.Keys {
		v.checkName(sectionKey, k.ID, seen)
		section := sectionName(sectionKey, k.ID)
		if k.Team != "" || !k.Operator {
			v.checkTeam(section, "team", k.Team)
		}
		v.checkHash(section, k, owner)
	}
}

// checkHash checks that the hash of k is valid and that no other key has the
// same secret, which would let a withdrawn secret go on working under another
// ID. owner maps the hashes of the earlier keys to their IDs.
func (v *validator) checkHash(section string, k Key, owner map[string]string) {
	if !hashPattern.MatchString(k.SHA256) {
		v.addError(KindBadValue, section, "sha256",
			"the hash is not 64 lower-case hexadecimal digits",
			"generate the key with NewKey or 'bluebellstile key new' and publish its hash, never the secret")
		return
	}
	if other, ok := owner[k.SHA256]; ok {
		v.addError(KindConflict, section, "sha256",
			fmt.Sprintf("key %q has the same secret", other),
			"generate a new key with NewKey or 'bluebellstile key new'")
	}
	owner[k.SHA256] = k.ID
}

func (v *validator) checkQueues() {
	seen := map[string]bool{}
	for i := range v.config.Queues {
		q := &v.config.Queues[i]
		v.checkName(sectionQueue, q.Name, seen)
		section := sectionName(sectionQueue, q.Name)
		v.checkChoices(section, q)
		v.checkQueueTeams(section, q)
		v.checkQueueRanges(section, q)
	}
}

func (v *validator) checkChoices(section string, q *Queue) {
	switch q.Class {
	case ClassUrgent, ClassService, ClassBatch:
	default:
		v.addError(KindBadValue, section, "class", fmt.Sprintf("there is no class %q", q.Class), "set urgent, service or batch")
	}
	switch q.Spill {
	case SpillStay, SpillRegion, SpillAny:
	default:
		v.addError(KindBadValue, section, "spill", fmt.Sprintf("there is no spill policy %q", q.Spill), "set stay, region or any")
	}
}

func (v *validator) checkQueueTeams(section string, q *Queue) {
	seen := map[string]bool{}
	for _, team := range q.Teams {
		v.checkTeam(section, "teams", team)
		if seen[team] {
			v.addError(KindDuplicate, section, "teams", fmt.Sprintf("team %q is listed twice", team), "list it once")
		}
		seen[team] = true
	}
	switch {
	case q.Open && q.OpenTeam == "":
		v.addError(KindMissing, section, "open_team", "the queue is open and no team is charged for its work",
			"set the team that is charged, or close the queue")
	case q.Open:
		v.checkTeam(section, "open_team", q.OpenTeam)
	case q.OpenTeam != "":
		v.addError(KindConflict, section, "open_team", "the queue is not open", "open the queue or leave open_team empty")
	}
}

func (v *validator) checkQueueRanges(section string, q *Queue) {
	v.checkRange(section, "priority", int64(q.Priority), -MaxPriority, MaxPriority)
	v.checkDuration(section, "deadline", q.Deadline, MinDeadline, MaxDeadline)
	v.checkRange(section, "retry_budget", int64(q.RetryBudget), 0, MaxRetryBudget)
	v.checkRange(section, "max_waiting", int64(q.MaxWaiting), 1, MaxMaxWaiting)
	v.checkDuration(section, "key_grace", q.KeyGrace, 0, MaxKeyGrace)
	v.checkDuration(section, "start_objective", q.StartObjective, MinDeadline, MaxDeadline)
	if !(q.StartTarget > 0 && q.StartTarget < 1) {
		v.addError(KindRange, section, "start_target",
			fmt.Sprintf("%v is not between 0 and 1", q.StartTarget),
			"set the fraction of the work that starts in time, such as 0.99")
	}
}
