package scheduler

import (
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/precedence"
	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// planner is the state of one MakePlan call.
type planner struct {
	*Snapshot
	plan Plan
	// allocated is what the plan has allocated to each customer so far.
	allocated map[string]resource.Vector
	// headrooms are the parts of the capacity that are kept for urgent work.
	headrooms []*keptHeadroom
	// reservations counts the gangs that have reserved capacity in this plan.
	reservations int
	// pools holds the room of each pool with hosts or demands.
	pools map[string]*poolRoom
	// owed is what gangs need that have no room yet.
	owed precedence.Owed
	// failedSearches counts the demands for which all hosts were searched
	// without placing all tasks, and full remembers them.
	failedSearches int
	full           fullHosts
	// starved are the demands without room that others may be stopped for.
	starved []*Demand
	// urgentHosts and nonUrgentHosts are the hosts in the order that urgent and
	// other work prefers, as of the start of the plan.
	urgentHosts    []*Host
	nonUrgentHosts []*Host
	// hosts finds a host and its places in these orders by endpoint.
	hosts map[*fleet.Endpoint]hostRank
}

// Bounds of the demands for which a plan searches all hosts in vain. Without them a
// long queue would make plans so slow that nothing starts: each search takes some ten
// microseconds per hundred hosts.
const (
	maxFailedSearches = 256
	// maxFailedInOrder is the part for demands in scheduling order. The rest is for those
	// below them, which take turns from plan to plan: demands that stay at the head
	// of the order and can't start must not keep the others from being considered.
	maxFailedInOrder = maxFailedSearches / 2
)

// MakePlan decides which tasks of the snapshot start where, and which questions
// to ask. It modifies s.
func MakePlan(s *Snapshot) Plan {
	p := &planner{
		Snapshot: s, allocated: make(map[string]resource.Vector), full: make(fullHosts),
		pools: make(map[string]*poolRoom), owed: make(precedence.Owed),
	}
	p.plan.GangWaiting = make(map[*fleet.Endpoint]bool)
	p.countPools()
	p.keepHeadrooms()
	p.chargeHeldTasks()
	p.urgentHosts = sortedByScore(s.Hosts, urgentScore)
	p.nonUrgentHosts = sortedByScore(s.Hosts, nonUrgentScore)
	p.hosts = rankHosts(p.urgentHosts, p.nonUrgentHosts)
	p.placeInTurns(p.placeInOrder(rank(s)))
	p.preempt()
	return p.plan
}

// poolRoom is the capacity of a pool's hosts and the unused part of it.
type poolRoom struct{ capacity, free resource.Vector }

// countPools sets the room of the pools, and the pool of each host and demand.
func (p *planner) countPools() {
	room := func(pool string) *poolRoom {
		if p.pools[pool] == nil {
			p.pools[pool] = &poolRoom{}
		}
		return p.pools[pool]
	}
	for _, h := range p.Hosts {
		h.pool = room(h.Endpoint.Pool)
		h.pool.capacity = h.pool.capacity.Add(h.Endpoint.Capacity)
		h.pool.free = h.pool.free.Add(h.Free)
	}
	for _, d := range p.Demands {
		d.pool = room(d.Pool)
	}
}

// placeInOrder places demands in scheduling order until maxFailedInOrder searches have
// failed, and returns the demands that are left.
func (p *planner) placeInOrder(ordered []*Demand) []*Demand {
	for i, d := range ordered {
		if p.failedSearches >= maxFailedInOrder {
			return ordered[i:]
		}
		p.place(d)
	}
	return nil
}

// placeInTurns places demands in scheduling order, beginning after the last one that the
// plan before considered in this way, until maxFailedSearches searches have failed.
func (p *planner) placeInTurns(ordered []*Demand) {
	first := 0
	if p.LastTurn != nil {
		first = sort.Search(len(ordered), func(i int) bool { return p.compare(ordered[i], p.LastTurn) > 0 })
	}
	for i := range ordered {
		if p.failedSearches >= maxFailedSearches {
			p.plan.Blocked += len(ordered) - i
			return
		}
		d := ordered[(first+i)%len(ordered)]
		p.place(d)
		p.plan.LastTurn = d
	}
}

// place starts the tasks of a demand as far as possible.
func (p *planner) place(d *Demand) {
	// A gang must not lose the room while it is searched for.
	d.poolMostlyFree = d.pool.isMostlyFree()
	if d.Step.Spec.Gang {
		p.placeGang(d)
	} else {
		p.placeTasks(d)
	}
}

// chargeHeldTasks subtracts the capacity that demands hold for the answer to a
// question from all hosts. Each demand gets its part back when its turn comes.
func (p *planner) chargeHeldTasks() {
	for _, d := range p.Demands {
		if d.Eligibility == nil || len(d.Eligibility.HeldTasks) == 0 {
			continue
		}
		for _, h := range p.Hosts {
			if n := d.Eligibility.HeldTasks[h.Endpoint.ID]; n > 0 {
				p.charge(h, d.Step.Spec.Charge().Scale(int64(n)))
			}
		}
	}
}

// releaseHeldTasks gives a demand back the capacity that was held for it.
func (p *planner) releaseHeldTasks(d *Demand) {
	if d.Eligibility == nil || len(d.Eligibility.HeldTasks) == 0 {
		return
	}
	if !d.Eligibility.QuestionInFlight {
		// What the demand doesn't use is free for others from now on.
		clear(p.full)
	}
	for _, h := range p.Hosts {
		if n := d.Eligibility.HeldTasks[h.Endpoint.ID]; n > 0 {
			p.charge(h, d.Step.Spec.Charge().Scale(int64(-n)))
		}
	}
}

// slots returns how many tasks of a demand fit on a host, at most limit.
func (p *planner) slots(d *Demand, h *Host, limit int) int {
	spec := d.Step.Spec
	n := int(spec.Charge().Copies(p.available(d, h), int64(limit)))
	if spec.MaxPerEndpoint > 0 {
		n = min(n, spec.MaxPerEndpoint-d.Occupied[h.Endpoint.ID])
	}
	return max(p.leaveHeadroom(d, h, n), 0)
}

// quotaAllows reports whether the customer may run the given number of
// additional tasks of a demand.
func (p *planner) quotaAllows(d *Demand, tasks int) bool {
	customer := d.Step.Job.Customer
	size := d.Step.Spec.Size.Scale(int64(tasks))
	return p.WithinQuota(customer, p.allocated[customer].Add(size))
}

// mayStart reports whether MaxStarts allows another start for the demand. If it
// does not, the plan is marked as limited.
func (p *planner) mayStart(d *Demand) bool {
	left := p.MaxStarts - len(p.plan.Starts)
	if !d.Urgent {
		left -= p.Policy.UrgentStarts
	}
	if left <= 0 {
		p.plan.Limited = true
	}
	return left > 0
}

// start adds a start to the plan and accounts for its capacity.
func (p *planner) start(d *Demand, task int, h *Host, permit string) {
	spec := d.Step.Spec
	d.started++
	p.charge(h, spec.Charge())
	customer := d.Step.Job.Customer
	p.allocated[customer] = p.allocated[customer].Add(spec.Size)
	if spec.MaxPerEndpoint > 0 {
		d.Occupied[h.Endpoint.ID]++
	}
	p.plan.Starts = append(p.plan.Starts, Start{Demand: d, Task: task, Endpoint: h.Endpoint, Permit: permit})
}

// permit returns the token of a permit that is valid for a start on an
// endpoint. The token is empty if the demand needs none.
func (p *planner) permit(d *Demand, e *fleet.Endpoint) (string, bool) {
	if d.Eligibility == nil {
		return "", true
	}
	permit, ok := d.Eligibility.Permits[e]
	return permit.Token, ok && p.Now+p.Policy.PermitMargin < permit.Expires
}

// placeTasks starts as many tasks of a demand as fit, and asks about further
// endpoints for the rest.
func (p *planner) placeTasks(d *Demand) {
	p.releaseHeldTasks(d)
	defer p.rechargeHeldTasks(d)
	if p.yields(d) {
		p.noteYielding(d)
		return
	}
	if d.Eligibility != nil && len(d.Eligibility.Permits) == 0 && (d.Eligibility.QuestionInFlight || !p.mayAsk(d)) {
		p.plan.Blocked++
		return
	}
	if !p.mayStart(d) {
		p.plan.Blocked++
		return
	}
	if !d.holdsCapacity() && p.quotaAllows(d, 1) && p.full.includes(p.classOf(d), d, 1) {
		p.plan.Blocked++
		p.noteStarved(d, len(d.Tasks))
		return
	}
	var hosts []*Host
	if d.Eligibility != nil {
		hosts = p.permitted(d)
	} else {
		hosts = p.candidates(d)
	}
	waiting := d.Tasks
	for len(waiting) > 0 && p.quotaAllows(d, 1) && !p.yields(d) {
		if !p.mayStart(d) {
			return
		}
		task := waiting[0]
		h, token := p.hostFor(d, task, hosts)
		if h == nil {
			break
		}
		p.start(d, task, h, token)
		waiting = waiting[1:]
	}
	if len(waiting) == 0 || !p.quotaAllows(d, 1) {
		return
	}
	if p.yields(d) {
		p.noteYielding(d)
		return
	}
	p.plan.Blocked++
	p.failedSearches++
	p.rememberFullHosts(d)
	if asked := len(p.plan.Questions); d.Eligibility == nil || p.mayAsk(d) {
		p.ask(d, len(waiting))
		if len(p.plan.Questions) == asked {
			p.noteStarved(d, len(waiting))
		}
	}
}

// hostFor returns the best host on which a task can start now and the token of
// its permit, or nil. It returns a host to avoid only if no other host fits.
func (p *planner) hostFor(d *Demand, task int, hosts []*Host) (*Host, string) {
	var avoided *Host
	var avoidedToken string
	for _, h := range hosts {
		// The permit is checked first because few hosts have one when the queue
		// is long.
		token, ok := p.permit(d, h.Endpoint)
		if !ok || p.slots(d, h, 1) == 0 || p.waitsForRack(d, h) {
			continue
		}
		if d.Avoid != nil && d.Avoid(task, h.Endpoint.ID) {
			if avoided == nil {
				avoided, avoidedToken = h, token
			}
			continue
		}
		return h, token
	}
	return avoided, avoidedToken
}

// waitsForRack reports whether a task should wait for capacity in the rack of
// its data rather than run on this host. It waits at most half of the run time
// that this saves.
func (p *planner) waitsForRack(d *Demand, h *Host) bool {
	spec := d.Step.Spec
	if spec.PreferredRack == "" || spec.PreferredRack == h.Endpoint.Rack || p.late(d) {
		return false
	}
	saved := time.Duration(float64(spec.Estimate) * (p.Policy.FarFactor - 1))
	return p.Now-d.ReadyAt < saved/2 && p.rackExists(d.Pool, spec.PreferredRack)
}

func (p *planner) rackExists(pool, rack string) bool {
	for _, h := range p.Hosts {
		if h.Endpoint.Pool == pool && h.Endpoint.Rack == rack {
			return true
		}
	}
	return false
}
