package main

import (
	"container/heap"
	"runtime"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

const (
	// tick is how often the loop asks for decisions.
	tick = 50 * time.Millisecond
	// checkpointTime is how long a preempted task takes to stop; its progress
	// is kept.
	checkpointTime = time.Second
	// limit bounds the decisions of one call.
	limit = 512
)

// job is one task of the run.
type job struct {
	work      placement.Work
	task      string
	left      time.Duration
	startedAt time.Duration
	running   bool
	ever      bool
	preempted bool
	// version makes end events of an earlier start void.
	version int
}

// ending is the end, or the stop after a checkpoint, of a running job.
type ending struct {
	at      time.Duration
	seq     int
	job     *job
	version int
	stopped bool
}

type endings []ending

func (h endings) Len() int { return len(h) }
func (h endings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h endings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *endings) Push(x any) { *h = append(*h, x.(ending)) }

// Pop implements heap.Interface.
func (h *endings) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// runner drives one policy through one scenario.
type runner struct {
	policy  policy
	jobs    map[string]*job
	ends    endings
	seq     int
	gauge   *gauge
	spent   time.Duration
	mallocs uint64
	bytes   uint64
	calls   []time.Duration
	starts  int
}

// run returns what the policy did with the arrivals.
func run(s *scenario, arrivals []arrival, p policy) outcome {
	r := &runner{policy: p, jobs: map[string]*job{}, gauge: newGauge(s, arrivals)}
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
			r.gauge.sample(now)
		}
	}
	r.gauge.close(s.horizon, r.jobs)
	return r.outcome()
}

// step hands the policy all that happened in one tick and takes its decisions;
// only the policy's own work is timed.
func (r *runner) step(now time.Duration, arrived []arrival) {
	due := r.takeEnded(now)
	r.register(arrived)
	var before, after runtime.MemStats
	measured := now%time.Second == 0
	if measured {
		runtime.ReadMemStats(&before)
	}
	begin := time.Now()
	for _, e := range due {
		r.policy.Finish(e.job.task, e.at, e.result())
	}
	for _, e := range due {
		if e.stopped {
			again := e.job.work
			again.Tasks = []string{e.job.task}
			again.Gang = false
			r.policy.Submit(again)
		}
	}
	for _, a := range arrived {
		r.policy.Submit(a.work)
	}
	asked := time.Now()
	decisions := r.policy.Schedule(now, limit)
	done := time.Now()
	if measured {
		runtime.ReadMemStats(&after)
		r.mallocs += after.Mallocs - before.Mallocs
		r.bytes += after.TotalAlloc - before.TotalAlloc
		r.gauge.measuredStarts += len(decisions)
	}
	r.spent += done.Sub(begin)
	r.calls = append(r.calls, done.Sub(asked))
	for _, d := range decisions {
		r.apply(now, d)
	}
}

func (e ending) result() placement.Result {
	if e.stopped {
		return placement.ResultStopped
	}
	return placement.ResultDone
}

// takeEnded returns the jobs that end by now.
func (r *runner) takeEnded(now time.Duration) []ending {
	var due []ending
	for len(r.ends) > 0 && r.ends[0].at <= now {
		e := heap.Pop(&r.ends).(ending)
		if e.version != e.job.version {
			continue
		}
		e.job.version++
		e.job.running = false
		r.gauge.ended(e.job)
		if e.stopped {
			e.job.left -= e.at - e.job.startedAt
			e.job.preempted = false
			r.gauge.queued(e.job)
		} else {
			delete(r.jobs, e.job.task)
			r.gauge.demand[e.job.work.Size]--
		}
		due = append(due, e)
	}
	return due
}

func (r *runner) register(arrived []arrival) {
	for _, a := range arrived {
		for i, task := range a.work.Tasks {
			j := &job{work: a.work, task: task, left: a.runs[i]}
			r.jobs[task] = j
			r.gauge.demand[j.work.Size]++
			r.gauge.queued(j)
		}
	}
}

func (r *runner) apply(now time.Duration, d placement.Decision) {
	j := r.jobs[d.Task]
	if d.Preempt {
		r.gauge.preemptions++
		if !j.preempted {
			j.preempted = true
			r.push(ending{at: now + checkpointTime, job: j, version: j.version, stopped: true})
		}
		return
	}
	r.starts++
	j.running = true
	j.startedAt = now
	r.gauge.started(j, now)
	j.ever = true
	r.push(ending{at: now + j.left, job: j, version: j.version})
}

func (r *runner) push(e ending) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.ends, e)
}
