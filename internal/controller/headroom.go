package controller

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// initialUrgentShare is the fraction of an endpoint that an urgent task is
	// assumed to need before any was seen, and initialHeadroom the fraction of
	// a pool kept free for urgent tasks until then.
	initialUrgentShare = 0.1
	initialHeadroom    = 0.08
	// headroomPerUrgent is how many slots of the size of a typical urgent task
	// are kept free for each urgent task that runs on average. A burst doubles
	// the urgent tasks within about a second, and other work frees its capacity
	// within a few seconds.
	headroomPerUrgent = 0.6
	// maxHeadroom is the largest fraction of the usable endpoints that is kept free.
	// What the running urgent tasks suggest is too much once endpoints are lost.
	maxHeadroom = 0.4
	// minUrgentSlots is the number of such slots kept free at all times.
	minUrgentSlots = 4
	// urgentSizeWeight is the weight of a new task in the smoothed size, and
	// runningUrgentWeight that of a plan's count in the average number of
	// running urgent tasks.
	urgentSizeWeight    = 0.02
	runningUrgentWeight = 0.01
	// forgottenUrgentTasks is the average below which the urgent work for one label is
	// forgotten if the pool has other urgent work.
	forgottenUrgentTasks = 0.01
)

// urgentClass is the urgent work that needs the endpoints of a pool that have a label.
type urgentClass struct{ pool, label string }

// compare orders classes by pool and label.
func (u urgentClass) compare(o urgentClass) int {
	return cmp.Or(cmp.Compare(u.pool, o.pool), cmp.Compare(u.label, o.label))
}

// urgentLoad holds running averages of the urgent work of a class.
type urgentLoad struct {
	// size is the smoothed size of an urgent task, averageRunning the average
	// number of urgent tasks that run.
	size           resource.Vector
	averageRunning float64
}

// comesInBursts reports whether tasks of a step count for the room that is kept for bursts.
// Tasks that last come once and stay.
func comesInBursts(spec *workload.Step) bool { return !spec.LongRunning }

// noteUrgentTask adds an urgent task that starts to the load of its class.
func (c *Core) noteUrgentTask(pool string, spec *workload.Step) {
	if !comesInBursts(spec) {
		return
	}
	class := urgentClass{pool: pool, label: spec.RequiredLabel}
	if c.urgent[class] == nil {
		c.urgent[class] = &urgentLoad{}
	}
	c.urgent[class].updateSize(spec.Charge())
}

// updateSize adds an urgent task to the smoothed size.
func (u *urgentLoad) updateSize(size resource.Vector) {
	if u.size.MilliCores == 0 {
		u.size = size
		return
	}
	u.size.MilliCores += int64(urgentSizeWeight * float64(size.MilliCores-u.size.MilliCores))
	u.size.MemoryMB += int64(urgentSizeWeight * float64(size.MemoryMB-u.size.MemoryMB))
}

// headrooms returns what is kept free on the hosts for urgent work, in each pool to which a
// queue sends it.
func (c *Core) headrooms(now clock.Instant, hosts []*scheduler.Host) []scheduler.Headroom {
	c.updateUrgentLoads()
	var rooms []scheduler.Headroom
	for pool := range c.urgentPools() {
		seen := false
		for class, load := range c.urgent {
			if class.pool == pool {
				seen = true
				rooms = append(rooms, headroomFor(now, class, load, hosts))
			}
		}
		if !seen {
			rooms = append(rooms, headroomFor(now, urgentClass{pool: pool}, &urgentLoad{}, hosts))
		}
	}
	slices.SortFunc(rooms, func(a, b scheduler.Headroom) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Label, b.Label))
	})
	return rooms
}

// urgentPools returns the pools to which the configuration sends urgent work.
func (c *Core) urgentPools() map[string]bool {
	pools := make(map[string]bool)
	for i := range c.catalog.Queues {
		if q := &c.catalog.Queues[i]; q.Priority == 0 {
			pools[q.Pool] = true
		}
	}
	return pools
}

// updateUrgentLoads adds the running urgent tasks to the averages of their classes.
func (c *Core) updateUrgentLoads() {
	running := make(map[urgentClass]int)
	for _, e := range c.fleet.Endpoints() {
		for _, r := range e.Runs() {
			if r.Priority == 0 && r.Step != nil && comesInBursts(r.Step.Spec) {
				running[urgentClass{pool: e.Pool, label: r.Step.Spec.RequiredLabel}]++
			}
		}
	}
	classes := make(map[string]int)
	for class, load := range c.urgent {
		load.averageRunning += runningUrgentWeight * (float64(running[class]) - load.averageRunning)
		classes[class.pool]++
	}
	for _, class := range slices.SortedFunc(maps.Keys(c.urgent), urgentClass.compare) {
		if classes[class.pool] > 1 && c.urgent[class].averageRunning < forgottenUrgentTasks && running[class] == 0 {
			delete(c.urgent, class)
			classes[class.pool]--
		}
	}
}

// headroomFor returns the headroom of a class of urgent work. Only hosts on which it is kept
// count: the others would keep all of their capacity free in place of them.
func headroomFor(now clock.Instant, class urgentClass, load *urgentLoad, hosts []*scheduler.Host) scheduler.Headroom {
	room := scheduler.Headroom{Pool: class.pool, Label: class.label, Size: load.size}
	covered, total := make([]*scheduler.Host, 0, len(hosts)), resource.Vector{}
	for _, h := range hosts {
		if room.Covers(now.Steady, h) {
			covered = append(covered, h)
			total = total.Add(h.Endpoint.Capacity)
		}
	}
	room.Slots = max(minUrgentSlots, int(headroomPerUrgent*load.averageRunning))
	if room.Size.MilliCores == 0 {
		n := max(len(covered), 1)
		room.Size = resource.Vector{
			MilliCores: int64(initialUrgentShare * float64(total.MilliCores) / float64(n)),
			MemoryMB:   int64(initialUrgentShare * float64(total.MemoryMB) / float64(n)),
		}
		room.Slots = int(initialHeadroom / initialUrgentShare * float64(n))
	}
	idle := 0
	for _, h := range covered {
		idle += int(room.Size.Copies(h.Endpoint.Capacity, int64(room.Slots)))
	}
	room.Slots = min(room.Slots, int(maxHeadroom*float64(idle)))
	return room
}
