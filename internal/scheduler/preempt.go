package scheduler

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/backfill"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/preemption"
)

// maxStarved bounds the demands for which a plan looks for runs to stop, and so its cost.
const maxStarved = 32

// noteStarved remembers a demand without room for which others may be stopped: urgent work,
// and gangs that can still meet their objectives.
func (p *planner) noteStarved(d *Demand) {
	if !p.Policy.Preemption || d.Excess || len(p.starved) >= maxStarved {
		return
	}
	if d.Urgent || d.Step.Spec.Gang && p.Now+p.Policy.StopTime <= d.LatestStart {
		p.starved = append(p.starved, d)
	}
}

// preemptor is the state of the search for runs to stop.
type preemptor struct {
	*planner
	// hosts is what the hosts have once the runs that are stopped have ended.
	hosts map[*fleet.Endpoint]*preemptedHost
	// soon is when the room of a run that is stopped now can be used.
	soon time.Duration
}

// preemptedHost is a host whose runs may be stopped.
type preemptedHost struct {
	timeline backfill.Host
	victims  []Victim
}

// preempt stops runs of work that can wait for demands without room, in scheduling order.
// It answers bursts of urgent work, and gangs that would miss their objectives, on
// endpoints that are full of less urgent work.
func (p *planner) preempt() {
	if len(p.starved) == 0 || p.Victims == nil {
		return
	}
	pr := &preemptor{planner: p, hosts: make(map[*fleet.Endpoint]*preemptedHost), soon: p.Now + p.Policy.StopTime}
	for _, d := range p.starved {
		pr.makeRoom(d)
	}
}

// makeRoom stops runs so that a demand gets room, unless it gets it soon without.
func (p *preemptor) makeRoom(d *Demand) {
	known := p.knownEligible(d)
	gang := backfill.Gang{Size: d.Step.Spec.Charge(), Tasks: d.starving, MaxPerHost: d.Step.Spec.MaxPerEndpoint}
	if !p.quotaAllows(d, d.starving) {
		return
	}
	hosts := make([]backfill.Host, len(known))
	for i, h := range known {
		hosts[i] = p.hostOf(h).timeline
	}
	until := p.soon
	if !d.Urgent {
		// A gang that gets room in time needs nobody else's.
		until = d.LatestStart
	}
	if r, ok := backfill.Foresee(p.Now, until, hosts, gang); ok {
		p.claim(d, known, r.At, r.Tasks)
		return
	}
	if chosen := p.choose(d, known, false); chosen != nil || !d.Urgent {
		p.stop(d, known, chosen)
		return
	}
	p.stop(d, known, p.choose(d, known, true))
}

// hostOf returns what a host has with the claims of this search.
func (p *preemptor) hostOf(h *Host) *preemptedHost {
	host := p.hosts[h.Endpoint]
	if host == nil {
		host = &preemptedHost{timeline: h.timeline(), victims: p.Victims(h)}
		p.hosts[h.Endpoint] = host
	}
	return host
}

// claim keeps the room of a demand from the next ones.
func (p *preemptor) claim(d *Demand, hosts []*Host, at time.Duration, tasks []int) {
	for i, n := range tasks {
		if n > 0 {
			p.hostOf(hosts[i]).timeline.Claim(backfill.Claim{At: at, Size: d.Step.Spec.Charge().Scale(int64(n))})
		}
	}
}

// choose returns the victims on the hosts that lose the least, by host.
func (p *preemptor) choose(d *Demand, known []*Host, mayMiss bool) []preemption.Choice {
	hosts := make([]preemption.Host, len(known))
	for i, h := range known {
		host := p.hostOf(h)
		hosts[i].Free = host.timeline.RoomAt(p.soon)
		for k := range host.victims {
			v := host.victims[k].Victim
			if host.victims[k].Run == nil || host.victims[k].Run.Priority <= d.Priority {
				// It is stopped already, or goes first: it gives nothing.
				v = preemption.Victim{Misses: true, Loss: p.PreemptionBudget + 1}
			}
			hosts[i].Victims = append(hosts[i].Victims, v)
		}
	}
	spec := d.Step.Spec
	chosen, loss := preemption.Choose(hosts, preemption.Need{
		Size: spec.Charge(), Tasks: d.starving, MaxPerHost: spec.MaxPerEndpoint, Budget: p.PreemptionBudget, MayMiss: mayMiss,
	}, spec.Gang)
	p.PreemptionBudget -= loss
	return chosen
}

// stop stops the chosen victims and keeps the room that they leave for the demand.
func (p *preemptor) stop(d *Demand, known []*Host, chosen []preemption.Choice) {
	if len(chosen) == 0 {
		return
	}
	for _, c := range chosen {
		host := p.hostOf(known[c.Host])
		v := &host.victims[c.Victim]
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Run: v.Run, For: d, Loss: v.Loss})
		host.timeline.Releases = append(host.timeline.Releases[:len(host.timeline.Releases):len(host.timeline.Releases)], Release{At: p.soon, Size: v.Size})
		v.Run = nil
	}
	left := d.starving
	for _, h := range known {
		host := p.hostOf(h)
		n := int(d.Step.Spec.Charge().Copies(host.timeline.RoomAt(p.soon), int64(left)))
		if n > 0 {
			host.timeline.Claim(backfill.Claim{At: p.soon, Size: d.Step.Spec.Charge().Scale(int64(n))})
			left -= n
		}
	}
}

// timeline returns what a host has now and what is expected to become free there.
func (h *Host) timeline() backfill.Host {
	return backfill.Host{Free: h.Free, Releases: h.Releases}
}
