package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// rank orders demands: what a customer submitted beyond its rate goes last;
// what can still meet its objective goes before what can't, as it is worth
// more; then priority and the latest start decide.
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
		cmp.Compare(a.LatestStart, b.LatestStart),
		strings.Compare(string(a.Step.Job.ID), string(b.Step.Job.ID)),
		cmp.Compare(a.Step.Occurrence.Index, b.Step.Occurrence.Index),
		cmp.Compare(a.Step.Index, b.Step.Index),
	)
}

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

// late reports whether a step can't meet its job's objective any more.
func (s *Snapshot) late(d *Demand) bool { return s.Now > d.LatestStart }
