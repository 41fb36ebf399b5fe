package history

import (
	"cmp"
	"fmt"
	"slices"
)

// limitStep is a change of the number of running tasks that a team is allowed:
// from time at on, at most bound.
type limitStep struct {
	at    int64
	bound int64
}

// WithinLimit checks that the running tasks of a team over the whole fleet never
// exceed its upper limit:
// count(tasks started and not ended) <= max(limits allowed at that time).
// A limit is allowed from its proposal until LimitGrace after its successor was
// accepted.
func WithinLimit(events []Event, _ Options) []Violation {
	byTeam := map[string][]span{}
	for _, s := range runningSpans(events) {
		byTeam[s.start.Team] = append(byTeam[s.start.Team], s)
	}
	var found []Violation
	for team, steps := range limitSteps(events) {
		found = append(found, limitViolations(team, byTeam[team], steps)...)
	}
	return found
}

// limitViolations reports the starts and the changes of the limit at which the
// team has more running tasks than allowed.
func limitViolations(team string, list []span, steps []limitStep) []Violation {
	all := changes(list)
	running := map[string]Event{}
	var found []Violation
	next := 0
	check := func(at, bound int64) {
		if int64(len(running)) <= bound {
			return
		}
		found = append(found, Violation{
			Promise: PromiseLimit,
			Detail:  fmt.Sprintf("team %s: %d tasks running at %d, limit %d", team, len(running), at, bound),
			Events:  sortedStarts(running),
		})
	}
	for i, step := range steps {
		end := int64(forever)
		if i+1 < len(steps) {
			end = steps[i+1].at
		}
		next = applyUntil(all, next, step.at, running, nil)
		check(step.at, step.bound)
		next = applyUntil(all, next, end, running, func(at int64) { check(at, step.bound) })
	}
	return found
}

// applyUntil applies the changes before the time end, and the ends of spans at
// that time, to running, and calls started, if it isn't nil, after each start. It
// returns the index of the next change.
func applyUntil(all []change, next int, end int64, running map[string]Event, started func(at int64)) int {
	for ; next < len(all); next++ {
		c := all[next]
		if c.at > end || c.at == end && c.begin {
			break
		}
		id := fmt.Sprintf("%s %s %s %d", c.span.start.Endpoint, c.span.start.Incarnation, c.span.start.Task, c.span.from)
		if !c.begin {
			delete(running, id)
			continue
		}
		running[id] = c.span.start
		if started != nil {
			started(c.at)
		}
	}
	return next
}

// sortedStarts returns the start events of the running tasks in time order.
func sortedStarts(running map[string]Event) []Event {
	out := make([]Event, 0, len(running))
	for _, e := range running {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.UnixNano, b.UnixNano) })
	return out
}

// limitWindow is one limit and the time during which it is allowed.
type limitWindow struct {
	limit    int64
	from, to int64
}

// limitSteps returns the allowed limit of each team over time.
func limitSteps(events []Event) map[string][]limitStep {
	windows := map[string][]limitWindow{}
	for _, e := range sorted(events) {
		list := windows[e.Team]
		switch e.Kind {
		case LimitProposed:
			windows[e.Team] = append(list, limitWindow{e.Limit, e.UnixNano, forever})
		case LimitRejected:
			windows[e.Team] = dropProposal(list, e)
		case LimitSet:
			windows[e.Team] = acceptLimit(list, e)
		}
	}
	out := map[string][]limitStep{}
	for team, list := range windows {
		out[team] = flattenWindows(list)
	}
	return out
}

// dropProposal removes the proposal that e rejects. It was never in force in a
// daemon.
func dropProposal(list []limitWindow, e Event) []limitWindow {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].limit == e.Limit && list[i].to == forever {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

// acceptLimit makes the limit of e the only allowed one after LimitGrace.
func acceptLimit(list []limitWindow, e Event) []limitWindow {
	from := e.UnixNano
	kept := list[:0]
	for _, w := range list {
		if w.limit == e.Limit && w.to == forever {
			from = min(from, w.from)
			continue
		}
		if w.to == forever {
			w.to = e.UnixNano + int64(LimitGrace)
		}
		kept = append(kept, w)
	}
	return append(kept, limitWindow{e.Limit, from, forever})
}

// flattenWindows returns the largest limit over time of overlapping windows.
func flattenWindows(list []limitWindow) []limitStep {
	var times []int64
	for _, w := range list {
		times = append(times, w.from)
		if w.to != forever {
			times = append(times, w.to)
		}
	}
	slices.Sort(times)
	var out []limitStep
	for _, t := range slices.Compact(times) {
		bound := int64(0)
		for _, w := range list {
			if w.from <= t && t < w.to {
				bound = max(bound, w.limit)
			}
		}
		out = append(out, limitStep{t, bound})
	}
	return out
}
