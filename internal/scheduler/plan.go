package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// planner is the state of one MakePlan call.
type planner struct {
	*Snapshot
	plan Plan
	// allocated is what the plan has allocated to each customer so far.
	allocated map[string]resource.Vector
	// freeUrgentSlots is the number of typical urgent tasks that fit on all
	// hosts.
	freeUrgentSlots int
	// reservations counts the gangs that have reserved capacity in this plan.
	reservations int
	// failedSearches counts the demands for which all hosts were searched
	// without placing all tasks.
	failedSearches int
	// urgentHosts and nonUrgentHosts are the hosts in the order that urgent and
	// other work prefers, as of the start of the plan.
	urgentHosts    []*Host
	nonUrgentHosts []*Host
	// hosts finds a host and its places in these orders by endpoint.
	hosts map[*fleet.Endpoint]hostRank
}

// hostRank is a host with its place in the orders that urgent and other work prefers.
type hostRank struct {
	host              *Host
	urgent, nonUrgent int
}

// maxFailedSearches bounds the demands for which a plan searches all hosts in
// vain. Without the bound a long queue would make plans so slow that nothing
// starts: each search takes some ten microseconds per hundred hosts.
const maxFailedSearches = 256

// MakePlan decides which tasks of the snapshot start where, and which questions
// to ask. It modifies s.
func MakePlan(s *Snapshot) Plan {
	p := &planner{Snapshot: s, allocated: make(map[string]resource.Vector)}
	p.plan.GangWaiting = make(map[*fleet.Endpoint]bool)
	for _, h := range s.Hosts {
		p.freeUrgentSlots += p.urgentSlots(h)
	}
	p.chargeHeldTasks()
	p.urgentHosts = sortedByScore(s.Hosts, urgentScore)
	p.nonUrgentHosts = sortedByScore(s.Hosts, nonUrgentScore)
	p.hosts = rankHosts(p.urgentHosts, p.nonUrgentHosts)
	for _, d := range rank(s) {
		if p.failedSearches >= maxFailedSearches {
			// Lower-ranked demands are considered once higher-ranked ones have
			// started.
			p.plan.Blocked++
			continue
		}
		if d.Step.Spec.Gang {
			p.placeGang(d)
		} else {
			p.placeTasks(d)
		}
	}
	return p.plan
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
	for _, h := range p.Hosts {
		if n := d.Eligibility.HeldTasks[h.Endpoint.ID]; n > 0 {
			p.charge(h, d.Step.Spec.Charge().Scale(int64(-n)))
		}
	}
}

// charge subtracts size, which may be negative, from the free capacity of a
// host.
func (p *planner) charge(h *Host, size resource.Vector) {
	p.freeUrgentSlots -= p.urgentSlots(h)
	h.Free = h.Free.Sub(size)
	p.freeUrgentSlots += p.urgentSlots(h)
}

// urgentSlots returns how many typical urgent tasks fit on a host.
func (p *planner) urgentSlots(h *Host) int {
	const maxSlots = 1000
	if p.Policy.UrgentSize == (resource.Vector{}) {
		return 0
	}
	return int(p.Policy.UrgentSize.Copies(h.Free, maxSlots))
}

// available returns the capacity of a host that a demand may use.
func (h *Host) available(d *Demand) resource.Vector {
	if d.Urgent {
		return h.Free
	}
	return h.Free.Sub(h.Reserved)
}

// slots returns how many tasks of a demand fit on a host, at most limit.
func (p *planner) slots(d *Demand, h *Host, limit int) int {
	spec := d.Step.Spec
	n := int(spec.Charge().Copies(h.available(d), int64(limit)))
	if spec.MaxPerEndpoint > 0 {
		n = min(n, spec.MaxPerEndpoint-d.Occupied[h.Endpoint.ID])
	}
	if !d.Urgent {
		n = p.limitForUrgent(d, h, n)
	}
	return max(n, 0)
}

// limitForUrgent returns how many of n tasks a host may take so that enough
// capacity remains for urgent ones. An urgent task fits into a small gap on any
// host, so the slots are counted over all hosts.
func (p *planner) limitForUrgent(d *Demand, h *Host, n int) int {
	if p.freeUrgentSlots >= p.Policy.UrgentSlots+p.urgentSlots(h) {
		return n
	}
	free, before := h.Free, p.urgentSlots(h)
	for ; n > 0; n-- {
		h.Free = free.Sub(d.Step.Spec.Charge().Scale(int64(n)))
		after := p.urgentSlots(h)
		h.Free = free
		if after == before || p.freeUrgentSlots-before+after >= p.Policy.UrgentSlots {
			return n
		}
	}
	return 0
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
	return preferRack(out, d.Step.Spec.PreferredRack)
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
	return preferRack(out, d.Step.Spec.PreferredRack)
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
	if d.Eligibility != nil && len(d.Eligibility.Permits) == 0 && (d.Eligibility.QuestionInFlight || !p.mayAsk(d)) {
		p.plan.Blocked++
		return
	}
	if !p.mayStart(d) {
		p.plan.Blocked++
		return
	}
	var hosts []*Host
	if d.Eligibility != nil {
		hosts = p.permitted(d)
	} else {
		hosts = p.candidates(d)
	}
	waiting := d.Tasks
	for len(waiting) > 0 && p.quotaAllows(d, 1) {
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
	p.plan.Blocked++
	p.failedSearches++
	p.ask(d, len(waiting))
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

// Bounds of a question.
const (
	// maxQuestionEndpoints bounds the endpoints in one question; the service
	// accepts no more.
	maxQuestionEndpoints = 100
	// minQuestionEndpoints is how many endpoints a question names if there are
	// that many: another endpoint costs little compared with the call itself.
	minQuestionEndpoints = 8
	// askFactor is the ratio of the slots that the endpoints asked about are
	// expected to allow to the slots needed. urgentAskFactor is the ratio for
	// urgent work, whose questions are cheap and which has no time for a second
	// one.
	askFactor       = 1.5
	urgentAskFactor = 3
)

// ask adds a question about hosts with free capacity, unless one is in flight.
// For non-urgent work the capacity is held until the answer arrives, so that
// lower-ranked work does not ask for it too.
func (p *planner) ask(d *Demand, tasks int) {
	a := d.Eligibility
	if a == nil || a.QuestionInFlight || !p.mayAsk(d) {
		return
	}
	q := Question{Demand: d, HeldTasks: make(map[string]int)}
	wanted, expected := askFactor*float64(tasks), 0.0
	if d.Urgent {
		wanted = urgentAskFactor * float64(tasks)
	}
	for _, h := range p.candidates(d) {
		n := p.slots(d, h, tasks)
		if n == 0 || p.waitsForRack(d, h) {
			continue
		}
		if _, ok := p.permit(d, h.Endpoint); ok {
			continue
		}
		q.Endpoints = append(q.Endpoints, h.Endpoint)
		if expected < wanted {
			expected += p.holdTasks(d, h, n, &q)
		}
		if len(q.Endpoints) >= maxQuestionEndpoints || len(q.Endpoints) >= minQuestionEndpoints && expected >= wanted {
			break
		}
	}
	p.addQuestion(q)
}

// holdTasks holds capacity for n tasks on a host that is asked about, unless
// the demand is urgent. It returns how many of the tasks the host is expected
// to run.
func (p *planner) holdTasks(d *Demand, h *Host, n int, q *Question) float64 {
	share := d.Eligibility.EligibleShare
	if d.Eligibility.Eligible[h.Endpoint] {
		share = 1
	}
	if !d.Urgent {
		p.charge(h, d.Step.Spec.Charge().Scale(int64(n)))
		q.HeldTasks[h.Endpoint.ID] = n
	}
	return share * float64(n)
}

// mayAsk reports whether another question may be asked for a demand.
func (p *planner) mayAsk(d *Demand) bool { return p.questionsLeft(d) > 0 }

// questionsLeft returns how many more questions the plan may ask for demands of this kind.
func (p *planner) questionsLeft(d *Demand) int {
	if d.Urgent {
		return p.UrgentQuestions
	}
	return p.Questions
}

// addQuestion adds a question to the plan, unless it names no endpoints.
func (p *planner) addQuestion(q Question) {
	if len(q.Endpoints) == 0 {
		return
	}
	if q.Demand.Urgent {
		p.UrgentQuestions--
	} else {
		p.Questions--
	}
	p.plan.Questions = append(p.plan.Questions, q)
}
