package main

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

const (
	// shareWindow is the time over which a team's usage is compared with its
	// fair share.
	shareWindow = 10 * time.Minute
	// warmUp is the time at the start that is excluded from the measurement of
	// shares and packing.
	warmUp = 2 * time.Minute
	// minEntitledFraction is the fraction of the used capacity below which a
	// team's relative distance is not counted.
	minEntitledFraction = 0.01
)

// teamUsage holds the total size of a team's running and waiting tasks.
type teamUsage struct {
	weight  float64
	running placement.Resources
	waiting placement.Resources
}

// shareSample holds the share that each team used and the share to which it was
// entitled at one time.
type shareSample struct{ used, entitled []float64 }

// collector measures a run independently of the policy.
type collector struct {
	total       placement.Resources
	teams       []*teamUsage
	teamsByName map[string]*teamUsage
	// waits holds the waiting times in seconds, by class.
	waits [3][]float64
	// demand is the number of running and waiting tasks by size.
	demand       map[placement.Resources]int
	sizes        []placement.Resources
	offlineBound *boundTable
	// used and usedOfBound sample how much of the bottleneck resource is in use,
	// as a fraction of its capacity and of the offline bound.
	used        []float64
	usedOfBound []float64
	samples     []shareSample
	preemptions int
	// measuredDecisions is the number of decisions in the calls whose allocations
	// were measured.
	measuredDecisions int
}

func newCollector(s *scenario, arrivals []arrival) *collector {
	col := &collector{teamsByName: map[string]*teamUsage{}, demand: map[placement.Resources]int{}, sizes: sizesOf(arrivals)}
	for _, ep := range s.endpoints {
		col.total = plus(col.total, ep.Capacity)
	}
	for _, t := range s.teams {
		a := &teamUsage{weight: float64(t.Weight)}
		col.teams = append(col.teams, a)
		col.teamsByName[t.Name] = a
	}
	col.offlineBound = &boundTable{
		resource: bottleneck(arrivals, col.total), endpoints: s.endpoints, total: col.total, cache: map[boundKey]float64{},
	}
	return col
}

func (col *collector) queued(tk *simulatedTask) {
	a := col.teamsByName[tk.work.Team]
	a.waiting = plus(a.waiting, tk.work.Size)
}

func (col *collector) started(tk *simulatedTask, now time.Duration) {
	a := col.teamsByName[tk.work.Team]
	a.waiting = minus(a.waiting, tk.work.Size)
	a.running = plus(a.running, tk.work.Size)
	if !tk.startedOnce {
		col.addWait(tk, now)
	}
}

func (col *collector) addWait(tk *simulatedTask, until time.Duration) {
	col.waits[tk.work.Class] = append(col.waits[tk.work.Class], (until - tk.work.Enqueued).Seconds())
}

func (col *collector) ended(tk *simulatedTask) {
	a := col.teamsByName[tk.work.Team]
	a.running = minus(a.running, tk.work.Size)
}

// sample records shares and packing if the demand for the bottleneck resource
// is at least its capacity.
func (col *collector) sample(now time.Duration) {
	if now < warmUp {
		return
	}
	var running, demand placement.Resources
	for _, a := range col.teams {
		running = plus(running, a.running)
		demand = plus(demand, plus(a.running, a.waiting))
	}
	if fractions(demand, col.total)[col.offlineBound.resource] < 1 {
		return
	}
	used := fractions(running, col.total)[col.offlineBound.resource]
	col.used = append(col.used, used)
	col.usedOfBound = append(col.usedOfBound, used/col.offlineBound.bound(col.sizes, col.demand))
	col.samples = append(col.samples, col.shares())
}

// shares computes each team's entitlement: its weighted part of the capacity in
// use, but no more than it requests. The remainder is divided among the other
// teams in the same way.
func (col *collector) shares() shareSample {
	n := len(col.teams)
	s := shareSample{used: make([]float64, n), entitled: make([]float64, n)}
	requested := make([]float64, n)
	pool := 0.0
	for i, a := range col.teams {
		s.used[i] = dominant(a.running, col.total)
		requested[i] = dominant(plus(a.running, a.waiting), col.total)
		pool += s.used[i]
	}
	open := make([]bool, n)
	for i := range open {
		open[i] = true
	}
	for {
		weights := 0.0
		for i, a := range col.teams {
			if open[i] {
				weights += a.weight
			}
		}
		settled := true
		level := pool / weights
		for i, a := range col.teams {
			if open[i] && requested[i] <= level*a.weight {
				s.entitled[i] = requested[i]
				pool -= requested[i]
				open[i] = false
				settled = false
			}
		}
		if !settled && weights > 0 && slices.Contains(open, true) {
			continue
		}
		for i, a := range col.teams {
			if open[i] {
				s.entitled[i] = level * a.weight
			}
		}
		return s
	}
}

// close counts the wait until horizon of all tasks that were never started.
func (col *collector) close(horizon time.Duration, tasks map[string]*simulatedTask) {
	for _, tk := range tasks {
		if !tk.startedOnce {
			col.addWait(tk, horizon)
		}
	}
}

// shareDistances returns the largest and the mean relative distance of a team's
// usage from its entitlement over the windows of the saturated samples.
func (col *collector) shareDistances() (largest, mean float64) {
	const window = int(shareWindow / time.Second)
	const stride = window / 10
	count := 0
	for from := 0; from+window <= len(col.samples); from += stride {
		for i := range col.teams {
			used, entitled, pool := 0.0, 0.0, 0.0
			for _, s := range col.samples[from : from+window] {
				used += s.used[i]
				entitled += s.entitled[i]
				for _, x := range s.used {
					pool += x
				}
			}
			if entitled < minEntitledFraction*pool {
				continue
			}
			d := math.Abs(used-entitled) / entitled
			largest = max(largest, d)
			mean += d
			count++
		}
	}
	if count == 0 {
		return math.NaN(), math.NaN()
	}
	return largest, mean / float64(count)
}

// outcome holds the measurements of one run, a row of the table.
type outcome struct {
	// p50 and p99 are quantiles of the waiting time in seconds, by class.
	p50, p99 [3]float64
	// used and packing are the means of collector.used and collector.usedOfBound.
	used    float64
	packing float64
	// nanoseconds, allocations and bytes are averages per decision.
	nanoseconds      float64
	allocations      float64
	bytes            float64
	callP99          time.Duration
	maxDistance      float64
	meanDistance     float64
	starts           int
	preemptions      int
	saturatedSeconds int
}

func (r *simulation) outcome() outcome {
	col := r.collector
	o := outcome{starts: r.starts, preemptions: col.preemptions, saturatedSeconds: len(col.used), used: mean(col.used), packing: mean(col.usedOfBound)}
	for c := range col.waits {
		o.p50[c] = quantile(col.waits[c], 0.5)
		o.p99[c] = quantile(col.waits[c], 0.99)
	}
	decisions := float64(r.starts + col.preemptions)
	o.nanoseconds = float64(r.policyTime.Nanoseconds()) / decisions
	o.allocations = float64(r.mallocs) / float64(max(1, col.measuredDecisions))
	o.bytes = float64(r.bytes) / float64(max(1, col.measuredDecisions))
	slices.Sort(r.callTimes)
	o.callP99 = r.callTimes[len(r.callTimes)*99/100]
	o.maxDistance, o.meanDistance = col.shareDistances()
	return o
}

// meanP99Wait is the geometric mean of the classes' 99th percentiles of the waiting
// time in seconds. Values below one tick count as one tick.
func (o *outcome) meanP99Wait() float64 {
	sum := 0.0
	for _, x := range o.p99 {
		if math.IsNaN(x) {
			continue
		}
		sum += math.Log(max(x, tick.Seconds()))
	}
	return math.Exp(sum / float64(len(o.p99)))
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	slices.Sort(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}
