package history

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// span is the time during which one attempt occupied an endpoint, according to
// the endpoint's events. An attempt without an end lasts until forever.
type span struct {
	start Event
	from  int64
	to    int64
	state string
}

const forever = math.MaxInt64

// sorted returns the events in time order; events of equal time keep the
// order in which they were recorded.
func sorted(events []Event) []Event {
	out := slices.Clone(events)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Compare(a.UnixNano, b.UnixNano)
	})
	return out
}

// spans returns the attempts in the order of their starts. The attempts on an
// endpoint end when it goes down or comes up as another incarnation.
func spans(events []Event) []span {
	b := spanBuilder{open: map[string][]int{}}
	for _, e := range sorted(events) {
		b.apply(e)
	}
	return b.spans
}

// spanBuilder builds spans from events in time order.
type spanBuilder struct {
	spans []span
	// open holds the indexes in spans of the running attempts by endpoint.
	open map[string][]int
}

func (b *spanBuilder) apply(e Event) {
	switch e.Kind {
	case TaskStarted:
		b.open[e.Endpoint] = append(b.open[e.Endpoint], len(b.spans))
		b.spans = append(b.spans, span{start: e, from: e.UnixNano, to: forever})
	case TaskEnded:
		b.end(e, func(s span) bool {
			return s.start.Task == e.Task && sameIncarnation(s.start, e)
		})
	case EndpointDown:
		b.end(e, func(s span) bool { return sameIncarnation(s.start, e) })
	case EndpointUp:
		b.end(e, func(s span) bool { return s.start.Incarnation != e.Incarnation })
	}
}

// end ends the spans of e's endpoint for which match returns true.
func (b *spanBuilder) end(e Event, match func(span) bool) {
	var remaining []int
	for _, i := range b.open[e.Endpoint] {
		if !match(b.spans[i]) {
			remaining = append(remaining, i)
			continue
		}
		b.spans[i].to = e.UnixNano
		b.spans[i].state = e.State
	}
	b.open[e.Endpoint] = remaining
}

// sameIncarnation reports whether e concerns the incarnation that wrote start. An
// event without an incarnation concerns every one, since the process that kills
// an endpoint may not know its incarnation.
func sameIncarnation(start, e Event) bool {
	return e.Incarnation == "" || start.Incarnation == e.Incarnation
}

// runningSpans returns the spans, cut at the start of a pause of the endpoint from
// which the task did not resume: a task that its endpoint stopped within
// ResumeGrace after the pause, or that was killed during it, has not run since the
// pause began. A task that continues after a pause counts as running throughout.
func runningSpans(events []Event) []span {
	out := spans(events)
	pauses := endpointPauses(events)
	for i := range out {
		for _, p := range pauses[out[i].start.Endpoint] {
			out[i].trimPause(p)
		}
	}
	return out
}

// interval is a period of a fault, in Unix nanoseconds.
type interval struct{ from, to int64 }

// trimPause ends the span at the start of the pause if the task did not resume
// after it.
func (s *span) trimPause(p interval) {
	if s.from > p.from || s.to < p.from || s.to == forever {
		return
	}
	killed := s.state == "" && s.to <= p.to
	lapsed := s.state == "stopped" && s.to >= p.from && (p.to == forever || s.to <= p.to+int64(ResumeGrace))
	if killed || lapsed {
		s.to = p.from
	}
}

// endpointPauses returns the pauses by endpoint in time order.
func endpointPauses(events []Event) map[string][]interval {
	out := map[string][]interval{}
	for _, e := range sorted(events) {
		if e.Endpoint == "" || e.Fault != FaultPause {
			continue
		}
		list := out[e.Endpoint]
		switch e.Kind {
		case FaultInjected:
			out[e.Endpoint] = append(list, interval{e.UnixNano, forever})
		case FaultHealed:
			if len(list) > 0 {
				list[len(list)-1].to = e.UnixNano
			}
		}
	}
	return out
}

// change is a start or an end of a span.
type change struct {
	at    int64
	begin bool
	span  span
}

// changes returns the starts and ends in time order. Ends come before starts of
// the same time, because the next task may use the resources that they free.
func changes(list []span) []change {
	var out []change
	for _, s := range list {
		out = append(out, change{s.from, true, s})
		if s.to != forever {
			out = append(out, change{s.to, false, s})
		}
	}
	slices.SortStableFunc(out, func(a, b change) int {
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return changeRank(a) - changeRank(b)
	})
	return out
}

// changeRank orders the changes of the same time: ends before starts. The start
// of an empty span must still come before its end, so both have the same rank and
// keep their order.
func changeRank(c change) int {
	switch {
	case c.span.from == c.span.to:
		return 1
	case c.begin:
		return 2
	}
	return 0
}

// jobOf returns the job of work of the form "job/index", or "" for other work.
func jobOf(work string) string {
	i := strings.LastIndexByte(work, '/')
	if i < 0 {
		return ""
	}
	return work[:i]
}
