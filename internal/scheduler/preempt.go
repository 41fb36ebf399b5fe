package scheduler

import (
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/backfill"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/preemption"
	"github.com/bluebellstile/bluebellstile/internal/resource"
)

const (
	// maxStarved bounds the demands for which a plan looks for runs to stop, and so its
	// cost.
	maxStarved = 32
	// minVictimHosts and victimHostsPerTask bound the hosts among whose runs victims are
	// chosen for a demand.
	minVictimHosts     = 32
	victimHostsPerTask = 4
	// maxHostVisits bounds the hosts whose expected ends a plan looks through, over all
	// demands.
	maxHostVisits = 8192
	// maxLossPerWork bounds what is thrown away for a demand, relative to what it runs
	// itself.
	maxLossPerWork = 2
)

// noteStarved remembers a demand of which a number of tasks have no room, if others may be
// stopped for it: it must be able to meet its objective in the room that they leave, and
// its customer must be within its share.
func (p *planner) noteStarved(d *Demand, tasks int) {
	if p.Victims == nil || len(p.starved) >= maxStarved || d.Excess || d.OverShare || d.Priority >= p.WorstPriority ||
		p.Now+p.Policy.StopTime > d.LatestStart || d.Eligibility != nil && d.Eligibility.QuestionInFlight {
		return
	}
	if d.Step.Spec.SameRack && !p.rackWaitOver(d) {
		// It would not use room in several racks yet.
		return
	}
	d.starving = tasks
	p.starved = append(p.starved, d)
}

// preemptor is the state of the search for runs to stop.
type preemptor struct {
	*planner
	// hosts is what the hosts have once the runs that are stopped have ended.
	hosts map[*fleet.Endpoint]*preemptedHost
	// soon is when the room of a run that is stopped now can be used.
	soon time.Duration
	// visits counts the hosts that were looked at, over all demands.
	visits int
}

// preemptedHost is a host whose runs may be stopped.
type preemptedHost struct {
	timeline backfill.Host
	// victims are nil until they are looked for. Run is nil for those that are stopped.
	victims       []Victim
	victimsSought bool
}

// preempt stops runs of work that can wait for demands without room, in scheduling order.
// It answers bursts of urgent work, and gangs that would miss their objectives, on
// endpoints that are full of less urgent work.
func (p *planner) preempt() {
	if len(p.starved) == 0 {
		return
	}
	pr := &preemptor{planner: p, hosts: make(map[*fleet.Endpoint]*preemptedHost), soon: p.Now + p.Policy.StopTime}
	for _, d := range p.starved {
		if p.PreemptionBudget <= 0 || pr.visits >= maxHostVisits {
			return
		}
		pr.makeRoom(d)
	}
}

// makeRoom stops runs so that a demand gets room, unless it gets it in time without.
func (p *preemptor) makeRoom(d *Demand) {
	n := p.tasksWithinQuota(d)
	// Otherwise the room of the stopped runs would become the headroom that is missing.
	if n == 0 || !d.Urgent && !p.headroomIsFree(d) {
		return
	}
	known := p.hostsFor(d)
	p.visits += len(known)
	timelines := make([]backfill.Host, len(known))
	for i, h := range known {
		timelines[i] = p.hostOf(h).timeline
		timelines[i].MaxTasks = d.mostOn(h, n)
		if p.leaveHeadroom(d, h, 1) == 0 {
			timelines[i].Free = timelines[i].Free.Min(resource.Vector{})
		}
	}
	// Expected ends may be late: only those in the first half of the time left count.
	until := p.soon + (d.LatestStart-p.soon)/2
	if r, ok := backfill.Foresee(p.Now, until, timelines, backfill.Work{Size: d.Step.Spec.Charge(), Tasks: n}); ok {
		p.claim(d, known, r.Tasks)
		return
	}
	tasks := p.stopFor(d, known, timelines, n)
	if tasks < n {
		p.askWhereVictimsAre(d, n-tasks)
	}
}

// tasksWithinQuota returns how many of the starving tasks their customer may run: of a gang
// all or none.
func (p *preemptor) tasksWithinQuota(d *Demand) int {
	if p.quotaAllows(d, d.starving) {
		return d.starving
	}
	if d.Step.Spec.Gang {
		return 0
	}
	return sort.Search(d.starving, func(n int) bool { return !p.quotaAllows(d, n+1) })
}

// hostsFor returns the hosts that may run a demand's tasks now, as far as is known.
func (p *preemptor) hostsFor(d *Demand) []*Host {
	known := p.knownEligible(d)
	hosts := known[:0:0]
	for _, h := range known {
		if d.mostOn(h, 1) > 0 && !p.waitsForRack(d, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// mostOn returns how many of n tasks of a demand may run on a host beside those that do.
func (d *Demand) mostOn(h *Host, n int) int {
	if limit := d.Step.Spec.MaxPerEndpoint; limit > 0 {
		return max(min(n, limit-d.Occupied[h.Endpoint.ID]), 0)
	}
	return n
}

// hostOf returns what a host has with the claims of this search.
func (p *preemptor) hostOf(h *Host) *preemptedHost {
	host := p.hosts[h.Endpoint]
	if host == nil {
		host = &preemptedHost{timeline: backfill.Host{Free: h.Free, Releases: h.releasesAfter(p.Now)}}
		p.hosts[h.Endpoint] = host
	}
	return host
}

// releasesAfter returns the expected ends after a time. Runs that have lasted longer than
// expected may last for long.
func (h *Host) releasesAfter(now time.Duration) []Release {
	after := make([]Release, 0, len(h.Releases))
	for _, r := range h.Releases {
		if r.At > now {
			after = append(after, r)
		}
	}
	return after
}

// victimsOf returns the runs on a host that may be stopped for a demand, and their indexes
// in preemptedHost.victims.
func (p *preemptor) victimsOf(d *Demand, h *Host) (victims []preemption.Victim, indexes []int) {
	host := p.hostOf(h)
	if !host.victimsSought {
		host.victims, host.victimsSought = p.Victims(h), true
	}
	for i := range host.victims {
		if v := &host.victims[i]; v.Run != nil && v.Run.Priority > d.Priority {
			victims, indexes = append(victims, v.Victim), append(indexes, i)
		}
	}
	return victims, indexes
}

// claim keeps the room of a demand from the next ones.
func (p *preemptor) claim(d *Demand, hosts []*Host, tasks []int) {
	spec, total := d.Step.Spec, 0
	for i, n := range tasks {
		if n > 0 {
			p.hostOf(hosts[i]).timeline.Claim(spec.Charge().Scale(int64(n)))
			total += n
		}
	}
	customer := d.Step.Job.Customer
	p.allocated[customer] = p.allocated[customer].Add(spec.Size.Scale(int64(total)))
}

// stopFor stops the runs on the hosts that lose the least for n tasks of a demand, and keeps
// the room that they leave for it. It returns how many tasks have room then.
func (p *preemptor) stopFor(d *Demand, known []*Host, timelines []backfill.Host, n int) int {
	hosts, indexes := make([]preemption.Host, len(known)), make([][]int, len(known))
	withVictims := 0
	for i, h := range known {
		hosts[i].Free, hosts[i].MaxTasks = timelines[i].RoomAt(p.soon), timelines[i].MaxTasks
		if withVictims < max(minVictimHosts, victimHostsPerTask*n) {
			hosts[i].Victims, indexes[i] = p.victimsOf(d, h)
		}
		if len(hosts[i].Victims) > 0 {
			withVictims++
		}
	}
	spec := d.Step.Spec
	work := d.Duration.Seconds() * float64(spec.Charge().MilliCores) / 1000 * float64(n)
	r := preemption.Choose(hosts, preemption.Need{
		Size: spec.Charge(), Tasks: n, Together: spec.Gang, Budget: min(p.PreemptionBudget, maxLossPerWork*work),
	})
	p.PreemptionBudget -= r.Loss
	for _, c := range r.Choices {
		host := p.hostOf(known[c.Host])
		v := &host.victims[indexes[c.Host][c.Victim]]
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Run: v.Run, For: d, Loss: v.Loss})
		host.timeline.Free = host.timeline.Free.Add(v.Size)
		timelines[c.Host].Free = timelines[c.Host].Free.Add(v.Size)
		v.Run = nil
	}
	if r.Tasks == 0 {
		return 0
	}
	tasks, left := make([]int, len(known)), r.Tasks
	for i := range known {
		room := timelines[i].RoomAt(p.soon)
		tasks[i] = max(int(spec.Charge().Copies(room, int64(min(left, timelines[i].MaxTasks)))), 0)
		left -= tasks[i]
	}
	p.claim(d, known, tasks)
	return r.Tasks
}

// askWhereVictimsAre asks about further hosts that would have room for tasks of a demand if
// runs were stopped there. A question about full hosts is asked for nothing else.
func (p *preemptor) askWhereVictimsAre(d *Demand, tasks int) {
	if d.Eligibility == nil || d.Step.Spec.Gang || !p.mayAsk(d) {
		return
	}
	q, expected := Question{Demand: d}, 0.0
	for _, h := range p.candidates(d) {
		if d.Eligibility.Eligible[h.Endpoint] || p.waitsForRack(d, h) {
			continue
		}
		room := p.hostOf(h).timeline.RoomAt(p.soon)
		victims, _ := p.victimsOf(d, h)
		for i := range victims {
			if !victims[i].Misses {
				room = room.Add(victims[i].Size)
			}
		}
		slots := d.Step.Spec.Charge().Copies(room, int64(d.mostOn(h, tasks)))
		if slots <= 0 {
			continue
		}
		q.Endpoints = append(q.Endpoints, h.Endpoint)
		expected += d.Eligibility.EligibleShare * float64(slots)
		if len(q.Endpoints) >= maxQuestionEndpoints || expected >= urgentAskFactor*float64(tasks) {
			break
		}
	}
	p.addQuestion(q)
}
