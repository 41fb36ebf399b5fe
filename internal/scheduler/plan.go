package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// planner carries the state of one plan.
type planner struct {
	*Snapshot
	plan Plan
	// given is what the plan has given to customers so far.
	given map[string]resource.Vector
	// places is for how many typical urgent tasks there is room.
	places int
	// reserved counts the gangs that hold room back.
	reserved int
	// searched counts the demands for which all hosts were looked at in vain.
	searched int
	// urgentHosts and bulkHosts are the hosts in the order in which urgent
	// and other work prefers them as the plan begins.
	urgentHosts []*Host
	bulkHosts   []*Host
}

// mostSearched bounds the demands for which a plan looks at all hosts in vain,
// so that a long queue does not make plans so long that nothing starts: each
// takes some ten microseconds for a hundred hosts.
const mostSearched = 256

// MakePlan returns the plan for a snapshot.
func MakePlan(s *Snapshot) Plan {
	p := &planner{Snapshot: s, given: make(map[string]resource.Vector)}
	p.plan.GangWaiting = make(map[*fleet.Endpoint]bool)
	for _, h := range s.Hosts {
		p.places += p.urgentPlaces(h)
	}
	p.holdAnswers()
	p.urgentHosts = ordered(s.Hosts, urgentScore)
	p.bulkHosts = ordered(s.Hosts, bulkScore)
	for _, d := range rank(s) {
		if p.searched >= mostSearched {
			// What ranks lower has its turn when what ranks higher has begun.
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

// holdAnswers takes the room that waits for the answer to a question from
// all hosts; the demand that it is held for gets it back in its turn.
func (p *planner) holdAnswers() {
	for _, d := range p.Demands {
		if d.Eligibility == nil || len(d.Eligibility.HeldTasks) == 0 {
			continue
		}
		for _, h := range p.Hosts {
			if n := d.Eligibility.HeldTasks[h.Endpoint.ID]; n > 0 {
				p.take(h, d.Step.Spec.Charge().Scale(int64(n)))
			}
		}
	}
}

// returnHeld gives a demand the room that was held for it.
func (p *planner) returnHeld(d *Demand) {
	if d.Eligibility == nil {
		return
	}
	for _, h := range p.Hosts {
		if n := d.Eligibility.HeldTasks[h.Endpoint.ID]; n > 0 {
			p.take(h, d.Step.Spec.Charge().Scale(int64(-n)))
		}
	}
}

// take uses up room of a host.
func (p *planner) take(h *Host, size resource.Vector) {
	p.places -= p.urgentPlaces(h)
	h.Free = h.Free.Sub(size)
	p.places += p.urgentPlaces(h)
}

// urgentPlaces is how many typical urgent tasks fit on a host.
func (p *planner) urgentPlaces(h *Host) int {
	const most = 1000
	if p.Policy.UrgentSize == (resource.Vector{}) {
		return 0
	}
	return int(p.Policy.UrgentSize.Copies(h.Free, most))
}

// room is what a demand may use of a host.
func (h *Host) room(d *Demand) resource.Vector {
	if d.Urgent {
		return h.Free
	}
	return h.Free.Sub(h.Reserved)
}

// slots returns how many tasks of a demand fit on a host, at most limit.
func (p *planner) slots(d *Demand, h *Host, limit int) int {
	spec := d.Step.Spec
	n := int(spec.Charge().Copies(h.room(d), int64(limit)))
	if spec.MaxPerEndpoint > 0 {
		n = min(n, spec.MaxPerEndpoint-d.Occupied[h.Endpoint.ID])
	}
	if !d.Urgent {
		n = p.besideUrgent(d, h, n)
	}
	return max(n, 0)
}

// besideUrgent returns how many of n tasks a host may take so that enough
// room stays for urgent ones. Small holes anywhere are room enough, so the
// places are counted over all hosts.
func (p *planner) besideUrgent(d *Demand, h *Host, n int) int {
	if p.places >= p.Policy.UrgentSlots+p.urgentPlaces(h) {
		return n
	}
	free, before := h.Free, p.urgentPlaces(h)
	for ; n > 0; n-- {
		h.Free = free.Sub(d.Step.Spec.Charge().Scale(int64(n)))
		after := p.urgentPlaces(h)
		h.Free = free
		if after == before || p.places-before+after >= p.Policy.UrgentSlots {
			return n
		}
	}
	return 0
}

// candidates returns the hosts on which the demand's tasks may run as far as
// is known, those that fit them best first.
func (p *planner) candidates(d *Demand) []*Host {
	hosts := p.bulkHosts
	if d.Urgent {
		hosts = p.urgentHosts
	}
	out := make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		e := h.Endpoint
		if e.Pool != d.Pool || !e.HasLabel(d.Step.Spec.RequiredLabel) {
			continue
		}
		if d.Eligibility != nil {
			if good, known := d.Eligibility.Eligible[e]; known && !good {
				continue
			}
		}
		out = append(out, h)
	}
	if rack := d.Step.Spec.PreferredRack; rack != "" {
		there, elsewhere := make([]*Host, 0, len(out)), make([]*Host, 0, len(out))
		for _, h := range out {
			if h.Endpoint.Rack == rack {
				there = append(there, h)
			} else {
				elsewhere = append(elsewhere, h)
			}
		}
		out = slices.Concat(there, elsewhere)
	}
	return out
}

// ordered returns the hosts by their score, the lowest first.
func ordered(hosts []*Host, score func(*Host) float64) []*Host {
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
	// weightFailures is the cost of a host that failed all of its last runs.
	weightFailures = 3.0
	// weightLeftover is the cost of leaving a host's whole room unused, so
	// that whole holes stay for large tasks. It only decides between hosts
	// that are about as fast.
	weightLeftover = 0.2
	// weightWanted is the cost of taking room on a host on which a gang waits:
	// more than the usual differences of speed, as the gang waits for several
	// pieces at once.
	weightWanted = 0.5
)

// bulkScore is the cost of running tasks on a host that are not urgent; lower
// is better. They fill up hosts that are nearly full.
func bulkScore(h *Host) float64 { return speedScore(h) + weightLeftover*freeShare(h) }

// urgentScore is the cost of running urgent tasks on a host. They spread out,
// so that each next one finds room anywhere.
func urgentScore(h *Host) float64 {
	score := speedScore(h) - weightLeftover*freeShare(h)
	if h.GangWaiting {
		score += weightWanted
	}
	return score
}

// speedScore is how long tasks take on a host and how often they fail.
func speedScore(h *Host) float64 {
	return h.Endpoint.History.Slowdown() + weightFailures*h.Endpoint.History.FailedShare()
}

// freeShare is the free part of a host's processors.
func freeShare(h *Host) float64 {
	return float64(h.Free.MilliCores) / float64(max(h.Endpoint.Capacity.MilliCores, 1))
}

// allowed reports whether the customer may take one task more of a demand.
func (p *planner) allowed(d *Demand, tasks int) bool {
	customer := d.Step.Job.Customer
	size := d.Step.Spec.Size.Scale(int64(tasks))
	return p.WithinQuota(customer, p.given[customer].Add(size))
}

// mayStart reports whether the plan may have one more start, and notes if it
// may not.
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

// start decides on a start.
func (p *planner) start(d *Demand, task int, h *Host, permit string) {
	spec := d.Step.Spec
	p.take(h, spec.Charge())
	customer := d.Step.Job.Customer
	p.given[customer] = p.given[customer].Add(spec.Size)
	if spec.MaxPerEndpoint > 0 {
		d.Occupied[h.Endpoint.ID]++
	}
	p.plan.Starts = append(p.plan.Starts, Start{Demand: d, Task: task, Endpoint: h.Endpoint, Permit: permit})
}

// permit returns a permit that is still good for a start on an endpoint.
func (p *planner) permit(d *Demand, e *fleet.Endpoint) (string, bool) {
	if d.Eligibility == nil {
		return "", true
	}
	permit, ok := d.Eligibility.Permits[e]
	return permit.Token, ok && p.Now+p.Policy.PermitMargin < permit.Expires
}

// placeTasks starts as many tasks of a demand as there is room for.
func (p *planner) placeTasks(d *Demand) {
	p.returnHeld(d)
	defer p.keepHeld(d)
	if d.Eligibility != nil && len(d.Eligibility.Permits) == 0 && (d.Eligibility.QuestionInFlight || !p.mayAsk(d)) {
		p.plan.Blocked++
		return
	}
	if !p.mayStart(d) {
		p.plan.Blocked++
		return
	}
	hosts := p.candidates(d)
	waiting := d.Tasks
	for len(waiting) > 0 && p.allowed(d, 1) {
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
	if len(waiting) == 0 || !p.allowed(d, 1) {
		return
	}
	p.plan.Blocked++
	p.searched++
	p.ask(d, hosts, len(waiting))
}

// hostFor returns the best host on which a task can start now, or nil.
func (p *planner) hostFor(d *Demand, task int, hosts []*Host) (*Host, string) {
	var avoided *Host
	var avoidedToken string
	for _, h := range hosts {
		// Of the hosts of a long queue's tasks, few have a permit.
		token, ok := p.permit(d, h.Endpoint)
		if !ok || p.slots(d, h, 1) == 0 || p.waitsForData(d, h) {
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

// waitsForData reports whether a task should rather wait for room in the rack
// of its data than run on a host elsewhere: as long as the wait is shorter
// than what it saves.
func (p *planner) waitsForData(d *Demand, h *Host) bool {
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
	// maxAsked bounds the endpoints that one question names; the service
	// takes no more.
	maxAsked = 100
	// minAsked is the least worth asking about, if there are so many: each
	// further endpoint costs a small part of the call itself.
	minAsked = 8
	// spareShare is how many more places are asked for than needed, and
	// urgentSpare the same for urgent work, whose questions are cheap and which
	// has no time for a second one.
	spareShare  = 1.5
	urgentSpare = 3
)

// ask puts a question about hosts that have room, if none is under way. The
// room is kept meanwhile, so that work that ranks lower does not ask for it too.
func (p *planner) ask(d *Demand, hosts []*Host, tasks int) {
	a := d.Eligibility
	if a == nil || a.QuestionInFlight || !p.mayAsk(d) {
		return
	}
	q := Question{Demand: d, HeldTasks: make(map[string]int)}
	wanted, expected := spareShare*float64(tasks), 0.0
	if d.Urgent {
		wanted = urgentSpare * float64(tasks)
	}
	for _, h := range hosts {
		n := p.slots(d, h, tasks)
		if n == 0 || p.waitsForData(d, h) {
			continue
		}
		if _, ok := p.permit(d, h.Endpoint); ok {
			continue
		}
		q.Endpoints = append(q.Endpoints, h.Endpoint)
		if expected < wanted {
			expected += p.hold(d, h, n, &q)
		}
		if len(q.Endpoints) >= maxAsked || len(q.Endpoints) >= minAsked && expected >= wanted {
			break
		}
	}
	p.put(q)
}

// hold keeps room for n tasks on a host that is asked about, and returns how
// many of them it is expected to serve.
func (p *planner) hold(d *Demand, h *Host, n int, q *Question) float64 {
	share := d.Eligibility.EligibleShare
	if d.Eligibility.Eligible[h.Endpoint] {
		share = 1
	}
	if !d.Urgent {
		p.take(h, d.Step.Spec.Charge().Scale(int64(n)))
		q.HeldTasks[h.Endpoint.ID] = n
	}
	return share * float64(n)
}

// mayAsk reports whether one more question may be put for a demand.
func (p *planner) mayAsk(d *Demand) bool {
	if d.Urgent {
		return p.UrgentQuestions > 0
	}
	return p.Questions > 0
}

// put puts a question.
func (p *planner) put(q Question) {
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
