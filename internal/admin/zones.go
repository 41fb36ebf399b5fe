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

// statusTimeout bounds the question to one daemon.
const statusTimeout = time.Second

// Where a configuration stands in a zone.
const (
	stateInForce = "in force"
	statePending = "pending"
	stateUnknown = "unknown"
)

// zoneBody says where a configuration stands in a zone: in force if every
// listed daemon of the zone has it, unknown if one could not be asked.
type zoneBody struct {
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// statusBody is what operators see of a zone.
type statusBody struct {
	Zone          string         `json:"zone"`
	Holder        string         `json:"holder,omitempty"`
	Epoch         uint64         `json:"epoch,omitempty"`
	ConfigVersion uint64         `json:"config_version"`
	Endpoints     []endpointBody `json:"endpoints"`
	Teams         []teamBody     `json:"teams"`
	Problem       string         `json:"problem,omitempty"`
}

// endpointBody is what operators see of an endpoint.
type endpointBody struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Running int64  `json:"running"`
}

// teamBody is what operators see of a team in a zone.
type teamBody struct {
	Team      string `json:"team"`
	Running   int64  `json:"running"`
	Waiting   int64  `json:"waiting"`
	Allotment int64  `json:"allotment"`
}

// awaitForce waits until the version is in force in every zone or the bound
// has passed, and says where it stands.
func (a *Admin) awaitForce(ctx context.Context, cfg *operator.Config, version uint64) []zoneBody {
	ctx, cancel := context.WithTimeout(ctx, forceBound)
	defer cancel()
	for {
		zones, everywhere := a.force(ctx, cfg, version)
		if everywhere {
			return zones
		}
		select {
		case <-ctx.Done():
			return zones
		case <-time.After(forcePoll):
		}
	}
}

// force asks every listed daemon which version it has.
func (a *Admin) force(ctx context.Context, cfg *operator.Config, version uint64) (zones []zoneBody, everywhere bool) {
	daemons := a.deps.Directory.Listed(func(i loglist.Instance) bool { return i.Role == loglist.RoleEntry })
	versions := make([]*peerv1.ZoneStatusResponse, len(daemons))
	var wait sync.WaitGroup
	for i, d := range daemons {
		wait.Go(func() { versions[i] = a.ask(ctx, d) })
	}
	wait.Wait()
	state := make(map[string]string)
	for i, d := range daemons {
		state[d.AvailabilityZone] = combine(state[d.AvailabilityZone], versions[i], version)
	}
	everywhere = true
	for _, z := range cfg.Zones {
		s, listed := state[z.Name]
		if !listed {
			s = stateUnknown
		}
		everywhere = everywhere && s == stateInForce
		zones = append(zones, zoneBody{Zone: z.Name, State: s})
	}
	return zones, everywhere
}

// ask asks one daemon for its state; nil if it does not answer.
func (a *Admin) ask(ctx context.Context, d loglist.Instance) *peerv1.ZoneStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	response, err := a.deps.Clients.To(d.Address).ZoneStatus(ctx, connect.NewRequest(&peerv1.ZoneStatusRequest{AvailabilityZone: d.AvailabilityZone}))
	if err != nil {
		return nil
	}
	return response.Msg
}

// combine adds one daemon's answer to the state of its zone.
func combine(state string, answer *peerv1.ZoneStatusResponse, version uint64) string {
	switch {
	case answer == nil || state == stateUnknown:
		return stateUnknown
	case answer.ConfigVersion < version || state == statePending:
		return statePending
	}
	return stateInForce
}

// getZones answers what every zone's holder reports.
func (a *Admin) getZones(ctx context.Context, _ string, _ []byte) (any, *problem.Problem) {
	claims := a.deps.Journal.State().Claims()
	out := make([]statusBody, len(claims))
	var wait sync.WaitGroup
	for i, claim := range claims {
		wait.Go(func() {
			instance := loglist.Instance{Address: a.deps.Directory.Resolve(claim.Holder, claim.Address), AvailabilityZone: claim.Zone}
			out[i] = statusOf(claim.Zone, a.ask(ctx, instance))
		})
	}
	wait.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out, nil
}

// statusOf converts a holder's answer.
func statusOf(zone string, m *peerv1.ZoneStatusResponse) statusBody {
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
