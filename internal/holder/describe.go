package holder

import (
	"sort"

	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
)

// FillStatus adds the holder, the endpoints and the teams to the zone's status.
func (t *Term) FillStatus(status *peerv1.ZoneStatusResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status.Holder = t.settings.Holder
	for id, s := range t.sessions {
		status.Endpoints = append(status.Endpoints, &peerv1.EndpointStatus{
			Id:      id,
			State:   s.stateName(),
			Running: int64(len(s.units)),
		})
	}
	sort.Slice(status.Endpoints, func(i, j int) bool { return status.Endpoints[i].Id < status.Endpoints[j].Id })
	for name := range t.teams {
		status.Teams = append(status.Teams, &peerv1.TeamStatus{
			Team:      name,
			Running:   int64(t.engine.RunningTasks(name)),
			Waiting:   int64(t.engine.WaitingTasks(name)),
			Allotment: t.bound(name),
		})
	}
	sort.Slice(status.Teams, func(i, j int) bool { return status.Teams[i].Team < status.Teams[j].Team })
}

// States of a session in the zone's status and in the metrics.
const (
	stateAttaching = "attaching"
	stateLeaving   = "leaving"
	stateUsable    = "usable"
	stateSilent    = "silent"
)

// stateName returns the state of a session. The caller holds the term's lock.
func (s *session) stateName() string {
	switch {
	case s.rosterID == "":
		return stateAttaching
	case s.leaving || s.listedLeaving:
		return stateLeaving
	case s.usable:
		return stateUsable
	}
	return stateSilent
}
