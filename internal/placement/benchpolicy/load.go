package main

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// workKind describes the work of a stream: its size, run time and scheduling
// properties. A negative taskCount stands for a gang of that many tasks.
type workKind struct {
	name        string
	class       placement.Class
	size        placement.Resources
	meanRunTime time.Duration
	taskCount   int
	preemptible bool
	idempotent  bool
	spread      bool
}

var (
	label   = workKind{name: "label", class: placement.ClassUrgent, size: placement.Resources{MilliCores: 1000, MemoryMB: 2000}, meanRunTime: 4 * time.Second, taskCount: 1}
	service = workKind{name: "service", class: placement.ClassService, size: placement.Resources{MilliCores: 2000, MemoryMB: 8000}, meanRunTime: 10 * time.Minute, taskCount: 3, idempotent: true, spread: true}
	costing = workKind{name: "costing", class: placement.ClassBatch, size: placement.Resources{MilliCores: 2000, MemoryMB: 6000}, meanRunTime: 30 * time.Second, taskCount: 4, preemptible: true, idempotent: true}
	routes  = workKind{name: "routes", class: placement.ClassBatch, size: placement.Resources{MilliCores: 6000, MemoryMB: 30000}, meanRunTime: 60 * time.Second, taskCount: 1, preemptible: true, idempotent: true}
	invoice = workKind{name: "invoice", class: placement.ClassBatch, size: placement.Resources{MilliCores: 1000, MemoryMB: 4000}, meanRunTime: 20 * time.Second, taskCount: 1}
	match   = workKind{name: "match", class: placement.ClassBatch, size: placement.Resources{MilliCores: 8000, MemoryMB: 24000}, meanRunTime: 60 * time.Second, taskCount: -8, preemptible: true, idempotent: true}
	train   = workKind{name: "train", class: placement.ClassBatch, size: placement.Resources{MilliCores: 4000, MemoryMB: 24000, Accelerators: 1}, meanRunTime: 90 * time.Second, taskCount: 2, preemptible: true, idempotent: true}
)

// stream generates one team's work of one kind. load returns the fraction of the
// zone's cores, or accelerators if the work needs any, that the work would keep
// busy at a given time of the run.
type stream struct {
	kind workKind
	load func(at time.Duration) float64
}

// arrival is a submission of work with the actual run time of each task.
type arrival struct {
	at       time.Duration
	work     placement.Work
	runTimes []time.Duration
}

// scenario describes a zone, its teams and the work that they submit.
type scenario struct {
	name      string
	horizon   time.Duration
	teams     []placement.Team
	endpoints []placement.Endpoint
	streams   map[string][]stream
}

const (
	rackSize = 8
	// runSpread is the sigma of the lognormal run times.
	runSpread = 0.5
	// declaredSpread is the sigma of the error of declared run times.
	declaredSpread = 0.7
	unbounded      = int64(1) << 30
)

func workers(n int, cores, gigabytes int64, accelerators func(int) int64) []placement.Endpoint {
	var out []placement.Endpoint
	for i := range n {
		out = append(out, placement.Endpoint{
			ID: fmt.Sprintf("worker%03d", i), Rack: fmt.Sprintf("rack%02d", i/rackSize),
			Capacity: placement.Resources{MilliCores: cores * 1000, MemoryMB: gigabytes * 1000, Accelerators: accelerators(i)},
		})
	}
	return out
}

func noAccelerators(int) int64 { return 0 }

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// gaussianPeak returns a load that rises from low to high in a Gaussian curve around
// middle.
func gaussianPeak(low, high float64, middle, width time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		x := (at - middle).Seconds() / width.Seconds()
		return low + (high-low)*math.Exp(-x*x)
	}
}

// deadlinePeaks returns a load of base that triples in the last third of each
// interval of length every.
func deadlinePeaks(base float64, every time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%every > every*2/3 {
			return 3 * base
		}
		return base
	}
}

// arrivals draws the Poisson arrivals of all streams and returns them in order
// of time.
func (s *scenario) arrivals(seed uint64) []arrival {
	var total placement.Resources
	for _, ep := range s.endpoints {
		total.MilliCores += ep.Capacity.MilliCores
		total.Accelerators += ep.Capacity.Accelerators
	}
	var out []arrival
	for _, team := range s.teams {
		for i, st := range s.streams[team.Name] {
			r := rand.New(rand.NewPCG(seed, uint64(len(out)+i)))
			out = append(out, s.draw(r, team.Name, st, total)...)
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range out {
		out[i].assignIDs(i)
	}
	return out
}

func (s *scenario) draw(r *rand.Rand, team string, st stream, total placement.Resources) []arrival {
	var out []arrival
	const step = time.Second
	tasks := max(st.kind.taskCount, -st.kind.taskCount)
	perWork := float64(tasks) * st.kind.meanRunTime.Seconds() * float64(st.kind.size.MilliCores) / float64(total.MilliCores)
	if st.kind.size.Accelerators > 0 {
		perWork = float64(tasks) * st.kind.meanRunTime.Seconds() * float64(st.kind.size.Accelerators) / float64(total.Accelerators)
	}
	at := 0.0
	for at < s.horizon.Seconds() {
		rate := st.load(time.Duration(at*float64(time.Second))) / perWork
		if rate <= 0 {
			at += step.Seconds()
			continue
		}
		gap := r.ExpFloat64() / rate
		if gap > step.Seconds() {
			// The rate may change. Drawing again is correct because the
			// exponential distribution is memoryless.
			at += step.Seconds()
			continue
		}
		at += gap
		out = append(out, st.kind.arrival(r, team, time.Duration(at*float64(time.Second)), tasks))
	}
	return out
}

func (k workKind) arrival(r *rand.Rand, team string, at time.Duration, tasks int) arrival {
	a := arrival{at: at, work: placement.Work{
		Team: team, Queue: k.name, Class: k.class, Gang: k.taskCount < 0, Size: k.size, Idempotent: k.idempotent,
		Preemptible: k.preemptible, Spread: k.spread, Enqueued: at,
	}}
	mean := k.meanRunTime.Seconds() * math.Exp(-runSpread*runSpread/2)
	for range tasks {
		run := mean * math.Exp(runSpread*r.NormFloat64())
		a.runTimes = append(a.runTimes, time.Duration(run*float64(time.Second)))
	}
	declared := k.meanRunTime.Seconds() * math.Exp(declaredSpread*r.NormFloat64())
	a.work.RunTime = time.Duration(declared * float64(time.Second))
	return a
}

func (a *arrival) assignIDs(i int) {
	a.work.ID = fmt.Sprintf("work%07d", i)
	for j := range a.runTimes {
		a.work.Tasks = append(a.work.Tasks, fmt.Sprintf("%s-%d", a.work.ID, j))
	}
}
