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

// usefulObjectives is the multiple of its objective up to which the end of a job is of use to
// its caller.
const usefulObjectives = 3

// updateDoor tells the door how full the pools are and what waits for them, before a plan.
// Whether work has no room is known from the plan before.
func (c *Core) updateDoor(now clock.Instant, s *scheduler.Snapshot) {
	capacity, free := make(map[string]resource.Vector), make(map[string]resource.Vector)
	for _, h := range s.Hosts {
		capacity[h.Endpoint.Pool] = capacity[h.Endpoint.Pool].Add(h.Endpoint.Capacity)
		free[h.Endpoint.Pool] = free[h.Endpoint.Pool].Add(h.Free)
	}
	pools := make(map[string]*admission.Pool, len(capacity))
	for name, size := range capacity {
		used := size.Sub(free[name])
		pools[name] = &admission.Pool{Free: 1 - fairshare.Dominant(used, size), Blocked: c.blocked}
	}
	for _, d := range s.Demands {
		p := pools[d.Pool]
		if p == nil {
			continue
		}
		tasks := d.Step.Spec.Charge().Scale(int64(len(d.Tasks)))
		seconds := fairshare.Dominant(tasks, capacity[d.Pool]) * d.Duration.Seconds()
		customer := d.Step.Job.Customer
		p.Add(admission.Class{Excess: d.Excess, Priority: d.Priority}, customer, c.catalog.Customers[customer].Weight, seconds)
	}
	if n := c.door.Update(now.Steady, pools); n > 0 {
		metrics.AdmissionErrors.Add("refused, could have been served", int64(n))
	}
}

// checkUseful returns the problem of a job that can't end in a time that is of use to its
// caller, or nil. Jobs that are due later or last are accepted whatever waits now.
func (c *Core) checkUseful(now clock.Instant, q *catalog.Queue, s Submission) *problem.Problem {
	if s.Spec.Recurrence != nil || lasts(&s.Spec) {
		return nil
	}
	chain := c.chainOf(q, s)
	objective := time.Duration(min(q.Stretch*float64(chain), float64(workload.MaxSpan))) + q.Objective
	v := c.door.Decide(now.Steady, admission.Job{
		ID: string(s.ID), Pool: q.Pool, Customer: s.Customer,
		Class: admission.Class{Excess: c.exceedsRate(now, s.Customer), Priority: q.Priority},
		Runs:  chain, Useful: usefulObjectives*objective - now.Wall.Sub(s.Accepted),
	})
	if !v.Refused {
		return nil
	}
	metrics.JobsRefusedUseless.Add(q.Name, 1)
	return problem.Refuse(problem.QueueFull, "try again later",
		"the job would wait for %s and could not end in a time that is of use", v.Wait.Round(time.Millisecond)).WithRetryAfter(v.RetryAfter)
}

// lasts reports whether a job has a step that runs until it is cancelled.
func lasts(s *workload.Spec) bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// chainOf returns how long the longest chain of a submitted job is expected to take.
func (c *Core) chainOf(q *catalog.Queue, s Submission) time.Duration {
	job := &workload.Job{Queue: s.Queue, Customer: s.Customer}
	return s.Spec.ChainsOf(func(i int) time.Duration {
		span := min(c.expectedRunTime(job, &s.Spec.Steps[i]), workload.MaxSpan)
		if q.Eligibility != nil {
			span += q.Eligibility.Cost(objectiveEndpoints)
		}
		return span
	}).Longest
}

// exceedsRate reports whether a customer's next job would be beyond its rate.
func (c *Core) exceedsRate(now clock.Instant, customer string) bool {
	b := c.rates[customer]
	return b != nil && b.empty(now, c.rateOf(customer), c.params.RateWindow)
}
