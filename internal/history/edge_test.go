package history

import (
	"testing"
	"time"
)

func started(when time.Duration, endpoint, work, task string) Event {
	return Event{UnixNano: at(when), Kind: TaskStarted, Endpoint: endpoint, Incarnation: "1", Work: work, Task: task, Team: "ink", Slots: 1}
}

func ended(when time.Duration, task, state string) Event {
	return Event{UnixNano: at(when), Kind: TaskEnded, Endpoint: "w1", Incarnation: "1", Task: task, State: state}
}

func up(when time.Duration, endpoint string, slots int64) Event {
	return Event{UnixNano: at(when), Kind: EndpointUp, Endpoint: endpoint, Incarnation: "1", Slots: slots}
}

func paused(when time.Duration, kind Kind) Event {
	return Event{UnixNano: at(when), Kind: kind, Endpoint: "w1", Fault: FaultPause}
}

func limit(when time.Duration, kind Kind, bound int64) Event {
	return Event{UnixNano: at(when), Kind: kind, Team: "ink", Limit: bound}
}

func sent(when time.Duration, request string) Event {
	return Event{UnixNano: at(when), Kind: RequestSent, Request: request, Ticket: "t1", Daemon: "d1", Queue: "labels", Key: "k1"}
}

func answered(when time.Duration, request, verdict, code string) Event {
	return Event{UnixNano: at(when), Kind: RequestAnswered, Request: request, Ticket: "t1", Verdict: verdict, Code: code}
}

func key(when time.Duration, kind Kind) Event {
	return Event{UnixNano: at(when), Kind: kind, Key: "k1", Team: "ink"}
}

func ticketStarted(when time.Duration) Event {
	e := started(when, "w1", "t1", "t1.1")
	e.Ticket = "t1"
	return e
}

func published(when time.Duration, version, expected uint64) Event {
	return Event{UnixNano: at(when), Kind: ConfigPublished, Version: version, Expected: expected}
}

func observed(when time.Duration, version uint64, state string) Event {
	return Event{UnixNano: at(when), Kind: ConfigObserved, Daemon: "d1", Version: version, State: state}
}

var edgeCases = []struct {
	name   string
	check  func([]Event, Options) []Violation
	events []Event
	want   int
}{
	{"end frees a slot for a start at the same moment", NotOvercommitted, []Event{
		up(0, "w1", 1), started(s, "w1", "a", "a.1"), started(2*s, "w1", "b", "b.1"), ended(2*s, "a.1", "done"),
	}, 0},
	{"one slot too many", NotOvercommitted, []Event{
		up(0, "w1", 1), started(s, "w1", "a", "a.1"), started(2*s, "w1", "b", "b.1"), ended(2*s+1, "a.1", "done"),
	}, 1},
	{"endpoint without a recorded capacity", NotOvercommitted, []Event{started(s, "w1", "a", "a.1")}, 1},
	{"restart ends the old incarnation's tasks", NoOverlappingAttempts, []Event{
		started(s, "w1", "a", "a.1"),
		{UnixNano: at(2 * s), Kind: EndpointUp, Endpoint: "w1", Incarnation: "2"},
		started(3*s, "w2", "a", "a.2"),
	}, 0},
	{"same attempt delivered twice", NoOverlappingAttempts, []Event{
		started(s, "w1", "a", "a.1"), started(2*s, "w1", "a", "a.1"),
	}, 1},
	{"lease expired during a pause", NoOverlappingAttempts, []Event{
		started(s, "w1", "a", "a.1"), paused(2*s, FaultInjected), started(9*s, "w2", "a", "a.2"),
		paused(12*s, FaultHealed), ended(12*s+100*ms, "a.1", "stopped"),
	}, 0},
	{"task continues after a pause", NoOverlappingAttempts, []Event{
		started(s, "w1", "a", "a.1"), paused(2*s, FaultInjected), started(9*s, "w2", "a", "a.2"),
		paused(12*s, FaultHealed), ended(13*s, "a.1", "stopped"),
	}, 1},
	{"task finishes after a pause", NoOverlappingAttempts, []Event{
		started(s, "w1", "a", "a.1"), paused(2*s, FaultInjected), started(9*s, "w2", "a", "a.2"),
		paused(12*s, FaultHealed), ended(12*s+1*ms, "a.1", "done"),
	}, 1},
	{"started elsewhere before the pause", NoOverlappingAttempts, []Event{
		started(s, "w1", "a", "a.1"), started(2*s, "w2", "a", "a.2"), paused(3*s, FaultInjected),
		{UnixNano: at(4 * s), Kind: EndpointDown, Endpoint: "w1"},
	}, 1},
	{"raised limit is allowed from its proposal", WithinLimit, []Event{
		limit(0, LimitSet, 1), started(s, "w1", "a", "a.1"), limit(2*s, LimitProposed, 2), started(3*s, "w1", "b", "b.1"), limit(4*s, LimitSet, 2),
	}, 0},
	{"rejected raise is not allowed", WithinLimit, []Event{
		limit(0, LimitSet, 1), started(s, "w1", "a", "a.1"), limit(2*s, LimitProposed, 2), started(3*s, "w1", "b", "b.1"), limit(4*s, LimitRejected, 2),
	}, 1},
	{"lowered limit within the grace", WithinLimit, []Event{
		limit(0, LimitSet, 2), started(s, "w1", "a", "a.1"), started(s, "w1", "b", "b.1"), limit(2*s, LimitSet, 1), ended(2*s+LimitGrace, "b.1", "stopped"),
	}, 0},
	{"lowered limit past the grace", WithinLimit, []Event{
		limit(0, LimitSet, 2), started(s, "w1", "a", "a.1"), started(s, "w1", "b", "b.1"), limit(2*s, LimitSet, 1), ended(2*s+LimitGrace+1, "b.1", "stopped"),
	}, 1},
	{"start between the proposal and the setting of a lower limit", WithinLimit, []Event{
		limit(0, LimitSet, 2), started(s, "w1", "a", "a.1"), limit(2*s, LimitProposed, 1), started(3*s, "w1", "b", "b.1"), limit(4*s, LimitSet, 1), ended(9*s, "b.1", "stopped"),
	}, 0},
	{"not run, sent again and run", NotRunNeverStarts, []Event{
		sent(0, "r1"), answered(s, "r1", VerdictNotRun, "overloaded"), sent(2*s, "r2"), ticketStarted(3 * s),
	}, 0},
	{"not run while the other attempt runs later", NotRunNeverStarts, []Event{
		sent(0, "r1"), sent(s, "r2"), answered(2*s, "r2", VerdictNotRun, "no_holder"), ticketStarted(3 * s),
	}, 1},
	{"not run although the first attempt ran", NotRunNeverStarts, []Event{
		sent(0, "r1"), ticketStarted(s), sent(2*s, "r2"), answered(3*s, "r2", VerdictNotRun, "overloaded"),
	}, 1},
	{"retry marked idempotent does not make the work idempotent", AtMostOnce, []Event{
		sent(0, "r1"), {UnixNano: at(s), Kind: RequestSent, Request: "r2", Ticket: "t1", Idempotent: true},
		ticketStarted(2 * s), ticketStarted(3 * s),
	}, 1},
	{"request sent within the bound", KeysHonored, []Event{
		key(0, KeyGranted), key(s, KeyWithdrawn), sent(s+KeyBound, "r1"), ticketStarted(s + KeyBound), answered(9*s, "r1", VerdictDone, ""),
	}, 0},
	{"request started past the bound", KeysHonored, []Event{
		key(0, KeyGranted), key(s, KeyWithdrawn), sent(2*s, "r1"), ticketStarted(s + KeyBound + 1),
	}, 1},
	{"accepted job continues past the bound", KeysHonored, []Event{
		key(0, KeyGranted), sent(s, "r1"), {UnixNano: at(s), Kind: JobAccepted, Request: "r1", Job: "j", Ticket: "t1"},
		key(2*s, KeyWithdrawn), started(20*s, "w1", "j/0", "j/0.1"),
	}, 0},
	{"key granted again", KeysHonored, []Event{
		key(0, KeyGranted), key(s, KeyWithdrawn), key(9*s, KeyGranted), sent(10*s, "r1"), ticketStarted(11 * s), answered(12*s, "r1", VerdictDone, ""),
	}, 0},
	{"key that was never granted", KeysHonored, []Event{
		sent(0, "r1"), answered(s, "r1", VerdictDone, ""),
	}, 1},
	{"second answer to one sending", AnswersCorrect, []Event{
		sent(0, "r1"), answered(s, "r1", VerdictUnknown, ""), answered(2*s, "r1", VerdictDone, ""),
	}, 1},
	{"stale start refused by the fence", NoWorkWhileLeaving, []Event{
		{UnixNano: at(0), Kind: EndpointLeaving, Endpoint: "w1", Incarnation: "1"},
		{UnixNano: at(9 * s), Kind: TaskRefused, Endpoint: "w1", Incarnation: "1", Code: RefusedFenced},
	}, 0},
	{"offer to a leaving endpoint", NoWorkWhileLeaving, []Event{
		{UnixNano: at(0), Kind: EndpointLeaving, Endpoint: "w1", Incarnation: "1"},
		{UnixNano: at(9 * s), Kind: TaskRefused, Endpoint: "w1", Incarnation: "1", Code: "leaving"},
	}, 1},
	{"request through another daemon interrupted by the stop", PlannedStopKeepsRequests, []Event{
		sent(0, "r1"), {UnixNano: at(s), Kind: DrainStarted, Daemon: "d2"}, answered(2*s, "r1", VerdictUnknown, "holder_lost"),
	}, 1},
	{"request in flight refused by the stop", PlannedStopKeepsRequests, []Event{
		sent(0, "r1"), {UnixNano: at(s), Kind: DrainStarted, Daemon: "d1"}, answered(2*s, "r1", VerdictNotRun, "draining"),
	}, 1},
	{"new request through another daemon interrupted by the stop", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d2"}, sent(s, "r1"), answered(2*s, "r1", VerdictUnknown, "outcome_lost"),
	}, 1},
	{"new request refused by the stopping daemon", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d1"}, sent(s, "r1"), answered(2*s, "r1", VerdictNotRun, "draining"),
	}, 0},
	{"new request interrupted by the stopping daemon", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d1"}, sent(s, "r1"), answered(2*s, "r1", VerdictUnknown, "draining"),
	}, 1},
	{"request overlaps another fault", PlannedStopKeepsRequests, []Event{
		sent(0, "r1"), {UnixNano: at(s), Kind: DrainStarted, Daemon: "d2"},
		{UnixNano: at(s), Kind: FaultInjected, Fault: "kill", Endpoint: "w1"}, answered(2*s, "r1", VerdictUnknown, "endpoint_lost"),
	}, 0},
	{"cancelled by its caller during the stop", PlannedStopKeepsRequests, []Event{
		sent(0, "r1"), {UnixNano: at(s), Kind: DrainStarted, Daemon: "d1"}, {UnixNano: at(s), Kind: RequestCancelled, Ticket: "t1"},
		answered(2*s, "r1", VerdictUnknown, CodeCancelled),
	}, 0},
	{"not cancelled by its caller during the stop", PlannedStopKeepsRequests, []Event{
		sent(0, "r1"), {UnixNano: at(s), Kind: DrainStarted, Daemon: "d1"}, answered(2*s, "r1", VerdictUnknown, CodeCancelled),
	}, 1},
	{"connection refused by the stopping daemon", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d1"}, sent(s, "r1"), answered(2*s, "r1", VerdictUnknown, CodeConnectionRefused),
	}, 0},
	{"retry of a request that a fault affected", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d1"}, sent(s, "r1"), {UnixNano: at(2 * s), Kind: FaultInjected, Fault: "kill", Daemon: "d2"},
		{UnixNano: at(3 * s), Kind: FaultHealed, Fault: "kill", Daemon: "d2"}, sent(4*s, "r2"), answered(5*s, "r2", VerdictUnknown, "outcome_lost"),
	}, 0},
	{"request after a fault interrupted by the stop", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: FaultInjected, Fault: "kill", Daemon: "d2"}, {UnixNano: at(s), Kind: FaultHealed, Fault: "kill", Daemon: "d2"},
		{UnixNano: at(2 * s), Kind: DrainStarted, Daemon: "d1"}, sent(3*s, "r1"), answered(4*s, "r1", VerdictUnknown, "outcome_lost"),
	}, 1},
	{"deadline passed during the stop", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d1"},
		{UnixNano: at(s), Kind: RequestSent, Request: "r1", Ticket: "t1", DeadlineMS: 40}, answered(s+41*ms, "r1", VerdictUnknown, CodeCancelled),
	}, 0},
	{"deadline not passed during the stop", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d1"},
		{UnixNano: at(s), Kind: RequestSent, Request: "r1", Ticket: "t1", DeadlineMS: 40}, answered(s+39*ms, "r1", VerdictUnknown, CodeCancelled),
	}, 1},
	{"request after the stop", PlannedStopKeepsRequests, []Event{
		{UnixNano: at(0), Kind: DrainStarted, Daemon: "d1"}, {UnixNano: at(s), Kind: DaemonDown, Daemon: "d1"},
		sent(2*s, "r1"), answered(3*s, "r1", VerdictUnknown, CodeConnectionLost),
	}, 0},
	{"revert after a restart", ConfigInForce, []Event{
		published(0, 1, 0), published(s, 5, 1), observed(2*s, 5, ""), observed(3*s, 0, "starting"), observed(4*s, 1, ""),
	}, 1},
	{"daemon reports itself as stale", ConfigInForce, []Event{
		published(0, 1, 0), published(s, 5, 1), observed(20*s, 1, StateStale),
	}, 0},
	{"two accepted publications replace the same version", ConfigInForce, []Event{
		published(0, 1, 0), published(s, 5, 1), published(s, 6, 1),
	}, 1},
	{"one version with two texts", ConfigInForce, []Event{
		{UnixNano: at(s), Kind: ConfigObserved, Daemon: "d1", Version: 5, InputSum: "x"},
		{UnixNano: at(s), Kind: ConfigObserved, Daemon: "d2", Version: 5, InputSum: "y"},
	}, 1},
	{"outcome changes", JobsNotLost, []Event{
		{UnixNano: at(s), Kind: JobFinished, Work: "j/0", State: "done", OutputSum: "x"},
		{UnixNano: at(2 * s), Kind: JobFinished, Work: "j/0", State: "failed"},
	}, 1},
}

func TestEdgeCases(t *testing.T) {
	for _, c := range edgeCases {
		t.Run(c.name, func(t *testing.T) {
			found := c.check(c.events, healed)
			if len(found) != c.want {
				t.Fatalf("got %d violations, want %d: %+v", len(found), c.want, found)
			}
		})
	}
}

func TestSummarize(t *testing.T) {
	got := Summarize(cleanHistory())
	if got.Sent != 4 || got.Done != 2 || got.NotRun != 2 || got.Unanswered != 0 || got.JobsAccepted != 1 || got.JobsFinished != 1 {
		t.Fatalf("got %+v", got)
	}
}
