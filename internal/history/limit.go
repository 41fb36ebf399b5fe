package history

import (
	"cmp"
	"fmt"
	"slices"
)

// limitStep is a change of the largest number of running tasks that a team
// is allowed from a moment on.
type limitStep struct {
	at    int64
	bound int64
}

// WithinLimit checks that a team's running tasks over the whole fleet never
// exceed its upper limit:
// count(tasks started and not ended) <= max(limits allowed at that moment).
// A raised limit is allowed from its proposal, a replaced one until
// LimitGrace after its successor was accepted.
func WithinLimit(events []Event, _ Options) []Violation {
	byTeam := map[string][]span{}
	for _, s := range runningSpans(events) {
		byTeam[s.start.Team] = append(byTeam[s.start.Team], s)
	}
	var found []Violation
	for team, steps := range limitSteps(events) {
		found = append(found, overLimit(team, byTeam[team], steps)...)
	}
	return found
}

// overLimit reports the moments at which team has more running than allowed:
// at a start and at a change of the limit.
func overLimit(team string, list []span, steps []limitStep) []Violation {
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
			Events:  startsOf(running),
		})
	}
	for i, step := range steps {
		end := int64(forever)
		if i+1 < len(steps) {
			end = steps[i+1].at
		}
		next = runUntil(all, next, step.at, running, nil)
		check(step.at, step.bound)
		next = runUntil(all, next, end, running, func(at int64) { check(at, step.bound) })
	}
	return found
}

// runUntil applies the changes before the moment end, and the ends at it, and
// calls started after each start.
func runUntil(all []change, next int, end int64, running map[string]Event, started func(at int64)) int {
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

func startsOf(running map[string]Event) []Event {
	out := make([]Event, 0, len(running))
	for _, e := range running {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.UnixNano, b.UnixNano) })
	return out
}

// allowed is one limit and the time in which it may be used.
type allowed struct {
	limit    int64
	from, to int64
}

// limitSteps returns the bound of each team over time.
func limitSteps(events []Event) map[string][]limitStep {
	windows := map[string][]allowed{}
	for _, e := range sorted(events) {
		list := windows[e.Team]
		switch e.Kind {
		case LimitProposed:
			windows[e.Team] = append(list, allowed{e.Limit, e.UnixNano, forever})
		case LimitRejected:
			windows[e.Team] = reject(list, e)
		case LimitSet:
			windows[e.Team] = accept(list, e)
		}
	}
	out := map[string][]limitStep{}
	for team, list := range windows {
		out[team] = steps(list)
	}
	return out
}

// reject ends the proposal that e names. Daemons never had it in force.
func reject(list []allowed, e Event) []allowed {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].limit == e.Limit && list[i].to == forever {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

// accept makes e's limit the only one after the grace.
func accept(list []allowed, e Event) []allowed {
	from := e.UnixNano
	kept := list[:0]
	for _, a := range list {
		if a.limit == e.Limit && a.to == forever {
			from = min(from, a.from)
			continue
		}
		if a.to == forever {
			a.to = e.UnixNano + int64(LimitGrace)
		}
		kept = append(kept, a)
	}
	return append(kept, allowed{e.Limit, from, forever})
}

// steps flattens overlapping windows into the largest limit over time.
func steps(list []allowed) []limitStep {
	var at []int64
	for _, a := range list {
		at = append(at, a.from)
		if a.to != forever {
			at = append(at, a.to)
		}
	}
	slices.Sort(at)
	var out []limitStep
	for _, t := range slices.Compact(at) {
		bound := int64(0)
		for _, a := range list {
			if a.from <= t && t < a.to {
				bound = max(bound, a.limit)
			}
		}
		out = append(out, limitStep{t, bound})
	}
	return out
}
