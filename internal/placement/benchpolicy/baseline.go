package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// policy is what the loop drives; placement.Engine satisfies it.
type policy interface {
	SetTeam(t placement.Team)
	SetEndpoint(e placement.Endpoint)
	Submit(w placement.Work)
	Finish(task string, now time.Duration, result placement.Result)
	Schedule(now time.Duration, limit int) []placement.Decision
}

// contender is a named policy.
type contender struct {
	name string
	make func() policy
}

// contenders returns ours first and then the baselines.
func contenders() []contender {
	return []contender{
		{"bluebellstile", func() policy { return placement.New() }},
		{"fcfs first fit", func() policy { return newBaseline(byArrival, oneLane, firstFit) }},
		{"strict priority", func() policy { return newBaseline(byPriority, oneLane, firstFit) }},
		{"fair, no history", func() policy { return newBaseline(byArrival, laneOfTeam, firstFit) }},
		{"least loaded", func() policy { return newBaseline(byArrival, oneLane, leastLoaded) }},
	}
}

// node is an endpoint of a baseline.
type node struct {
	placement.Endpoint
	free placement.Resources
}

// lane is a queue that is served in order; lanes take turns by usage.
type lane struct {
	weight float64
	used   placement.Resources
	works  []*placement.Work
}

type started struct {
	lane *lane
	node *node
	size placement.Resources
}

// baseline places greedily: the lane with the least weighted dominant share
// first, its works in order, those that don't fit skipped.
type baseline struct {
	less    func(a, b *placement.Work) int
	laneOf  func(w *placement.Work) string
	choose  func(nodes []*node, size placement.Resources) *node
	weights map[string]float64
	lanes   map[string]*lane
	order   []*lane
	nodes   []*node
	running map[string]started
	// waiting counts works by shape, so that a call can end once none fits.
	waiting map[shape]int
	total   placement.Resources
}

func newBaseline(less func(a, b *placement.Work) int, laneOf func(*placement.Work) string, choose func([]*node, placement.Resources) *node) *baseline {
	return &baseline{
		less: less, laneOf: laneOf, choose: choose,
		weights: map[string]float64{}, lanes: map[string]*lane{}, running: map[string]started{},
		waiting: map[shape]int{},
	}
}

func byArrival(a, b *placement.Work) int {
	return cmp.Or(cmp.Compare(a.Enqueued, b.Enqueued), cmp.Compare(a.ID, b.ID))
}

func byPriority(a, b *placement.Work) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(b.Priority, a.Priority), byArrival(a, b))
}

func oneLane(*placement.Work) string { return "" }

func laneOfTeam(w *placement.Work) string { return w.Team }

func firstFit(nodes []*node, size placement.Resources) *node {
	for _, n := range nodes {
		if fits(size, n.free) {
			return n
		}
	}
	return nil
}

func leastLoaded(nodes []*node, size placement.Resources) *node {
	var best *node
	bestLoad := 0.0
	for _, n := range nodes {
		if !fits(size, n.free) {
			continue
		}
		if load := dominant(minus(n.Capacity, n.free), n.Capacity); best == nil || load < bestLoad {
			best, bestLoad = n, load
		}
	}
	return best
}

// SetTeam implements policy.
func (b *baseline) SetTeam(t placement.Team) { b.weights[t.Name] = float64(t.Weight) }

// SetEndpoint implements policy.
func (b *baseline) SetEndpoint(e placement.Endpoint) {
	b.nodes = append(b.nodes, &node{e, e.Capacity})
	b.total = plus(b.total, e.Capacity)
}

// Submit implements policy.
func (b *baseline) Submit(w placement.Work) {
	name := b.laneOf(&w)
	l, ok := b.lanes[name]
	if !ok {
		l = &lane{weight: max(1, b.weights[name])}
		b.lanes[name] = l
		b.order = append(b.order, l)
	}
	at, _ := slices.BinarySearchFunc(l.works, &w, b.less)
	l.works = slices.Insert(l.works, at, &w)
	b.waiting[shapeOf(&w)]++
}

// Finish implements policy.
func (b *baseline) Finish(task string, _ time.Duration, _ placement.Result) {
	s := b.running[task]
	delete(b.running, task)
	s.node.free = plus(s.node.free, s.size)
	s.lane.used = minus(s.lane.used, s.size)
}

// Schedule implements policy.
func (b *baseline) Schedule(_ time.Duration, limit int) []placement.Decision {
	var out []placement.Decision
	misses := map[shape]bool{}
	next := map[*lane]int{}
	for len(out) < limit && len(misses) < len(b.waiting) {
		l := b.leastServed(next)
		if l == nil {
			return out
		}
		w := l.works[next[l]]
		key := shapeOf(w)
		if misses[key] {
			next[l]++
			continue
		}
		placed := b.place(l, w)
		if placed == nil {
			misses[key] = true
			next[l]++
			continue
		}
		out = append(out, placed...)
		if len(w.Tasks) == 0 {
			l.works = slices.Delete(l.works, next[l], next[l]+1)
			b.forget(key)
		}
	}
	return out
}

func (b *baseline) forget(key shape) {
	b.waiting[key]--
	if b.waiting[key] == 0 {
		delete(b.waiting, key)
	}
}

func (b *baseline) leastServed(next map[*lane]int) *lane {
	var best *lane
	bestShare := 0.0
	for _, l := range b.order {
		if next[l] >= len(l.works) {
			continue
		}
		if share := dominant(l.used, b.total) / l.weight; best == nil || share < bestShare {
			best, bestShare = l, share
		}
	}
	return best
}

// place starts one task of w, or all of a gang.
func (b *baseline) place(l *lane, w *placement.Work) []placement.Decision {
	tasks := w.Tasks[:1]
	if w.Gang {
		tasks = w.Tasks
	}
	var out []placement.Decision
	for _, task := range tasks {
		n := b.choose(b.nodes, w.Size)
		if n == nil {
			for _, d := range out {
				b.Finish(d.Task, 0, placement.ResultStopped)
			}
			return nil
		}
		n.free = minus(n.free, w.Size)
		l.used = plus(l.used, w.Size)
		b.running[task] = started{l, n, w.Size}
		out = append(out, placement.Decision{Work: w.ID, Task: task, Endpoint: n.ID})
	}
	w.Tasks = w.Tasks[len(tasks):]
	return out
}

// shape is what decides whether work fits.
type shape struct {
	size placement.Resources
	gang int
}

func shapeOf(w *placement.Work) shape {
	s := shape{size: w.Size}
	if w.Gang {
		s.gang = len(w.Tasks)
	}
	return s
}
