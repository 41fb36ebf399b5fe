package main

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

const (
	// shareWindow is the time over which a team's usage is compared with its
	// share.
	shareWindow = 10 * time.Minute
	// warmUp is left out of shares and packing.
	warmUp = 2 * time.Minute
	// leastEntitled is the part of the used capacity below which a team's
	// relative distance is not counted.
	leastEntitled = 0.01
)

// account is what one team has running and waiting, as vectors.
type account struct {
	weight  float64
	running placement.Resources
	waiting placement.Resources
}

// shareSample is the share that each team had and was entitled to.
type shareSample struct{ had, entitled []float64 }

// gauge follows a run from outside the policy.
type gauge struct {
	total  placement.Resources
	teams  []*account
	byName map[string]*account
	waits  [3][]float64
	// demand counts the tasks that run or wait, by size.
	demand  map[placement.Resources]int
	sizes   []placement.Resources
	offline *boundTable
	// used and packed are the bottleneck's part in use, of its capacity and of
	// the offline bound.
	used           []float64
	packed         []float64
	samples        []shareSample
	preemptions    int
	measuredStarts int
}

func newGauge(s *scenario, arrivals []arrival) *gauge {
	g := &gauge{byName: map[string]*account{}, demand: map[placement.Resources]int{}, sizes: sizesOf(arrivals)}
	for _, ep := range s.endpoints {
		g.total = plus(g.total, ep.Capacity)
	}
	for _, t := range s.teams {
		a := &account{weight: float64(t.Weight)}
		g.teams = append(g.teams, a)
		g.byName[t.Name] = a
	}
	g.offline = &boundTable{
		resource: bottleneck(arrivals, g.total), endpoints: s.endpoints, total: g.total, known: map[boundKey]float64{},
	}
	return g
}

func (g *gauge) queued(j *job) {
	a := g.byName[j.work.Team]
	a.waiting = plus(a.waiting, j.work.Size)
}

func (g *gauge) started(j *job, now time.Duration) {
	a := g.byName[j.work.Team]
	a.waiting = minus(a.waiting, j.work.Size)
	a.running = plus(a.running, j.work.Size)
	if !j.ever {
		g.addWait(j, now)
	}
}

func (g *gauge) addWait(j *job, until time.Duration) {
	g.waits[j.work.Class] = append(g.waits[j.work.Class], (until - j.work.Enqueued).Seconds())
}

func (g *gauge) ended(j *job) {
	a := g.byName[j.work.Team]
	a.running = minus(a.running, j.work.Size)
}

// sample notes shares and packing while more is asked for than there is.
func (g *gauge) sample(now time.Duration) {
	if now < warmUp {
		return
	}
	var running, demand placement.Resources
	for _, a := range g.teams {
		running = plus(running, a.running)
		demand = plus(demand, plus(a.running, a.waiting))
	}
	if parts(demand, g.total)[g.offline.resource] < 1 {
		return
	}
	used := parts(running, g.total)[g.offline.resource]
	g.used = append(g.used, used)
	g.packed = append(g.packed, used/g.offline.bound(g.sizes, g.demand))
	g.samples = append(g.samples, g.shares())
}

// shares gives each team its weighted part of the capacity in use, but no more
// than it asks for; what is left goes to the others in the same way.
func (g *gauge) shares() shareSample {
	n := len(g.teams)
	s := shareSample{had: make([]float64, n), entitled: make([]float64, n)}
	asked := make([]float64, n)
	pool := 0.0
	for i, a := range g.teams {
		s.had[i] = dominant(a.running, g.total)
		asked[i] = dominant(plus(a.running, a.waiting), g.total)
		pool += s.had[i]
	}
	open := make([]bool, n)
	for i := range open {
		open[i] = true
	}
	for {
		weights := 0.0
		for i, a := range g.teams {
			if open[i] {
				weights += a.weight
			}
		}
		settled := true
		level := pool / weights
		for i, a := range g.teams {
			if open[i] && asked[i] <= level*a.weight {
				s.entitled[i] = asked[i]
				pool -= asked[i]
				open[i] = false
				settled = false
			}
		}
		if !settled && weights > 0 && slices.Contains(open, true) {
			continue
		}
		for i, a := range g.teams {
			if open[i] {
				s.entitled[i] = level * a.weight
			}
		}
		return s
	}
}

// close counts the wait so far of everything that was never started.
func (g *gauge) close(horizon time.Duration, jobs map[string]*job) {
	for _, j := range jobs {
		if !j.ever {
			g.addWait(j, horizon)
		}
	}
}

// distances returns the largest and the mean relative distance of a team from
// its share over the windows of the saturated samples.
func (g *gauge) distances() (largest, mean float64) {
	const window = int(shareWindow / time.Second)
	const stride = window / 10
	count := 0
	for from := 0; from+window <= len(g.samples); from += stride {
		for i := range g.teams {
			had, entitled, pool := 0.0, 0.0, 0.0
			for _, s := range g.samples[from : from+window] {
				had += s.had[i]
				entitled += s.entitled[i]
				for _, x := range s.had {
					pool += x
				}
			}
			if entitled < leastEntitled*pool {
				continue
			}
			d := math.Abs(had-entitled) / entitled
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

// outcome is one row of the table.
type outcome struct {
	p50, p99     [3]float64
	used         float64
	packing      float64
	nanoseconds  float64
	allocations  float64
	bytes        float64
	callP99      time.Duration
	farthest     float64
	distance     float64
	starts       int
	preemptions  int
	saturatedFor int
}

func (r *runner) outcome() outcome {
	g := r.gauge
	o := outcome{starts: r.starts, preemptions: g.preemptions, saturatedFor: len(g.used), used: mean(g.used), packing: mean(g.packed)}
	for c := range g.waits {
		o.p50[c] = quantile(g.waits[c], 0.5)
		o.p99[c] = quantile(g.waits[c], 0.99)
	}
	decisions := float64(r.starts + g.preemptions)
	o.nanoseconds = float64(r.spent.Nanoseconds()) / decisions
	o.allocations = float64(r.mallocs) / float64(max(1, g.measuredStarts))
	o.bytes = float64(r.bytes) / float64(max(1, g.measuredStarts))
	slices.Sort(r.calls)
	o.callP99 = r.calls[len(r.calls)*99/100]
	o.farthest, o.distance = g.distances()
	return o
}

// wait is the geometric mean of the classes' p99, counted from one tick on.
func (o *outcome) wait() float64 {
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
