package history

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// span is the time during which one attempt occupied an endpoint, by the
// endpoint's own events. An attempt that never ended runs until forever.
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

// spans returns the attempts in order of their starts. An endpoint that went
// down, or came up as another incarnation, ends its tasks.
func spans(events []Event) []span {
	b := spanBuilder{open: map[string][]int{}}
	for _, e := range sorted(events) {
		b.apply(e)
	}
	return b.spans
}

type spanBuilder struct {
	spans []span
	// open holds the indexes of the running spans by endpoint.
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

// end closes the spans of e's endpoint for which match holds.
func (b *spanBuilder) end(e Event, match func(span) bool) {
	var left []int
	for _, i := range b.open[e.Endpoint] {
		if !match(b.spans[i]) {
			left = append(left, i)
			continue
		}
		b.spans[i].to = e.UnixNano
		b.spans[i].state = e.State
	}
	b.open[e.Endpoint] = left
}

// sameIncarnation reports whether e concerns the incarnation that wrote
// start. Whoever kills an endpoint may not know its incarnation.
func sameIncarnation(start, e Event) bool {
	return e.Incarnation == "" || start.Incarnation == e.Incarnation
}

// runningSpans returns the spans without the time in which their endpoint was
// paused for good: a task that its endpoint stopped within ResumeGrace after
// a pause, or that was killed in it, has not run since the pause began. A
// task that goes on after a pause counts as running throughout.
func runningSpans(events []Event) []span {
	out := spans(events)
	pauses := endpointPauses(events)
	for i := range out {
		for _, p := range pauses[out[i].start.Endpoint] {
			out[i].trim(p)
		}
	}
	return out
}

type pause struct{ from, to int64 }

func (s *span) trim(p pause) {
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
func endpointPauses(events []Event) map[string][]pause {
	out := map[string][]pause{}
	for _, e := range sorted(events) {
		if e.Endpoint == "" || e.Fault != FaultPause {
			continue
		}
		list := out[e.Endpoint]
		switch e.Kind {
		case FaultInjected:
			out[e.Endpoint] = append(list, pause{e.UnixNano, forever})
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

// changes returns starts and ends in time order. Ends come before starts of
// the same moment: an endpoint frees what the next task takes.
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
		return boolRank(a) - boolRank(b)
	})
	return out
}

// boolRank orders the changes of one moment. A span of no length must still
// begin before it ends.
func boolRank(c change) int {
	switch {
	case c.span.from == c.span.to:
		return 1
	case c.begin:
		return 2
	}
	return 0
}

// jobOf returns the job of a work of the form "job/index", or "".
func jobOf(work string) string {
	i := strings.LastIndexByte(work, '/')
	if i < 0 {
		return ""
	}
	return work[:i]
}
