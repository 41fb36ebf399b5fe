package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// hostRank is a host with its place in the orders that urgent and other work prefers.
type hostRank struct {
	host              *Host
	urgent, nonUrgent int
}

// candidates returns the hosts that may run the demand's tasks as far as is
// known, in order of preference. Hosts in the preferred rack come first.
func (p *planner) candidates(d *Demand) []*Host {
	hosts := p.nonUrgentHosts
	if d.Urgent {
		hosts = p.urgentHosts
	}
	out := make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		e := h.Endpoint
		if !p.suits(d, e) {
			continue
		}
		if d.Eligibility != nil {
			if eligible, known := d.Eligibility.Eligible[e]; known && !eligible {
				continue
			}
		}
		out = append(out, h)
	}
	return p.coldLast(d, preferRack(out, d.Step.Spec.PreferredRack))
}

// permitted returns the hosts for which a demand has a valid permit, in the order of
// candidates. It is faster where a few of many hosts have one.
func (p *planner) permitted(d *Demand) []*Host {
	return p.rankGood(d, func(e *fleet.Endpoint) bool {
		_, valid := p.permit(d, e)
		return valid
	})
}

// rankGood returns the hosts that are known to be eligible for a demand and that pass the
// filter, in the order of candidates.
func (p *planner) rankGood(d *Demand, filter func(*fleet.Endpoint) bool) []*Host {
	ranked := make([]hostRank, 0, len(d.Eligibility.Good))
	for _, e := range d.Eligibility.Good {
		if r, usable := p.hosts[e]; usable && d.Eligibility.Eligible[e] && p.suits(d, e) && filter(e) {
			ranked = append(ranked, r)
		}
	}
	slices.SortFunc(ranked, func(a, b hostRank) int {
		if d.Urgent {
			return cmp.Compare(a.urgent, b.urgent)
		}
		return cmp.Compare(a.nonUrgent, b.nonUrgent)
	})
	out := make([]*Host, len(ranked))
	for i := range ranked {
		out[i] = ranked[i].host
	}
	return p.coldLast(d, preferRack(out, d.Step.Spec.PreferredRack))
}

// suits reports whether an endpoint is of the demand's pool and has its label.
func (p *planner) suits(d *Demand, e *fleet.Endpoint) bool {
	return e.Pool == d.Pool && e.HasLabel(d.Step.Spec.RequiredLabel)
}

// preferRack returns the hosts with those in the rack first, if one is given.
func preferRack(hosts []*Host, rack string) []*Host {
	if rack == "" {
		return hosts
	}
	inRack, others := make([]*Host, 0, len(hosts)), make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Endpoint.Rack == rack {
			inRack = append(inRack, h)
		} else {
			others = append(others, h)
		}
	}
	return slices.Concat(inRack, others)
}

// coldLast returns the hosts with those last that are cold, if the demand is urgent or would
// miss its objective on them: many endpoints come back cold at once, and work that can wait
// may use them meanwhile.
func (p *planner) coldLast(d *Demand, hosts []*Host) []*Host {
	slack := time.Duration(float64(d.Duration) * (fleet.ColdSlowdown - 1))
	if !d.Urgent && d.LatestStart-p.Now >= slack || !slices.ContainsFunc(hosts, p.isCold) {
		return hosts
	}
	warm, cold := make([]*Host, 0, len(hosts)), make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		if p.isCold(h) {
			cold = append(cold, h)
		} else {
			warm = append(warm, h)
		}
	}
	return slices.Concat(warm, cold)
}

func (p *planner) isCold(h *Host) bool { return h.Endpoint.Cold(p.Now) }

// rankHosts returns the hosts with their places in the orders by endpoint.
func rankHosts(urgent, nonUrgent []*Host) map[*fleet.Endpoint]hostRank {
	ranks := make(map[*fleet.Endpoint]hostRank, len(urgent))
	for i, h := range urgent {
		ranks[h.Endpoint] = hostRank{host: h, urgent: i}
	}
	for i, h := range nonUrgent {
		r := ranks[h.Endpoint]
		r.nonUrgent = i
		ranks[h.Endpoint] = r
	}
	return ranks
}

// sortedByScore returns the hosts in ascending order of score.
func sortedByScore(hosts []*Host, score func(*Host) float64) []*Host {
	type scored struct {
		host  *Host
		score float64
	}
	list := make([]scored, len(hosts))
	for i, h := range hosts {
		list[i] = scored{host: h, score: score(h)}
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	out := make([]*Host, len(list))
	for i := range list {
		out[i] = list[i].host
	}
	return out
}

// Weights of the score, in the unit of a task's expected run time.
const (
	// weightFailures is the cost of a host on which all recent runs failed.
	weightFailures = 3.0
	// weightFreeShare is the cost of a host whose whole capacity is free, so
	// that large free blocks remain for large tasks. It is small enough to
	// decide only between hosts of similar speed.
	weightFreeShare = 0.2
	// weightGangWaiting is the cost of using a host on which a gang waits. It
	// exceeds the usual differences of speed, because the gang needs capacity
	// on several hosts at once.
	weightGangWaiting = 0.5
)

// nonUrgentScore is the cost of running non-urgent tasks on a host; lower is
// better. Hosts that are nearly full are preferred, so that they fill up.
func nonUrgentScore(h *Host) float64 { return speedScore(h) + weightFreeShare*freeShare(h) }

// urgentScore is the cost of running urgent tasks on a host; lower is better.
// Emptier hosts are preferred, so that urgent tasks spread out and the next one
// fits on any host.
func urgentScore(h *Host) float64 {
	score := speedScore(h) - weightFreeShare*freeShare(h)
	if h.GangWaiting {
		score += weightGangWaiting
	}
	return score
}

// speedScore combines how long tasks take on a host and how often they fail.
func speedScore(h *Host) float64 {
	return h.Endpoint.History.Slowdown() + weightFailures*h.Endpoint.History.FailedShare()
}

// freeShare is the free share of a host's processor capacity.
func freeShare(h *Host) float64 {
	return float64(h.Free.MilliCores) / float64(max(h.Endpoint.Capacity.MilliCores, 1))
}
