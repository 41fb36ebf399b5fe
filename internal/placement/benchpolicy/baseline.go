package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// policy is the part of placement.Engine that the simulation uses.
type policy interface {
	SetTeam(t placement.Team)
	SetEndpoint(e placement.Endpoint)
	Submit(w placement.Work)
	Finish(task string, now time.Duration, result placement.Result)
	Schedule(now time.Duration, limit int) []placement.Decision
}

// namedPolicy is a policy with the name under which it is reported.
type namedPolicy struct {
	name string
	make func() policy
}

// namedPolicies returns our policy, followed by the baselines.
func namedPolicies() []namedPolicy {
	return []namedPolicy{
		{"bluebellstile", func() policy { return placement.New() }},
		{"fcfs first fit", func() policy { return newBaseline(byArrival, singleQueue, firstFit) }},
		{"strict priority", func() policy { return newBaseline(byPriority, singleQueue, firstFit) }},
		{"fair, no history", func() policy { return newBaseline(byArrival, queuePerTeam, firstFit) }},
		{"least loaded", func() policy { return newBaseline(byArrival, singleQueue, leastLoaded) }},
	}
}

// node is an endpoint of a baseline.
type node struct {
	placement.Endpoint
	free placement.Resources
}

// fairQueue is a queue whose work is placed in order. The queue with the least
// usage is served first.
type fairQueue struct {
	weight  float64
	used    placement.Resources
	waiting []*placement.Work
}

type placedTask struct {
	queue *fairQueue
	node  *node
	size  placement.Resources
}

// baseline is a greedy policy: the queue with the lowest weighted dominant share
// goes first, its work is placed in order, and work that does not fit is skipped.
type baseline struct {
	compare func(a, b *placement.Work) int
	queueOf func(w *placement.Work) string
	choose  func(nodes []*node, size placement.Resources) *node
	weights map[string]float64
	queues  map[string]*fairQueue
	order   []*fairQueue
	nodes   []*node
	running map[string]placedTask
	// waitingByShape is the number of waiting units of work by shape, so that a
	// call can end once none fits.
	waitingByShape map[shape]int
	total          placement.Resources
}

func newBaseline(compare func(a, b *placement.Work) int, queueOf func(*placement.Work) string, choose func([]*node, placement.Resources) *node) *baseline {
	return &baseline{
		compare: compare, queueOf: queueOf, choose: choose,
		weights: map[string]float64{}, queues: map[string]*fairQueue{}, running: map[string]placedTask{},
		waitingByShape: map[shape]int{},
	}
}

func byArrival(a, b *placement.Work) int {
	return cmp.Or(cmp.Compare(a.Enqueued, b.Enqueued), cmp.Compare(a.ID, b.ID))
}

func byPriority(a, b *placement.Work) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(b.Priority, a.Priority), byArrival(a, b))
}

func singleQueue(*placement.Work) string { return "" }

func queuePerTeam(w *placement.Work) string { return w.Team }

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
	name := b.queueOf(&w)
	q, ok := b.queues[name]
	if !ok {
		q = &fairQueue{weight: max(1, b.weights[name])}
		b.queues[name] = q
		b.order = append(b.order, q)
	}
	at, _ := slices.BinarySearchFunc(q.waiting, &w, b.compare)
	q.waiting = slices.Insert(q.waiting, at, &w)
	b.waitingByShape[shapeOf(&w)]++
}

// Finish implements policy.
func (b *baseline) Finish(task string, _ time.Duration, _ placement.Result) {
	s := b.running[task]
	delete(b.running, task)
	s.node.free = plus(s.node.free, s.size)
	s.queue.used = minus(s.queue.used, s.size)
}

// Schedule implements policy.
func (b *baseline) Schedule(_ time.Duration, limit int) []placement.Decision {
	var out []placement.Decision
	misses := map[shape]bool{}
	next := map[*fairQueue]int{}
	for len(out) < limit && len(misses) < len(b.waitingByShape) {
		q := b.leastServed(next)
		if q == nil {
			return out
		}
		w := q.waiting[next[q]]
		key := shapeOf(w)
		if misses[key] {
			next[q]++
			continue
		}
		placed := b.place(q, w)
		if placed == nil {
			misses[key] = true
			next[q]++
			continue
		}
		out = append(out, placed...)
		if len(w.Tasks) == 0 {
			q.waiting = slices.Delete(q.waiting, next[q], next[q]+1)
			b.removeShape(key)
		}
	}
	return out
}

func (b *baseline) removeShape(key shape) {
	b.waitingByShape[key]--
	if b.waitingByShape[key] == 0 {
		delete(b.waitingByShape, key)
	}
}

func (b *baseline) leastServed(next map[*fairQueue]int) *fairQueue {
	var best *fairQueue
	bestShare := 0.0
	for _, q := range b.order {
		if next[q] >= len(q.waiting) {
			continue
		}
		if share := dominant(q.used, b.total) / q.weight; best == nil || share < bestShare {
			best, bestShare = q, share
		}
	}
	return best
}

// place starts one task of w, or all tasks of a gang. It returns nil if they do
// not fit.
func (b *baseline) place(q *fairQueue, w *placement.Work) []placement.Decision {
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
		q.used = plus(q.used, w.Size)
		b.running[task] = placedTask{q, n, w.Size}
		out = append(out, placement.Decision{Work: w.ID, Task: task, Endpoint: n.ID})
	}
	w.Tasks = w.Tasks[len(tasks):]
	return out
}

// shape holds the properties that decide whether work fits.
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
