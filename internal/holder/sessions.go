package holder

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
)

const (
	// sessionInterval is how often the list is compared with the sessions.
	sessionInterval = 500 * time.Millisecond
	// goneBound is for how long the platform's list must have lacked an
	// instance before it counts as removed. It exceeds the list's lag.
	goneBound = 15 * time.Second
	// workerSlots bounds the tasks of one worker whatever their size.
	workerSlots = 128
)

// runSessions opens a session for each endpoint that the list names.
func (t *Term) runSessions() error {
	ticker := time.NewTicker(sessionInterval)
	defer ticker.Stop()
	for {
		t.openSessions()
		t.expireGate()
		select {
		case <-t.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// openSessions starts the sessions that are missing and notes which listed
// endpoints are leaving.
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
		if leaving := instance.State == loglist.StateLeaving; leaving != s.listed {
			s.listed = leaving
			t.applyUsable(s)
		}
	}
	t.countSessions()
}

// countSessions publishes how many endpoints are in each state; the caller
// holds the term's lock.
func (t *Term) countSessions() {
	counts := map[string]int{stateAttaching: 0, stateLeaving: 0, stateUsable: 0, stateSilent: 0}
	for _, s := range t.sessions {
		counts[s.stateName()]++
	}
	for state, n := range counts {
		metrics.Endpoints.Set(state, countOf(n))
	}
}

// setUsable says whether the endpoint answers heartbeats.
func (t *Term) setUsable(s *session, usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.usable = usable
	t.applyUsable(s)
}

// applyUsable tells the engine whether new work may go to the endpoint.
func (t *Term) applyUsable(s *session) {
	if s.rosterID == "" {
		return
	}
	t.engine.SetAvailable(s.id, s.usable && !s.leaving && !s.listed && !s.resting)
	t.kick()
}

// knownLeaving is what the endpoint last said of itself.
func (t *Term) knownLeaving(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.leaving
}

// observeCondition takes in what an endpoint reported of itself.
func (t *Term) observeCondition(s *session, leaving bool, usages []endpoint.TaskUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving != s.leaving {
		s.leaving = leaving
		t.applyUsable(s)
	}
	for _, usage := range usages {
		if u := t.units[keyOf(usage.ID)]; u != nil && u.spec.ID == usage.ID {
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

// capacityOf is the capacity that the engine plans with.
func capacityOf(response *endpoint.AttachResponse) placement.Resources {
	c := placement.Resources{
		MilliCores:   response.Capacity.MilliCores,
		MemoryMB:     response.Capacity.MemoryMB,
		Accelerators: response.Capacity.Accelerators,
		Slots:        response.Capacity.Slots,
	}
	if response.Kind == endpoint.KindWorker && c.Slots == 0 {
		c.Slots = workerSlots
	}
	return c
}

// forgetEndpoint removes a session whose endpoint is gone.
func (t *Term) forgetEndpoint(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.adopted != "" {
		t.engine.RemoveEndpoint(s.id)
		t.removeFromRoster(s.adopted)
	}
	delete(t.sessions, s.id)
}

// provenSince reports whether the log has been read to its end at some moment
// after the instant and still names this term's epoch.
func (t *Term) provenSince(instant time.Time) bool {
	age, _, ok := t.deps.Journal.Fresh()
	if !ok || age > time.Since(instant) {
		return false
	}
	claim, ok := t.deps.Journal.State().Epoch(t.settings.AvailabilityZone)
	return ok && claim.Epoch == t.epoch
}

// pause waits for d or the end of the term.
func (t *Term) pause(d time.Duration) {
	select {
	case <-t.tomb.Dying():
	case <-time.After(d):
	}
}
