package history

import (
	"slices"
	"testing"
	"time"
)

// at returns a time of the test histories in nanoseconds.
func at(d time.Duration) int64 { return int64(d) }

const (
	ms = time.Millisecond
	s  = time.Second
)

// cleanHistory returns a run in which every promise holds and which contains
// events for every checker.
func cleanHistory() []Event {
	return []Event{
		{UnixNano: at(0), Kind: EndpointUp, Endpoint: "w1", Incarnation: "a", MilliCores: 2000, MemoryMB: 100, Slots: 2},
		{UnixNano: at(0), Kind: EndpointUp, Endpoint: "w2", Incarnation: "b", MilliCores: 2000, MemoryMB: 100, Slots: 2},
		{UnixNano: at(0), Kind: KeyGranted, Key: "k1", Team: "ink"},
		{UnixNano: at(0), Kind: LimitSet, Team: "ink", Limit: 2},
		{UnixNano: at(0), Kind: ConfigPublished, Version: 1},
		{UnixNano: at(1 * s), Kind: RequestSent, Request: "r1", Ticket: "t1", Queue: "labels", Key: "k1", Daemon: "d1", InputSum: "i1", ExpectSum: "o1"},
		{UnixNano: at(2 * s), Kind: TaskStarted, Endpoint: "w1", Incarnation: "a", Work: "t1", Task: "t1.1", Ticket: "t1", Team: "ink", MilliCores: 2000, MemoryMB: 50, Slots: 1, Epoch: 4},
		{UnixNano: at(3 * s), Kind: DrainStarted, Daemon: "d1"},
		{UnixNano: at(4 * s), Kind: TaskEnded, Endpoint: "w1", Incarnation: "a", Work: "t1", Task: "t1.1", State: "done"},
		{UnixNano: at(5 * s), Kind: RequestAnswered, Request: "r1", Ticket: "t1", Verdict: VerdictDone, OutputSum: "o1"},
		{UnixNano: at(6 * s), Kind: DaemonDown, Daemon: "d1"},
		{UnixNano: at(7 * s), Kind: RequestSent, Request: "r2", Ticket: "t2", Queue: "labels", Key: "k1", Daemon: "d2", InputSum: "i2", ExpectSum: "o2"},
		{UnixNano: at(8 * s), Kind: RequestAnswered, Request: "r2", Ticket: "t2", Verdict: VerdictNotRun, Code: "overloaded"},
		{UnixNano: at(8 * s), Kind: RequestSent, Request: "r3", Ticket: "j1", Queue: "costing", Key: "k1", Daemon: "d2", Idempotent: true},
		{UnixNano: at(9 * s), Kind: JobAccepted, Request: "r3", Ticket: "j1", Job: "job1", Tasks: 1, Idempotent: true},
		{UnixNano: at(9 * s), Kind: RequestAnswered, Request: "r3", Ticket: "j1", Job: "job1", Verdict: VerdictDone},
		{UnixNano: at(10 * s), Kind: TaskStarted, Endpoint: "w1", Incarnation: "a", Work: "job1/0", Task: "job1/0.1", Team: "ink", MilliCores: 1000, Idempotent: true, Epoch: 4},
		{UnixNano: at(11 * s), Kind: EndpointDown, Endpoint: "w1", Incarnation: "a"},
		{UnixNano: at(12 * s), Kind: TaskStarted, Endpoint: "w2", Incarnation: "b", Work: "job1/0", Task: "job1/0.2", Team: "ink", MilliCores: 1000, Idempotent: true, Epoch: 9},
		{UnixNano: at(13 * s), Kind: EndpointLeaving, Endpoint: "w2", Incarnation: "b"},
		{UnixNano: at(14 * s), Kind: TaskEnded, Endpoint: "w2", Incarnation: "b", Work: "job1/0", Task: "job1/0.2", State: "done"},
		{UnixNano: at(15 * s), Kind: JobFinished, Job: "job1", Work: "job1/0", State: "done", Verdict: VerdictDone, OutputSum: "o3", ExpectSum: "o3"},
		{UnixNano: at(16 * s), Kind: KeyWithdrawn, Key: "k1", Team: "ink"},
		{UnixNano: at(16 * s), Kind: ConfigPublished, Version: 12, Expected: 1},
		{UnixNano: at(25 * s), Kind: ConfigObserved, Daemon: "d2", Version: 12},
		{UnixNano: at(26 * s), Kind: RequestSent, Request: "r4", Ticket: "t4", Queue: "labels", Key: "k1", Daemon: "d2"},
		{UnixNano: at(26 * s), Kind: RequestAnswered, Request: "r4", Ticket: "t4", Verdict: VerdictNotRun, Code: "key_withdrawn"},
	}
}

var healed = Options{Healed: true, StopCodes: map[string]bool{"draining": true}}

func TestCleanHistoryPasses(t *testing.T) {
	for _, v := range CheckAll(cleanHistory(), healed) {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
}

// find returns the index of the first event that matches.
func find(t *testing.T, events []Event, match func(Event) bool) int {
	t.Helper()
	i := slices.IndexFunc(events, match)
	if i < 0 {
		t.Fatal("no such event in the clean history")
	}
	return i
}

func kindWith(k Kind, field func(Event) string, want string) func(Event) bool {
	return func(e Event) bool { return e.Kind == k && field(e) == want }
}

func request(e Event) string  { return e.Request }
func task(e Event) string     { return e.Task }
func endpoint(e Event) string { return e.Endpoint }
func daemon(e Event) string   { return e.Daemon }
func work(e Event) string     { return e.Work }
func team(e Event) string     { return e.Team }

// mutations change the clean history so that one promise is broken in each.
var mutations = []struct {
	name    string
	promise string
	mutate  func(t *testing.T, h []Event) []Event
}{
	{"task larger than the endpoint", PromiseOvercommit, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(TaskStarted, task, "t1.1"))].MilliCores = 2001
		return h
	}},
	{"retry before the endpoint is down", PromiseSingleAttempt, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(EndpointDown, endpoint, "w1"))].UnixNano = at(12*s + 1)
		return h
	}},
	{"withdrawn key still works", PromiseKeys, func(t *testing.T, h []Event) []Event {
		i := find(t, h, kindWith(RequestAnswered, request, "r4"))
		h[i].Verdict, h[i].Code = VerdictDone, ""
		return h
	}},
	{"task of another team", PromiseKeys, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(TaskStarted, task, "t1.1"))].Team = "linen"
		return h
	}},
	{"limit below the number of running tasks", PromiseLimit, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(LimitSet, team, "ink"))].Limit = 0
		return h
	}},
	{"incomplete answer", PromiseAnswer, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(RequestAnswered, request, "r1"))].OutputSum = "o1 cut"
		return h
	}},
	{"answers swapped", PromiseAnswer, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(RequestAnswered, request, "r2"))].Ticket = "t1"
		return h
	}},
	{"answered not run but started", PromiseNotRunTrue, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(RequestAnswered, request, "r1"))].Verdict = VerdictNotRun
		return h
	}},
	{"non-idempotent work started twice", PromiseAtMostOnce, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(JobAccepted, request, "r3"))].Idempotent = false
		return h
	}},
	{"work for a leaving endpoint", PromiseLeaving, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(EndpointLeaving, endpoint, "w2"))].UnixNano = at(12*s) - int64(LeavingBound) - 1
		return h
	}},
	{"planned stop breaks a connection", PromiseStop, func(t *testing.T, h []Event) []Event {
		i := find(t, h, kindWith(RequestAnswered, request, "r1"))
		h[i].Verdict, h[i].Code = VerdictUnknown, CodeConnectionLost
		return h
	}},
	{"daemon reports an old configuration", PromiseConfig, func(t *testing.T, h []Event) []Event {
		h[find(t, h, kindWith(ConfigObserved, daemon, "d2"))].Version = 1
		return h
	}},
	{"job lost", PromiseJobs, func(t *testing.T, h []Event) []Event {
		i := find(t, h, kindWith(JobFinished, work, "job1/0"))
		return slices.Delete(h, i, i+1)
	}},
}

func TestEveryCheckerDetectsItsMutation(t *testing.T) {
	detected := map[string]bool{}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			found := CheckAll(m.mutate(t, cleanHistory()), healed)
			if !slices.ContainsFunc(found, func(v Violation) bool { return v.Promise == m.promise }) {
				t.Fatalf("promise %q not reported, got %v", m.promise, found)
			}
			for _, v := range found {
				if len(v.Events) == 0 || v.Detail == "" {
					t.Errorf("violation without evidence: %+v", v)
				}
			}
		})
		detected[m.promise] = true
	}
	for _, c := range Checkers() {
		if !detected[c.Promise] {
			t.Errorf("no mutation for promise %q", c.Promise)
		}
	}
}
