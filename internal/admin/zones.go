package admin

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/operator"
)

// statusTimeout bounds the status call to one daemon.
const statusTimeout = time.Second

// States of a configuration in a zone.
const (
	stateInForce = "in force"
	statePending = "pending"
	stateUnknown = "unknown"
)

// zoneBody is the state of a configuration in a zone: in force if every listed
// daemon of the zone has it, pending if one has an older version, unknown if one
// did not answer or none is listed.
type zoneBody struct {
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// statusBody is the state of a zone as its holder reports it.
type statusBody struct {
	Zone          string         `json:"zone"`
	Holder        string         `json:"holder,omitempty"`
	Epoch         uint64         `json:"epoch,omitempty"`
	ConfigVersion uint64         `json:"config_version"`
	Endpoints     []endpointBody `json:"endpoints"`
	Teams         []teamBody     `json:"teams"`
	Problem       string         `json:"problem,omitempty"`
}

// endpointBody is the state of an endpoint.
type endpointBody struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Running int64  `json:"running"`
}

// teamBody is the state of a team in a zone.
type teamBody struct {
	Team    string `json:"team"`
	Running int64  `json:"running"`
	Waiting int64  `json:"waiting"`
	// Allotment is the part of the team's upper limit that the zone has.
	Allotment int64 `json:"allotment"`
}

// awaitInForce waits until the version is in force in every zone, but at most
// inForceTimeout, and returns its state in each zone.
func (a *Admin) awaitInForce(ctx context.Context, cfg *operator.Config, version uint64) []zoneBody {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		zones, inForceEverywhere := a.configStates(ctx, cfg, version)
		if inForceEverywhere {
			return zones
		}
		select {
		case <-ctx.Done():
			return zones
		case <-time.After(inForcePollInterval):
		}
	}
}

// configStates asks every listed daemon for its configuration version. It returns
// the state of the given version in each zone of cfg, and whether it is in force
// in all of them.
func (a *Admin) configStates(ctx context.Context, cfg *operator.Config, version uint64) (zones []zoneBody, inForceEverywhere bool) {
	daemons := a.deps.Directory.Listed(func(i loglist.Instance) bool { return i.Role == loglist.RoleEntry })
	statuses := make([]*peerv1.ZoneStatusResponse, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() { statuses[i] = a.zoneStatus(ctx, d) })
	}
	wg.Wait()
	state := make(map[string]string)
	for i, d := range daemons {
		state[d.AvailabilityZone] = combineState(state[d.AvailabilityZone], statuses[i], version)
	}
	inForceEverywhere = true
	for _, z := range cfg.Zones {
		s, listed := state[z.Name]
		if !listed {
			s = stateUnknown
		}
		inForceEverywhere = inForceEverywhere && s == stateInForce
		zones = append(zones, zoneBody{Zone: z.Name, State: s})
	}
	return zones, inForceEverywhere
}

// zoneStatus asks one daemon for the status of its zone. It returns nil if the
// daemon does not answer.
func (a *Admin) zoneStatus(ctx context.Context, d loglist.Instance) *peerv1.ZoneStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	response, err := a.deps.Clients.To(d.Address).ZoneStatus(ctx, connect.NewRequest(&peerv1.ZoneStatusRequest{AvailabilityZone: d.AvailabilityZone}))
	if err != nil {
		return nil
	}
	return response.Msg
}

// combineState returns the state of a zone after one more daemon's answer, which
// is nil if the daemon gave none.
func combineState(state string, answer *peerv1.ZoneStatusResponse, version uint64) string {
	switch {
	case answer == nil || state == stateUnknown:
		return stateUnknown
	case answer.ConfigVersion < version || state == statePending:
		return statePending
	}
	return stateInForce
}

// getZones answers with the status that every zone's holder reports.
func (a *Admin) getZones(ctx context.Context, _ string, _ []byte) (any, *problem.Problem) {
	claims := a.deps.Journal.State().Claims()
	out := make([]statusBody, len(claims))
	var wg sync.WaitGroup
	for i, claim := range claims {
		wg.Go(func() {
			instance := loglist.Instance{Address: a.deps.Directory.Resolve(claim.Holder, claim.Address), AvailabilityZone: claim.Zone}
			out[i] = newStatusBody(claim.Zone, a.zoneStatus(ctx, instance))
		})
	}
	wg.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out, nil
}

// newStatusBody converts a holder's answer, which is nil if it gave none.
func newStatusBody(zone string, m *peerv1.ZoneStatusResponse) statusBody {
	out := statusBody{Zone: zone, Endpoints: []endpointBody{}, Teams: []teamBody{}}
	if m == nil {
		out.Problem = "the zone's holder does not answer"
		return out
	}
	out.Holder, out.Epoch, out.ConfigVersion = m.Holder, m.Epoch, m.ConfigVersion
	if m.Problem != nil {
		out.Problem = m.Problem.Detail
	}
	for _, e := range m.Endpoints {
		out.Endpoints = append(out.Endpoints, endpointBody{ID: e.Id, State: e.State, Running: e.Running})
	}
	for _, t := range m.Teams {
		out.Teams = append(out.Teams, teamBody{Team: t.Team, Running: t.Running, Waiting: t.Waiting, Allotment: t.Allotment})
	}
	return out
}
