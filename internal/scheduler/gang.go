package scheduler

import (
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// seat is a number of a gang's tasks on one host.
type seat struct {
	host  *Host
	tasks int
}

// placeGang starts all tasks of a gang or none.
func (p *planner) placeGang(d *Demand) {
	p.returnHeld(d)
	n := len(d.Tasks)
	if !p.allowed(d, n) || !p.mayStart(d) {
		p.keepHeld(d)
		return
	}
	hosts := p.candidates(d)
	known := p.knownGood(d, hosts)
	seats := p.seatGang(d, known, n)
	if seats == nil {
		p.plan.Blocked++
		p.searched++
		p.keepHeld(d)
		p.askAll(d, hosts)
		p.reserve(d, known, n)
		return
	}
	if !p.permitted(d, seats) {
		p.renew(d, seats)
		return
	}
	next := 0
	for _, s := range seats {
		token, _ := p.permit(d, s.host.Endpoint)
		for range s.tasks {
			p.start(d, d.Tasks[next], s.host, token)
			next++
		}
	}
}

// keepHeld keeps the room held while the question is under way.
func (p *planner) keepHeld(d *Demand) {
	if d.Eligibility == nil || !d.Eligibility.QuestionInFlight {
		return
	}
	for _, h := range p.Hosts {
		if n := d.Eligibility.HeldTasks[h.Endpoint.ID]; n > 0 {
			p.take(h, d.Step.Spec.Charge().Scale(int64(n)))
		}
	}
}

// knownGood returns the hosts that certainly may run the demand.
func (p *planner) knownGood(d *Demand, hosts []*Host) []*Host {
	if d.Eligibility == nil {
		return hosts
	}
	var out []*Host
	for _, h := range hosts {
		if d.Eligibility.Eligible[h.Endpoint] {
			out = append(out, h)
		}
	}
	return out
}

// seatGang finds room for n tasks, or nil. Hosts with a good permit come
// first, as they allow a start at once.
func (p *planner) seatGang(d *Demand, hosts []*Host, n int) []seat {
	if d.Step.Spec.SameRack {
		if seats := p.seatOneRack(d, hosts, n); seats != nil || !p.patienceOver(d) {
			return seats
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
	return p.fill(d, hosts, n)
}

// patienceOver reports whether a gang has waited for one rack for as long as
// that may be worth.
func (p *planner) patienceOver(d *Demand) bool {
	saved := time.Duration(float64(d.Step.Spec.Estimate) * (p.Policy.FarFactor - 1))
	return p.late(d) || p.Now-d.ReadyAt > saved/2
}

// seatOneRack finds room for all tasks in one rack.
func (p *planner) seatOneRack(d *Demand, hosts []*Host, n int) []seat {
	byRack := make(map[string][]*Host)
	var racks []string
	for _, h := range hosts {
		if byRack[h.Endpoint.Rack] == nil {
			racks = append(racks, h.Endpoint.Rack)
		}
		byRack[h.Endpoint.Rack] = append(byRack[h.Endpoint.Rack], h)
	}
	for _, rack := range racks {
		if seats := p.fill(d, byRack[rack], n); seats != nil {
			return seats
		}
	}
	return nil
}

// fill seats n tasks on hosts in order, or returns nil. The room is taken while
// it looks, so that what is kept for urgent tasks is counted once.
func (p *planner) fill(d *Demand, hosts []*Host, n int) []seat {
	var seats []seat
	for _, h := range hosts {
		if n == 0 {
			break
		}
		if k := p.slots(d, h, n); k > 0 {
			seats = append(seats, seat{host: h, tasks: k})
			p.take(h, d.Step.Spec.Charge().Scale(int64(k)))
			n -= k
		}
	}
	for _, s := range seats {
		p.take(s.host, d.Step.Spec.Charge().Scale(int64(-s.tasks)))
	}
	if n > 0 {
		return nil
	}
	return seats
}

// permitted reports whether all seats have good permits.
func (p *planner) permitted(d *Demand, seats []seat) bool {
	for _, s := range seats {
		if _, ok := p.permit(d, s.host.Endpoint); !ok {
			return false
		}
	}
	return true
}

// renew asks for permits of the seats and keeps their room meanwhile.
func (p *planner) renew(d *Demand, seats []seat) {
	hold := make(map[string]int)
	var asked []*fleet.Endpoint
	for _, s := range seats {
		p.take(s.host, d.Step.Spec.Charge().Scale(int64(s.tasks)))
		hold[s.host.Endpoint.ID] = s.tasks
		asked = append(asked, s.host.Endpoint)
	}
	if d.Eligibility.QuestionInFlight || len(asked) > maxAsked || !p.mayAsk(d) {
		return
	}
	p.put(Question{Demand: d, Endpoints: asked, HeldTasks: hold})
}

// askAll asks about hosts that nothing is known of, whether they have room now
// or not: which of them are good doesn't change, and room will come.
func (p *planner) askAll(d *Demand, hosts []*Host) {
	if d.Eligibility == nil || d.Eligibility.QuestionInFlight || !p.mayAsk(d) {
		return
	}
	var asked []*fleet.Endpoint
	for _, h := range hosts {
		if _, known := d.Eligibility.Eligible[h.Endpoint]; !known && len(asked) < maxAsked {
			asked = append(asked, h.Endpoint)
		}
	}
	p.put(Question{Demand: d, Endpoints: asked})
}

// reserve keeps the room on which a blocked gang is expected to start first
// from work that ranks lower, as else small tasks would take each hole.
func (p *planner) reserve(d *Demand, hosts []*Host, n int) {
	if p.reserved >= p.Policy.MaxReservations || d.Excess {
		return
	}
	type event struct {
		at   time.Duration
		host int
		size resource.Vector
	}
	var events []event
	for i, h := range hosts {
		for _, r := range h.Releases {
			events = append(events, event{at: r.At, host: i, size: r.Size})
		}
	}
	sort.SliceStable(events, func(i, k int) bool { return events[i].at < events[k].at })
	room := make([]resource.Vector, len(hosts))
	slots := make([]int, len(hosts))
	total := 0
	count := func(i int) {
		k := int(d.Step.Spec.Charge().Copies(room[i], int64(n)))
		if limit := d.Step.Spec.MaxPerEndpoint; limit > 0 {
			k = min(k, limit)
		}
		total += k - slots[i]
		slots[i] = k
	}
	for i, h := range hosts {
		room[i] = h.room(d)
		count(i)
	}
	for _, e := range events {
		if total >= n {
			break
		}
		room[e.host] = room[e.host].Add(e.size)
		count(e.host)
	}
	if total < n {
		return
	}
	p.reserved++
	left := n
	for i, h := range hosts {
		if k := min(slots[i], left); k > 0 {
			h.Reserved = h.Reserved.Add(d.Step.Spec.Charge().Scale(int64(k)))
			p.plan.GangWaiting[h.Endpoint] = true
			left -= k
		}
	}
}
