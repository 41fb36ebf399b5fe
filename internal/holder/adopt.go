package holder

import (
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// rosterEntry is a change of the roster that waits for its group commit: an id that
// is added, with its session, or an id that is removed.
type rosterEntry struct {
	added   string
	removed string
	session *session
}

// size implements sized.
func (r rosterEntry) size() int { return len(r.added) + len(r.removed) + 16 }

// outcomeLost returns the problem of work that may have run and whose outcome is unknown.
func outcomeLost(detail string) *problem.Problem {
	return problem.UnknownOutcome(problem.OutcomeLost, "check the effect of the request before sending it again", "%s", detail)
}

// adopt reconciles the term with the inventory of an endpoint. The endpoint becomes
// available to the engine once the roster in the log holds its incarnation.
func (t *Term) adopt(s *session, response *endpoint.AttachResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	restarted := s.adoptedIncarnation != "" && s.adoptedIncarnation != response.Incarnation
	previous, lastAdopted := s.rosterID, s.adoptedRosterID
	s.kind = response.Kind
	s.leaving = response.Leaving
	s.usable = true
	s.rosterID = ""
	current := rosterID(response)
	s.adoptedRosterID, s.adoptedIncarnation = current, response.Incarnation
	t.engine.SetEndpoint(engineEndpoint(s, response))
	t.engine.SetAvailable(s.id, false)
	if restarted {
		t.loseUnits(s, "the endpoint restarted")
		t.removeFromRoster(lastAdopted)
	}
	t.adoptTasks(s, response.Tasks)
	t.recordLostIncarnations(t.gate.account(s.id, current))
	if previous == current || t.inRoster(current) {
		s.rosterID = current
		t.updateAvailability(s)
		return
	}
	t.rosterBatcher.add(rosterEntry{added: current, session: s})
}

// removeFromRoster removes a lost incarnation from the roster, but only after the
// log holds the outcomes of the tasks that were lost with it. A later holder that
// found neither the roster entry nor an outcome would run those tasks again.
func (t *Term) removeFromRoster(id string) {
	t.outcomeBatcher.add(outcomeEntry{removed: id})
}

// inRoster reports whether the log's roster holds the id.
func (t *Term) inRoster(id string) bool {
	for _, known := range t.deps.Journal.State().Roster(t.settings.AvailabilityZone) {
		if known == id {
			return true
		}
	}
	return false
}

// adoptTasks compares an inventory with the units that are placed on the endpoint
// and queues those again that the inventory lacks.
func (t *Term) adoptTasks(s *session, tasks []endpoint.TaskStatus) {
	listed := make(map[string]bool, len(tasks))
	for _, status := range tasks {
		listed[status.Task.ID] = true
		t.adoptTask(s, status)
	}
	for _, u := range s.units {
		if !listed[u.spec.ID] {
			t.requeueUnstarted(s, u)
		}
	}
}

// requeueUnstarted queues a unit again whose attempt the endpoint does not know. The
// start command belonged to an ended session, so it can't take effect any more. A
// cancelled unit is settled instead, and so is a non-idempotent one that may have run.
func (t *Term) requeueUnstarted(s *session, u *unit) {
	t.engine.Finish(u.key, t.now(), placement.ResultStopped)
	delete(s.units, u.key)
	u.session = nil
	switch {
	case u.cancelled:
		t.settle(u, problemResult(cancelledBeforeStart()))
	case u.mayHaveRun && !u.spec.Idempotent:
		t.settle(u, problemResult(outcomeLost("the endpoint no longer reports the task")))
	default:
		t.requeue(u)
	}
}

// adoptTask reconciles one task of an inventory with the unit that has its key.
func (t *Term) adoptTask(s *session, status endpoint.TaskStatus) {
	key := unitKeyOf(status.Task.ID)
	u := t.units[key]
	if u == nil {
		u = t.inheritUnit(key, status.Task)
	}
	switch {
	case u == nil || u.phase == phaseFinal:
		t.discardTask(s, status)
	case u.session == nil && u.conflictsWith(status.Task):
		t.settle(u, problemResult(problem.UnknownOutcome(problem.TicketConflict, "get a new ticket for another request", "the ticket belongs to a different request, which may have run")))
		delete(t.units, key)
		t.bind(s, t.inheritUnit(key, status.Task), status)
	case u.session == s && u.spec.ID == status.Task.ID:
		u.mayHaveRun = true
		if u.phase == phaseStarting {
			u.phase = phaseRunning
		}
		if u.cancelled {
			s.queueStop(endpoint.ActionStop, u.spec.ID)
		}
	case u.session != nil:
		t.discardTask(s, status)
	default:
		t.bind(s, u, status)
	}
}

// conflictsWith reports whether a held request differs from the task that an
// endpoint reports under the same ticket.
func (u *unit) conflictsWith(spec endpoint.TaskSpec) bool {
	return u.request != nil && u.request.digestKnown &&
		u.request.digest != digestOf(spec.Team, spec.Queue, spec.Command, spec.Input)
}

// bind marks a unit as running on the endpoint that reports its task.
func (t *Term) bind(s *session, u *unit, status endpoint.TaskStatus) {
	if u.phase == phaseWaiting {
		t.withdraw(u)
	}
	u.spec.ID = status.Task.ID
	u.session = s
	u.phase, u.mayHaveRun = phaseRunning, true
	u.answer = answerAssembly{}
	s.units[u.key] = u
	t.ensureTeam(u.spec.Team)
	t.engine.Adopt(u.engineRunning(s.id, t.now()))
	if u.cancelled {
		s.queueStop(endpoint.ActionStop, u.spec.ID)
	}
}

// discardTask stops a reported task that no unit waits for, or acknowledges it if it
// has ended.
func (t *Term) discardTask(s *session, status endpoint.TaskStatus) {
	if status.State == endpoint.TaskRunning {
		s.queueStop(endpoint.ActionStop, status.Task.ID)
		t.trackOrphan(s, status.Task)
		return
	}
	t.ackDiscarded(s, status.Task.ID)
}

// trackOrphan creates a unit for a running task that is about to be stopped, with
// its attempt id as key. Until it ends it counts against its endpoint's capacity
// and its team's bound, so that neither is overcommitted.
func (t *Term) trackOrphan(s *session, spec endpoint.TaskSpec) {
	u := &unit{key: spec.ID, workID: spec.ID, spec: spec, phase: phaseRunning, session: s, cancelled: true}
	u.request = newRequestState()
	t.units[u.key] = u
	s.units[u.key] = u
	t.ensureTeam(spec.Team)
	t.engine.Adopt(u.engineRunning(s.id, t.now()))
}

// loseEndpoint ends every unit on an endpoint whose tasks have certainly stopped.
func (t *Term) loseEndpoint(s *session, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseUnits(s, reason)
}

// loseUnits queues the idempotent units of a session again and ends the others with
// verdict "unknown". The caller holds the term's lock.
func (t *Term) loseUnits(s *session, reason string) {
	for _, u := range s.units {
		u.mayHaveRun = true
		t.engine.Finish(u.key, t.now(), placement.ResultStopped)
		delete(s.units, u.key)
		u.session = nil
		switch {
		case u.cancelled:
			t.settle(u, problemResult(cancelledAfterStart()))
		case u.spec.Idempotent:
			t.requeue(u)
		default:
			t.settle(u, problemResult(outcomeLost(reason)))
		}
	}
	t.wakeScheduler()
}
