package history

import (
	"fmt"
	"time"
)

// PlannedStopKeepsRequests checks that the planned stop of a daemon interrupts no
// request, that is, that no request in flight ends with a broken connection,
// "unknown" or the caller's timeout. It covers requests that were sent before or
// during the stop through any daemon, because the stopping daemon may hold the
// zone that serves a request sent through another. A request that was sent before
// the stop must not be refused with one of the StopCodes either; a new one may.
//
// It ignores requests that overlap another fault, or whose ticket was first sent
// before or during one, and requests that their caller ended.
func PlannedStopKeepsRequests(events []Event, opts Options) []Violation {
	ordered := sorted(events)
	stops := plannedStops(ordered)
	faults := faultTimes(ordered)
	sent := map[string]Event{}
	first := map[string]int64{}
	cancelled := map[string]bool{}
	var found []Violation
	for _, e := range ordered {
		switch e.Kind {
		case RequestCancelled:
			cancelled[e.Ticket] = true
		case RequestSent:
			sent[e.Request] = e
			if _, again := first[e.Ticket]; !again {
				first[e.Ticket] = e.UnixNano
			}
		case RequestAnswered:
			request, known := sent[e.Request]
			if !known || endedByCaller(request, e, cancelled) {
				continue
			}
			if overlaps(faults, firstSentAt(request, first), e.UnixNano) {
				continue
			}
			for _, s := range stops {
				if s.covers(request, e) && cutOff(e, opts, request.UnixNano < s.begin.UnixNano) {
					found = append(found, Violation{
						Promise: PromiseStop,
						Detail:  fmt.Sprintf("request %s through %s was cut off (%s %s) by the planned stop of %s", e.Request, request.Daemon, e.Verdict, e.Code, s.begin.Daemon),
						Events:  []Event{s.begin, request, e},
					})
				}
			}
		}
	}
	return found
}

// firstSentAt returns when the ticket of a request was sent for the first time. A
// retry reports the effect of a fault on an earlier sending of its ticket.
func firstSentAt(request Event, first map[string]int64) int64 {
	if request.Ticket == "" {
		return request.UnixNano
	}
	return first[request.Ticket]
}

// Codes of answers to work that its caller ended by a cancellation or a deadline.
const (
	CodeCancelled       = "cancelled"
	CodeDeadlineRunning = "deadline_while_running"
)

// endedByCaller reports whether the answer says that the caller cancelled the
// request or that its deadline passed, and the caller's events confirm it.
func endedByCaller(request, answer Event, cancelled map[string]bool) bool {
	if answer.Code != CodeCancelled && answer.Code != CodeDeadlineRunning {
		return false
	}
	deadline := request.UnixNano + request.DeadlineMS*int64(time.Millisecond)
	passed := request.DeadlineMS > 0 && answer.UnixNano >= deadline
	return passed || answer.Code == CodeCancelled && cancelled[answer.Ticket]
}

// plannedStop is the time from the event begin, of kind DrainStarted, to end.
type plannedStop struct {
	begin Event
	end   int64
}

// covers reports whether the request was in flight during the stop.
func (s plannedStop) covers(request, answer Event) bool {
	return answer.UnixNano >= s.begin.UnixNano && request.UnixNano <= s.end
}

// plannedStops returns the periods from DrainStarted to DaemonDown of the same
// daemon.
func plannedStops(ordered []Event) []plannedStop {
	var out []plannedStop
	for _, e := range ordered {
		switch e.Kind {
		case DrainStarted:
			out = append(out, plannedStop{e, forever})
		case DaemonDown:
			for i := range out {
				if out[i].begin.Daemon == e.Daemon && out[i].end == forever {
					out[i].end = e.UnixNano
				}
			}
		}
	}
	return out
}

// cutOff reports whether an answer shows that its request was interrupted.
// inFlight says that the request was sent before the stop began.
func cutOff(answer Event, opts Options, inFlight bool) bool {
	switch answer.Code {
	case CodeConnectionRefused:
		return false
	case CodeConnectionLost, CodeTimeout:
		return true
	}
	return answer.Verdict == VerdictUnknown || inFlight && opts.StopCodes[answer.Code]
}

// faultTimes returns the intervals of the injected faults. The name of a fault
// and the process that it affects identify it.
func faultTimes(ordered []Event) []interval {
	var out []interval
	open := map[[3]string]int{}
	for _, e := range ordered {
		id := [3]string{e.Fault, e.Endpoint, e.Daemon}
		switch e.Kind {
		case FaultInjected:
			open[id] = len(out)
			out = append(out, interval{e.UnixNano, forever})
		case FaultHealed:
			if i, known := open[id]; known {
				out[i].to = e.UnixNano
			}
		}
	}
	return out
}

func overlaps(list []interval, from, to int64) bool {
	for _, p := range list {
		if p.from <= to && from <= p.to {
			return true
		}
	}
	return false
}
