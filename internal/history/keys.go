package history

import "fmt"

// grant is one period in which a key worked.
type grant struct {
	team string
	// until is the moment after which the key must have stopped working.
	until int64
}

// KeysHonored checks that work on a keyed queue is accepted and started only
// for the team of the key that came with it, and that a withdrawn key has
// stopped working within KeyBound: nothing that is sent with it later is
// accepted or started, and no request that came with it is started later.
// Jobs that were accepted before go on.
func KeysHonored(events []Event, opts Options) []Violation {
	k := keyCheck{
		grants:   map[string]grant{},
		sent:     map[string]Event{},
		byTicket: map[string][]Event{},
		byJob:    map[string]Event{},
		opts:     opts,
	}
	ordered := sorted(events)
	k.linkJobs(ordered)
	for _, e := range ordered {
		k.apply(e)
	}
	return k.found
}

type keyCheck struct {
	grants   map[string]grant
	sent     map[string]Event
	byTicket map[string][]Event
	byJob    map[string]Event
	opts     Options
	found    []Violation
}

// linkJobs finds the request of each job; a task may start before its caller
// has learned that the job was accepted.
func (k *keyCheck) linkJobs(ordered []Event) {
	sent := map[string]Event{}
	for _, e := range ordered {
		switch e.Kind {
		case RequestSent:
			sent[e.Request] = e
		case JobAccepted:
			k.byJob[e.Job] = sent[e.Request]
		}
	}
}

func (k *keyCheck) apply(e Event) {
	switch e.Kind {
	case KeyGranted:
		k.grants[e.Key] = grant{e.Team, forever}
	case KeyWithdrawn:
		g, known := k.grants[e.Key]
		if known {
			g.until = min(g.until, e.UnixNano+int64(KeyBound))
			k.grants[e.Key] = g
		}
	case RequestSent:
		k.sent[e.Request] = e
		if e.Ticket != "" {
			k.byTicket[e.Ticket] = append(k.byTicket[e.Ticket], e)
		}
	case RequestAnswered:
		if e.Verdict == VerdictDone {
			k.accepted(e)
		}
	case JobAccepted:
		k.accepted(e)
	case TaskStarted:
		k.started(e)
	}
}

// accepted checks the key of a request that was served or a job that was
// taken on. The key must have worked when the request was sent.
func (k *keyCheck) accepted(e Event) {
	request, known := k.sent[e.Request]
	if !known || k.opts.OpenQueues[request.Queue] {
		return
	}
	g, granted := k.grants[request.Key]
	if !granted || request.UnixNano > g.until {
		k.report(fmt.Sprintf("request %s was accepted with key %q that doesn't work", e.Request, request.Key), request, e)
	}
}

// started checks a task against the sendings that may have caused it.
func (k *keyCheck) started(e Event) {
	if request, isJob := k.byJob[jobOf(e.Work)]; isJob {
		k.team(request, e)
		return
	}
	requests := k.byTicket[e.Ticket]
	if len(requests) == 0 || k.opts.OpenQueues[requests[0].Queue] {
		return
	}
	for _, request := range requests {
		g, granted := k.grants[request.Key]
		if granted && e.UnixNano <= g.until {
			k.team(request, e)
			return
		}
		if granted && request.UnixNano <= g.until && jobOf(e.Work) != "" {
			k.team(request, e)
			return
		}
	}
	last := requests[len(requests)-1]
	k.report(fmt.Sprintf("task %s started for a request with key %q that doesn't work", e.Task, last.Key), last, e)
}

// team checks that a task is charged to the team of its request's key.
func (k *keyCheck) team(request, start Event) {
	if k.opts.OpenQueues[request.Queue] {
		return
	}
	want := k.grants[request.Key].team
	if want == start.Team {
		return
	}
	k.report(fmt.Sprintf("task %s runs for team %q with a key of team %q", start.Task, start.Team, want), request, start)
}

func (k *keyCheck) report(detail string, evidence ...Event) {
	k.found = append(k.found, Violation{Promise: PromiseKeys, Detail: detail, Events: evidence})
}
