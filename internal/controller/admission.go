package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/admission"
	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fairshare"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// usefulObjectives is the multiple of its objective up to which the end of a job is
	// of use to its caller.
	usefulObjectives = 3
	// maxPassed bounds how long ago a job that asks to be accepted was handed in: no
	// daemon holds it longer. Their clocks may be off by more.
	maxPassed = 3 * time.Second
	// maxUnadopted is the part of the endpoints that may not have been adopted yet for the
	// door to judge by the others, and adoptionTime how long after the begin of a term it
	// waits for them.
	maxUnadopted = 0.1
	adoptionTime = 5 * time.Second
	// doorInterval is how often the door is told of pools that stay full, which takes a
	// look at all that waits and runs.
	doorInterval = 100 * time.Millisecond
	// doorLogInterval is the interval of the log lines on full pools.
	doorLogInterval = 2 * time.Second
)

// door is the admission of jobs with what it knows of the last plans.
type door struct {
	admission.Door
	// capacity is the capacity of each pool at the last plan.
	capacity map[string]resource.Vector
	// toldAt is when the door was last told of full pools, 0 if the last plan found room
	// for all, and started the work that plans have started since, in seconds of each pool.
	toldAt   time.Duration
	started  map[string]map[admission.Class]float64
	loggedAt time.Duration
}

// updateDoor tells the door how full the pools are and what waits for them after a plan.
func (c *Core) updateDoor(now clock.Instant, s *scheduler.Snapshot, plan *scheduler.Plan) {
	if !c.params.Features.Admission {
		return
	}
	if plan.Blocked == 0 || c.isAdopting(now) {
		c.door.toldAt, c.door.started = 0, nil
		c.tellDoor(now, nil)
		return
	}
	due := c.door.toldAt == 0 || now.Steady-c.door.toldAt >= doorInterval
	if due {
		c.door.capacity = make(map[string]resource.Vector)
		for _, h := range s.Hosts {
			c.door.capacity[h.Endpoint.Pool] = c.door.capacity[h.Endpoint.Pool].Add(h.Endpoint.Capacity)
		}
	}
	started := c.noteStarted(plan)
	if due {
		c.door.toldAt = now.Steady
		c.tellDoor(now, c.fullPools(now, s, started))
	}
}

// tellDoor sets the pools that have no room, and counts the jobs that were refused although
// they could have been served.
func (c *Core) tellDoor(now clock.Instant, pools map[string]*admission.Pool) {
	if n := c.door.Update(now.Steady, pools); n > 0 {
		metrics.AdmissionErrors.Add("refused, could have been served", int64(n))
	}
}

// noteStarted adds the work that a plan starts to that started since the door was told, and
// returns the number of tasks started by demand.
func (c *Core) noteStarted(plan *scheduler.Plan) map[*scheduler.Demand]int {
	tasks := make(map[*scheduler.Demand]int)
	for i := range plan.Starts {
		tasks[plan.Starts[i].Demand]++
	}
	if c.door.started == nil {
		c.door.started = make(map[string]map[admission.Class]float64)
	}
	for d, n := range tasks {
		if c.door.started[d.Pool] == nil {
			c.door.started[d.Pool] = make(map[admission.Class]float64)
		}
		c.door.started[d.Pool][classOf(d)] += loadOf(d.Step.Spec, n, c.door.capacity[d.Pool], d.Duration).Seconds
	}
	return tasks
}

// fullPools returns the state of the pools for which work waits after a plan.
func (c *Core) fullPools(now clock.Instant, s *scheduler.Snapshot, started map[*scheduler.Demand]int) map[string]*admission.Pool {
	capacity, free := c.door.capacity, make(map[string]resource.Vector)
	for _, h := range s.Hosts {
		free[h.Endpoint.Pool] = free[h.Endpoint.Pool].Add(h.Free)
	}
	pools := make(map[string]*admission.Pool)
	for _, d := range s.Demands {
		size := capacity[d.Pool]
		left := len(d.Tasks) - started[d]
		if left == 0 || size == (resource.Vector{}) {
			continue
		}
		p := pools[d.Pool]
		if p == nil {
			p = admission.NewPool(1 - fairshare.Dominant(size.Sub(free[d.Pool]), size))
			pools[d.Pool] = p
		}
		customer := d.Step.Job.Customer
		if customer != "" && !c.catalog.WithinQuota(customer, c.fleet.Usage(customer), d.Step.Spec.Size) {
			// The customer's cap holds it back, not the room.
			continue
		}
		l := loadOf(d.Step.Spec, left, size, d.Duration)
		if d.LatestStart < now.Steady {
			l.Late = l.Seconds
		}
		p.AddWaiting(classOf(d), customer, c.rateOf(customer), l)
	}
	for name, p := range pools {
		for class, seconds := range c.door.started[name] {
			p.AddStarted(class, seconds)
		}
	}
	c.door.started = nil
	for _, h := range s.Hosts {
		p := pools[h.Endpoint.Pool]
		if p == nil {
			continue
		}
		for _, r := range h.Endpoint.Runs() {
			if r.Step == nil || !r.Step.Spec.LongRunning {
				p.AddRunning(fairshare.Dominant(r.Charge, capacity[h.Endpoint.Pool]), max(r.ExpectedEnd-now.Steady, 0))
			}
		}
	}
	c.logFullPools(now, pools)
	return pools
}

// logFullPools logs the pools that have no room, at most once per doorLogInterval.
func (c *Core) logFullPools(now clock.Instant, pools map[string]*admission.Pool) {
	if now.Steady-c.door.loggedAt < doorLogInterval {
		return
	}
	c.door.loggedAt = now.Steady
	for name, p := range pools {
		c.log.Info("work waits for room", "pool", name, "free", p.Free, "expected_wait", p.Wait(admission.Class{Excess: true}, 0).Round(time.Millisecond))
	}
}

// checkUseful returns the problem of a job that can't end in a time that is of use to its
// caller, or nil. Jobs that are due later or last are accepted whatever waits now.
func (c *Core) checkUseful(now clock.Instant, q *catalog.Queue, s Submission) *problem.Problem {
	if s.Spec.Recurrence != nil || lasts(&s.Spec) {
		return nil
	}
	job := &workload.Job{Queue: s.Queue, Customer: s.Customer}
	chain, passed := c.longestChain(q, job, &s.Spec), min(max(now.Wall.Sub(s.Accepted), 0), maxPassed)
	v := c.door.Decide(now.Steady, admission.Job{
		ID: string(s.ID), Pool: q.Pool, Customer: s.Customer, Weight: c.rateOf(s.Customer),
		Class: admission.Class{Excess: c.exceedsRate(now, s.Customer), Priority: q.Priority, OverShare: c.isOverShare(q.Pool, s.Customer)},
		Load:  c.loadOfJob(q.Pool, job, &s.Spec),
		Runs:  chain, Objective: objectiveOf(q, chain) - passed, Useful: usefulFor(q, chain) - passed,
		HasRoom: func() bool { return c.hasRoom(now, q.Pool, &s.Spec) },
	})
	if !v.Refused {
		return nil
	}
	metrics.JobsRefusedUseless.Add(q.Name, 1)
	c.log.Info("job refused, it could not end in a time that is of use", "job", s.ID, "queue", s.Queue, "customer", s.Customer,
		"expected_wait", v.Wait.Round(time.Millisecond), "runs", chain.Round(time.Millisecond),
		"objective", objectiveOf(q, chain).Round(time.Millisecond), "useful", usefulFor(q, chain).Round(time.Millisecond), "retry_after", v.RetryAfter.Round(time.Millisecond))
	return problem.Refuse(problem.QueueFull, "try again later",
		"the job would wait for %s and could not end in a time that is of use", v.Wait.Round(time.Millisecond)).WithRetryAfter(v.RetryAfter)
}

// hasRoom reports whether the endpoints have room for all tasks of a job that don't wait for
// others, be it kept for other work.
func (c *Core) hasRoom(now clock.Instant, pool string, s *workload.Spec) bool {
	left := 0
	lacking := make([]int64, len(s.Steps))
	for i := range s.Steps {
		if len(s.Steps[i].After) == 0 {
			lacking[i] = int64(s.Steps[i].Count)
			left++
		}
	}
	for _, e := range c.fleet.Endpoints() {
		if e.Pool != pool || !c.usable(now, e) {
			continue
		}
		free := e.Free()
		for i, n := range lacking {
			step := &s.Steps[i]
			if n == 0 || !e.HasLabel(step.RequiredLabel) {
				continue
			}
			if step.MaxPerEndpoint > 0 {
				n = min(n, int64(step.MaxPerEndpoint))
			}
			fit := step.Charge().Copies(free, n)
			free = free.Sub(step.Charge().Scale(fit))
			if lacking[i] -= fit; lacking[i] == 0 {
				left--
			}
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// judgesWaits reports whether the door tells how long new work of a pool waits: if what waits
// does so for room. The backlog counts steps, whatever their size, and tells nothing of that.
func (c *Core) judgesWaits(now clock.Instant, pool string) bool {
	return c.params.Features.Admission && c.door.Judges(now.Steady, pool)
}

// isAdopting reports whether the term has just begun and many endpoints have not reported
// what runs there: the few that have say little of the room.
func (c *Core) isAdopting(now clock.Instant) bool {
	if now.Steady-c.fencedAt > adoptionTime {
		return false
	}
	listed, missing := 0, 0
	for _, e := range c.fleet.Endpoints() {
		if !e.Listed || e.Draining || c.isEvacuated(e) {
			continue
		}
		listed++
		if !e.Adopted {
			missing++
		}
	}
	return float64(missing) > maxUnadopted*float64(listed)
}

// usefulFor returns for how long after its acceptance the end of a job is of use.
func usefulFor(q *catalog.Queue, chain time.Duration) time.Duration {
	return usefulObjectives * objectiveOf(q, chain)
}

// objectiveOf returns the objective of a job whose longest chain takes the given time.
func objectiveOf(q *catalog.Queue, chain time.Duration) time.Duration {
	return min(time.Duration(min(q.Stretch*float64(chain), float64(maxObjective)))+min(q.Objective, maxObjective), maxObjective)
}

// maxObjective bounds objectives, so that a few of them together stay in range.
const maxObjective = workload.MaxSpan / 8

// lasts reports whether a job has a step that runs until it is cancelled.
func lasts(s *workload.Spec) bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// longestChain returns how long the longest chain of a job is expected to take.
func (c *Core) longestChain(q *catalog.Queue, j *workload.Job, s *workload.Spec) time.Duration {
	return s.ChainsOf(func(i int) time.Duration {
		span := min(c.expectedRunTime(j, &s.Steps[i]), workload.MaxSpan)
		if q.Eligibility != nil {
			span += q.Eligibility.Cost(objectiveEndpoints)
		}
		return span
	}).Longest
}

// loadOfJob returns what a job asks of a pool: the part that its widest step takes, and the
// time that all steps take.
func (c *Core) loadOfJob(pool string, j *workload.Job, s *workload.Spec) admission.Load {
	var all admission.Load
	for i := range s.Steps {
		step := &s.Steps[i]
		l := loadOf(step, step.Count, c.door.capacity[pool], min(c.expectedRunTime(j, step), workload.MaxSpan))
		all = admission.Load{Share: max(all.Share, l.Share), Seconds: all.Seconds + l.Seconds}
	}
	return all
}

// loadOf returns what tasks of a step ask of a pool.
func loadOf(s *workload.Step, tasks int, capacity resource.Vector, takes time.Duration) admission.Load {
	share := fairshare.Dominant(s.Charge().Scale(int64(tasks)), capacity)
	return admission.Load{Share: share, Seconds: share * takes.Seconds()}
}

func classOf(d *scheduler.Demand) admission.Class {
	return admission.Class{Excess: d.Excess, Priority: d.Priority, OverShare: d.OverShare}
}

// exceedsRate reports whether a customer's next job would be beyond its rate.
func (c *Core) exceedsRate(now clock.Instant, customer string) bool {
	b := c.rates[customer]
	return b != nil && b.empty(now, c.rateOf(customer), c.params.RateWindow)
}

// countLate counts a job that was accepted and has been done too late to be of use.
func (c *Core) countLate(now clock.Instant, j *workload.Job) {
	q := c.catalog.Queue(j.Queue)
	if !c.params.Features.Admission || q == nil || j.State() != workload.StateCompleted || j.Spec.Recurrence != nil || lasts(&j.Spec) {
		return
	}
	took, useful := now.Wall.Sub(j.Accepted), usefulFor(q, c.longestChain(q, j, &j.Spec))
	if took <= useful {
		return
	}
	metrics.AdmissionErrors.Add("accepted, ended too late to be of use", 1)
	c.log.Info("job ended too late to be of use", "job", j.ID, "queue", j.Queue, "customer", j.Customer, "took", took.Round(time.Millisecond), "useful", useful.Round(time.Millisecond))
}
