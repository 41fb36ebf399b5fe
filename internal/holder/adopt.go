package holder

import (
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// rosterEntry is an endpoint that enters or leaves the roster.
type rosterEntry struct {
	added   string
	removed string
	session *session
}

// size implements sized.
func (r rosterEntry) size() int { return len(r.added) + len(r.removed) + 16 }

// outcomeLost is the answer for work that may have run unseen.
func outcomeLost(detail string) *problem.Problem {
	return problem.UnknownOutcome(problem.OutcomeLost, "check the effect of the request before sending it again", "%s", detail)
}

// adopt takes in the inventory of an endpoint and offers the endpoint to the
// engine once its incarnation stands in the roster.
func (t *Term) adopt(s *session, response *endpoint.AttachResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	restarted := s.adoptedIncarnation != "" && s.adoptedIncarnation != response.Incarnation
	previous, last := s.rosterID, s.adopted
	s.kind = response.Kind
	s.leaving = response.Leaving
	s.usable = true
	s.rosterID = ""
	current := rosterID(response)
	s.adopted, s.adoptedIncarnation = current, response.Incarnation
	t.engine.SetEndpoint(engineEndpoint(s, response))
	t.engine.SetAvailable(s.id, false)
	if restarted {
		t.loseUnits(s, "the endpoint restarted")
		t.removeFromRoster(last)
	}
	t.adoptTasks(s, response.Tasks)
	t.accountLost(t.gate.account(s.id, current))
	if previous == current || t.rostered(current) {
		s.rosterID = current
		t.applyUsable(s)
		return
	}
	t.rosters.add(rosterEntry{added: current, session: s})
}

// removeFromRoster takes a lost incarnation off the roster once the outcomes
// of what was lost with it stand in the log. A holder that found the roster
// without it, and no outcome, would run that work again.
func (t *Term) removeFromRoster(id string) {
	t.outcomes.add(outcomeEntry{removed: id})
}

// rostered reports whether the log's roster has the id already.
func (t *Term) rostered(id string) bool {
	for _, known := range t.deps.Journal.State().Roster(t.settings.AvailabilityZone) {
		if known == id {
			return true
		}
	}
	return false
}

// adoptTasks compares an inventory with the units placed on the endpoint.
func (t *Term) adoptTasks(s *session, tasks []endpoint.TaskStatus) {
	listed := make(map[string]bool, len(tasks))
	for _, status := range tasks {
		listed[status.Task.ID] = true
		t.adoptTask(s, status)
	}
	for _, u := range s.units {
		if !listed[u.spec.ID] {
			t.restoreUnstarted(s, u)
		}
	}
}

// restoreUnstarted queues a unit again whose start the endpoint does not know.
// The start belonged to an ended session, so it can't take effect any more.
func (t *Term) restoreUnstarted(s *session, u *unit) {
	t.engine.Finish(u.key, t.now(), placement.ResultStopped)
	delete(s.units, u.key)
	u.session = nil
	switch {
	case u.cancelled:
		t.settle(u, failed(cancelledWaiting()))
	case u.ran && !u.spec.Idempotent:
		t.settle(u, failed(outcomeLost("the endpoint no longer reports the task")))
	default:
		t.requeue(u)
	}
}

// adoptTask takes in one task of an inventory.
func (t *Term) adoptTask(s *session, status endpoint.TaskStatus) {
	key := keyOf(status.Task.ID)
	u := t.units[key]
	if u == nil {
		u = t.inheritUnit(key, status.Task)
	}
	switch {
	case u == nil || u.phase == phaseFinal:
		t.discard(s, status)
	case u.session == nil && u.mismatches(status.Task):
		t.settle(u, failed(problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a different request, which may have run")))
		delete(t.units, key)
		t.bind(s, t.inheritUnit(key, status.Task), status)
	case u.session == s && u.spec.ID == status.Task.ID:
		u.ran = true
		if u.phase == phaseStarting {
			u.phase = phaseRunning
		}
		if u.cancelled {
			s.queueStop(endpoint.ActionStop, u.spec.ID)
		}
	case u.session != nil:
		t.discard(s, status)
	default:
		t.bind(s, u, status)
	}
}

// mismatches reports whether a held request is another one than the task that
// an endpoint reports under its ticket.
func (u *unit) mismatches(spec endpoint.TaskSpec) bool {
	return u.request != nil && u.request.known &&
		u.request.digest != digestOf(spec.Team, spec.Queue, spec.Command, spec.Input)
}

// bind places a unit on the endpoint that reports it.
func (t *Term) bind(s *session, u *unit, status endpoint.TaskStatus) {
	if u.phase == phaseWaiting {
		t.withdraw(u)
	}
	u.spec.ID = status.Task.ID
	u.session = s
	u.phase, u.ran = phaseRunning, true
	u.answer = assembly{}
	s.units[u.key] = u
	t.noteTeam(u.spec.Team)
	t.engine.Adopt(u.engineRunning(s.id, t.now()))
	if u.cancelled {
		s.queueStop(endpoint.ActionStop, u.spec.ID)
	}
}

// discard stops or forgets a task that no unit waits for.
func (t *Term) discard(s *session, status endpoint.TaskStatus) {
	if status.State == endpoint.TaskRunning {
		s.queueStop(endpoint.ActionStop, status.Task.ID)
		t.noteOrphan(s, status.Task)
		return
	}
	s.queueAck(status.Task.ID)
}

// noteOrphan charges a running task that is about to be stopped, under its
// attempt id, so that neither its endpoint nor its team is overcommitted.
func (t *Term) noteOrphan(s *session, spec endpoint.TaskSpec) {
	u := &unit{key: spec.ID, work: spec.ID, spec: spec, phase: phaseRunning, session: s, cancelled: true}
	u.request = newRequest()
	t.units[u.key] = u
	s.units[u.key] = u
	t.noteTeam(spec.Team)
	t.engine.Adopt(u.engineRunning(s.id, t.now()))
}

// endpointLost ends every unit on an endpoint whose tasks have certainly
// stopped.
func (t *Term) endpointLost(s *session, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseUnits(s, reason)
}

// loseUnits queues the idempotent units of a session again and answers the
// others as unknown; the caller holds the term's lock.
func (t *Term) loseUnits(s *session, reason string) {
	for _, u := range s.units {
		u.ran = true
		t.engine.Finish(u.key, t.now(), placement.ResultStopped)
		delete(s.units, u.key)
		u.session = nil
		switch {
		case u.cancelled:
			t.settle(u, failed(cancelledRunning()))
		case u.spec.Idempotent:
			t.requeue(u)
		default:
			t.settle(u, failed(outcomeLost(reason)))
		}
	}
	t.kick()
}
