package holder

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
)

const (
	// sessionCheckInterval is the interval at which the platform's list of instances is
	// compared with the sessions.
	sessionCheckInterval = 500 * time.Millisecond
	// minAbsence is how long an instance must have been absent from the platform's list
	// to count as removed. It exceeds the lag of the list.
	minAbsence = 15 * time.Second
	// maxWorkerTasks bounds the tasks of one worker whatever their size.
	maxWorkerTasks = 128
)

// runSessions opens a session for each endpoint on the platform's list.
func (t *Term) runSessions() error {
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	for {
		t.openSessions()
		t.accountRemovedEndpoints()
		select {
		case <-t.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// openSessions starts the missing sessions and updates which endpoints are listed as
// leaving.
func (t *Term) openSessions() {
	endpoints := t.deps.Directory.Listed(func(i loglist.Instance) bool {
		return i.AvailabilityZone == t.settings.AvailabilityZone && i.Role != loglist.RoleEntry
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, instance := range endpoints {
		s, ok := t.sessions[instance.ID]
		if !ok {
			s = newSession(t, instance)
			t.sessions[instance.ID] = s
			t.tomb.Go(s.run)
		}
		if leaving := instance.State == loglist.StateLeaving; leaving != s.listedLeaving {
			s.listedLeaving = leaving
			t.updateAvailability(s)
		}
	}
	t.publishEndpointCounts()
}

// publishEndpointCounts sets the metric of endpoints by state. The caller holds the
// term's lock.
func (t *Term) publishEndpointCounts() {
	counts := map[string]int{stateAttaching: 0, stateLeaving: 0, stateUsable: 0, stateSilent: 0}
	for _, s := range t.sessions {
		counts[s.stateName()]++
	}
	for state, n := range counts {
		metrics.Endpoints.Set(state, expvarInt(n))
	}
}

// setUsable sets whether the endpoint answers commands.
func (t *Term) setUsable(s *session, usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.usable = usable
	t.updateAvailability(s)
}

// updateAvailability tells the engine whether the endpoint may get new work. The
// caller holds the term's lock.
func (t *Term) updateAvailability(s *session) {
	if s.rosterID == "" {
		return
	}
	t.engine.SetAvailable(s.id, s.usable && !s.leaving && !s.listedLeaving && !s.backingOff)
	t.wakeScheduler()
}

// reportedLeaving returns whether the endpoint last reported that it is leaving.
func (t *Term) reportedLeaving(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.leaving
}

// handleCondition applies what an endpoint reports of itself: whether it is leaving, and usage.
func (t *Term) handleCondition(s *session, leaving bool, usages []endpoint.TaskUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving != s.leaving {
		s.leaving = leaving
		t.updateAvailability(s)
	}
	for _, usage := range usages {
		if u := t.units[unitKeyOf(usage.ID)]; u != nil && u.spec.ID == usage.ID {
			t.engine.ReportUsage(u.key, engineSize(usage.Usage))
		}
	}
}

// engineEndpoint describes an attached endpoint to the engine.
func engineEndpoint(s *session, response *endpoint.AttachResponse) placement.Endpoint {
	return placement.Endpoint{
		ID:       s.id,
		Rack:     response.Rack,
		Runner:   response.Kind == endpoint.KindRunner,
		Capacity: capacityOf(response),
	}
}

// capacityOf returns the capacity that the engine plans with. A worker that states no
// slots gets maxWorkerTasks.
func capacityOf(response *endpoint.AttachResponse) placement.Resources {
	c := placement.Resources{
		MilliCores:   response.Capacity.MilliCores,
		MemoryMB:     response.Capacity.MemoryMB,
		Accelerators: response.Capacity.Accelerators,
		Slots:        response.Capacity.Slots,
	}
	if response.Kind == endpoint.KindWorker && c.Slots == 0 {
		c.Slots = maxWorkerTasks
	}
	return c
}

// forgetEndpoint removes the session of an endpoint that the platform has removed.
func (t *Term) forgetEndpoint(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.adoptedRosterID != "" {
		t.engine.RemoveEndpoint(s.id)
		t.removeFromRoster(s.adoptedRosterID)
	}
	delete(t.sessions, s.id)
}

// heldSince reports whether the log proves that this daemon held the zone at the instant:
// it has been read to its end at some moment after the instant and still names this
// term's epoch.
func (t *Term) heldSince(instant time.Time) bool {
	age, _, ok := t.deps.Journal.Fresh()
	if !ok || age > time.Since(instant) {
		return false
	}
	claim, ok := t.deps.Journal.State().Claim(t.settings.AvailabilityZone)
	return ok && claim.Epoch == t.epoch
}

// sleep waits for d or until the term is dying, whichever comes first.
func (t *Term) sleep(d time.Duration) {
	select {
	case <-t.tomb.Dying():
	case <-time.After(d):
	}
}
