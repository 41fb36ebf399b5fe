package scheduler

import (
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// placement is a number of a gang's tasks on one host.
type placement struct {
	host  *Host
	tasks int
}

// placeGang starts all tasks of a gang or none.
func (p *planner) placeGang(d *Demand) {
	p.releaseHeldTasks(d)
	n := len(d.Tasks)
	if !p.quotaAllows(d, n) || !p.mayStart(d) {
		p.rechargeHeldTasks(d)
		return
	}
	if !d.holdsCapacity() && !p.mayReserve(d) && p.full.includes(p.classOf(d), d, n) {
		p.plan.Blocked++
		p.noteOwed(d, n)
		if p.gangQuestionsLeft(d) > 0 {
			p.failedSearches++
		}
		p.askOrStarve(d, n)
		return
	}
	known := p.knownEligible(d)
	placements := p.findPlacements(d, known, n)
	if placements == nil {
		p.plan.Blocked++
		p.failedSearches++
		if d.Eligibility == nil && d.Step.Spec.MaxPerEndpoint == 0 && (!d.Step.Spec.SameRack || p.rackWaitOver(d)) {
			p.full.add(p.classOf(d), d, n)
		}
		p.rechargeHeldTasks(d)
		p.noteOwed(d, n)
		p.askOrStarve(d, n)
		p.reserve(d, known, n)
		return
	}
	if !p.allPermitted(d, placements) {
		p.renewPermits(d, placements)
		return
	}
	next := 0
	for _, pl := range placements {
		token, _ := p.permit(d, pl.host.Endpoint)
		for range pl.tasks {
			p.start(d, d.Tasks[next], pl.host, token)
			next++
		}
	}
}

// askOrStarve asks about endpoints that a gang without room doesn't know. If there is nothing
// to ask, others may be stopped for it: endpoints that it doesn't know may have room.
func (p *planner) askOrStarve(d *Demand, n int) {
	asked := len(p.plan.Questions)
	p.askAboutUnknown(d)
	if len(p.plan.Questions) == asked {
		p.noteStarved(d, n)
	}
}

// rechargeHeldTasks subtracts the capacity held for a demand from its hosts
// again while its question is in flight.
func (p *planner) rechargeHeldTasks(d *Demand) {
	if d.Eligibility == nil || !d.Eligibility.QuestionInFlight || len(d.Eligibility.HeldTasks) == 0 {
		return
	}
	for _, h := range p.Hosts {
		if n := d.Eligibility.HeldTasks[h.Endpoint.ID]; n > 0 {
			p.charge(h, d.Step.Spec.Charge().Scale(int64(n)))
		}
	}
}

// knownEligible returns the hosts that are known to be eligible for the demand.
func (p *planner) knownEligible(d *Demand) []*Host {
	if d.Eligibility == nil {
		return p.candidates(d)
	}
	return p.rankGood(d, func(*fleet.Endpoint) bool { return true })
}

// findPlacements finds capacity for n tasks, or returns nil. Hosts with a valid
// permit come first, as the gang can start there at once.
func (p *planner) findPlacements(d *Demand, hosts []*Host, n int) []placement {
	if d.Step.Spec.SameRack {
		if placements := p.placementsInOneRack(d, hosts, n); placements != nil || !p.rackWaitOver(d) {
			return placements
		}
	}
	preferred := make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		if _, ok := p.permit(d, h.Endpoint); ok {
			preferred = append(preferred, h)
		}
	}
	if len(preferred) > 0 && len(preferred) < len(hosts) {
		for _, h := range hosts {
			if _, ok := p.permit(d, h.Endpoint); !ok {
				preferred = append(preferred, h)
			}
		}
		hosts = preferred
	}
	return p.fillHosts(d, hosts, n)
}

// rackWaitOver reports whether a gang has waited long enough for capacity in a
// single rack: half of the run time that this would save.
func (p *planner) rackWaitOver(d *Demand) bool {
	saved := time.Duration(float64(d.Step.Spec.Estimate) * (p.Policy.FarFactor - 1))
	return p.late(d) || p.Now-d.ReadyAt > saved/2
}

// placementsInOneRack finds capacity for all tasks in one rack, or returns nil.
func (p *planner) placementsInOneRack(d *Demand, hosts []*Host, n int) []placement {
	byRack := make(map[string][]*Host)
	var racks []string
	for _, h := range hosts {
		if byRack[h.Endpoint.Rack] == nil {
			racks = append(racks, h.Endpoint.Rack)
		}
		byRack[h.Endpoint.Rack] = append(byRack[h.Endpoint.Rack], h)
	}
	for _, rack := range racks {
		if placements := p.fillHosts(d, byRack[rack], n); placements != nil {
			return placements
		}
	}
	return nil
}

// fillHosts places n tasks on hosts in the given order, or returns nil. It
// charges the hosts while it searches, so that the capacity kept for urgent
// tasks is counted once, and restores them at the end.
func (p *planner) fillHosts(d *Demand, hosts []*Host, n int) []placement {
	var placements []placement
	for _, h := range hosts {
		if n == 0 {
			break
		}
		if k := p.slots(d, h, n); k > 0 {
			placements = append(placements, placement{host: h, tasks: k})
			p.charge(h, d.Step.Spec.Charge().Scale(int64(k)))
			n -= k
		}
	}
	for _, pl := range placements {
		p.charge(pl.host, d.Step.Spec.Charge().Scale(int64(-pl.tasks)))
	}
	if n > 0 {
		return nil
	}
	return placements
}

// allPermitted reports whether all placements have valid permits.
func (p *planner) allPermitted(d *Demand, placements []placement) bool {
	for _, pl := range placements {
		if _, ok := p.permit(d, pl.host.Endpoint); !ok {
			return false
		}
	}
	return true
}

// renewPermits asks for permits for the placements and holds their capacity
// until the answer arrives.
func (p *planner) renewPermits(d *Demand, placements []placement) {
	heldTasks := make(map[string]int)
	var endpoints []*fleet.Endpoint
	for _, pl := range placements {
		p.charge(pl.host, d.Step.Spec.Charge().Scale(int64(pl.tasks)))
		heldTasks[pl.host.Endpoint.ID] = pl.tasks
		endpoints = append(endpoints, pl.host.Endpoint)
	}
	if d.Eligibility.QuestionInFlight || !p.mayAsk(d) {
		return
	}
	for _, part := range evenParts(endpoints, d.Eligibility.questionSize(), p.questionsLeft(d)) {
		p.addQuestion(Question{Demand: d, Endpoints: part, HeldTasks: heldTasks})
	}
}

// mayReserve reports whether a blocked gang may reserve capacity.
func (p *planner) mayReserve(d *Demand) bool {
	return p.reservations < p.Policy.MaxReservations && !d.Excess
}

// slotsInRoom returns how many of n tasks of a gang have the given room on one host.
func (d *Demand) slotsInRoom(room resource.Vector, n int) int {
	k := int(d.Step.Spec.Charge().Copies(room, int64(n)))
	if limit := d.Step.Spec.MaxPerEndpoint; limit > 0 {
		k = min(k, limit)
	}
	return k
}

// reserve reserves the capacity on which a blocked gang is expected to start
// earliest, if the headroom stays then. Otherwise lower-ranked small tasks would take each gap as it
// appears.
func (p *planner) reserve(d *Demand, hosts []*Host, n int) {
	if !p.mayReserve(d) {
		return
	}
	releases := releasesInOrder(hosts)
	for _, pl := range p.earliestPlacements(d, hosts, releases, n) {
		pl.host.Reserved = pl.host.Reserved.Add(d.Step.Spec.Charge().Scale(int64(pl.tasks)))
		p.plan.GangWaiting[pl.host.Endpoint] = true
	}
}

// earliestPlacements returns the placements of n tasks of a gang after the fewest releases
// with which it may start and the headroom stays, and counts them as a reservation. It
// returns nil if there are none.
func (p *planner) earliestPlacements(d *Demand, hosts []*Host, releases []hostRelease, n int) []placement {
	first := p.releasesNeeded(d, hosts, releases, n)
	if first < 0 {
		return nil
	}
	placements := p.placementsAfter(d, hosts, releases[:first], n)
	if placements == nil {
		if p.placementsAfter(d, hosts, releases, n) == nil {
			return nil
		}
		more := sort.Search(len(releases)-first, func(i int) bool {
			return p.placementsAfter(d, hosts, releases[:first+i], n) != nil
		})
		placements = p.placementsAfter(d, hosts, releases[:first+more], n)
	}
	p.reservations++
	return placements
}

// hostRelease is capacity that is expected to become free on the host with an index.
type hostRelease struct {
	Release
	host int
}

// releasesInOrder returns the expected ends on hosts in order of time.
func releasesInOrder(hosts []*Host) []hostRelease {
	var releases []hostRelease
	for i, h := range hosts {
		for _, r := range h.Releases {
			releases = append(releases, hostRelease{Release: r, host: i})
		}
	}
	sort.SliceStable(releases, func(i, k int) bool { return releases[i].At < releases[k].At })
	return releases
}

// releasesNeeded returns after how many releases hosts have room for n tasks of a gang,
// headroom or not; -1 if they never have.
func (p *planner) releasesNeeded(d *Demand, hosts []*Host, releases []hostRelease, n int) int {
	room, slots, total := make([]resource.Vector, len(hosts)), make([]int, len(hosts)), 0
	recount := func(i int) {
		k := d.slotsInRoom(room[i], n)
		total += k - slots[i]
		slots[i] = k
	}
	for i, h := range hosts {
		room[i] = p.available(d, h)
		recount(i)
	}
	for i, r := range releases {
		if total >= n {
			return i
		}
		room[r.host] = room[r.host].Add(r.Size)
		recount(r.host)
	}
	if total < n {
		return -1
	}
	return len(releases)
}

// placementsAfter returns the placements of n tasks of a gang once the releases have
// happened, or nil.
func (p *planner) placementsAfter(d *Demand, hosts []*Host, releases []hostRelease, n int) []placement {
	released := make([]resource.Vector, len(hosts))
	for _, r := range releases {
		released[r.host] = released[r.host].Add(r.Size)
	}
	charge := func(sign int64) {
		for i, size := range released {
			if size != (resource.Vector{}) {
				p.charge(hosts[i], size.Scale(sign))
			}
		}
	}
	charge(-1)
	defer charge(1)
	return p.fillHosts(d, hosts, n)
}
