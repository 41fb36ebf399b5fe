package operator

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of a queue. A zero field of a Queue stands for its default.
const (
	DefaultClass          = ClassBatch
	DefaultSpill          = SpillStay
	DefaultDeadline       = 30 * time.Second
	DefaultMaxWaiting     = 1000
	DefaultStartObjective = 10 * time.Second
	DefaultStartTarget    = 0.99
)

// Canonical returns a deep copy of c with defaults filled in and every list
// sorted by name. Two configurations that mean the same have equal canonical
// forms.
func (c *Config) Canonical() *Config {
	out := &Config{
		Zones:  slices.Clone(c.Zones),
		Teams:  slices.Clone(c.Teams),
		Keys:   slices.Clone(c.Keys),
		Queues: slices.Clone(c.Queues),
	}
	for i := range out.Queues {
		out.Queues[i] = out.Queues[i].withDefaults()
	}
	slices.SortStableFunc(out.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Keys, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(out.Queues, func(a, b Queue) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// withDefaults returns a copy of q whose zero fields hold their defaults.
func (q Queue) withDefaults() Queue {
	q.Class = cmp.Or(q.Class, DefaultClass)
	q.Spill = cmp.Or(q.Spill, DefaultSpill)
	q.Deadline = cmp.Or(q.Deadline, DefaultDeadline)
	q.MaxWaiting = cmp.Or(q.MaxWaiting, DefaultMaxWaiting)
	q.StartObjective = cmp.Or(q.StartObjective, DefaultStartObjective)
	q.StartTarget = cmp.Or(q.StartTarget, DefaultStartTarget)
	q.Teams = sortedNames(q.Teams)
	return q
}

// sortedNames returns a sorted copy of names, nil when there are none.
func sortedNames(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	out := slices.Clone(names)
	slices.Sort(out)
	return out
}
