package holder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// rosterID names one incarnation of an endpoint and the most tasks that it
// may run, as "id@incarnation@tasks". It stands in the log before the first
// task is placed there.
func rosterID(response *endpoint.AttachResponse) string {
	return fmt.Sprintf("%s@%s@%d", response.Endpoint, response.Incarnation, capacityOf(response).Slots)
}

// parseRosterID splits a roster id from its end, since the endpoint's id may
// hold anything. One that can't be read counts as an endpoint of workerSlots
// tasks.
func parseRosterID(id string) (endpointID string, tasks int64) {
	last := strings.LastIndexByte(id, '@')
	if last < 0 {
		return id, workerSlots
	}
	middle := strings.LastIndexByte(id[:last], '@')
	if middle < 0 {
		return id, workerSlots
	}
	tasks, err := strconv.ParseInt(id[last+1:], 10, 64)
	if err != nil || tasks < 0 {
		tasks = workerSlots
	}
	return id[:middle], min(tasks, maxRosterTasks)
}

// maxRosterTasks bounds what one roster id charges, so that sums can't
// overflow.
const maxRosterTasks = 1 << 20

// gate holds back the previous terms' work until it is known what the
// endpoints of those terms run. The term's lock guards it.
type gate struct {
	// pending are the roster ids that have not been accounted for.
	pending map[string]bool
	since   time.Time
	// lost is set when an incarnation ended without giving its inventory, so
	// that non-idempotent work which is found nowhere may have run there.
	lost bool
	// gone are the lost incarnations that are still on the roster. They leave
	// it only when everything held back has been decided about.
	gone []string
}

// begin starts with the roster of the log at the start of the term.
func (g *gate) begin(roster []string, now time.Time) {
	g.pending = make(map[string]bool, len(roster))
	g.since = now
	for _, id := range roster {
		g.pending[id] = true
	}
}

// isOpen reports whether every endpoint has been accounted for.
func (g *gate) isOpen() bool { return len(g.pending) == 0 }

// charge is the most tasks of one team that may run on endpoints which have
// not been accounted for.
func (g *gate) charge() int64 {
	total := int64(0)
	for id := range g.pending {
		_, tasks := parseRosterID(id)
		total += tasks
	}
	return total
}

// account removes the incarnations of an endpoint: the one that has been
// adopted, and all others as lost. It returns the lost ones.
func (g *gate) account(endpointID, adopted string) (lost []string) {
	for id := range g.pending {
		name, _ := parseRosterID(id)
		if name != endpointID {
			continue
		}
		delete(g.pending, id)
		if id != adopted {
			g.lost = true
			lost = append(lost, id)
		}
	}
	return lost
}

// expireGate accounts for rostered endpoints that the platform has removed.
// The list may be wrong, so it counts only once every lease that the previous
// holder granted before this term has lapsed as well.
func (t *Term) expireGate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.gate.since) < lapseBound(t.settings.Lease) {
		return
	}
	for id := range t.gate.pending {
		name, _ := parseRosterID(id)
		if !t.deps.Directory.AbsentFor(name, goneBound, t.gate.since) {
			continue
		}
		t.accountLost(t.gate.account(name, ""))
	}
}

// accountLost takes lost incarnations off the roster and opens the gate if
// they were the last ones; the caller holds the term's lock.
func (t *Term) accountLost(lost []string) {
	for _, id := range lost {
		t.log.Warn("endpoint incarnation ended unseen", "roster", id)
	}
	t.gate.gone = append(t.gate.gone, lost...)
	t.refreshBounds()
	if t.gate.isOpen() {
		t.openGate()
	}
}

// openGate decides about the work that was held back.
func (t *Term) openGate() {
	for _, state := range t.jobs {
		if state.spec.Gang && state.untouched() {
			t.enqueueJob(state)
		}
	}
	for _, u := range t.units {
		if u.phase == phaseHeld {
			t.resolveHeld(u)
		}
	}
	for _, id := range t.gate.gone {
		t.removeFromRoster(id)
	}
	t.gate.gone = nil
	t.kick()
}

// resolveHeld queues held work that was found on no endpoint, unless it is
// non-idempotent and may have run on one that was lost.
func (t *Term) resolveHeld(u *unit) {
	if u.cancelled {
		t.settle(u, failed(cancelledWaiting()))
		return
	}
	u.ran = u.ran || (u.job != nil && u.spec.Idempotent)
	if u.spec.Idempotent || (u.job != nil && !t.gate.lost) {
		t.enqueue(u)
		return
	}
	t.settle(u, failed(outcomeLost("the zone's holder changed and no endpoint reports the task")))
}
