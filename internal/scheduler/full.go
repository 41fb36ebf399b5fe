package scheduler

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

// fullHosts remembers, for the hosts of each class, work for which a plan found no
// room on them. The plan need not search for work that needs as much or more.
type fullHosts map[hostClass][]needed

// hostClass selects the hosts with a pool and a label, and what may be used of them.
type hostClass struct {
	pool, label string
	// headroom is set if the headroom may be used, all if reserved room may be, too.
	headroom, all bool
}

// needed is a number of tasks of one size.
type needed struct {
	size  resource.Vector
	tasks int
}

// covers reports whether o needs at least as much as n.
func (n needed) covers(o needed) bool { return n.tasks <= o.tasks && n.size.Fits(o.size) }

// maxRemembered bounds the entries of a class.
const maxRemembered = 8

func (p *planner) classOf(d *Demand) hostClass {
	return hostClass{pool: d.Pool, label: d.Step.Spec.RequiredLabel, all: p.mayUseAll(d), headroom: p.mayUseHeadroom(d)}
}

// add records that a class of hosts has no room for a number of a demand's tasks.
func (f fullHosts) add(class hostClass, d *Demand, tasks int) {
	n := needed{size: d.Step.Spec.Charge(), tasks: tasks}
	entries := slices.DeleteFunc(f[class], n.covers)
	if len(entries) == maxRemembered {
		entries = entries[1:]
	}
	f[class] = append(entries, n)
}

// includes reports whether a class certainly has no room for a number of a demand's tasks.
// Starts since the search have only taken room.
func (f fullHosts) includes(class hostClass, d *Demand, tasks int) bool {
	n := needed{size: d.Step.Spec.Charge(), tasks: tasks}
	return slices.ContainsFunc(f[class], func(o needed) bool { return o.covers(n) })
}

// rememberFullHosts records that no host has room for a task of a demand, if that is so.
// The search for the demand may have failed because of its eligibility, its rack or the
// tasks it has at work.
func (p *planner) rememberFullHosts(d *Demand) {
	for _, h := range p.Hosts {
		if p.suits(d, h.Endpoint) && d.Step.Spec.Charge().Copies(p.available(d, h), 1) > 0 && p.leaveHeadroom(d, h, 1) > 0 {
			return
		}
	}
	p.full.add(p.classOf(d), d, 1)
}

// holdsCapacity reports whether capacity is held for a demand.
func (d *Demand) holdsCapacity() bool {
	return d.Eligibility != nil && len(d.Eligibility.HeldTasks) > 0
}
