package main

import (
	"container/heap"
	"runtime"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

const (
	// tick is the interval between two Schedule calls.
	tick = 50 * time.Millisecond
	// checkpointTime is how long a preempted task takes to stop. It keeps its
	// progress.
	checkpointTime = time.Second
	// limit bounds the decisions of one Schedule call.
	limit = 512
)

// simulatedTask is a task with the run time that remains and its current state.
type simulatedTask struct {
	work        placement.Work
	id          string
	remaining   time.Duration
	startedAt   time.Duration
	running     bool
	startedOnce bool
	preempted   bool
	// version invalidates end events of an earlier start.
	version int
}

// endEvent is the end of a running task, or its stop after a checkpoint if
// preempted is set.
type endEvent struct {
	at        time.Duration
	seq       int
	task      *simulatedTask
	version   int
	preempted bool
}

type endEventHeap []endEvent

func (h endEventHeap) Len() int { return len(h) }
func (h endEventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h endEventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *endEventHeap) Push(x any) { *h = append(*h, x.(endEvent)) }

// Pop implements heap.Interface.
func (h *endEventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation runs one policy through one scenario.
type simulation struct {
	policy     policy
	tasks      map[string]*simulatedTask
	endEvents  endEventHeap
	seq        int
	collector  *collector
	policyTime time.Duration
	mallocs    uint64
	bytes      uint64
	callTimes  []time.Duration
	starts     int
}

// run simulates policy p with the arrivals and returns what was measured.
func run(s *scenario, arrivals []arrival, p policy) outcome {
	r := &simulation{policy: p, tasks: map[string]*simulatedTask{}, collector: newCollector(s, arrivals)}
	for _, t := range s.teams {
		p.SetTeam(t)
	}
	for _, ep := range s.endpoints {
		p.SetEndpoint(ep)
	}
	next := 0
	for now := tick; now <= s.horizon; now += tick {
		first := next
		for next < len(arrivals) && arrivals[next].at <= now {
			next++
		}
		r.step(now, arrivals[first:next])
		if now%time.Second == 0 {
			r.collector.sample(now)
		}
	}
	r.collector.close(s.horizon, r.tasks)
	return r.outcome()
}

// step reports the events of one tick to the policy and applies its decisions.
// Only the time spent in the policy is measured.
func (r *simulation) step(now time.Duration, arrived []arrival) {
	due := r.popEnded(now)
	r.register(arrived)
	var before, after runtime.MemStats
	measured := now%time.Second == 0
	if measured {
		runtime.ReadMemStats(&before)
	}
	start := time.Now()
	for _, e := range due {
		r.policy.Finish(e.task.id, e.at, e.result())
	}
	for _, e := range due {
		if e.preempted {
			resumed := e.task.work
			resumed.Tasks = []string{e.task.id}
			resumed.Gang = false
			r.policy.Submit(resumed)
		}
	}
	for _, a := range arrived {
		r.policy.Submit(a.work)
	}
	scheduleStart := time.Now()
	decisions := r.policy.Schedule(now, limit)
	done := time.Now()
	if measured {
		runtime.ReadMemStats(&after)
		r.mallocs += after.Mallocs - before.Mallocs
		r.bytes += after.TotalAlloc - before.TotalAlloc
		r.collector.measuredDecisions += len(decisions)
	}
	r.policyTime += done.Sub(start)
	r.callTimes = append(r.callTimes, done.Sub(scheduleStart))
	for _, d := range decisions {
		r.apply(now, d)
	}
}

func (e endEvent) result() placement.Result {
	if e.preempted {
		return placement.ResultStopped
	}
	return placement.ResultDone
}

// popEnded removes the end events up to now and returns those that are valid.
func (r *simulation) popEnded(now time.Duration) []endEvent {
	var due []endEvent
	for len(r.endEvents) > 0 && r.endEvents[0].at <= now {
		e := heap.Pop(&r.endEvents).(endEvent)
		if e.version != e.task.version {
			continue
		}
		e.task.version++
		e.task.running = false
		r.collector.ended(e.task)
		if e.preempted {
			e.task.remaining -= e.at - e.task.startedAt
			e.task.preempted = false
			r.collector.queued(e.task)
		} else {
			delete(r.tasks, e.task.id)
			r.collector.demand[e.task.work.Size]--
		}
		due = append(due, e)
	}
	return due
}

func (r *simulation) register(arrived []arrival) {
	for _, a := range arrived {
		for i, task := range a.work.Tasks {
			tk := &simulatedTask{work: a.work, id: task, remaining: a.runTimes[i]}
			r.tasks[task] = tk
			r.collector.demand[tk.work.Size]++
			r.collector.queued(tk)
		}
	}
}

func (r *simulation) apply(now time.Duration, d placement.Decision) {
	tk := r.tasks[d.Task]
	if d.Preempt {
		r.collector.preemptions++
		if !tk.preempted {
			tk.preempted = true
			r.push(endEvent{at: now + checkpointTime, task: tk, version: tk.version, preempted: true})
		}
		return
	}
	r.starts++
	tk.running = true
	tk.startedAt = now
	r.collector.started(tk, now)
	tk.startedOnce = true
	r.push(endEvent{at: now + tk.remaining, task: tk, version: tk.version})
}

func (r *simulation) push(e endEvent) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.endEvents, e)
}
