package history

import "fmt"

// keyGrant is a period in which a key is valid for a team.
type keyGrant struct {
	team string
	// until is the time after which the key must no longer work.
	until int64
}

// KeysHonored checks that work on a queue that requires a key is accepted and
// started only for the team of the key with which it was sent, and that a
// withdrawn key stops working within KeyBound: work that is sent with it later is
// neither accepted nor started, and a request that was sent with it is not
// started later. Jobs that were accepted before that continue.
func KeysHonored(events []Event, opts Options) []Violation {
	k := keyCheck{
		grants:   map[string]keyGrant{},
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

// keyCheck is the state of KeysHonored: the latest grant of each key, the requests
// sent so far by request and by ticket, and the request of each job.
type keyCheck struct {
	grants   map[string]keyGrant
	sent     map[string]Event
	byTicket map[string][]Event
	byJob    map[string]Event
	opts     Options
	found    []Violation
}

// linkJobs finds the request of each job before the events are checked, since a
// task may start before its caller learns that the job was accepted.
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
		k.grants[e.Key] = keyGrant{e.Team, forever}
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
			k.checkAccepted(e)
		}
	case JobAccepted:
		k.checkAccepted(e)
	case TaskStarted:
		k.checkStarted(e)
	}
}

// checkAccepted checks the key of a request that was served or of a job that was
// accepted. The key must have been valid when the request was sent.
func (k *keyCheck) checkAccepted(e Event) {
	request, known := k.sent[e.Request]
	if !known || k.opts.OpenQueues[request.Queue] {
		return
	}
	g, granted := k.grants[request.Key]
	if !granted || request.UnixNano > g.until {
		k.report(fmt.Sprintf("request %s was accepted with key %q, which is not valid", e.Request, request.Key), request, e)
	}
}

// checkStarted checks the start of a task against the requests that may have
// caused it.
func (k *keyCheck) checkStarted(e Event) {
	if request, isJob := k.byJob[jobOf(e.Work)]; isJob {
		k.checkTeam(request, e)
		return
	}
	requests := k.byTicket[e.Ticket]
	if len(requests) == 0 || k.opts.OpenQueues[requests[0].Queue] {
		return
	}
	for _, request := range requests {
		g, granted := k.grants[request.Key]
		if granted && e.UnixNano <= g.until {
			k.checkTeam(request, e)
			return
		}
		// A job is accepted while its key is valid; its tasks may start later.
		if granted && request.UnixNano <= g.until && jobOf(e.Work) != "" {
			k.checkTeam(request, e)
			return
		}
	}
	last := requests[len(requests)-1]
	k.report(fmt.Sprintf("task %s started for a request with key %q, which is not valid", e.Task, last.Key), last, e)
}

// checkTeam checks that a task is charged to the team of its request's key.
func (k *keyCheck) checkTeam(request, start Event) {
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
