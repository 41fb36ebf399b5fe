package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/backfill"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

const (
	// maxClaims bounds the gangs for which a plan foresees room, and so its cost.
	maxClaims = 24
	// maxClaimedShare is the largest part of a pool that gangs may claim: the rest is left
	// to work that starts task by task.
	maxClaimedShare = 0.5
	// claimHorizon is how far ahead room is foreseen for a gang that is late or has far
	// to go; expected ends beyond it are too uncertain.
	claimHorizon = 10 * time.Second
	// latestStartMargin is the time before its latest start from which a step ignores
	// claims. It bounds how long a gang holds back others: never so long that they miss
	// their objectives for it.
	latestStartMargin = time.Second
	// arrivalMargin is the time by which permits are to be known before the room comes.
	arrivalMargin = 100 * time.Millisecond
)

// mayClaim reports whether room may be foreseen for a blocked gang. The first gang of a
// plan may always claim it, so that the one that comes first starts in the end.
func (p *planner) mayClaim(d *Demand) bool {
	if d.Excess || p.reservations >= maxClaims {
		return false
	}
	claimed, size := p.claimed[d.Pool], p.poolSize[d.Pool]
	return p.reservations == 0 ||
		float64(claimed.MilliCores) <= maxClaimedShare*float64(size.MilliCores) &&
			float64(claimed.MemoryMB) <= maxClaimedShare*float64(size.MemoryMB) &&
			float64(claimed.Accelerators) <= maxClaimedShare*float64(size.Accelerators)
}

// claimRoom claims the capacity on which a blocked gang is expected to start earliest, and
// asks about endpoints: about those whose permits it will need then, and about others if
// those that are known don't give it room in time. It answers gangs that compete with
// single tasks on full endpoints.
func (p *planner) claimRoom(d *Demand, known []*Host, n int) {
	if !p.mayClaim(d) {
		p.askAboutUnknown(d)
		return
	}
	hosts := make([]backfill.Host, len(known))
	for i, h := range known {
		hosts[i] = h.timeline()
	}
	gang := backfill.Gang{Size: d.Step.Spec.Charge(), Tasks: n, MaxPerHost: d.Step.Spec.MaxPerEndpoint}
	until := p.Now + claimHorizon
	if !p.late(d) {
		until = min(until, d.LatestStart)
	}
	r, ok := backfill.Foresee(p.Now, until, hosts, gang)
	if !ok {
		p.askAboutUnknown(d)
		if p.reservations == 0 {
			p.reserve(d, known, n)
		}
		return
	}
	p.reservations++
	p.claimed[d.Pool] = p.claimed[d.Pool].Add(gang.Size.Scale(int64(n)))
	var endpoints []*fleet.Endpoint
	for i, h := range known {
		if r.Tasks[i] == 0 {
			continue
		}
		hosts[i].Claim(backfill.Claim{At: r.At, Size: gang.Size.Scale(int64(r.Tasks[i]))})
		h.claims = hosts[i].Claims
		p.plan.GangWaiting[h.Endpoint] = true
		endpoints = append(endpoints, h.Endpoint)
	}
	p.askForClaims(d, r.At, endpoints)
}

// askForClaims asks for permits that a gang lacks for its claims so that they arrive when
// the room does: earlier ones would expire, and later ones would leave the room idle.
func (p *planner) askForClaims(d *Demand, at time.Duration, endpoints []*fleet.Endpoint) {
	a := d.Eligibility
	if a == nil || a.QuestionInFlight || !p.mayAsk(d) {
		return
	}
	size := a.questionSize()
	takes := a.QuestionBase + time.Duration(min(len(endpoints), size))*a.QuestionPerEndpoint
	if at-p.Now > takes+arrivalMargin {
		return
	}
	missing := false
	for _, e := range endpoints {
		if a.Permits[e].Expires < at+p.Policy.PermitMargin {
			missing = true
		}
	}
	if !missing {
		return
	}
	for _, part := range evenParts(endpoints, size, p.questionsLeft(d)) {
		p.addQuestion(Question{Demand: d, Endpoints: part})
	}
}

// ignoresClaims reports whether a step that starts task by task may use claimed room
// because it would miss its objective otherwise.
func (p *planner) ignoresClaims(d *Demand) bool {
	return !d.Step.Spec.Gang && !d.Excess && !p.late(d) && d.LatestStart <= p.Now+latestStartMargin
}

// expectedEnd returns when a task of a demand would end on a host.
func (p *planner) expectedEnd(d *Demand, h *Host) time.Duration {
	if d.Step.Spec.LongRunning {
		return never
	}
	return p.Now + time.Duration(float64(d.Duration)*h.Endpoint.History.Slowdown())
}

// never is a time that no plan reaches.
const never = time.Duration(1<<63 - 1)

// timeline returns what a reservation knows of a host.
func (h *Host) timeline() backfill.Host {
	return backfill.Host{Free: h.Free, Releases: h.Releases, Claims: h.claims}
}
