package scheduler

import (
	"sort"
)

// rank orders demands: what a customer submitted beyond its rate goes last;
// what can still meet its objective goes before what can't, as it is worth
// more; then priority and the latest start decide.
func rank(s *Snapshot) []*Demand {
	ordered := append([]*Demand(nil), s.Demands...)
	sort.SliceStable(ordered, func(i, k int) bool { return s.before(ordered[i], ordered[k]) })
	return ordered
}

func (s *Snapshot) before(a, b *Demand) bool {
	if a.Excess != b.Excess {
		return !a.Excess
	}
	if lateA, lateB := s.late(a), s.late(b); lateA != lateB {
		return !lateA
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	if a.Step.Job.ID != b.Step.Job.ID {
		return a.Step.Job.ID < b.Step.Job.ID
	}
	if a.Step.Occurrence.Index != b.Step.Occurrence.Index {
		return a.Step.Occurrence.Index < b.Step.Occurrence.Index
	}
	return a.Step.Index < b.Step.Index
}

// late reports whether a step can't meet its job's objective any more.
func (s *Snapshot) late(d *Demand) bool { return s.Now > d.LatestStart }
