package holder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// rosterID returns the roster id of one incarnation of an endpoint and the most tasks
// that it may run, as "id@incarnation@tasks". The log holds the id before the first
// task is placed on that incarnation.
func rosterID(response *endpoint.AttachResponse) string {
	return fmt.Sprintf("%s@%s@%d", response.Endpoint, response.Incarnation, capacityOf(response).Slots)
}

// parseRosterID splits a roster id, starting from its end since the endpoint's id may
// hold any character. An id that can't be parsed counts as an endpoint of
// maxWorkerTasks tasks.
func parseRosterID(id string) (endpointID string, tasks int64) {
	last := strings.LastIndexByte(id, '@')
	if last < 0 {
		return id, maxWorkerTasks
	}
	middle := strings.LastIndexByte(id[:last], '@')
	if middle < 0 {
		return id, maxWorkerTasks
	}
	tasks, err := strconv.ParseInt(id[last+1:], 10, 64)
	if err != nil || tasks < 0 {
		tasks = maxWorkerTasks
	}
	return id[:middle], min(tasks, maxRosterTasks)
}

// maxRosterTasks bounds the tasks that one roster id counts for, so that sums can't
// overflow.
const maxRosterTasks = 1 << 20

// gate holds work of previous terms until it is known what the endpoints of those
// terms run. It opens when every endpoint on the roster has been accounted for: it
// has been adopted, or its tasks have certainly stopped. The term's lock guards it.
type gate struct {
	// pending are the roster ids that have not been accounted for.
	pending map[string]bool
	// startedAt is when the term started.
	startedAt time.Time
	// inventoryLost is set when an incarnation ended without giving its inventory.
	// Non-idempotent work that no endpoint reports may have run there.
	inventoryLost bool
	// lostIncarnations are the lost incarnations that are still on the roster.
	// They are removed from it only after all held work has been resolved.
	lostIncarnations []string
}

// init sets the roster that the log holds at the start of the term.
func (g *gate) init(roster []string, now time.Time) {
	g.pending = make(map[string]bool, len(roster))
	g.startedAt = now
	for _, id := range roster {
		g.pending[id] = true
	}
}

// isOpen reports whether every endpoint on the roster has been accounted for.
func (g *gate) isOpen() bool { return len(g.pending) == 0 }

// maxUnaccountedTasks returns the most tasks of one team that may run on endpoints
// that have not been accounted for.
func (g *gate) maxUnaccountedTasks() int64 {
	total := int64(0)
	for id := range g.pending {
		_, tasks := parseRosterID(id)
		total += tasks
	}
	return total
}

// account removes all incarnations of an endpoint from the pending ones. It returns
// those other than the adopted incarnation, which are lost.
func (g *gate) account(endpointID, adopted string) (lost []string) {
	for id := range g.pending {
		name, _ := parseRosterID(id)
		if name != endpointID {
			continue
		}
		delete(g.pending, id)
		if id != adopted {
			g.inventoryLost = true
			lost = append(lost, id)
		}
	}
	return lost
}

// accountRemovedEndpoints accounts for roster ids of endpoints that the platform has
// removed. The platform's list may be wrong, so it counts only after every lease
// that the previous holder granted before this term has lapsed as well.
func (t *Term) accountRemovedEndpoints() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.gate.startedAt) < leaseLapseTime(t.settings.Lease) {
		return
	}
	for id := range t.gate.pending {
		name, _ := parseRosterID(id)
		if !t.deps.Directory.AbsentFor(name, minAbsence, t.gate.startedAt) {
			continue
		}
		t.recordLostIncarnations(t.gate.account(name, ""))
	}
}

// recordLostIncarnations notes lost incarnations for removal from the roster and
// opens the gate if no endpoint is pending. The caller holds the term's lock.
func (t *Term) recordLostIncarnations(lost []string) {
	for _, id := range lost {
		t.log.Warn("endpoint incarnation lost without an inventory", "roster", id)
	}
	t.gate.lostIncarnations = append(t.gate.lostIncarnations, lost...)
	t.refreshBounds()
	if t.gate.isOpen() {
		t.openGate()
	}
}

// openGate resolves all held work, removes the lost incarnations from the roster and
// wakes the scheduler.
func (t *Term) openGate() {
	for _, state := range t.jobs {
		if state.spec.Gang && state.allHeld() && t.mayStartHeld(&state.spec) {
			for _, u := range state.units {
				u.mayHaveRun = state.spec.Idempotent
			}
			t.enqueueJob(state)
		}
	}
	for _, u := range t.units {
		if u.phase == phaseHeld {
			t.resolveHeld(u)
		}
	}
	for _, id := range t.gate.lostIncarnations {
		t.removeFromRoster(id)
	}
	t.gate.lostIncarnations = nil
	t.wakeScheduler()
}

// mayStartHeld reports whether held tasks of a job that no endpoint has reported may start:
// they are idempotent, or no inventory is missing in which they could have been.
func (t *Term) mayStartHeld(j *record.Job) bool {
	return j.Idempotent || !t.gate.inventoryLost
}

// resolveHeld resolves held work that no endpoint has reported. It queues the work,
// unless it is non-idempotent and may have run: then the outcome is lost.
func (t *Term) resolveHeld(u *unit) {
	if u.cancelled {
		t.settle(u, problemResult(cancelledBeforeStart()))
		return
	}
	u.mayHaveRun = u.mayHaveRun || (u.job != nil && u.spec.Idempotent)
	if u.spec.Idempotent || (u.job != nil && t.mayStartHeld(&u.job.spec)) {
		t.enqueue(u)
		return
	}
	t.settle(u, problemResult(outcomeLost("the zone's holder changed and no endpoint reports the task")))
}
