package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// rank returns the demands in scheduling order. Jobs that a customer submitted
// beyond its rate come last. Steps that can still meet their objective come
// before those that can't, as they are worth more. After that priority decides, then
// whether the customer is within its share, and then the latest start.
func rank(s *Snapshot) []*Demand {
	ordered := slices.Clone(s.Demands)
	slices.SortStableFunc(ordered, s.compare)
	return ordered
}

// compare returns a negative number if a goes before b.
func (s *Snapshot) compare(a, b *Demand) int {
	return cmp.Or(
		falseFirst(a.Excess, b.Excess),
		falseFirst(s.late(a), s.late(b)),
		cmp.Compare(a.Priority, b.Priority),
		falseFirst(a.OverShare, b.OverShare),
		cmp.Compare(a.LatestStart, b.LatestStart),
		strings.Compare(string(a.Step.Job.ID), string(b.Step.Job.ID)),
		cmp.Compare(a.Step.Occurrence.Index, b.Step.Occurrence.Index),
		cmp.Compare(a.Step.Index, b.Step.Index),
	)
}

// falseFirst compares two booleans and orders false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// late reports whether a step can no longer meet its job's objective.
func (s *Snapshot) late(d *Demand) bool { return s.Now > d.LatestStart }
